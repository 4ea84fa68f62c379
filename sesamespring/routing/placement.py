"""Assign waiting requests to slots so that each ends as early as it can.

Load that it answers: targets with few slots whose speeds differ several times and
change many times a second, near and above their capacity. A request may be better
off waiting for a fast target than taking a slow one that is free.
"""

import attrs

__all__ = ["Assignment", "Slot", "assign", "open_slots"]

# Work at a target of another data centre travels there and back, and is paid for.
REMOTE_S = 0.004
# A slot that is free now is certain, one that is expected to be free is not.
WAIT_DOUBT = 1.15


@attrs.define(eq=False, slots=True)
class Slot:
    """One slot of a target, free now or expected to be free later.

    Attributes:
        state: The TargetState.
        key: Key of the target.
        data_centre: Data centre of the target.
        free_s: Time from which it is free.
        factor: How many times longer than usual a request takes in it.
        state_factor: The part of that without what a full target adds.
        choice_factor: The factor with what failures there cost.
        full: Whether it is the last of several slots of the target.
    """

    state: object
    key: tuple
    data_centre: str
    free_s: float
    factor: float
    state_factor: float
    choice_factor: float
    full: bool

    def end_s(self, service_time_s, now_s, data_centre):
        """Return when a request is expected to end there, for choosing.

        Args:
            service_time_s: Usual seconds of the request.
            now_s: The time now.
            data_centre: Data centre of the VM that sends it.
        """
        start_s = _start_s(self.free_s, now_s)
        remote_s = 0.0 if self.data_centre == data_centre else REMOTE_S
        return start_s + service_time_s * self.choice_factor + remote_s


@attrs.frozen(slots=True)
class Assignment:
    """A request and the slot that it is expected to get.

    Attributes:
        request: The ScheduledRequest.
        slot: The Slot, or None where no target may have it.
        end_s: Time at which it is expected to end.
        starts_now: Whether the slot is free now, so that it can be sent at once.
    """

    request: object
    slot: Slot | None
    end_s: float
    starts_now: bool = False


def open_slots(states, now_s, average_slowdown, saturation_factor, foreign, cold_most):
    """Return the Slots of targets, with those that work in progress will free.

    Args:
        states: The TargetStates.
        now_s: The time now.
        average_slowdown: Average slowdown of the service's targets.
        saturation_factor: How many times longer work takes at a full target.
        foreign: Whether other VMs send to the targets on their own.
        cold_most: How many requests a cold target may get in any second.
    """
    slots = []
    for state in states:
        if not state.in_service or now_s < state.backoff_until_s:
            continue
        free = max(0, state.free_slots(now_s, foreign))
        if state.is_cold(now_s):
            free = min(free, state.cold_start_limiter.remaining(now_s, cold_most))
            if not free:
                continue
        _add_slots(slots, state, free, now_s, average_slowdown, saturation_factor)
    return slots


def _add_slots(slots, state, free, now_s, average_slowdown, saturation_factor):
    factor, choice = state.costs(now_s, average_slowdown)
    entry = state.entry
    several = entry.slots > 1
    place = (state, entry.key, entry.data_centre)
    busy = len(state.active_attempts)
    for index in range(free):
        full = several and busy + index + 1 >= entry.slots
        crowd = saturation_factor if full else 1.0
        slots.append(Slot(*place, now_s, factor * crowd, factor, choice * crowd, full))
    crowd = saturation_factor if several else 1.0
    for active in state.active_attempts.values():
        free_s = active.ends_s(now_s)
        slots.append(
            Slot(*place, free_s, factor * crowd, factor, choice * crowd, several)
        )


def assign(requests, slots, service_time_s, now_s):
    """Assign requests in their order to the slots where they end earliest.

    Args:
        requests: List of ScheduledRequests, the most urgent first.
        slots: List of Slots.
        service_time_s: Function from a ScheduledRequest to its usual seconds.
        now_s: The time now.

    Returns:
        List of Assignment.
    """
    result = []
    starts_s = [_start_s(slot.free_s, now_s) for slot in slots]
    for request in requests:
        seconds = service_time_s(request)
        index, end_s = _earliest(request, seconds, slots, starts_s)
        if index is None:
            result.append(Assignment(request, None, end_s))
            continue
        slot = slots[index]
        starts_now = starts_s[index] <= now_s
        result.append(Assignment(request, slot, end_s, starts_now))
        starts_s[index] += seconds * slot.factor * WAIT_DOUBT
    return result


def _earliest(request, seconds, slots, starts_s):
    """Return the index of the slot where a request ends earliest, and the end."""
    data_centre, tried = request.data_centre, request.tried
    best = None
    best_end_s = float("inf")
    # This loop runs for each pair of request and slot, so it calls nothing.
    for index, slot in enumerate(slots):
        end_s = starts_s[index] + seconds * slot.choice_factor
        if end_s >= best_end_s:
            continue
        if slot.data_centre != data_centre:
            end_s += REMOTE_S
            if end_s >= best_end_s:
                continue
        if tried and slot.key in tried:
            continue
        best, best_end_s = index, end_s
    return best, best_end_s


def _start_s(free_s, now_s):
    """Return when a slot can be counted on to be free."""
    return now_s if free_s <= now_s else now_s + (free_s - now_s) * WAIT_DOUBT
