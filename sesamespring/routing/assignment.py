"""Assign waiting requests to slots by earliest expected completion.

Designed for targets with few slots, near and above capacity, whose speeds differ by a
factor of several and change many times a second. A request may complete earlier if it
waits for a fast target than if it takes a free slot of a slow one. Requests are kept in
their data centre unless leaving it pays, see ``leaving``.
"""

import itertools
import math

import attrs

from sesamespring.routing.leaving import WAY_S, Prospect, may_leave, prospect
from sesamespring.routing.placement import WAIT_UNCERTAINTY, Slot, expected_start_s

__all__ = ["Assignment", "assign"]

# Maximum number of pairs of request and slot elsewhere to compare in one plan.
FAR_PAIRS_MAX = 1000


@attrs.frozen(slots=True)
class Assignment:
    """A request and the slot that it is expected to get.

    Attributes:
        request: The ScheduledRequest.
        slot: The Slot, or None if no slot was assigned.
        end_s: Expected time of its end, without the penalties that only help to choose
            a slot; infinite if no target can serve it.
        starts_now: Whether the slot is free, so that the request can be sent now.
        near_prospect: What its caller could have expected in its own data centre, a
            Prospect, if the request leaves that; else None.
    """

    request: object
    slot: Slot | None
    end_s: float
    starts_now: bool = False
    near_prospect: object = None


def assign(requests, slots, service_time_s, now_s, spare=None):
    """Assign each request in turn to the slot where it is expected to end earliest.

    Several requests may get the same slot, one after the other. A request is never
    assigned to a target that it was sent to before. Of each priority, the requests that
    meet their goal in their own data centre get their slots first; then the others,
    which may leave it, see ``leaving``. So no request takes a slot elsewhere that one
    of that data centre, as urgent as it, needs for its goal.

    Args:
        requests: List of ScheduledRequests, the most urgent first.
        slots: List of Slots.
        service_time_s: Function that returns the service time of a ScheduledRequest.
        now_s: Current time.
        spare: The SpareSlots, which bounds what data centres take from others; without
            it they take as much as they have free slots.

    Returns:
        List of Assignment, in the order of the requests.
    """
    board = _SlotBoard(slots, now_s, spare)
    result = []
    for _, group in itertools.groupby(requests, key=_priority):
        result += _assign_group(list(group), board, service_time_s)
    return result


def _priority(request):
    return request.priority


def _assign_group(requests, board, service_time_s):
    """Return the list of Assignment of requests with the same priority."""
    offers = []
    for request in requests:
        seconds = service_time_s(request)
        offer = board.best_near(request, seconds)
        if offer.prospect <= Prospect.IN_GOAL:
            board.take(offer)
        offers.append(offer)
    return [
        _near_or_far(request, offer, board, service_time_s(request))
        for request, offer in zip(requests, offers, strict=True)
    ]


def _near_or_far(request, near, board, seconds):
    """Return the Assignment of a request that got the offer ``near`` before others.

    Others may have taken the slot since, unless it is kept for this request.
    """
    if near.prospect is Prospect.SAFE:
        return board.assignment(request, near)
    is_kept = near.prospect is Prospect.IN_GOAL
    if not is_kept:
        near = board.best_near(request, seconds)
    if near.index is None:
        far = board.best_elsewhere(request, seconds)
    else:
        far = board.best_far(request, seconds)
    if may_leave(near.prospect, near.end_s, far.prospect, far.end_s, board.now_s):
        if is_kept:
            board.give_back(near)
        board.take_far(far)
        return board.assignment(request, far, near.prospect)
    if not is_kept:
        board.take(near)
    return board.assignment(request, near)


@attrs.define(slots=True)
class _Offer:
    """The best slot for a request, in its data centre or elsewhere.

    Attributes:
        prospect: The Prospect of the request in it.
        index: Number of the slot, or None if there is none.
        start_s: Time at which the request would start.
        end_s: Expected end, with the penalties that help to choose a slot.
        taken_s: For how long the request is expected to take the slot, in seconds.
    """

    prospect: Prospect = Prospect.NO_SLOT
    index: int | None = None
    start_s: float = math.inf
    end_s: float = math.inf
    taken_s: float = 0.0


