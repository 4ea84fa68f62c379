"""State that a scheduler keeps of one target: speed, failures and active attempts."""

import math

import attrs

from sesamespring.routing.cold_start_limiter import ColdStartLimiter
from sesamespring.routing.records import TargetEntry
from sesamespring.routing.request_limits import NO_LIMIT, RequestPacer

__all__ = ["ActiveAttempt", "TargetState"]

# The speed of a target changes many times a second, so load reports soon lose value.
REPORT_LIFETIME_S = 0.25
CORRECTION_WEIGHT = 0.25
CORRECTION_DECAY_S = 3.0
CORRECTION_MAX = 20.0
COLD_SLOWDOWN = 2.0
FAILURE_WEIGHT = 0.25
FAILURE_DECAY_S = 4.0
FAILURE_PENALTY = 6.0
# A rejection costs a round trip and an extra attempt, a failure often the request.
REJECTION_SEVERITY = 0.25
BACKOFF_AFTER_FAILURES = 3
BACKOFF_MIN_S = 0.25
BACKOFF_MAX_S = 2.0
OVERDUE_EXTENSION = 0.3
COSTS_CACHE_S = 0.02


@attrs.define(eq=False, slots=True)
class ActiveAttempt:
    """An attempt in progress at a target.

    Attributes:
        sent_s: Time at which the request was sent.
        expected_s: Expected duration when it was sent, in seconds.
        unsaturated_slowdown: Slowdown that was expected then, without the effect of
            saturation.
        slowdown_at_dispatch: The part of that slowdown that load reports and cold start
            explained.
        saturates: Whether it took the last of several slots.
        responding: Whether its response has begun, so that the rest of its time is its
            caller's.
    """

    sent_s: float
    expected_s: float
    unsaturated_slowdown: float
    slowdown_at_dispatch: float
    saturates: bool
    responding: bool = False

    def expected_end_s(self, now_s):
        """Return the expected time of its end.

        An overdue attempt is expected to take a fraction of its present duration more.
        """
        end_s = self.sent_s + self.expected_s
        if end_s > now_s:
            return end_s
        return now_s + OVERDUE_EXTENSION * (now_s - self.sent_s)


