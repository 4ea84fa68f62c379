"""Schedule the requests of one service onto the slots of its targets."""

import itertools
import math

from sesamespring.routing import refusals
from sesamespring.routing.attempt_lessons import learn
from sesamespring.routing.departures import DepartureMonitor
from sesamespring.routing.fair_shares import FairShares
from sesamespring.routing.hedging import hedge_slot, is_hedge_due, is_overdue
from sesamespring.routing.messages import Dispatch, Outcome
from sesamespring.routing.queueing import make_plan
from sesamespring.routing.service_targets import ServiceTargets
from sesamespring.routing.service_times import ServiceTimes
from sesamespring.routing.spare_slots import SpareSlots
from sesamespring.routing.target_state import ActiveAttempt

__all__ = ["ServiceScheduler"]

# A longer queue is planned as a whole only once per interval, as the time that this
# takes is proportional to its length.
FULL_PLAN_QUEUE_MAX = 32
FULL_PLAN_INTERVAL_S = 0.02
# A route that was idle so long may also try a request with less time than its goal.
TRIAL_INTERVAL_S = 1.0

# How an attempt fails after its response has begun.
_BREAKS = frozenset({Outcome.BROKEN})
_RESPONSES = frozenset({Outcome.ANSWERED, Outcome.FAILED, Outcome.REJECTED})


