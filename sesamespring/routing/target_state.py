"""Keep what a VM knows of one target: its speed, its failures and the work there."""

import math

import attrs

from sesamespring.routing.cold_start_limiter import ColdStartLimiter
from sesamespring.routing.records import TargetEntry

__all__ = ["TargetState", "ActiveAttempt"]

# A target's speed shifts many times a second, so a report soon says little.
REPORT_LIFETIME_S = 0.25
PACE_WEIGHT = 0.25
PACE_LIFETIME_S = 3.0
PACE_MAX = 20.0
COLD_FACTOR = 2.0
FAILURE_WEIGHT = 0.25
FAILURE_LIFETIME_S = 4.0
FAILURE_COST = 6.0
BACKOFF_AFTER_FAILURES = 3
BACKOFF_MIN_S = 0.25
BACKOFF_MAX_S = 2.0
OVERDUE_GROWTH = 0.3
COSTS_LIFETIME_S = 0.02


@attrs.define(eq=False, slots=True)
class ActiveAttempt:
    """A request in progress at a target.

    Attributes:
        sent_s: Time at which it was sent.
        expected_s: How long it was expected to take, in seconds.
        factor: How many times longer than usual it was expected to take, as far as
            the target's own state goes.
        reported: The part of that factor that the target reported.
        full: Whether it took the last of several slots.
    """

    sent_s: float
    expected_s: float
    factor: float
    reported: float
    full: bool

    def ends_s(self, now_s):
        """Return when it is expected to end; overdue work goes on for a while."""
        end_s = self.sent_s + self.expected_s
        if end_s > now_s:
            return end_s
        return now_s + OVERDUE_GROWTH * (now_s - self.sent_s)


@attrs.define(eq=False, slots=True)
class TargetState:
    """One lifetime of a target.

    Attributes:
        entry: Its TargetEntry.
        in_service: Whether its registration and data centre let it get requests.
        active_attempts: Dict of ActiveAttempt by attempt.
        cold_until_s: Time until which it is in cold start.
        slowdown: What its last report said of its speed.
        reported_s: Time of that report.
        elsewhere: Requests of other VMs that the last report showed.
        pace: How much longer its answers take than its reports explain.
        paced_s: Time of the last answer.
        failing: Recent share of failures.
        failed_s: Time of the last failure or answer that changed ``failing``.
        failures: Failures since the last good answer.
        backoff_until_s: Time until which it gets nothing after failures.
        cold_start_limiter: Its ColdStartLimiter.
        costs_s: Time at which the costs below were worked out.
        cached_costs: The pair that ``costs`` returns.
    """

    entry: TargetEntry
    in_service: bool = True
    active_attempts: dict = attrs.field(factory=dict)
    cold_until_s: float = -math.inf
    slowdown: float = 1.0
    reported_s: float = -math.inf
    elsewhere: int = 0
    pace: float = 1.0
    paced_s: float = -math.inf
    failing: float = 0.0
    failed_s: float = -math.inf
    failures: int = 0
    backoff_until_s: float = -math.inf
    cold_start_limiter: ColdStartLimiter = attrs.field(factory=ColdStartLimiter)
    costs_s: float = -math.inf
    cached_costs: tuple = (1.0, 1.0)

    def is_cold(self, now_s):
        """Whether it is in cold start."""
        return now_s < self.cold_until_s

    def costs(self, now_s, average_slowdown):
        """Return the pair of ``factor`` and the same with what failures cost.

        They change slowly without an event at the target, so they are kept for a
        moment: a plan asks for those of all targets.

        Args:
            now_s: The time now.
            average_slowdown: Average slowdown over the service's targets.
        """
        if not 0 <= now_s - self.costs_s < COSTS_LIFETIME_S:
            factor = self.factor(now_s, average_slowdown)
            self.cached_costs = (factor, factor * self.reliability_cost(now_s))
            self.costs_s = now_s
        return self.cached_costs

    def forget_costs(self):
        """Let the costs be worked out anew after an event at the target."""
        self.costs_s = -math.inf

    def factor(self, now_s, average_slowdown):
        """Return how many times longer than usual a request takes there now.

        Args:
            now_s: The time now.
            average_slowdown: Average slowdown over the service's targets.
        """
        factor = self.reported_factor(now_s, average_slowdown) * self._pace_now(now_s)
        return max(factor, self._overdue(now_s))

    def reported_factor(self, now_s, average_slowdown):
        """Return the part of ``factor`` that the target's reports explain."""
        trust = math.exp(-max(0.0, now_s - self.reported_s) / REPORT_LIFETIME_S)
        factor = trust * self.slowdown + (1 - trust) * average_slowdown
        return factor * COLD_FACTOR if self.is_cold(now_s) else factor

    def reliability_cost(self, now_s):
        """Return what its failures multiply, for choosing only."""
        age_s = max(0.0, now_s - self.failed_s)
        return 1 + FAILURE_COST * self.failing * math.exp(-age_s / FAILURE_LIFETIME_S)

    def free_slots(self, now_s, foreign):
        """Return how many requests may be sent there at once now.

        Args:
            now_s: The time now.
            foreign: Whether requests of other VMs count, as they send on their own.
        """
        if not self.in_service or now_s < self.backoff_until_s:
            return 0
        taken = len(self.active_attempts)
        if foreign and now_s - self.reported_s < REPORT_LIFETIME_S:
            taken += self.elsewhere
        return self.entry.slots - taken

    def record_load(self, load, now_s):
        """Take in a LoadReport."""
        self.forget_costs()
        self.slowdown = load.slowdown
        self.reported_s = now_s
        self.elsewhere = max(0, load.running + load.waiting - len(self.active_attempts))

    def answered(self, active, taken_s, calm_s, now_s):
        """Take in a good answer.

        Args:
            active: Its ActiveAttempt.
            taken_s: Seconds from sending to the answer.
            calm_s: How long the same takes at a calm target.
            now_s: The time now.
        """
        self.forget_costs()
        expected_s = calm_s * active.reported
        ratio = min(PACE_MAX, max(0.1, taken_s / max(expected_s, 0.0001)))
        pace = self._pace_now(now_s)
        self.pace = pace + PACE_WEIGHT * (ratio - pace)
        self.paced_s = now_s
        self.failures = 0
        self.failing = (1 - FAILURE_WEIGHT) * self.failing
        self.failed_s = now_s

    def failed(self, now_s):
        """Take in a failure."""
        self.forget_costs()
        self.failures += 1
        self.failing += FAILURE_WEIGHT * (1 - self.failing)
        self.failed_s = now_s
        if self.failures >= BACKOFF_AFTER_FAILURES:
            over = self.failures - BACKOFF_AFTER_FAILURES
            self.back_off(now_s, min(BACKOFF_MAX_S, BACKOFF_MIN_S * 2**over))

    def back_off(self, now_s, seconds):
        """Give it nothing for a while."""
        self.backoff_until_s = max(self.backoff_until_s, now_s + seconds)

    def _pace_now(self, now_s):
        trust = math.exp(-max(0.0, now_s - self.paced_s) / PACE_LIFETIME_S)
        return 1 + (self.pace - 1) * trust

    def _overdue(self, now_s):
        """Return what its most overdue work shows of its speed."""
        factor = 0.0
        for active in self.active_attempts.values():
            elapsed_s = now_s - active.sent_s
            if elapsed_s > active.expected_s > 0:
                factor = max(factor, active.factor * elapsed_s / active.expected_s)
        return factor
