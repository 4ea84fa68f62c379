"""Judge a version by the responses of its targets, beside those of the others.

Answers the load of a roll-out: a few requests to a new version, all others to the
version in force, at the same time and on the same routes. The new version may fail a
part of its requests or take several times as long, from the start or later, and on one
route only. Each such change is looked for by a sequential likelihood ratio test that
starts anew whenever its sum falls to zero (CUSUM), so that answers which were good do
not hide later bad ones, and whose chance of a wrong alarm is bounded.
"""

import collections
import math

import attrs

from sesamespring.routing.messages import Outcome

__all__ = ["Answer", "RolloutEvidence", "judged_answer"]

# Chance that one test finds a good version bad. As it can start anew at each answer,
# its alarm is at the logarithm of the number of answers divided by this chance.
WRONG_ALARM_MAX = 0.01
ANSWERS_PER_ROLLOUT = 300
ALARM = math.log(ANSWERS_PER_ROLLOUT / WRONG_ALARM_MAX)
# Part of an alarm that the answers of one target can make up: a fault of one target is
# none of its version.
ONE_TARGET_SHARE = 0.6

# A failure rate above that of the others by about so much is bad.
FAILURE_RATE_EXCESSES = (0.1, 0.35)
RATE_FACTOR = 1.5
FAILURE_RATE_MIN = 0.02
FAILURE_RATE_MAX = 0.4
# Durations of the others that are kept for each route, and how many are needed.
DURATIONS_KEPT = 200
DURATIONS_MIN = 20
OUTCOMES_KEPT = 400
ROUTES_MAX = 32
# A load report explains no more than this slowdown.
EXPLAINED_SLOWDOWN_MAX = 2.0
# A target given this multiple of the expected duration has failed if it did not answer.
ENOUGH_TIME_FACTOR = 4.0

_FAILURES = frozenset({Outcome.FAILED, Outcome.BROKEN})
ALL_ROUTES = None


@attrs.frozen
class _SlowTest:
    """How often good and bad versions exceed a multiple of a quantile of the others.

    Attributes:
        quantile: The quantile of the durations of the other versions.
        factor: The multiple of it; the targets of one version differ in speed.
        good_rate: Part of the answers of a good version that take longer.
        bad_rate: Part of the answers of a bad version that take longer.
    """

    quantile: float
    factor: float
    good_rate: float
    bad_rate: float


# All answers are slower, a part of them is, or a few are by far.
SLOW_TESTS = (
    _SlowTest(0.75, 1.5, 0.25, 0.6),
    _SlowTest(0.95, 1.5, 0.05, 0.25),
    _SlowTest(0.95, 2.0, 0.02, 0.12),
    _SlowTest(0.95, 2.0, 0.02, 0.4),
)


@attrs.frozen
class Answer:
    """What one attempt says about the version of its target.

    Attributes:
        target: Key of the target.
        route: Name of the route.
        failed: Whether the target failed the request, or gave no answer in ample time.
        duration_s: Duration without what its load explains, in seconds.
        is_cut: Whether the attempt was cancelled before its end, as another one was
            answered first or the caller left.
    """

    target: tuple
    route: str
    failed: bool
    duration_s: float
    is_cut: bool = False


def judged_answer(target, route, active, ended, saturation, now_s):
    """Return the Answer that the end of an attempt is, or None if it says nothing.

    Args:
        target: Key of the target.
        route: Name of the route.
        active: The ActiveAttempt.
        ended: The AttemptEnded.
        saturation: Factor on the duration, as the attempt took the last slot, or 1.
        now_s: Current time.
    """
    if ended.blameless:
        return None
    outcome = ended.outcome
    if outcome is Outcome.ANSWERED:
        duration_s = _unexplained_s(active, ended.taken_s, saturation)
        return Answer(target, route, False, duration_s)
    if outcome is Outcome.CANCELLED:
        duration_s = _unexplained_s(active, now_s - active.sent_s, saturation)
        return Answer(target, route, False, duration_s, True)
    timed_out = outcome is Outcome.TIMED_OUT
    if timed_out and ended.taken_s < ENOUGH_TIME_FACTOR * active.expected_s:
        return None
    if timed_out or outcome in _FAILURES:
        return Answer(target, route, True, ended.taken_s)
    return None


def _unexplained_s(active, taken_s, saturation):
    """Return a duration without the slowdown that load reports explain, in seconds."""
    explained = min(EXPLAINED_SLOWDOWN_MAX, max(1.0, active.slowdown_at_dispatch))
    explained *= min(EXPLAINED_SLOWDOWN_MAX, max(1.0, saturation))
    return taken_s / explained


class _Suspicion:
    """The sum of one test over the answers of all targets."""

    def __init__(self):
        self._by_target = {}
        self.score = 0.0

    def add(self, target, log_ratio, several_targets):
        """Add the log likelihood ratio of an answer of a target."""
        sums = self._by_target
        sums[target] = sums.get(target, 0.0) + log_ratio
        most = ALARM * ONE_TARGET_SHARE if several_targets else math.inf
        # What one target has beyond its part must not outlast its good answers.
        sums[target] = min(most, sums[target])
        self.score = sum(sums.values())
        if self.score <= 0:
            sums.clear()
            self.score = 0.0


