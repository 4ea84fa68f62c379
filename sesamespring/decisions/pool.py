"""Choose among the targets that this VM holds, and count the work at each."""

import heapq
import itertools
import math

from sesamespring.decisions.age_queue import AgeQueue
from sesamespring.decisions.coldstart import ColdStart
from sesamespring.decisions.estimates import INITIAL_SERVICE_TIME_S, ServiceTime
from sesamespring.decisions.messages import AttemptResult
from sesamespring.decisions.targets import FAILURES_MAX, OccupiedSlot, TargetState

__all__ = ["TargetPool"]

OVERDUE_FACTOR = 2.0
PROOF_FACTOR = 2.0
TRIAL_INTERVAL_FACTOR = 100.0
STALE_ENTRIES_PER_TARGET_MAX = 4
STALE_ENTRIES_MIN = 64
CANCEL_SETTLE_S = 0.05
CUT_OFF_SETTLE_S = 1.0


class TargetPool:
    """The held targets, in order of the expected cost of a request.

    Free targets stand in two heaps, warm and cold; an entry whose version is no
    longer the target's is skipped, so that no choice looks at all targets.

    Args:
        timers: The Timers.
    """

    def __init__(self, timers):
        self._timers = timers
        self._ages = AgeQueue()
        self._states = {}
        self._warm = []
        self._cold = []
        self._numbers = itertools.count()
        self._all = ServiceTime()
        self._ejected = set()
        self._slots = 0
        self._suspected_s = -math.inf

    @property
    def average_s(self):
        """Usual service time over all warm targets, in seconds."""
        average_s = self._all.average_s
        return INITIAL_SERVICE_TIME_S if average_s is None else average_s

    @property
    def slots(self):
        """How many slots the held targets have in all."""
        return self._slots

    @property
    def next_overdue_s(self):
        """Time at which work may be overdue next, or None."""
        return self._ages.due_s(OVERDUE_FACTOR * self.average_s)

    def is_busy(self, name):
        """Return whether work may be in progress at a target."""
        state = self._states.get(name)
        return state is not None and state.in_progress > 0

    def is_warm(self, name):
        """Return whether a held target is known to be warm."""
        state = self._states.get(name)
        return state is not None and state.held and not state.cold_start.cold

    def set_held(self, targets, now_s):
        """Take the whole set of HeldTargets."""
        held = {target.name: target for target in targets}
        for name, state in tuple(self._states.items()):
            if name not in held:
                state.held = False
                self._forget_if_unused(state)
        for name, target in held.items():
            self._hold(self._states.get(name), target, now_s)
        self._slots = sum(target.slots for target in targets)

    def best(self, now_s):
        """Return the state with room and the least cost, or None."""
        warm = self._first(self._warm, now_s)
        cold = self._first(self._cold, now_s)
        if warm is None or cold is None:
            return warm or cold
        return warm if self._warm[0][0] <= self._cold[0][0] else cold

    def best_warm(self, now_s):
        """Return the warm state of least cost, or None."""
        return self._first(self._warm, now_s)

    def best_to_lend(self, now_s, until_s):
        """Return the state to lend a slot of, or None.

        A loan counts as work in progress, so that lent slots of a cold target stay
        within what it bears; they are lent only where no warm target has room.

        Args:
            now_s: The time now.
            until_s: Time at which the loan may still be used.
        """
        state = self._first(self._warm, now_s) or self._first(self._cold, now_s)
        if state is None or state.target.valid_until_s <= until_s:
            return None
        return state

    def start(self, state, now_s):
        """Count a request that is sent, or a slot that is lent, to a target now.

        Returns:
            The OccupiedSlot, to be ended by finish.
        """
        state.in_progress += 1
        state.on_trial = state.on_trial or state.trial_due
        state.trial_due = False
        slot = OccupiedSlot(state, now_s)
        self._ages.add(slot)
        self._place(state, now_s)
        return slot

    def notice_overdue(self, now_s):
        """Raise the estimates of targets whose work takes long."""
        for slot in self._ages.pop_older(now_s, OVERDUE_FACTOR * self.average_s):
            self._overdue(slot, now_s)

    def finish(self, slot, result, taken_s, now_s, settled_s):
        """Count a request that ended.

        Args:
            slot: The OccupiedSlot.
            result: Its AttemptResult, or None where nothing was sent.
            taken_s: Seconds from sending to the end of the answer.
            now_s: The time now.
            settled_s: Time at which cut off work has ended at the latest.
        """
        slot.done = True
        state = slot.state
        self._learn(state, result, taken_s, now_s)
        free_s = min(settled_s, now_s + _settle_s(result))
        if free_s > now_s:
            self._timers.at(free_s, lambda when_s: self._release(state, when_s))
            self._place(state, now_s)
        else:
            self._release(state, now_s)

    def _hold(self, state, target, now_s):
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
            self._place_at(state, target.quiet_until_s)
        if state.cold_start.cold:
            self._plan_trial(state, now_s)
        self._place(state, now_s)

    def _forget_if_unused(self, state):
        name = state.target.name
        if not state.held and not state.in_progress:
            self._states.pop(name, None)
            self._ejected.discard(name)

    def _release(self, state, now_s):
        state.in_progress -= 1
        self._place(state, now_s)
        self._forget_if_unused(state)

    def _place(self, state, now_s):
        """Put a target where it belongs in the order of choice."""
        state.version += 1
        if not state.has_room(now_s, self._suspected_s):
            return
        heap = self._cold if state.cold_start.cold else self._warm
        entry = (
            state.cost_s(self.average_s),
            next(self._numbers),
            state.version,
            state,
        )
        heapq.heappush(heap, entry)
        stale_max = STALE_ENTRIES_PER_TARGET_MAX * len(self._states)
        if len(heap) > STALE_ENTRIES_MIN + stale_max:
            heap[:] = [entry for entry in heap if entry[2] == entry[3].version]
            heapq.heapify(heap)

    def _place_at(self, state, when_s):
        self._timers.at(when_s, lambda now_s: self._place(state, now_s))

    def _first(self, heap, now_s):
        while heap:
            _, _, version, state = heap[0]
            if version != state.version or not state.has_room(now_s, self._suspected_s):
                heapq.heappop(heap)
            elif state.cold_start.notice_silence(now_s):
                self._place(state, now_s)
            else:
                return state
        return None

    def _overdue(self, slot, now_s):
        if slot.done:
            return
        state = slot.state
        elapsed_s = now_s - slot.sent_s
        state.service_time.raise_to(elapsed_s)
        again_s = slot.sent_s + OVERDUE_FACTOR * elapsed_s
        self._timers.at(again_s, lambda when_s: self._overdue(slot, when_s))
        self._place(state, now_s)
        self._plan_trial(state, now_s)

    def _plan_trial(self, state, now_s):
        """Let a slow or cold target be tried again some time later."""

        if state.trial_planned:
            return

        def try_again(when_s):
            state.trial_planned = False
            state.service_time.forget_slowness(self.average_s)
            state.trial_due = state.in_progress == 0
            self._place(state, when_s)

        state.trial_planned = True
        self._timers.at(now_s + TRIAL_INTERVAL_FACTOR * self.average_s, try_again)

    def _learn(self, state, result, taken_s, now_s):
        if result is AttemptResult.ANSWERED:
            self._learn_answer(state, taken_s, now_s)
        elif result is AttemptResult.FAILED:
            self._learn_failure(state, now_s)
        elif result not in (AttemptResult.CANCELLED, None):
            self._back_off(state, now_s)

    def _learn_answer(self, state, taken_s, now_s):
        state.recover()
        self._ejected.discard(state.target.name)
        if state.on_trial:
            state.on_trial = False
            state.service_time.recent_s = taken_s
        reference_s = state.service_time.average_s or self._all.average_s
        was_cold = state.cold_start.cold
        state.cold_start.answered(taken_s, reference_s, now_s)
        if reference_s is None or taken_s <= PROOF_FACTOR * reference_s:
            state.proved_s = max(state.proved_s, now_s - taken_s)
        if state.cold_start.cold and not was_cold:
            self._suspected_s = now_s
        if state.cold_start.cold:
            state.service_time.observe_recent(taken_s)
            self._plan_trial(state, now_s)
            return
        state.service_time.observe(taken_s)
        self._all.observe(taken_s)
        if state.service_time.recent_s > OVERDUE_FACTOR * self.average_s:
            self._plan_trial(state, now_s)

    def _learn_failure(self, state, now_s):
        """Avoid a target that fails, unless half of all targets rest already."""
        state.failures += 1
        others = len(self._ejected - {state.target.name})
        if state.failures >= FAILURES_MAX and others + 1 <= len(self._states) // 2:
            self._ejected.add(state.target.name)
            self._back_off(state, now_s)

    def _back_off(self, state, now_s):
        if not state.cold_start.cold:
            self._suspected_s = now_s
        state.back_off(now_s)
        self._place_at(state, state.backoff_until_s)
        self._plan_trial(state, now_s)


def _settle_s(result):
    """Return the seconds for which work may go on at the target."""
    if result is AttemptResult.CANCELLED:
        return CANCEL_SETTLE_S
    if result is AttemptResult.CUT_OFF:
        return CUT_OFF_SETTLE_S
    return -math.inf
