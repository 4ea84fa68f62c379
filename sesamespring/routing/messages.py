"""Define what goes into and comes out of a service's scheduler.

All times are seconds of one monotonic clock.
"""

import enum

import attrs

__all__ = [
    "AttemptEnded",
    "Dispatch",
    "Outcome",
    "Refusal",
    "RefusalReason",
    "ScheduledRequest",
]


class Outcome(enum.Enum):
    """How one attempt at a target ended.

    ``ANSWERED`` is a whole answer. ``FAILED`` is the target's own failure, which
    counts as run. ``REJECTED`` and ``MISDIRECTED`` promise that it has not run.
    ``NOT_SENT`` means that no byte left. ``BROKEN`` means that it may have run.
    ``TIMED_OUT`` means that no answer came in time. ``CANCELLED`` means that this
    side ended it.
    """

    ANSWERED = "answered"
    FAILED = "failed"
    REJECTED = "rejected"
    MISDIRECTED = "misdirected"
    NOT_SENT = "not-sent"
    BROKEN = "broken"
    TIMED_OUT = "timed-out"
    CANCELLED = "cancelled"

    @property
    def not_run(self):
        """Whether the request has certainly not run in this attempt."""
        return self in _NOT_RUN


_NOT_RUN = frozenset({Outcome.REJECTED, Outcome.MISDIRECTED, Outcome.NOT_SENT})


class RefusalReason(enum.Enum):
    """Why a request is given up before it is sent."""

    NO_TARGETS = "no-targets"
    TOO_LATE = "too-late"
    NO_ATTEMPT_LEFT = "no-attempt-left"


@attrs.define(eq=False, slots=True)
class ScheduledRequest:
    """A request that wants a slot at a target.

    Attributes:
        number: Number of the request, unique at this scheduler.
        route: Name of its route.
        goal_s: Response-time goal of the route, in seconds.
        priority: Rank of the route; 0 is the most urgent.
        due_s: Time until which an answer is worth most.
        deadline_s: Time at which the caller stops waiting.
        idempotent: Whether it may run more than once.
        attempts_left: How many more targets it may be sent to.
        queued_s: Time at which it began to wait.
        tried: Keys of targets that it was sent to.
        attempts: Dict of target key by number of the attempt in progress.
        extra: Whether its next attempt counts as an extra one.
        data_centre: Data centre of the VM that sends it.
        counted_elsewhere: Whether another VM may have counted it for its retry
            budget.
    """

    number: int
    route: str
    goal_s: float
    priority: int
    due_s: float
    deadline_s: float
    idempotent: bool
    attempts_left: int
    queued_s: float = 0.0
    tried: set = attrs.field(factory=set)
    attempts: dict = attrs.field(factory=dict)
    extra: bool = False
    data_centre: str = ""
    counted_elsewhere: bool = False


@attrs.frozen
class AttemptEnded:
    """Say how an attempt ended.

    Attributes:
        attempt: Number of the attempt.
        outcome: Its Outcome.
        taken_s: Seconds from sending to its end.
        load: The LoadReport of the answer, or None.
        cold_left_s: How much longer the target said it is cold, or None.
    """

    attempt: int
    outcome: Outcome
    taken_s: float
    load: object = None
    cold_left_s: float | None = None


@attrs.frozen
class Dispatch:
    """Command: send a request to a target now.

    Attributes:
        request: The ScheduledRequest.
        attempt: Number of the attempt.
        entry: The TargetEntry.
        hedge: Whether another attempt of it is in progress.
        waited_s: How long it waited for the slot, in seconds.
        expected_s: How long it is expected to take, in seconds.
        report_age_s: Age of the target's load report, in seconds.
    """

    request: ScheduledRequest
    attempt: int
    entry: object
    hedge: bool
    waited_s: float
    expected_s: float
    report_age_s: float


@attrs.frozen
class Refusal:
    """Command: give a waiting request its final answer now.

    Attributes:
        request: The ScheduledRequest.
        reason: The RefusalReason.
        retry_after_s: Seconds after which a slot is expected to be free.
        waiting: How many requests waited with it.
        needed_s: How long it was expected to take in all, in seconds.
    """

    request: ScheduledRequest
    reason: RefusalReason
    retry_after_s: float
    waiting: int = 0
    needed_s: float = 0.0
