"""Route on each entry VM's own view of its work in progress, for comparison."""

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
    "OwnViewRouter",
    "choose_least",
    "choose_random",
    "choose_two",
    "may_repeat",
]

ATTEMPTS_MAX = 3


def choose_random(random, in_progress):
    """Return any target.

    Args:
        random: Random source.
        in_progress: Requests in progress from this VM by target name, in order.
    """
    return random.choice(tuple(in_progress))


def choose_two(random, in_progress):
    """Return the less loaded of two targets drawn at random."""
    names = tuple(in_progress)
    drawn = random.sample(names, min(2, len(names)))
    return min(drawn, key=in_progress.__getitem__)


def choose_least(random, in_progress):
    """Return a target with the least in progress, any of them at a tie."""
    least = min(in_progress.values())
    return random.choice([name for name, n in in_progress.items() if n == least])


def may_repeat(arrival, result):
    """Return whether a request may be sent again after a result of an attempt.

    Args:
        arrival: The RequestArrived.
        result: The AttemptResult.
    """
    if not arrival.repeatable:
        return False
    if result in (AttemptResult.SHED, AttemptResult.NOT_SENT):
        return True
    return result is AttemptResult.CUT_OFF and arrival.idempotent


class OwnViewRouter:
    """Sends every request at once to a target of its choice.

    Args:
        choose: Function from a random source and work in progress to a name.
        random: Random source.
    """

    next_wake_s = None

    def __init__(self, choose, random):
        self._choose = choose
        self._random = random
        self._in_progress = {}
        self._attempts = {}
        self._handlers = {
            RequestArrived: self._arrived,
            AttemptEnded: self._ended,
            HeldTargetsChanged: self._targets_changed,
        }

    def handle(self, message, now_s):
        """Take in one message and return the list of commands that follow."""
        handler = self._handlers.get(type(message))
        return handler(message) if handler else []

    def _arrived(self, arrival):
        return self._send(arrival, 1)

    def _send(self, arrival, tries):
        if not self._in_progress:
            return [FailRequest(arrival.request_id, ErrorKind.NO_CAPACITY)]
        name = self._choose(self._random, self._in_progress)
        self._in_progress[name] += 1
        attempt_id = arrival.request_id * ATTEMPTS_MAX + tries
        self._attempts[attempt_id] = (arrival, tries, name)
        return [SendAttempt(attempt_id, arrival.request_id, name, arrival.deadline_s)]

    def _ended(self, message):
        arrival, tries, name = self._attempts.pop(message.attempt_id)
        if name in self._in_progress:
            self._in_progress[name] -= 1
        result = message.result
        if result in (AttemptResult.SHED, AttemptResult.CUT_OFF):
            if tries < ATTEMPTS_MAX and may_repeat(arrival, result):
                return self._send(arrival, tries + 1)
            shed = result is AttemptResult.SHED
            kind = ErrorKind.NO_CAPACITY if shed else ErrorKind.CUT_OFF
            return [FailRequest(arrival.request_id, kind)]
        return []

    def _targets_changed(self, message):
        before = self._in_progress
        self._in_progress = {t.name: before.get(t.name, 0) for t in message.targets}
        return []
