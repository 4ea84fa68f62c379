"""Choose among the targets that this VM holds, and count the requests at each."""

import heapq
import itertools
import math

from sesamespring.decisions.age_queue import AgeQueue
from sesamespring.decisions.coldstart import ColdStart
from sesamespring.decisions.estimates import INITIAL_SERVICE_TIME_S, ServiceTime
from sesamespring.decisions.messages import AttemptResult
from sesamespring.decisions.targets import FAILURES_MAX, OccupiedSlot, TargetState

__all__ = ["TargetPool"]

# Multiples of the average service time: the age at which a request is overdue, the
# longest response that proves a target warm, and the time between trials.
OVERDUE_FACTOR = 2.0
WARM_PROOF_FACTOR = 2.0
TRIAL_INTERVAL_FACTOR = 100.0
STALE_ENTRIES_PER_TARGET_MAX = 4
STALE_ENTRIES_MIN = 64
# Time for which a target may still run a request after its attempt ended early.
CANCEL_SETTLE_S = 0.05
CUT_OFF_SETTLE_S = 1.0


class TargetPool:
    """The held targets, ordered by the expected cost of a request.

    Targets with a free slot are in one of two heaps, warm and cold. An entry is stale
    and skipped if its version differs from the target's, so that a choice does not
    have to inspect all targets.

    Args:
        timers: The Timers.
    """

    def __init__(self, timers):
        self._timers = timers
        self._by_age = AgeQueue()
        self._states = {}
        self._warm = []
        self._cold = []
        self._sequence = itertools.count()
        self._overall = ServiceTime()
        self._ejected = set()
        self._slots = 0
        self._suspect_since_s = -math.inf

    @property
    def average_s(self):
        """Average service time over all warm targets, in seconds."""
        average_s = self._overall.average_s
        return INITIAL_SERVICE_TIME_S if average_s is None else average_s

    @property
    def slots(self):
        """Total number of slots of the held targets."""
        return self._slots

    @property
    def next_overdue_s(self):
        """Time at which the next request may become overdue, or None."""
        return self._by_age.due_s(OVERDUE_FACTOR * self.average_s)

    def is_busy(self, name):
        """Return whether requests may be in progress at a target."""
        state = self._states.get(name)
        return state is not None and state.in_progress > 0

    def is_warm(self, name):
        """Return whether a held target is known to be warm."""
        state = self._states.get(name)
        return state is not None and state.held and not state.cold_start.cold

    def set_held(self, targets, now_s):
        """Replace the set of held targets.

        Args:
            targets: All HeldTargets.
            now_s: The current time in seconds.
        """
        held = {target.name: target for target in targets}
        for name, state in tuple(self._states.items()):
            if name not in held:
                state.held = False
                self._remove_if_unused(state)
        for name, target in held.items():
            self._add_or_update(self._states.get(name), target, now_s)
        self._slots = sum(target.slots for target in targets)

    def best(self, now_s):
        """Return the TargetState with a free slot and the lowest cost, or None."""
        warm = self._peek(self._warm, now_s)
        cold = self._peek(self._cold, now_s)
        if warm is None or cold is None:
            return warm or cold
        return warm if self._warm[0][0] <= self._cold[0][0] else cold

    def best_warm(self, now_s):
        """Return the warm TargetState with a free slot and the lowest cost, or None."""
        return self._peek(self._warm, now_s)

    def best_to_lend(self, now_s, until_s):
        """Return the TargetState to lend a slot of, or None.

        A loan counts as a request in progress, so that loans do not exceed the cold
        slots of a cold target. Slots of cold targets are lent only if no warm target
        has a free slot.

        Args:
            now_s: The current time in seconds.
            until_s: Time until which the loan may be used.
        """
        state = self._peek(self._warm, now_s) or self._peek(self._cold, now_s)
        if state is None or state.target.valid_until_s <= until_s:
            return None
        return state

    def start(self, state, now_s):
        """Occupy a slot for a request that is sent or for a loan.

        Returns:
            The OccupiedSlot, to be freed by ``finish``.
        """
        state.in_progress += 1
        state.on_trial = state.on_trial or state.trial_due
        state.trial_due = False
        slot = OccupiedSlot(state, now_s)
        self._by_age.add(slot)
        self._requeue(state, now_s)
        return slot

    def update_overdue(self, now_s):
        """Raise the service time estimates of targets with overdue requests."""
        for slot in self._by_age.pop_older(now_s, OVERDUE_FACTOR * self.average_s):
            self._handle_overdue(slot, now_s)

    def finish(self, slot, result, taken_s, now_s, settled_s):
        """Free a slot and record the result of its request.

        The slot stays counted for a while if the target may still run the request.

        Args:
            slot: The OccupiedSlot.
            result: AttemptResult of the request, or None if nothing was sent.
            taken_s: Seconds from sending to the end of the response.
            now_s: The current time in seconds.
            settled_s: Latest time at which a request that was cut off has ended.
        """
        slot.done = True
        state = slot.state
        self._record_result(state, result, taken_s, now_s)
        free_s = min(settled_s, now_s + _settle_s(result))
        if free_s > now_s:
            self._timers.at(free_s, lambda when_s: self._release(state, when_s))
            self._requeue(state, now_s)
        else:
            self._release(state, now_s)

    def _add_or_update(self, state, target, now_s):
        if state is None or not state.held:
            earlier = state
            state = TargetState(target, ColdStart(target.cold, now_s))
            if earlier is None:
                self._states[target.name] = state
            else:
                earlier.cold_start = state.cold_start
                state = earlier
        state.target = target
        state.held = True
        if target.quiet_until_s > now_s:
            self._requeue_at(state, target.quiet_until_s)
        if state.cold_start.cold:
            self._schedule_trial(state, now_s)
        self._requeue(state, now_s)

    def _remove_if_unused(self, state):
        name = state.target.name
        if not state.held and not state.in_progress:
            self._states.pop(name, None)
            self._ejected.discard(name)

    def _release(self, state, now_s):
        state.in_progress -= 1
        self._requeue(state, now_s)
        self._remove_if_unused(state)

    def _requeue(self, state, now_s):
        """Update a target's place in the order of choice."""
        state.version += 1
        if not state.has_room(now_s, self._suspect_since_s):
            return
        heap = self._cold if state.cold_start.cold else self._warm
        entry = (
            state.cost_s(self.average_s),
            next(self._sequence),
            state.version,
            state,
        )
        heapq.heappush(heap, entry)
        stale_max = STALE_ENTRIES_PER_TARGET_MAX * len(self._states)
        if len(heap) > STALE_ENTRIES_MIN + stale_max:
            heap[:] = [entry for entry in heap if entry[2] == entry[3].version]
            heapq.heapify(heap)

    def _requeue_at(self, state, when_s):
        self._timers.at(when_s, lambda now_s: self._requeue(state, now_s))

    def _peek(self, heap, now_s):
        while heap:
            _, _, version, state = heap[0]
            if version != state.version or not state.has_room(
                now_s, self._suspect_since_s
            ):
                heapq.heappop(heap)
            elif state.cold_start.check_silence(now_s):
                self._requeue(state, now_s)
            else:
                return state
        return None

    def _handle_overdue(self, slot, now_s):
        if slot.done:
            return
        state = slot.state
        elapsed_s = now_s - slot.sent_s
        state.service_time.raise_to(elapsed_s)
        again_s = slot.sent_s + OVERDUE_FACTOR * elapsed_s
        self._timers.at(again_s, lambda when_s: self._handle_overdue(slot, when_s))
        self._requeue(state, now_s)
        self._schedule_trial(state, now_s)

    def _schedule_trial(self, state, now_s):
        """Schedule one trial request to a target that seems slow or is cold."""

        if state.trial_scheduled:
            return

        def try_again(when_s):
            state.trial_scheduled = False
            state.service_time.decay_towards(self.average_s)
            state.trial_due = state.in_progress == 0
            self._requeue(state, when_s)

        state.trial_scheduled = True
        self._timers.at(now_s + TRIAL_INTERVAL_FACTOR * self.average_s, try_again)

    def _record_result(self, state, result, taken_s, now_s):
        if result is AttemptResult.ANSWERED:
            self._record_response(state, taken_s, now_s)
        elif result is AttemptResult.FAILED:
            self._record_failure(state, now_s)
        elif result not in (AttemptResult.CANCELLED, None):
            self._back_off(state, now_s)

    def _record_response(self, state, taken_s, now_s):
        state.recover()
        self._ejected.discard(state.target.name)
        if state.on_trial:
            state.on_trial = False
            state.service_time.recent_s = taken_s
        reference_s = state.service_time.average_s or self._overall.average_s
        was_cold = state.cold_start.cold
        state.cold_start.record_response(taken_s, reference_s, now_s)
        if reference_s is None or taken_s <= WARM_PROOF_FACTOR * reference_s:
            state.proven_warm_s = max(state.proven_warm_s, now_s - taken_s)
        if state.cold_start.cold and not was_cold:
            self._suspect_since_s = now_s
        if state.cold_start.cold:
            state.service_time.observe_recent(taken_s)
            self._schedule_trial(state, now_s)
            return
        state.service_time.observe(taken_s)
        self._overall.observe(taken_s)
        if state.service_time.recent_s > OVERDUE_FACTOR * self.average_s:
            self._schedule_trial(state, now_s)

    def _record_failure(self, state, now_s):
        """Eject a target that keeps failing, unless half of all targets are ejected."""
        state.failures += 1
        others = len(self._ejected - {state.target.name})
        if state.failures >= FAILURES_MAX and others + 1 <= len(self._states) // 2:
            self._ejected.add(state.target.name)
            self._back_off(state, now_s)

    def _back_off(self, state, now_s):
        if not state.cold_start.cold:
            self._suspect_since_s = now_s
        state.back_off(now_s)
        self._requeue_at(state, state.backoff_until_s)
        self._schedule_trial(state, now_s)


def _settle_s(result):
    """Return the seconds for which the target may still run the request."""
    if result is AttemptResult.CANCELLED:
        return CANCEL_SETTLE_S
    if result is AttemptResult.CUT_OFF:
        return CUT_OFF_SETTLE_S
    return -math.inf