class ServiceScheduler:
    """The queue, the targets and the attempts of one service.

    It performs no I/O: its methods return Dispatch and Refusal commands, which the
    caller executes.

    Args:
        declaration: The ServiceDeclaration.
        bounds: Object with the attributes ``cold_ratio`` and ``cold_slack``, see
            ``platform.settings.Bounds``.
        budget: The RetryBudget of the service at this VM.
        limits: The StatedLimits of the targets.
        take_token: Function of a ScheduledRequest that pays for a hedge from its
            account's quota and returns whether it could, or None without quotas.
    """

    def __init__(self, declaration, bounds, budget, limits=None, take_token=None):
        self._targets = ServiceTargets(declaration, bounds, limits)
        self._budget = budget
        self._take_token = take_token
        self._shares = FairShares()
        self._waiting = {}
        self._requests = {}
        self._attempts = {}
        self._numbers = itertools.count(1)
        self._service_times = ServiceTimes()
        self._last_full_plan_s = -math.inf
        # Time of the latest attempt by route.
        self._sent_s = {}
        self._departures = DepartureMonitor()
        self._spare_slots = SpareSlots()

    @property
    def departures(self):
        """The DepartureMonitor."""
        return self._departures

    @property
    def waiting(self):
        """Number of requests that wait for a slot."""
        return len(self._waiting)

    @property
    def in_progress(self):
        """Number of attempts in progress."""
        return len(self._attempts)

    @property
    def targets(self):
        """The ServiceTargets."""
        return self._targets

    @property
    def shares(self):
        """The FairShares of the client accounts."""
        return self._shares

    @property
    def needs_replanning(self):
        """Whether ``advance`` must be called even if no event occurs."""
        return bool(self._waiting) or bool(self._attempts)

    def submit(self, request, now_s):
        """Queue a request, also again after a failed attempt.

        Args:
            request: The ScheduledRequest.
            now_s: Current time.

        Returns:
            List of Dispatch and Refusal commands.
        """
        request.queued_s = now_s
        if request.number not in self._requests:
            self._requests[request.number] = request
            if not request.counted_elsewhere:
                self._budget.record_request(now_s)
        if request.extra:
            self._budget.record_wanted(request.priority, now_s)
            if not self._allows_extra(request, now_s):
                return [refusals.no_attempt_left(request)]
        self._waiting[request.number] = request
        self._spare_slots.request_arrived(request, now_s)
        return self._serve_waiting(now_s, True)

    def withdraw(self, request):
        """Remove a request.

        Its attempts in progress keep their slots until ``finish_attempt``.
        """
        self._stop_waiting(request)
        self._requests.pop(request.number, None)

    def finish_attempt(self, ended, now_s):
        """Process the end of an attempt, which frees its slot.

        Args:
            ended: The AttemptEnded; one of an unknown attempt is ignored.
            now_s: Current time.

        Returns:
            List of Dispatch and Refusal commands.
        """
        if ended.responding:
            self._record_response(ended, now_s)
            return []
        found = self._attempts.pop(ended.attempt, None)
        if found is None:
            return []
        request, state = found
        request.attempts.pop(ended.attempt, None)
        self._spare_slots.attempt_ended(request, state.entry.data_centre)
        self._count_if_ended(request)
        active = state.end_attempt(ended.attempt)
        self._targets.drop_if_removed(state)
        self._learn(request, state, active, ended, now_s)
        if not active.responding:
            self._record_load(state, ended, now_s)
        return self._serve_waiting(now_s, False)

    def _record_response(self, ended, now_s):
        """Learn from an attempt whose response has begun; its slot remains taken."""
        request, state = self._attempts.get(ended.attempt, (None, None))
        if state is None or state.active_attempts[ended.attempt].responding:
            return
        active = state.active_attempts[ended.attempt]
        self._learn(request, state, active, ended, now_s)
        active.responding = True
        state.invalidate_cache()
        self._record_load(state, ended, now_s)

    def advance(self, now_s):
        """Plan the queue again, send hedges if it is empty, and return the commands."""
        commands = self._serve_waiting(now_s, True)
        if not self._waiting:
            self._hedge(now_s, commands)
        return commands

    def _serve_waiting(self, now_s, plan_all):
        """Dispatch or refuse waiting requests and return the commands.

        Args:
            now_s: Current time.
            plan_all: Whether to look also for requests that would miss their deadline.
        """
        commands = []
        if self._waiting:
            self._serve(now_s, commands, plan_all and self._is_full_plan_due(now_s))
        return commands

    def may_retry(self, request, now_s):
        """Return whether a request may be retried at another target."""
        if not request.may_be_sent(now_s):
            return False
        return self._allows_extra(request, now_s)

    def _allows_extra(self, request, now_s):
        vms = self._targets.sharing_vms(now_s, self._budget.window_s)
        return self._budget.allows(now_s, vms, request.priority)

    def _spend_extra(self, request, now_s):
        vms = self._targets.sharing_vms(now_s, self._budget.window_s)
        return self._budget.spend(now_s, vms, request.priority)

    def _is_full_plan_due(self, now_s):
        """Return whether to plan the whole queue now, and not just its head."""
        age_s = now_s - self._last_full_plan_s
        if len(self._waiting) > FULL_PLAN_QUEUE_MAX and age_s < FULL_PLAN_INTERVAL_S:
            return False
        self._last_full_plan_s = now_s
        return True

    def _serve(self, now_s, commands, plan_all):
        if not plan_all and not self._targets.has_free_slot(now_s):
            return
        slots = self._targets.rollout.choose(
            self._waiting.values(), self._all_open_slots(now_s), now_s
        )
        if not slots and not self._targets.any_in_service:
            self._refuse_all(now_s, commands)
            return
        plan = make_plan(
            self._waiting.values(),
            slots,
            self._cached_service_time_s(),
            now_s,
            self._is_known,
            plan_all,
            self._spare_slots,
            self._shares if self._shares.active else None,
        )
        if plan_all:
            self._shares.short = plan.short
        for assignment in plan.unreachable:
            if self._is_trial(assignment, now_s):
                self._send(assignment, now_s, commands)
            else:
                self._refuse(assignment, now_s, commands)
        for assignment in plan.assignments:
            number = assignment.request.number
            if number not in self._waiting:
                continue
            if assignment.starts_now:
                self._send(assignment, now_s, commands)
            elif assignment.slot is None and self._targets.has_tried_all(
                assignment.request
            ):
                self._refuse_tried(assignment.request, commands)

    def _is_trial(self, assignment, now_s):
        """Whether a request is sent although its estimated end is past its deadline.

        With a free slot and no attempt of the route in progress, nothing else would
        correct the estimate.
        """
        request = assignment.request
        if not assignment.starts_now or not request.may_be_sent(now_s):
            return False
        if any(r.route == request.route for r, _ in self._attempts.values()):
            return False
        idle_s = now_s - self._sent_s.get(request.route, -math.inf)
        left_s = request.deadline_s - now_s
        return left_s >= request.goal_s or idle_s >= TRIAL_INTERVAL_S

    def _send(self, assignment, now_s, commands):
        request, slot = assignment.request, assignment.slot
        if request.extra and not self._spend_extra(request, now_s):
            self._stop_waiting(request)
            commands.append(refusals.no_attempt_left(request))
            return
        del self._waiting[request.number]
        self._departures.record(
            request.data_centre, slot.data_centre, assignment.near_prospect, now_s
        )
        commands.append(self._dispatch(request, slot, now_s, False))

    def _dispatch(self, request, slot, now_s, hedge):
        state = slot.state
        attempt = next(self._numbers)
        expected_s = self._service_time_s(request) * slot.expected_slowdown
        reported = state.reported_slowdown(now_s, self._targets.average_slowdown)
        active = ActiveAttempt(
            now_s, expected_s, slot.unsaturated_slowdown, reported, slot.saturates
        )
        state.start_attempt(attempt, active)
        self._shares.record(request, self._service_time_s(request))
        self._targets.rollout.sent_to(request, state, now_s)
        self._spare_slots.attempt_started(request, state.entry.data_centre)
        if state.is_cold(now_s):
            state.cold_start_limiter.record(now_s)
        if state.pacer is not None:
            state.pacer.record(now_s)
        request.attempts[attempt] = state.entry.key
        request.tried.add(state.entry.key)
        request.attempts_left -= 1
        request.extra = True
        self._attempts[attempt] = (request, state)
        self._sent_s[request.route] = now_s
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
        self._stop_waiting(request)
        service_time_s = self._service_time_s(request)
        waiting = len(self._waiting)
        commands.append(refusals.too_late(assignment, service_time_s, waiting, now_s))

    def _refuse_tried(self, request, commands):
        self._stop_waiting(request)
        commands.append(refusals.no_untried_target(request))

    def _refuse_all(self, now_s, commands):
        for request in tuple(self._waiting.values()):
            self._stop_waiting(request)
            commands.append(refusals.no_targets(request))

    def _stop_waiting(self, request):
        self._waiting.pop(request.number, None)
        self._count_if_ended(request)

    def _count_if_ended(self, request):
        if not request.attempts and request.number not in self._waiting:
            self._spare_slots.request_ended(request)

    def _hedge(self, now_s, commands):
        """Send overdue idempotent requests to a second target with a free slot."""
        free = None
        for attempt, (request, state) in tuple(self._attempts.items()):
            active = state.active_attempts[attempt]
            elapsed_s = now_s - active.sent_s
            if active.responding or not is_overdue(elapsed_s, active.expected_s):
                continue
            if not self._may_hedge(request):
                continue
            if free is None:
                free = [
                    slot for slot in self._open_slots(now_s) if slot.free_s <= now_s
                ]
            slot = hedge_slot(request, free, self._service_time_s(request), now_s)
            if slot is None:
                continue
            needed_s = slot.end_s(self._service_time_s(request), now_s) - now_s
            if not is_hedge_due(elapsed_s, active.expected_s, needed_s, request, now_s):
                continue
            if not self._allows_extra(request, now_s):
                return
            if self._take_token is not None and not self._take_token(request):
                continue
            self._spend_extra(request, now_s)
            commands.append(self._dispatch(request, slot, now_s, True))
            free.remove(slot)

    def _may_hedge(self, request):
        if not request.idempotent or request.attempts_left <= 0:
            return False
        if len(request.attempts) != 1 or request.number not in self._requests:
            return False
        return self._is_known(request)

    def _open_slots(self, now_s):
        return self._targets.rollout.usable(self._all_open_slots(now_s))

    def _all_open_slots(self, now_s):
        return self._targets.open_slots(now_s, self._service_times.saturation_factor)

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
        return self._service_times.is_known(request.route)

    def _service_time_s(self, request):
        return self._service_times.service_time_s(request.route, request.goal_s)

    def _record_load(self, state, ended, now_s):
        self._targets.record_load(state.entry.key, ended.load, ended.cold_left_s, now_s)

    def _learn(self, request, state, active, ended, now_s):
        outcome = ended.outcome
        saturation = self._service_times.saturation_factor if active.saturates else 1.0
        if outcome in _RESPONSES:
            state.heard_s = now_s
        if active.responding and outcome not in _BREAKS:
            return
        self._targets.rollout.ended(request, state, active, ended, saturation, now_s)
        if ended.blameless:
            return
        learn(request, state, active, ended, self._service_times, now_s)
