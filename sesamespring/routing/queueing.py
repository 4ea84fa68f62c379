"""Order waiting requests, and decide which of them cannot be served in time.

Load that it answers: more requests than slots for seconds at a time. Those that can
still make their response-time goal go first, by rank and then by the time that is
left; the others get what is left over. A request whose slot would come too late for
its caller is refused at once.
"""

import math

import attrs

from sesamespring.routing.placement import Assignment, assign

__all__ = ["Plan", "make_plan"]

# Requests that come later go before those that are late already.
LATE_DOUBT = 2.0
PLANNED_MAX = 256


@attrs.frozen
class Plan:
    """What is expected of all waiting requests.

    Attributes:
        assignments: Tuple of Assignment in the order of service.
        unreachable: Tuple of Assignment of requests that cannot be served in time.
    """

    assignments: tuple
    unreachable: tuple


def make_plan(requests, slots, usual_s, now_s):
    """Return the Plan for all waiting requests.

    Args:
        requests: The waiting ScheduledRequests.
        slots: The Slots, see ``placement.open_slots``.
        usual_s: Function from a ScheduledRequest to its usual seconds.
        now_s: The time now.
    """
    ordered = sorted(requests, key=_urgency)
    hopeful = [r for r in ordered if now_s + usual_s(r) <= r.due_s][:PLANNED_MAX]
    # Without those that miss their goal even so, the others need not wait for them.
    first = assign(hopeful, _copies(slots), usual_s, now_s)
    in_time = [a.request for a in first if a.end_s <= a.request.due_s]
    if len(in_time) == len(ordered):
        return Plan(tuple(first), ())
    chosen = {request.number for request in in_time}
    late = [r for r in ordered if r.number not in chosen]
    late.sort(key=lambda r: (r.priority, r.deadline_s))
    assignments = assign([*in_time, *late[:PLANNED_MAX]], slots, usual_s, now_s)
    unreachable = [a for a in assignments if _is_unreachable(a, chosen, now_s)]
    beyond = [Assignment(request, None, math.inf) for request in late[PLANNED_MAX:]]
    return Plan(tuple(assignments), (*unreachable, *beyond))


def _urgency(request):
    return (request.priority, request.due_s)


def _copies(slots):
    return [attrs.evolve(slot) for slot in slots]


def _is_unreachable(assignment, chosen, now_s):
    request = assignment.request
    if assignment.slot is None:
        return False
    left_s = request.deadline_s - now_s
    needed_s = assignment.end_s - now_s
    if request.number in chosen or assignment.starts_now:
        return needed_s > left_s
    return needed_s * LATE_DOUBT > left_s