class _SlotBoard:
    """The slots of one plan, and when each is free for the next request.

    Args:
        slots: List of Slots.
        now_s: Current time.
        spare: The SpareSlots, or None.
    """

    def __init__(self, slots, now_s, spare):
        self.now_s = now_s
        self._spare = spare
        self._slots = slots
        self._starts_s = [expected_start_s(slot.free_s, now_s) for slot in slots]
        self._costs = [slot.choice_cost for slot in slots]
        # Dict by data centre of the list of the numbers of its slots.
        self._by_data_centre = {}
        for index, slot in enumerate(slots):
            self._by_data_centre.setdefault(slot.data_centre, []).append(index)
        # Dict by data centre of the number of requests from elsewhere in this plan.
        self._taken_in = {}
        # Dict of the numbers of all slots elsewhere by data centre and priority.
        self._far = {}
        self._far_pairs = 0

    def best_near(self, request, seconds):
        """Return the _Offer of a request's own data centre."""
        near = self._by_data_centre.get(request.data_centre, ())
        return self._best(request, seconds, near, 0.0)

    def best_elsewhere(self, request, seconds):
        """Return the best _Offer for a request without any slot in its data centre."""
        return self._best(request, seconds, range(len(self._slots)), WAY_S)

    def best_far(self, request, seconds):
        """Return the best _Offer of the other data centres that have slots to spare."""
        key = (request.data_centre, request.priority)
        far = self._far.get(key)
        if far is None:
            far = self._far[key] = self._far_slots(*key)
        self._far_pairs += len(far)
        if self._far_pairs > FAR_PAIRS_MAX:
            return _Offer()
        return self._best(request, seconds, far, WAY_S)

    def take(self, offer):
        """Let a request take its slot, which is free again later."""
        if offer.index is None:
            return
        interval_s = self._slots[offer.index].interval_s
        taken_s = max(offer.taken_s * WAIT_UNCERTAINTY, interval_s)
        self._starts_s[offer.index] = offer.start_s + taken_s

    def take_far(self, offer):
        """Let a request from elsewhere take its slot."""
        self.take(offer)
        place = self._slots[offer.index].data_centre
        self._taken_in[place] = self._taken_in.get(place, 0) + 1
        self._far.clear()

    def give_back(self, offer):
        """Undo ``take``, unless another request has taken the slot after this one."""
        interval_s = self._slots[offer.index].interval_s
        taken_s = max(offer.taken_s * WAIT_UNCERTAINTY, interval_s)
        if self._starts_s[offer.index] == offer.start_s + taken_s:
            self._starts_s[offer.index] = offer.start_s

    def assignment(self, request, offer, near_prospect=None):
        """Return the Assignment of a request that takes an _Offer."""
        if offer.index is None:
            return Assignment(request, None, math.inf)
        return Assignment(
            request,
            self._slots[offer.index],
            offer.start_s + offer.taken_s,
            offer.start_s <= self.now_s,
            near_prospect,
        )

    def _far_slots(self, data_centre, priority):
        """Return the numbers of the slots that requests may leave a data centre for."""
        far = []
        for place, indexes in self._by_data_centre.items():
            if place != data_centre and self._may_take_in(place, priority):
                far += indexes
        return far

    def _may_take_in(self, data_centre, priority):
        if self._spare is None:
            return True
        slots = len(self._by_data_centre[data_centre])
        spare = self._spare.count(data_centre, slots, priority, self.now_s)
        return spare > self._taken_in.get(data_centre, 0)

    def _best(self, request, seconds, indexes, way_s):
        """Return the _Offer with the earliest end among the slots with some numbers."""
        slots, starts_s, costs = self._slots, self._starts_s, self._costs
        if request.tried or request.excluded:
            left_out = request.tried | request.excluded
            indexes = [index for index in indexes if slots[index].key not in left_out]
        if not indexes:
            return _Offer()
        # This runs for each pair of request and slot; function calls cost too much.
        ends_s = [starts_s[index] + seconds * costs[index] for index in indexes]
        end_s = min(ends_s)
        index = indexes[ends_s.index(end_s)]
        slot, start_s = slots[index], starts_s[index]
        taken_s = seconds * slot.expected_slowdown
        penalty = slot.choice_cost / slot.expected_slowdown
        found = prospect(request, start_s + way_s, taken_s, penalty, self.now_s)
        return _Offer(found, index, start_s, end_s + way_s, taken_s)