@attrs.define(eq=False, slots=True)
class TargetState:
    """State of one lifetime of a target.

    Attributes:
        entry: Its TargetEntry.
        in_service: Whether its registration and its data centre permit requests to it.
        active_attempts: Dict of ActiveAttempt by number of the attempt.
        cold_until_s: Time at which its cold start ends.
        slowdown: Slowdown in its last load report.
        reported_s: Time of that report.
        heard_s: Time of the last response to any VM that this one knows of.
        other_requests: Requests of other VMs at the target by that report.
        correction: Moving average of the ratio of the measured duration of attempts to
            the duration that the load reports explain.
        corrected_s: Time at which ``correction`` was updated.
        failure_rate: Moving average of the fraction of attempts that failed; a rejected
            one counts as ``REJECTION_SEVERITY``.
        failure_rate_updated_s: Time at which ``failure_rate`` was updated.
        consecutive_failures: Number of failures since the last success.
        backoff_until_s: Time until which it gets no requests.
        cold_start_limiter: Its ColdStartLimiter.
        pacer: The RequestPacer of the limit that it names, or None without a limit.
        costs_updated_s: Time at which ``cached_costs`` was computed.
        cached_costs: The pair that ``costs`` returns.
        cached_slots: Tuple of its Slots, see ``placement.open_slots``.
        slots_cached_s: Time at which ``cached_slots`` was computed.
        slots_outdated_s: Time from which ``cached_slots`` is not used any more.
    """

    entry: TargetEntry
    in_service: bool = True
    active_attempts: dict = attrs.field(factory=dict)
    cold_until_s: float = -math.inf
    slowdown: float = 1.0
    reported_s: float = -math.inf
    heard_s: float = -math.inf
    other_requests: int = 0
    correction: float = 1.0
    corrected_s: float = -math.inf
    failure_rate: float = 0.0
    failure_rate_updated_s: float = -math.inf
    consecutive_failures: int = 0
    backoff_until_s: float = -math.inf
    cold_start_limiter: ColdStartLimiter = attrs.field(factory=ColdStartLimiter)
    pacer: RequestPacer | None = None
    costs_updated_s: float = -math.inf
    cached_costs: tuple = (1.0, 1.0)
    cached_slots: tuple = ()
    slots_cached_s: float = -math.inf
    slots_outdated_s: float = -math.inf

    def is_cold(self, now_s):
        """Return whether the target is in cold start."""
        return now_s < self.cold_until_s

    def costs(self, now_s, average_slowdown):
        """Return the expected slowdown, and its product with the failure penalty.

        Every plan needs the costs of all targets. They change slowly unless an event
        occurs at the target, so they are cached for ``COSTS_CACHE_S``.

        Args:
            now_s: Current time.
            average_slowdown: Average slowdown of the service's targets.
        """
        if not 0 <= now_s - self.costs_updated_s < COSTS_CACHE_S:
            slowdown = self.expected_slowdown(now_s, average_slowdown)
            self.cached_costs = (slowdown, slowdown * self.failure_penalty(now_s))
            self.costs_updated_s = now_s
        return self.cached_costs

    def invalidate_cache(self):
        """Discard the cached costs and slots after an event at the target."""
        self.costs_updated_s = -math.inf
        self.slots_outdated_s = -math.inf

    def expected_slowdown(self, now_s, average_slowdown):
        """Return the expected duration as a multiple of the service time.

        It follows from the load reports, the correction and overdue attempts.

        Args:
            now_s: Current time.
            average_slowdown: Average slowdown of the service's targets.
        """
        slowdown = self.reported_slowdown(
            now_s, average_slowdown
        ) * self._current_correction(now_s)
        return max(slowdown, self._overdue_slowdown(now_s))

    def reported_slowdown(self, now_s, average_slowdown):
        """Return the slowdown that load reports and cold start explain.

        An outdated report counts less; ``average_slowdown`` replaces it gradually.
        """
        trust = math.exp(-max(0.0, now_s - self.reported_s) / REPORT_LIFETIME_S)
        slowdown = trust * self.slowdown + (1 - trust) * average_slowdown
        return slowdown * COLD_SLOWDOWN if self.is_cold(now_s) else slowdown

    def failure_penalty(self, now_s):
        """Return the factor for recent failures, used only to choose among targets."""
        age_s = max(0.0, now_s - self.failure_rate_updated_s)
        return 1 + FAILURE_PENALTY * self.failure_rate * math.exp(
            -age_s / FAILURE_DECAY_S
        )

    def free_slots(self, now_s, shared):
        """Return the number of free slots, which is negative if it is overcommitted.

        A target that is out of service, in backoff or at its limit has none.

        Args:
            now_s: Current time.
            shared: Whether other VMs send to the target without this VM's decision, so
                that their requests in the last load report count.
        """
        if not self.in_service or now_s < self.backoff_until_s:
            return 0
        taken = len(self.active_attempts)
        if shared and now_s - self.reported_s < REPORT_LIFETIME_S:
            taken += self.other_requests
        free = self.entry.slots - taken
        return free if self.pacer is None else min(free, self.pacer.available(now_s))

    def set_limit(self, per_s, now_s):
        """Pace the requests to the target.

        Args:
            per_s: Requests per second that this VM may send, or NO_LIMIT.
            now_s: Current time.
        """
        if (per_s == NO_LIMIT) != (self.pacer is None):
            self.invalidate_cache()
        if per_s == NO_LIMIT:
            self.pacer = None
            return
        if self.pacer is None:
            self.pacer = RequestPacer(now_s)
        self.pacer.set_rate(per_s, now_s)

    def start_attempt(self, number, attempt):
        """Let an ActiveAttempt with a number occupy a slot."""
        self.invalidate_cache()
        self.active_attempts[number] = attempt

    def end_attempt(self, number):
        """Free the slot of the attempt with a number, and return the ActiveAttempt."""
        self.invalidate_cache()
        return self.active_attempts.pop(number)

    def record_load(self, load, now_s):
        """Process a LoadReport of the target."""
        self.invalidate_cache()
        self.slowdown = load.slowdown
        self.reported_s = now_s
        self.other_requests = max(
            0, load.running + load.waiting - len(self.active_attempts)
        )

    def record_answer(self, active, taken_s, unloaded_s, now_s):
        """Process the end of a successful attempt.

        Args:
            active: The ActiveAttempt.
            taken_s: Seconds from sending the request to the response.
            unloaded_s: Expected duration at a target with a slowdown of 1, in seconds.
            now_s: Current time.
        """
        self.invalidate_cache()
        expected_s = unloaded_s * active.slowdown_at_dispatch
        ratio = min(CORRECTION_MAX, max(0.1, taken_s / max(expected_s, 0.0001)))
        correction = self._current_correction(now_s)
        self.correction = correction + CORRECTION_WEIGHT * (ratio - correction)
        self.corrected_s = now_s
        self.consecutive_failures = 0
        self._update_failure_rate(0.0, now_s)

    def record_failure(self, now_s):
        """Process a failed attempt; several in a row start a growing backoff."""
        self._update_failure_rate(1.0, now_s)
        self.consecutive_failures += 1
        if self.consecutive_failures >= BACKOFF_AFTER_FAILURES:
            exponent = self.consecutive_failures - BACKOFF_AFTER_FAILURES
            self.back_off(now_s, min(BACKOFF_MAX_S, BACKOFF_MIN_S * 2**exponent))

    def record_rejection(self, now_s):
        """Process a rejected attempt, which starts no growing backoff.

        A target that sheds a part of its load still serves the rest, and the first
        attempt of a request costs nothing that a refusal would save.
        """
        self._update_failure_rate(REJECTION_SEVERITY, now_s)

    def back_off(self, now_s, seconds):
        """Send no requests to the target for a number of seconds."""
        self.backoff_until_s = max(self.backoff_until_s, now_s + seconds)

    def _update_failure_rate(self, severity, now_s):
        self.invalidate_cache()
        self.failure_rate += FAILURE_WEIGHT * (severity - self.failure_rate)
        self.failure_rate_updated_s = now_s

    def _current_correction(self, now_s):
        trust = math.exp(-max(0.0, now_s - self.corrected_s) / CORRECTION_DECAY_S)
        return 1 + (self.correction - 1) * trust

    def _overdue_slowdown(self, now_s):
        """Return the slowdown that the most overdue attempt implies, or 0."""
        slowdown = 0.0
        for active in self.active_attempts.values():
            if active.responding:
                continue
            elapsed_s = now_s - active.sent_s
            if elapsed_s > active.expected_s > 0:
                slowdown = max(
                    slowdown,
                    active.unsaturated_slowdown * elapsed_s / active.expected_s,
                )
        return slowdown
