"""Order waiting requests and find those that cannot be served before their deadline.

Designed for overload that lasts for seconds. Requests that can still meet their
response-time goal are served first, by priority and then by due time; the others get
the remaining capacity. A request that would complete after its deadline is refused
immediately.

Where there are client accounts and some request misses its goal in this order, the
accounts compete: then they take turns within each priority, see ``fair_shares``.
"""

import collections
import heapq

import attrs

from sesamespring.routing.assignment import Assignment, assign

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
    requests,
    slots,
    service_time_s,
    now_s,
    is_known,
    plan_all=True,
    spare=None,
    shares=None,
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
        spare: The SpareSlots, or None, see ``assignment.assign``.
        shares: The FairShares of the accounts, or None without accounts.
    """
    compared = _compared_of_each(slots)
    if not plan_all:
        return _plan_next(
            requests, slots, service_time_s, now_s, compared, spare, shares
        )
    ordered = sorted(requests, key=_urgency)
    feasible = [r for r in ordered if now_s + service_time_s(r) <= r.due_s]
    # Requests that miss their goal even in this plan must not delay the others.
    first = _estimate_ends(feasible, slots, service_time_s, now_s, compared, spare)
    in_time = _in_time(first)
    if len(in_time) == len(ordered):
        return Plan(tuple(first), ())
    if shares is not None:
        feasible = shares.order(feasible, service_time_s)
        first = _estimate_ends(feasible, slots, service_time_s, now_s, compared, spare)
        in_time = _in_time(first)
    chosen = {request.number for request in in_time}
    late = [r for r in ordered if r.number not in chosen]
    late.sort(key=_late_urgency)
    if shares is not None:
        late = shares.order(late, service_time_s, ahead=in_time)
    assignments = _estimate_ends(
        [*in_time, *late], slots, service_time_s, now_s, compared, spare
    )
    unreachable = [
        a
        for a in assignments
        if is_known(a.request) and _is_unreachable(a, chosen, now_s)
    ]
    return Plan(tuple(assignments), tuple(unreachable), True)


def _compared_of_each(slots):
    """Return how many requests of each data centre are compared with slots."""
    compared = COMPARISONS_MAX // max(1, len(slots))
    data_centres = len({slot.data_centre for slot in slots})
    return max(COMPARED_MIN, compared // max(1, data_centres))


def _plan_next(requests, slots, service_time_s, now_s, compared, spare, shares):
    """Return the Plan for the most urgent requests, which may be sent now."""
    feasible = [r for r in requests if now_s + service_time_s(r) <= r.due_s]
    if shares is not None and shares.short:
        first = _in_turn(feasible, compared, _urgency, shares, service_time_s)
    else:
        first = _most_urgent(feasible, compared, _urgency)
    assignments = assign(first, slots, service_time_s, now_s, spare)
    in_time = _in_time(assignments)
    if len(in_time) < len(requests):
        chosen = {request.number for request in in_time}
        others = [r for r in requests if r.number not in chosen]
        key = _late_urgency
        if shares is not None:
            late = _in_turn(others, compared, key, shares, service_time_s, in_time)
        else:
            late = _most_urgent(others, compared, key, in_time)
        if late:
            requests = [*in_time, *late]
            assignments = assign(requests, slots, service_time_s, now_s, spare)
    return Plan(tuple(assignments), ())


def _in_time(assignments):
    """Return the ScheduledRequests that meet their goal."""
    return [a.request for a in assignments if a.end_s <= a.request.due_s]


def _in_turn(requests, count, key, shares, service_time_s, chosen=()):
    """Return the requests of each data centre that go first as accounts take turns.

    Args:
        requests: The ScheduledRequests.
        count: Maximum number of requests of a data centre.
        key: Function by whose value requests of one account are ordered.
        shares: The FairShares.
        service_time_s: Function that returns the service time of a ScheduledRequest.
        chosen: Requests that are served before, and count as well.
    """
    ordered = shares.order(sorted(requests, key=key), service_time_s, chosen)
    return _first_of_each_data_centre(ordered, count, chosen)[0]


def _most_urgent(requests, count, key, chosen=()):
    """Return the most urgent requests of each data centre, in order.

    Those of one data centre must not hide those of another, which has its own slots.

    Args:
        requests: The ScheduledRequests.
        count: Maximum number of requests of a data centre.
        key: Function by whose value requests are ordered.
        chosen: Requests that count as well, but are not returned.
    """
    taken = collections.Counter(request.data_centre for request in chosen)
    by_data_centre = {}
    for request in requests:
        by_data_centre.setdefault(request.data_centre, []).append(request)
    found = []
    for data_centre, of_data_centre in by_data_centre.items():
        left = count - taken[data_centre]
        found += heapq.nsmallest(left, of_data_centre, key)
    return sorted(found, key=key)


def _urgency(request):
    return (request.priority, request.due_s)


def _late_urgency(request):
    return (request.priority, request.deadline_s)


def _estimate_ends(requests, slots, service_time_s, now_s, compared, spare):
    """Assign the first requests to slots and estimate the end of the others."""
    first, others = _first_of_each_data_centre(requests, compared)
    assignments = assign(first, slots, service_time_s, now_s, spare)
    if not others:
        return assignments
    # Requests that all slots together complete in one service time.
    rate = sum(1 / slot.expected_slowdown for slot in slots)
    ahead = float(len(first))
    for request in others:
        ahead += 1
        seconds = service_time_s(request)
        end_s = now_s + seconds * (1 + ahead / rate) if rate else float("inf")
        assignments.append(Assignment(request, None, end_s))
    return assignments


def _first_of_each_data_centre(requests, count, chosen=()):
    """Return the lists of the first requests of each data centre, and of the others.

    Args:
        requests: The ScheduledRequests.
        count: Maximum number of requests of a data centre.
        chosen: Requests that count as well, but are not returned.
    """
    if len(requests) + len(chosen) <= count:
        return requests, []
    taken = collections.Counter(request.data_centre for request in chosen)
    first, others = [], []
    for request in requests:
        taken[request.data_centre] += 1
        is_first = taken[request.data_centre] <= count
        (first if is_first else others).append(request)
    return first, others


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
