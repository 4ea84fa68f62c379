"""Define the state of callers' requests and attempts at a simulated entry VM."""

import enum

import attrs

from sesamespring.decisions.messages import AttemptResult

__all__ = [
    "NOT_RUN_RESULTS",
    "TARGET_RESPONSES",
    "Attempt",
    "CallerResponse",
    "Exchange",
    "ResponseKind",
    "ServiceRunner",
]


class ResponseKind(enum.Enum):
    """What a caller gets from an entry VM.

    A dead VM refuses new connections (``REFUSED``) and resets open ones (``RESET``).
    """

    ANSWERED = "answered"
    FAILED = "failed"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    REFUSED = "refused"
    RESET = "reset"


@attrs.frozen
class CallerResponse:
    """What a caller gets from an entry VM, and when to retry.

    Attributes:
        kind: The ResponseKind.
        retry_after_s: Seconds after which a retry may succeed, or None.
    """

    kind: ResponseKind
    retry_after_s: float | None = None


# Results of attempts that certainly did not run the request.
NOT_RUN_RESULTS = frozenset({AttemptResult.SHED, AttemptResult.NOT_SENT})
# Results of attempts whose response is passed on to the caller.
TARGET_RESPONSES = {
    AttemptResult.ANSWERED: ResponseKind.ANSWERED,
    AttemptResult.FAILED: ResponseKind.FAILED,
}


@attrs.define(eq=False)
class Exchange:
    """A caller's request at an entry VM.

    Attributes:
        service: Name of the service.
        call: The Call.
        reply: Function that takes the CallerResponse.
        attempts: Attempts in progress by attempt id.
        send_count: How often the request was sent to a target.
        may_have_run: Whether an ended attempt may have run the request.
    """

    service: str
    call: object
    reply: object
    attempts: dict = attrs.field(factory=dict)
    send_count: int = 0
    may_have_run: bool = False


@attrs.define(eq=False)
class Attempt:
    """One attempt of an exchange at a target.

    Attributes:
        attempt_id: Number of the attempt, from the router.
        request_id: Number of the request at the entry VM.
        target: The SimulatedTarget.
        job: The Job that the target runs.
    """

    attempt_id: int
    request_id: int
    target: object
    job: object = None


@attrs.define(eq=False)
class ServiceRunner:
    """The router of one service at an entry VM.

    Attributes:
        router: Object with ``handle`` and ``next_wake_s``.
        attempts: Attempts in progress by attempt id.
        wake_s: Time of the next scheduled Tick, or None.
    """

    router: object
    attempts: dict = attrs.field(factory=dict)
    wake_s: float | None = None
