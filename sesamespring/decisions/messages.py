"""Define the messages and commands of the routing decisions.

All times are seconds of this process's monotonic clock.
"""

import enum
import math

import attrs

from sesamespring.errors import ErrorKind

__all__ = [
    "AttemptEnded",
    "AttemptResult",
    "CancelAttempt",
    "FailRequest",
    "HeldTarget",
    "HeldTargetsChanged",
    "LoanReturned",
    "Peer",
    "PeerMessage",
    "PeersChanged",
    "RequestArrived",
    "RequestWithdrawn",
    "SendAttempt",
    "SendToPeer",
    "ServiceChanged",
    "SlotLent",
    "SlotsWanted",
    "Tick",
]


class AttemptResult(enum.Enum):
    """Result of one attempt at a target.

    ``ANSWERED`` is a complete response, ``FAILED`` a response that reports a failure.
    ``SHED`` is a response that states that the target did not run the request.
    ``NOT_SENT`` means that no byte was sent. ``CUT_OFF`` means that the connection
    ended early and that the request may have run. ``CANCELLED`` means that this VM
    ended the attempt.
    """

    ANSWERED = "answered"
    FAILED = "failed"
    SHED = "shed"
    NOT_SENT = "not-sent"
    CUT_OFF = "cut-off"
    CANCELLED = "cancelled"


@attrs.frozen
class ServiceChanged:
    """The declaration of the service changed.

    Attributes:
        queue_length: Maximum number of waiting requests.
        longest_work_s: Longest time in seconds that a request may be in progress.
        bulk: Whether its requests count towards the BulkLimit.
    """

    queue_length: int
    longest_work_s: float
    bulk: bool = False


@attrs.frozen
class RequestArrived:
    """A caller's request arrived and needs a target.

    Attributes:
        request_id: Id of the request, unique in this process.
        deadline_s: Time at which the caller stops waiting.
        idempotent: Whether the request may run more than once.
        repeatable: Whether its body is still available for another attempt.
    """

    request_id: int
    deadline_s: float
    idempotent: bool
    repeatable: bool


@attrs.frozen
class RequestWithdrawn:
    """The caller disconnected, or its response is complete."""

    request_id: int


@attrs.frozen
class AttemptEnded:
    """An attempt at a target ended.

    Attributes:
        attempt_id: Id of the attempt.
        result: Its AttemptResult.
    """

    attempt_id: int
    result: AttemptResult


@attrs.frozen
class HeldTarget:
    """A target that this entry VM holds.

    Attributes:
        name: Name of the target.
        slots: Maximum number of concurrent requests.
        cold_slots: Maximum number of concurrent requests during cold start.
        local: Whether the target is in this VM's data centre.
        valid_until_s: End of the hold. After that, no request is sent to the target
            and no slot of it is lent, even if this process was paused meanwhile.
        quiet_until_s: Time before which no request is sent to the target, as requests
            of an earlier holder may still be in progress there.
        cold: Whether the target starts cold, as this holder has no data on it.
        usable_when_cold: Whether the target may get requests while cold; False if the
            hold is not exclusive.
    """

    name: str
    slots: int
    cold_slots: int
    local: bool
    valid_until_s: float = math.inf
    quiet_until_s: float = -math.inf
    cold: bool = False
    usable_when_cold: bool = True


@attrs.frozen
class HeldTargetsChanged:
    """The complete set of targets that this VM holds.

    Attributes:
        targets: Tuple of HeldTarget.
    """

    targets: tuple


@attrs.frozen
class Peer:
    """Another entry VM of the service's group.

    Attributes:
        name: Name of the VM.
        local: Whether it is in this VM's data centre.
    """

    name: str
    local: bool


@attrs.frozen
class PeersChanged:
    """The complete set of peers that hold targets of the service.

    Attributes:
        peers: Tuple of Peer, without this VM.
    """

    peers: tuple


@attrs.frozen
class SlotsWanted:
    """Request for slots, sent to a holder; replaces the sender's earlier one.

    Attributes:
        sequence: Sequence number of the sender's requests for slots.
        count: Number of slots needed; 0 withdraws the request.
        deadline_in_s: Seconds until the deadline of the sender's most urgent waiting
            request.
    """

    sequence: int
    count: int
    deadline_in_s: float


@attrs.frozen
class SlotLent:
    """Loan of one slot, sent to a peer: it may send one request to a target.

    Attributes:
        loan_id: Id of the loan at the lender.
        target: Name of the target.
        sequence: Sequence number of the SlotsWanted that led to the loan. The borrower
            uses the loan only if it sent that SlotsWanted recently, even if it was
            paused since.
    """

    loan_id: int
    target: str
    sequence: int


@attrs.frozen
class LoanReturned:
    """Return of a lent slot, sent to the lender.

    Attributes:
        loan_id: Id of the loan at the lender.
        result: AttemptResult of the attempt, or None if the loan was not used.
        taken_s: Seconds from sending the request to the end of the response.
    """

    loan_id: int
    result: AttemptResult | None
    taken_s: float


@attrs.frozen
class PeerMessage:
    """A message from a peer.

    Attributes:
        peer: Name of the peer.
        body: The SlotsWanted, SlotLent or LoanReturned.
    """

    peer: str
    body: object


@attrs.frozen
class SendToPeer:
    """Command: send a message to a peer.

    Attributes:
        peer: Name of the peer.
        body: The SlotsWanted, SlotLent or LoanReturned.
    """

    peer: str
    body: object


@attrs.frozen
class Tick:
    """Time has passed; timers and timeouts may be due."""


@attrs.frozen
class SendAttempt:
    """Command: send a request to a target.

    Attributes:
        attempt_id: Id of the attempt.
        request_id: Id of the request.
        target: Name of the target.
        deadline_s: Time by which the attempt must have ended.
        send_by_s: Time by which the first byte must be sent; a process that was paused
            past it reports NOT_SENT instead of sending.
    """

    attempt_id: int
    request_id: int
    target: str
    deadline_s: float
    send_by_s: float = math.inf


@attrs.frozen
class CancelAttempt:
    """Command: end an attempt and close its connection."""

    attempt_id: int


@attrs.frozen
class FailRequest:
    """Command: end a request with an error response.

    Attributes:
        request_id: Id of the request.
        kind: ErrorKind of the response.
        retry_after_s: Whole seconds after which the caller should retry, or None for
            the default of the kind.
    """

    request_id: int
    kind: ErrorKind
    retry_after_s: int | None = None
