"""Schedule one service's requests onto its targets' slots, at the VM that decides."""

import itertools
import math

from sesamespring.routing.messages import (
    Dispatch,
    Outcome,
    Refusal,
    RefusalReason,
)
from sesamespring.routing.placement import open_slots
from sesamespring.routing.queueing import make_plan
from sesamespring.routing.service_times import ServiceTimes
from sesamespring.routing.target_state import ActiveAttempt, TargetState

__all__ = ["ServiceScheduler"]

HEDGE_FACTOR = 4.0
HEDGE_LEAST_S = 0.05
# An attempt that takes this much longer than expected may be slow for good.
RESCUE_FACTOR = 1.5
# Part of a second attempt's time that is left to wait for the first one.
RESCUE_MARGIN = 0.5
REJECTED_BACKOFF_S = 0.05
UNREACHABLE_BACKOFF_S = 0.5
SLOWDOWN_WEIGHT = 0.02
RETRY_AFTER_LEAST_S = 0.05
RETRY_AFTER_MOST_S = 2.0
COLD_SHARE = 0.5
# A longer queue is judged as a whole only so often, as that takes time in proportion.
JUDGED_AT_ONCE = 32
JUDGE_INTERVAL_S = 0.02

_FAILURES = frozenset({Outcome.FAILED, Outcome.BROKEN, Outcome.TIMED_OUT})


