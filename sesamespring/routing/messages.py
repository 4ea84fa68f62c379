"""Define the inputs and outputs of a service's scheduler.

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

    ``ANSWERED``: the target sent a complete response. ``FAILED``: the target reported
    a failure of its own; the request counts as run. ``REJECTED`` and ``MISDIRECTED``:
    the response guarantees that the request has not run. ``NOT_SENT``: no byte was
    sent. ``BROKEN``: the connection failed, and the request may have run.
    ``TIMED_OUT``: no response came in time. ``CANCELLED``: this side ended the attempt.
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
        """Whether it is certain that the request has not run in this attempt."""
        return self in _NOT_RUN


_NOT_RUN = frozenset({Outcome.REJECTED, Outcome.MISDIRECTED, Outcome.NOT_SENT})


class RefusalReason(enum.Enum):
    """Why the scheduler refuses a waiting request."""

    NO_TARGETS = "no-targets"
    TOO_LATE = "too-late"
    NO_ATTEMPT_LEFT = "no-attempt-left"
    NO_UNTRIED_TARGET = "no-untried-target"
    OVER_QUOTA = "over-quota"
    QUOTA_UNKNOWN = "quota-unknown"


@attrs.define(eq=False, slots=True)
class ScheduledRequest:
    """A request that needs a slot at a target.

    Attributes:
        number: Number of the request, unique at this scheduler.
        route: Name of its route.
        goal_s: Response-time goal of the route, in seconds.
        priority: Priority of the route; 0 is the most urgent.
        due_s: Time at which its response-time goal expires.
        deadline_s: Time at which the caller stops waiting.
        idempotent: Whether it may run more than once.
        attempts_left: How many more targets it may be sent to.
        queued_s: Time at which it was queued.
        tried: Keys of the targets that it was sent to, or that want no request of the
            VM that sends it.
        attempts: Dict of target key by number of the attempt in progress.
        extra: Whether its next attempt counts against the retry budget.
        data_centre: Data centre of the VM that sends it.
        counted_elsewhere: Whether another VM may have counted it for its retry
            budget.
        account: Name of the client account that sends it, or an empty string.
        tokens: Tokens of the account's quota that it holds and has not spent.
        excluded: Keys of the targets that it may not be sent to in the next plan, as
            they have another version.
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
    account: str = ""
    tokens: int = 0
    excluded: frozenset = frozenset()

    def may_be_sent(self, now_s):
        """Return whether attempts and time are left."""
        return self.attempts_left > 0 and now_s < self.deadline_s


@attrs.frozen
class AttemptEnded:
    """Event: an attempt ended.

    Attributes:
        attempt: Number of the attempt.
        outcome: Its Outcome.
        taken_s: Seconds from sending the request to the end of the attempt.
        load: LoadReport of the response, or None.
        cold_left_s: Remaining cold start that the target reported, in seconds, or None.
        limit_per_s: Requests per second that the target takes from all VMs according to
            its response, or None if it did not respond.
        blameless: Whether the cause lies with the VM, which lost its link to the
            target or keeps to what the target asked of it, so that the end says
            nothing about the target.
        responding: Whether the response has only begun. The rest depends on how fast
            the caller reads, so only the slot remains taken until the attempt ends.
    """

    attempt: int
    outcome: Outcome
    taken_s: float
    load: object = None
    cold_left_s: float | None = None
    limit_per_s: float | None = None
    blameless: bool = False
    responding: bool = False


@attrs.frozen
class Dispatch:
    """Command: send a request to a target now.

    Attributes:
        request: The ScheduledRequest.
        attempt: Number of the attempt.
        entry: TargetEntry of the target.
        hedge: Whether another attempt of the request is in progress.
        waited_s: How long the request waited for the slot, in seconds.
        expected_s: Expected duration of the attempt, in seconds.
        report_age_s: Age of the target's last load report, in seconds.
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
    """Command: answer a waiting request with an error now.

    Attributes:
        request: The ScheduledRequest.
        reason: The RefusalReason.
        retry_after_s: Seconds after which a slot is expected to be free.
        waiting: Number of other requests in the queue.
        needed_s: Expected time from now to the end of the request, in seconds.
    """

    request: ScheduledRequest
    reason: RefusalReason
    retry_after_s: float
    waiting: int = 0
    needed_s: float = 0.0
