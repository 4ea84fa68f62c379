"""Order waiting requests and find those that cannot be served before their deadline.

Designed for overload that lasts for seconds. Requests that can still meet their
response-time goal are served first, by priority and then by due time; the others get
the remaining capacity. A request that would complete after its deadline is refused
immediately.

Where there are client accounts and some request misses its goal in this order, the
accounts compete: then they take turns within each priority, see ``fair_shares``.
"""

import heapq

import attrs

from sesamespring.routing.placement import Assignment, assign

__all__ = ["Plan", "make_plan"]

# Factor on the expected time of requests that miss their goal, as requests that arrive
# later may overtake them.
LATE_UNCERTAINTY = 2.0
# Maximum number of pairs of request and slot to compare in one plan. The completion of
# requests further back in the queue is estimated from the total rate of all slots.
COMPARISONS_MAX = 1000
COMPARED_MIN = 6


@attrs.frozen
class Plan:
    """Expected completion of waiting requests.

    Attributes:
        assignments: Tuple of Assignment in the order of service.
        unreachable: Tuple of the Assignments whose requests would miss their deadline.
        short: Whether some request misses its goal, if all were planned.
    """

    assignments: tuple
    unreachable: tuple
    short: bool = False


def make_plan(
    requests, slots, service_time_s, now_s, is_known, plan_all=True, shares=None
):
    """Return the Plan for waiting requests.

    Args:
        requests: The waiting ScheduledRequests.
        slots: The Slots, see ``placement.open_slots``.
        service_time_s: Function that returns the service time of a ScheduledRequest.
        now_s: Current time.
        is_known: Function that returns whether the service time of a ScheduledRequest
            was measured; requests without a measurement are never unreachable.
        plan_all: Whether to plan all requests; otherwise only the first ones, which may
            be sent now, and none is found unreachable.
        shares: The FairShares of the accounts, or None without accounts.
    """
    compared = max(COMPARED_MIN, COMPARISONS_MAX // max(1, len(slots)))
    if not plan_all:
        return _plan_next(requests, slots, service_time_s, now_s, compared, shares)
    ordered = sorted(requests, key=_urgency)
    feasible = [r for r in ordered if now_s + service_time_s(r) <= r.due_s]
    # Requests that miss their goal even in this plan must not delay the others.
    first = _estimate_ends(feasible, slots, service_time_s, now_s, compared)
    in_time = _in_time(first)
    if len(in_time) == len(ordered):
        return Plan(tuple(first), ())
    if shares is not None:
        feasible = shares.order(feasible, service_time_s)
        first = _estimate_ends(feasible, slots, service_time_s, now_s, compared)
        in_time = _in_time(first)
    chosen = {request.number for request in in_time}
    late = [r for r in ordered if r.number not in chosen]
    late.sort(key=_late_urgency)
    if shares is not None:
        late = shares.order(late, service_time_s, ahead=in_time)
    assignments = _estimate_ends(
        [*in_time, *late], slots, service_time_s, now_s, compared
    )
    unreachable = [
        a
        for a in assignments
        if is_known(a.request) and _is_unreachable(a, chosen, now_s)
    ]
    return Plan(tuple(assignments), tuple(unreachable), True)


def _plan_next(requests, slots, service_time_s, now_s, compared, shares):
    """Return the Plan for the most urgent requests, which may be sent now."""
    feasible = [r for r in requests if now_s + service_time_s(r) <= r.due_s]
    if shares is not None and shares.short:
        feasible.sort(key=_urgency)
        first = shares.order(feasible, service_time_s, limit=compared)
    else:
        first = heapq.nsmallest(compared, feasible, _urgency)
    assignments = assign(first, slots, service_time_s, now_s)
    in_time = _in_time(assignments)
    if len(in_time) < compared and len(in_time) < len(requests):
        chosen = {request.number for request in in_time}
        others = [r for r in requests if r.number not in chosen]
        left = compared - len(in_time)
        if shares is not None:
            others.sort(key=_late_urgency)
            late = shares.order(others, service_time_s, in_time, left)
        else:
            late = heapq.nsmallest(left, others, _late_urgency)
        assignments = assign([*in_time, *late], slots, service_time_s, now_s)
    return Plan(tuple(assignments), ())


def _in_time(assignments):
    """Return the ScheduledRequests that meet their goal."""
    return [a.request for a in assignments if a.end_s <= a.request.due_s]


def _urgency(request):
    return (request.priority, request.due_s)


def _late_urgency(request):
    return (request.priority, request.deadline_s)


def _estimate_ends(requests, slots, service_time_s, now_s, compared):
    """Assign the first requests to slots and estimate the end of the others."""
    assignments = assign(requests[:compared], slots, service_time_s, now_s)
    if len(requests) <= compared:
        return assignments
    # Requests that all slots together complete in one service time.
    rate = sum(1 / slot.expected_slowdown for slot in slots)
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
        # No target can serve it now; it waits for one that it has not been sent to.
        return False
    left_s = request.deadline_s - now_s
    needed_s = assignment.end_s - now_s
    if request.number in chosen or assignment.starts_now:
        return needed_s > left_s
    return needed_s * LATE_UNCERTAINTY > left_s