class RolloutEvidence:
    """What is known of the new version during one roll-out.

    Attributes:
        answers: Number of judged answers of the new version.
        failures: How many of them were failures.
        old_answers: Number of judged answers of the other versions.
        old_failures: How many of them were failures.
    """

    def __init__(self):
        self.answers = 0
        self.failures = 0
        self.old_answers = 0
        self.old_failures = 0
        self._durations = {}
        self._outcomes = {}
        self._suspicions = collections.defaultdict(_Suspicion)

    @property
    def suspicion(self):
        """The highest sum of a test as a part of the alarm; at 1 the version is bad."""
        scores = (found.score for found in self._suspicions.values())
        return max(scores, default=0.0) / ALARM

    @property
    def is_bad(self):
        """Whether the new version is found bad."""
        return self.suspicion >= 1.0

    @property
    def cause(self):
        """Name of the test with the highest sum, for the log, and its route."""
        if not self._suspicions:
            return "none"
        (route, test), _ = max(self._suspicions.items(), key=lambda item: item[1].score)
        name = "slow" if isinstance(test, _SlowTest) else "failures"
        return name if route is ALL_ROUTES else f"{name}-on-{route}"

    @property
    def old_failure_rate(self):
        """Failure rate of the other versions lately."""
        return self._failure_rate(ALL_ROUTES)

    @property
    def longest_s(self):
        """Median duration on the route whose requests take longest, in seconds."""
        series = filter(None, self._durations.values())
        return max((sorted(found)[len(found) // 2] for found in series), default=0.0)

    def restore(self, answers, suspicion):
        """Take over what another VM has found.

        Args:
            answers: Number of answers that it has judged.
            suspicion: Its ``suspicion``.
        """
        self.answers += answers
        restored = self._suspicions[ALL_ROUTES, FAILURE_RATE_EXCESSES[0]]
        # The targets that caused it are not known.
        restored.add(None, suspicion * ALARM * ONE_TARGET_SHARE, False)

    def observe_old(self, answer):
        """Take in an Answer of another version than the new one."""
        if answer.is_cut:
            self._observe_cut(answer)
            return
        self.old_answers += 1
        self.old_failures += answer.failed
        for route in (ALL_ROUTES, answer.route):
            self._series(self._outcomes, route, OUTCOMES_KEPT).append(answer.failed)
        if not answer.failed:
            series = self._series(self._durations, answer.route, DURATIONS_KEPT)
            series.append(answer.duration_s)

    def observe_new(self, answer, several_targets):
        """Take in an Answer of the new version.

        Args:
            answer: The Answer.
            several_targets: Whether several targets of the version are in use, so that
                one of them alone does not condemn it.
        """
        if answer.is_cut:
            self._observe_duration(answer, several_targets)
            return
        self.answers += 1
        self.failures += answer.failed
        for route in (ALL_ROUTES, answer.route):
            rate = self._failure_rate(route)
            for excess in FAILURE_RATE_EXCESSES:
                bad_rate = RATE_FACTOR * rate + excess
                ratio = _log_ratio(answer.failed, rate, bad_rate)
                found = self._suspicions[route, excess]
                found.add(answer.target, ratio, several_targets)
        if not answer.failed:
            self._observe_duration(answer, several_targets)

    def _observe_duration(self, answer, several_targets):
        durations = self._durations.get(answer.route)
        if durations is None or len(durations) < DURATIONS_MIN:
            return
        ordered = sorted(durations)
        for test in SLOW_TESTS:
            limit_s = test.factor * ordered[int(test.quantile * len(ordered))]
            slow = answer.duration_s > limit_s
            if answer.is_cut and not slow:
                continue
            ratio = _log_ratio(slow, test.good_rate, test.bad_rate)
            for route in (ALL_ROUTES, answer.route):
                found = self._suspicions[route, test]
                found.add(answer.target, ratio, several_targets)

    def _observe_cut(self, answer):
        """Count a cancelled attempt of another version if it was long already."""
        durations = self._durations.get(answer.route)
        if durations and answer.duration_s > max(durations):
            durations.append(answer.duration_s)

    def _failure_rate(self, route):
        """Return the failure rate that a good version may have.

        It is that of the others, with one standard error, as there may be few answers.
        """
        outcomes = self._outcomes.get(route, ())
        if len(outcomes) < DURATIONS_MIN:
            outcomes = self._outcomes.get(ALL_ROUTES, ())
        if not outcomes:
            return FAILURE_RATE_MIN
        rate = sum(outcomes) / len(outcomes)
        rate += math.sqrt(rate * (1 - rate) / len(outcomes))
        return min(FAILURE_RATE_MAX, max(FAILURE_RATE_MIN, rate))

    def _series(self, series, route, kept):
        if route not in series and len(series) >= ROUTES_MAX:
            route = ALL_ROUTES
        return series.setdefault(route, collections.deque(maxlen=kept))


def _log_ratio(happened, good_rate, bad_rate):
    """Return the log likelihood ratio of a bad and a good version for one answer."""
    if happened:
        return math.log(bad_rate / good_rate)
    return math.log((1 - bad_rate) / (1 - good_rate))
