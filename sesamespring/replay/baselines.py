"""Baseline policies: route on the requests in progress from one entry VM alone."""

from sesamespring.decisions.messages import (
    AttemptEnded,
    AttemptResult,
    FailRequest,
    HeldTargetsChanged,
    RequestArrived,
    SendAttempt,
)
from sesamespring.errors import ErrorKind

__all__ = [
    "ATTEMPTS_MAX",
    "LocalViewRouter",
    "choose_least_in_progress",
    "choose_random",
    "choose_power_of_two",
    "is_retryable",
]

ATTEMPTS_MAX = 3


def choose_random(random, in_progress):
    """Return the name of a target, drawn uniformly at random.

    Args:
        random: Random source.
        in_progress: Dictionary from target names to the numbers of requests in progress
            from this VM. Its order decides which target a draw gives.
    """
    return random.choice(tuple(in_progress))


def choose_power_of_two(random, in_progress):
    """Return the name of the less loaded of two targets drawn at random."""
    names = tuple(in_progress)
    drawn = random.sample(names, min(2, len(names)))
    return min(drawn, key=in_progress.__getitem__)


def choose_least_in_progress(random, in_progress):
    """Return the name of a least loaded target; ties are broken at random."""
    least = min(in_progress.values())
    return random.choice([name for name, n in in_progress.items() if n == least])


def is_retryable(arrival, result):
    """Return whether a request may be sent again after an attempt with a result.

    Args:
        arrival: The RequestArrived of the request.
        result: The AttemptResult of the attempt.
    """
    if not arrival.repeatable:
        return False
    if result in (AttemptResult.SHED, AttemptResult.NOT_SENT):
        return True
    return result is AttemptResult.CUT_OFF and arrival.idempotent


class LocalViewRouter:
    """Router of one VM and service that sends each request at once, without a queue.

    Args:
        choose: Function from a random source and the numbers of requests in progress by
            target name to the name of a target.
        random: Random source.
    """

    next_wake_s = None

    def __init__(self, choose, random):
        self._choose = choose
        self._random = random
        self._in_progress = {}
        self._attempts = {}
        self._handlers = {
            RequestArrived: self._request_arrived,
            AttemptEnded: self._attempt_ended,
            HeldTargetsChanged: self._targets_changed,
        }

    def handle(self, message, now_s):
        """Handle one message and return the resulting list of commands."""
        handler = self._handlers.get(type(message))
        return handler(message) if handler else []

    def _request_arrived(self, arrival):
        return self._send(arrival, 1)

    def _send(self, arrival, attempt_count):
        if not self._in_progress:
            return [FailRequest(arrival.request_id, ErrorKind.NO_CAPACITY)]
        name = self._choose(self._random, self._in_progress)
        self._in_progress[name] += 1
        attempt_id = arrival.request_id * ATTEMPTS_MAX + attempt_count
        self._attempts[attempt_id] = (arrival, attempt_count, name)
        return [SendAttempt(attempt_id, arrival.request_id, name, arrival.deadline_s)]

    def _attempt_ended(self, message):
        arrival, attempt_count, name = self._attempts.pop(message.attempt_id)
        if name in self._in_progress:
            self._in_progress[name] -= 1
        result = message.result
        if result in (AttemptResult.SHED, AttemptResult.CUT_OFF):
            if attempt_count < ATTEMPTS_MAX and is_retryable(arrival, result):
                return self._send(arrival, attempt_count + 1)
            shed = result is AttemptResult.SHED
            kind = ErrorKind.NO_CAPACITY if shed else ErrorKind.CUT_OFF
            return [FailRequest(arrival.request_id, kind)]
        return []

    def _targets_changed(self, message):
        previous = self._in_progress
        self._in_progress = {t.name: previous.get(t.name, 0) for t in message.targets}
        return []