class ServiceScheduler:
    """The queue, the targets and the attempts of one service.

    Args:
        declaration: The ServiceDeclaration.
        bounds: Object with ``cold_ratio`` and ``cold_slack``.
        budget: The RetryBudget of the service at this VM.
    """

    def __init__(self, declaration, bounds, budget):
        self._declaration = declaration
        self._bounds = bounds
        self._budget = budget
        self._states = {}
        self._departed = {}
        self._waiting = {}
        self._requests = {}
        self._attempts = {}
        self._numbers = itertools.count(1)
        self._times = ServiceTimes()
        self._average_slowdown = 1.0
        self._foreign = False
        self._vms = 1
        self._judged_s = -math.inf

    @property
    def waiting(self):
        """How many requests wait for a slot."""
        return len(self._waiting)

    @property
    def in_progress(self):
        """How many attempts are in progress."""
        return len(self._attempts)

    @property
    def target_states(self):
        """The TargetStates by key."""
        return self._states

    @property
    def needs_replanning(self):
        """Whether time alone may change what is decided."""
        return bool(self._waiting) or bool(self._attempts)

    def set_declaration(self, declaration):
        """Take a changed declaration."""
        self._declaration = declaration

    def set_vms(self, vms, foreign):
        """Take how many VMs there are, and whether others send on their own."""
        self._vms = vms
        self._foreign = foreign

    def set_targets(self, entries, closed_data_centres, now_s):
        """Take the service's targets.

        Args:
            entries: The TargetEntries.
            closed_data_centres: Names of data centres that get nothing.
            now_s: The time now.
        """
        kept = {}
        for entry in entries:
            state = self._states.get(entry.key) or self._departed.pop(entry.key, None)
            if state is None:
                state = TargetState(entry)
                state.cold_until_s = now_s + entry.cold_left_s
            elif entry.cold_left_s > 0:
                left_s = now_s + entry.cold_left_s
                state.cold_until_s = max(state.cold_until_s, left_s)
            state.entry = entry
            closed = entry.data_centre in closed_data_centres
            state.in_service = not entry.leaving and not closed
            state.forget_costs()
            kept[entry.key] = state
        for key, state in self._states.items():
            if key not in kept:
                state.in_service = False
                # Its work goes on, and counts should the target come back.
                if state.active_attempts:
                    self._departed[key] = state
        self._states = kept

    def record_load(self, key, load, cold_left_s, now_s):
        """Take in what a target said of its load.

        Args:
            key: Key of the target.
            load: The LoadReport, or None.
            cold_left_s: How much longer it is cold, or None.
            now_s: The time now.
        """
        state = self._states.get(key)
        if state is None:
            return
        if load is not None:
            state.record_load(load, now_s)
            difference = load.slowdown - self._average_slowdown
            self._average_slowdown += SLOWDOWN_WEIGHT * difference
        if cold_left_s is not None:
            state.cold_until_s = now_s + cold_left_s
            state.forget_costs()

    def back_off(self, key, seconds, now_s):
        """Give a target nothing for a while."""
        state = self._states.get(key)
        if state is not None:
            state.back_off(now_s, seconds)

    def submit(self, request, now_s):
        """Take in a request and return the commands that follow."""
        request.queued_s = now_s
        if request.number not in self._requests:
            self._requests[request.number] = request
            if not request.counted_elsewhere:
                self._budget.record_request(now_s)
        self._waiting[request.number] = request
        return self._serve_waiting(now_s, True)

    def withdraw(self, request):
        """Remove a request; ``finish_attempt`` still ends its attempts in progress."""
        self._waiting.pop(request.number, None)
        self._requests.pop(request.number, None)

    def finish_attempt(self, ended, now_s):
        """Take in an AttemptEnded and return the commands that follow."""
        found = self._attempts.pop(ended.attempt, None)
        if found is None:
            return []
        request, state = found
        request.attempts.pop(ended.attempt, None)
        active = state.active_attempts.pop(ended.attempt)
        if not state.active_attempts:
            self._departed.pop(state.entry.key, None)
        self._learn(request, state, active, ended, now_s)
        self.record_load(state.entry.key, ended.load, ended.cold_left_s, now_s)
        return self._serve_waiting(now_s, False)

    def advance(self, now_s):
        """Do what time alone lets be done, and return the commands."""
        commands = self._serve_waiting(now_s, True)
        if not self._waiting:
            self._hedge(now_s, commands)
        return commands

    def _serve_waiting(self, now_s, judge_all):
        """Serve what can be served now and return the commands.

        Args:
            now_s: The time now.
            judge_all: Whether to look also for requests that cannot be served in time.
        """
        commands = []
        if self._waiting:
            self._serve(now_s, commands, judge_all and self._is_judge_due(now_s))
        return commands

    def may_retry(self, request, now_s):
        """Whether a request whose attempt failed may be sent to another target."""
        if request.attempts_left <= 0 or request.deadline_s <= now_s:
            return False
        return self._budget.allows(now_s, self._vms)

    def _is_judge_due(self, now_s):
        """Whether all that wait are judged now, and not just the first ones."""
        age_s = now_s - self._judged_s
        if len(self._waiting) > JUDGED_AT_ONCE and age_s < JUDGE_INTERVAL_S:
            return False
        self._judged_s = now_s
        return True

    def _serve(self, now_s, commands, judge_all):
        if not judge_all and not self._has_free_slot(now_s):
            return
        slots = self._slots(now_s)
        if not slots and not any(s.in_service for s in self._states.values()):
            self._refuse_all(now_s, commands)
            return
        plan = make_plan(
            self._waiting.values(),
            slots,
            self._cached_service_time_s(),
            now_s,
            self._is_known,
            judge_all,
        )
        for assignment in plan.unreachable:
            self._refuse(assignment, now_s, commands)
        for assignment in plan.assignments:
            number = assignment.request.number
            if number in self._waiting and assignment.starts_now:
                self._send(assignment, now_s, commands)

    def _send(self, assignment, now_s, commands):
        request, slot = assignment.request, assignment.slot
        if request.extra and not self._budget.spend(now_s, self._vms):
            del self._waiting[request.number]
            reason = RefusalReason.NO_ATTEMPT_LEFT
            commands.append(Refusal(request, reason, RETRY_AFTER_LEAST_S))
            return
        del self._waiting[request.number]
        commands.append(self._dispatch(request, slot, now_s, False))

    def _dispatch(self, request, slot, now_s, hedge):
        state = slot.state
        attempt = next(self._numbers)
        expected_s = self._service_time_s(request) * slot.factor
        reported = state.reported_factor(now_s, self._average_slowdown)
        state.active_attempts[attempt] = ActiveAttempt(
            now_s, expected_s, slot.state_factor, reported, slot.full
        )
        if state.is_cold(now_s):
            state.cold_start_limiter.record(now_s)
        request.attempts[attempt] = state.entry.key
        request.tried.add(state.entry.key)
        request.attempts_left -= 1
        request.extra = True
        self._attempts[attempt] = (request, state)
        return Dispatch(
            request,
            attempt,
            state.entry,
            hedge,
            now_s - request.queued_s,
            expected_s,
            now_s - state.reported_s,
        )

    def _refuse(self, assignment, now_s, commands):
        request = assignment.request
        del self._waiting[request.number]
        service_time_s = self._service_time_s(request)
        wait_s = assignment.end_s - now_s - service_time_s
        retry_after_s = min(RETRY_AFTER_MOST_S, max(RETRY_AFTER_LEAST_S, wait_s))
        reason = RefusalReason.TOO_LATE
        needed_s = assignment.end_s - now_s
        commands.append(
            Refusal(request, reason, retry_after_s, len(self._waiting), needed_s)
        )

    def _refuse_all(self, now_s, commands):
        for request in self._waiting.values():
            reason = RefusalReason.NO_TARGETS
            commands.append(Refusal(request, reason, RETRY_AFTER_MOST_S))
        self._waiting.clear()

    def _hedge(self, now_s, commands):
        """Send overdue idempotent requests to a second target that is free.

        Load that it answers: slots are free, but targets turn slow under the work.
        """
        free = None
        for attempt, (request, state) in tuple(self._attempts.items()):
            active = state.active_attempts[attempt]
            if not self._may_hedge(request):
                continue
            elapsed_s = now_s - active.sent_s
            if elapsed_s < RESCUE_FACTOR * active.expected_s:
                continue
            if free is None:
                free = [slot for slot in self._slots(now_s) if slot.free_s <= now_s]
            slot = self._hedge_slot(request, free, now_s)
            if slot is None:
                continue
            hopeless = elapsed_s > max(HEDGE_LEAST_S, HEDGE_FACTOR * active.expected_s)
            if not hopeless and not self._rescues(request, slot, now_s):
                continue
            if not self._budget.spend(now_s, self._vms):
                return
            commands.append(self._dispatch(request, slot, now_s, True))
            free.remove(slot)

    def _may_hedge(self, request):
        if not request.idempotent or request.attempts_left <= 0:
            return False
        if len(request.attempts) != 1 or request.number not in self._requests:
            return False
        return self._is_known(request)

    def _rescues(self, request, slot, now_s):
        """Whether a second attempt makes the goal, and a later one would not."""
        end_s = slot.end_s(self._service_time_s(request), now_s, request.data_centre)
        if end_s > request.due_s:
            return False
        return end_s + RESCUE_MARGIN * (end_s - now_s) > request.due_s

    def _hedge_slot(self, request, free, now_s):
        untried = [slot for slot in free if slot.key not in request.tried]
        service_time_s = self._service_time_s(request)

        def end_s(slot):
            return slot.end_s(service_time_s, now_s, request.data_centre)

        slot = min(untried, key=end_s, default=None)
        if slot is None or end_s(slot) > request.deadline_s:
            return None
        return slot

    def _slots(self, now_s):
        cold_most = self._declaration.cold_per_s * self._bounds.cold_ratio
        cold_most = COLD_SHARE * (cold_most + self._bounds.cold_slack)
        return open_slots(
            self._states.values(),
            now_s,
            self._average_slowdown,
            self._times.saturation_factor,
            self._foreign,
            cold_most,
        )

    def _has_free_slot(self, now_s):
        states = self._states.values()
        return any(state.free_slots(now_s, self._foreign) > 0 for state in states)

    def _cached_service_time_s(self):
        """Return ``_service_time_s`` with a cache by route, for use in one plan."""
        known = {}

        def service_time_s(request):
            seconds = known.get(request.route)
            if seconds is None:
                seconds = known[request.route] = self._service_time_s(request)
            return seconds

        return service_time_s

    def _is_known(self, request):
        return self._times.is_known(request.route)

    def _service_time_s(self, request):
        return self._times.service_time_s(request.route, request.goal_s)

    def _learn(self, request, state, active, ended, now_s):
        outcome = ended.outcome
        if outcome is Outcome.ANSWERED:
            calm_s = self._service_time_s(request)
            calm_s *= self._times.saturation_factor if active.full else 1.0
            state.answered(active, ended.taken_s, calm_s, now_s)
            self._times.observe(
                request.route,
                request.goal_s,
                ended.taken_s,
                active.reported,
                active.full,
            )
        elif outcome in _FAILURES:
            state.failed(now_s)
        elif outcome is Outcome.REJECTED:
            state.back_off(now_s, REJECTED_BACKOFF_S)
            state.failed(now_s)
        elif outcome is Outcome.NOT_SENT:
            state.failed(now_s)
            state.back_off(now_s, UNREACHABLE_BACKOFF_S)
        elif outcome is Outcome.MISDIRECTED:
            state.in_service = False
