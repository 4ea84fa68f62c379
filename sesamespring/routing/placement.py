"""List the slots of targets, free now or later, and what each costs a request.

Designed for targets with few slots, near and above capacity, whose speeds differ by a
factor of several and change many times a second.
"""

import attrs

from sesamespring.routing.leaving import WAY_S

__all__ = ["WAIT_UNCERTAINTY", "Slot", "expected_start_s", "open_slots"]

# Factor on waiting times, as a slot that is expected to become free may do so later.
WAIT_UNCERTAINTY = 1.15
SLOTS_CACHE_S = 0.02


@attrs.define(eq=False, slots=True)
class Slot:
    """One slot of a target, free now or expected to be free later.

    Attributes:
        state: The TargetState.
        key: Key of the target.
        data_centre: Data centre of the target.
        free_s: Time at which it becomes free.
        expected_slowdown: Expected duration of a request in it, as a multiple of the
            service time at an unloaded target.
        unsaturated_slowdown: The same without the effect of saturation.
        choice_cost: The expected slowdown times the penalty for recent failures of the
            target; used only to choose among slots.
        saturates: Whether a request in it takes the last of several slots of the
            target.
        interval_s: Shortest time between the starts of two requests in it, in seconds;
            0 unless the target names a limit.
    """

    state: object
    key: tuple
    data_centre: str
    free_s: float
    expected_slowdown: float
    unsaturated_slowdown: float
    choice_cost: float
    saturates: bool
    interval_s: float = 0.0

    def end_s(self, service_time_s, now_s):
        """Return the expected end of a request in this slot.

        Args:
            service_time_s: Service time of the request at an unloaded target.
            now_s: Current time.
        """
        return (
            expected_start_s(self.free_s, now_s)
            + service_time_s * self.expected_slowdown
        )

    def penalized_end_s(self, service_time_s, now_s, data_centre):
        """Return the expected end with all penalties, only to choose among slots.

        Args:
            service_time_s: Service time of the request at an unloaded target.
            now_s: Current time.
            data_centre: Data centre of the VM that sends it.
        """
        way_s = 0.0 if self.data_centre == data_centre else WAY_S
        start_s = expected_start_s(self.free_s, now_s) + way_s
        return start_s + service_time_s * self.choice_cost


def open_slots(states, now_s, average_slowdown, saturation_factor, shared, cold_limit):
    """Return the free Slots of targets and those that attempts in progress occupy.

    Targets that are out of service, in backoff or at their cold-start limit have none.
    The slots of one that names a limit become free when the next request may be sent.

    Args:
        states: The TargetStates.
        now_s: Current time.
        average_slowdown: Average slowdown of the service's targets.
        saturation_factor: Factor on the duration of requests at a target whose slots
            are all taken.
        shared: Whether other VMs send to the targets without this VM's decision.
        cold_limit: Maximum number of requests to a cold target in any second.
    """
    slots = []
    for state in states:
        if not state.in_service or now_s < state.backoff_until_s:
            continue
        if state.slots_cached_s <= now_s < state.slots_outdated_s:
            slots += state.cached_slots
            continue
        free = max(0, state.free_slots(now_s, shared))
        cold = state.is_cold(now_s)
        if cold:
            free = min(free, state.cold_start_limiter.remaining(now_s, cold_limit))
            if not free:
                continue
        of_target = _slots_of(state, free, now_s, average_slowdown, saturation_factor)
        slots += of_target
        # Cold and limited targets get free slots also as time passes.
        if not cold and state.pacer is None:
            _cache_slots(state, of_target, now_s)
    return slots


def _cache_slots(state, slots, now_s):
    """Keep the Slots of a target until one that is taken may become free.

    Every plan needs the slots of all targets, which change little unless an event
    occurs at the target.
    """
    taken_until_s = [slot.free_s for slot in slots if slot.free_s > now_s]
    state.slots_outdated_s = min([now_s + SLOTS_CACHE_S, *taken_until_s])
    state.slots_cached_s = now_s
    state.cached_slots = slots


def _slots_of(state, free, now_s, average_slowdown, saturation_factor):
    """Return the tuple of the Slots of one target, of which some are free."""
    slowdown, cost = state.costs(now_s, average_slowdown)
    entry = state.entry
    several = entry.slots > 1
    common = (state, entry.key, entry.data_centre)
    paced_s, interval_s = now_s, 0.0
    if state.pacer is not None:
        paced_s = state.pacer.next_s(now_s)
        interval_s = state.pacer.interval_s * entry.slots
    busy = len(state.active_attempts)
    if not free and not busy:
        # Only its limit keeps the target from serving a request now.
        slot = Slot(*common, paced_s, slowdown, slowdown, cost, False, interval_s)
        return (slot,)
    slots = []
    for index in range(free):
        last = several and busy + index + 1 >= entry.slots
        saturation = saturation_factor if last else 1.0
        slots.append(
            Slot(
                *common,
                now_s,
                slowdown * saturation,
                slowdown,
                cost * saturation,
                last,
                interval_s,
            )
        )
    saturation = saturation_factor if several else 1.0
    for active in state.active_attempts.values():
        free_s = max(active.expected_end_s(now_s), paced_s)
        slots.append(
            Slot(
                *common,
                free_s,
                slowdown * saturation,
                slowdown,
                cost * saturation,
                several,
                interval_s,
            )
        )
    return tuple(slots)


def expected_start_s(free_s, now_s):
    """Return when a slot becomes free, with a margin for uncertainty."""
    return now_s if free_s <= now_s else now_s + (free_s - now_s) * WAIT_UNCERTAINTY
