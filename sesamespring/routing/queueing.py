"""Order waiting requests, and decide which of them cannot be served in time.

Load that it answers: more requests than slots for seconds at a time. Those that can
still make their response-time goal go first, by rank and then by the time that is
left; the others get what is left over. A request whose slot would come too late for
its caller is refused at once.
"""

import heapq

import attrs

from sesamespring.routing.placement import Assignment, assign

__all__ = ["Plan", "make_plan"]

# Requests that come later go before those that are late already.
LATE_DOUBT = 2.0
# Pairs of request and slot that are compared in one plan; what is behind the first
# requests is estimated from the rate at which all slots work.
COMPARISONS_MAX = 1000
COMPARED_LEAST = 6


@attrs.frozen
class Plan:
    """What is expected of all waiting requests.

    Attributes:
        assignments: Tuple of Assignment in the order of service.
        unreachable: Tuple of Assignment of requests that cannot be served in time.
    """

    assignments: tuple
    unreachable: tuple


def make_plan(requests, slots, service_time_s, now_s, is_known, judge_all=True):
    """Return the Plan for all waiting requests.

    Args:
        requests: The waiting ScheduledRequests.
        slots: The Slots, see ``placement.open_slots``.
        service_time_s: Function from a ScheduledRequest to its usual seconds.
        now_s: The time now.
        is_known: Function from a ScheduledRequest to whether its usual time is known;
            nothing is refused on a guess.
        judge_all: Whether to estimate also those that cannot be sent now.
    """
    compared = max(COMPARED_LEAST, COMPARISONS_MAX // max(1, len(slots)))
    if not judge_all:
        return _plan_next(requests, slots, service_time_s, now_s, compared)
    ordered = sorted(requests, key=_urgency)
    hopeful = [r for r in ordered if now_s + service_time_s(r) <= r.due_s]
    # Without those that miss their goal even so, the others need not wait for them.
    first = _expect(hopeful, slots, service_time_s, now_s, compared)
    in_time = [a.request for a in first if a.end_s <= a.request.due_s]
    if len(in_time) == len(ordered):
        return Plan(tuple(first), ())
    chosen = {request.number for request in in_time}
    late = [r for r in ordered if r.number not in chosen]
    late.sort(key=_lateness)
    assignments = _expect([*in_time, *late], slots, service_time_s, now_s, compared)
    unreachable = [
        a
        for a in assignments
        if is_known(a.request) and _is_unreachable(a, chosen, now_s)
    ]
    return Plan(tuple(assignments), tuple(unreachable))


def _plan_next(requests, slots, service_time_s, now_s, compared):
    """Return the Plan for the first requests only, which may be sent now."""
    hopeful = [r for r in requests if now_s + service_time_s(r) <= r.due_s]
    first = heapq.nsmallest(compared, hopeful, _urgency)
    assignments = assign(first, slots, service_time_s, now_s)
    in_time = [a.request for a in assignments if a.end_s <= a.request.due_s]
    if len(in_time) < compared and len(in_time) < len(requests):
        chosen = {request.number for request in in_time}
        others = [r for r in requests if r.number not in chosen]
        late = heapq.nsmallest(compared - len(in_time), others, _lateness)
        assignments = assign([*in_time, *late], slots, service_time_s, now_s)
    return Plan(tuple(assignments), ())


def _urgency(request):
    return (request.priority, request.due_s)


def _lateness(request):
    return (request.priority, request.deadline_s)


def _expect(requests, slots, service_time_s, now_s, compared):
    """Assign the first requests to slots, and estimate when the others end."""
    assignments = assign(requests[:compared], slots, service_time_s, now_s)
    if len(requests) <= compared:
        return assignments
    # How many requests of usual length all slots end in the time of one.
    rate = sum(1 / slot.factor for slot in slots)
    ahead = float(compared)
    for request in requests[compared:]:
        ahead += 1
        seconds = service_time_s(request)
        end_s = now_s + seconds * (1 + ahead / rate) if rate else float("inf")
        assignments.append(Assignment(request, None, end_s))
    return assignments


def _is_unreachable(assignment, chosen, now_s):
    request = assignment.request
    if assignment.end_s == float("inf"):
        # No target may have it now; it waits for one that it has not tried.
        return False
    left_s = request.deadline_s - now_s
    needed_s = assignment.end_s - now_s
    if request.number in chosen or assignment.starts_now:
        return needed_s > left_s
    return needed_s * LATE_DOUBT > left_s
