"""Define what goes into and comes out of the routing decisions.

All times are seconds of one monotonic clock.
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
    """How one attempt at a target ended.

    ``ANSWERED`` is a whole answer. ``SHED`` is the target's word that it did not
    run the request. ``NOT_SENT`` means that no byte left. ``CUT_OFF`` means that
    the request may have run. ``CANCELLED`` means that this side ended it.
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
        queue_length: How many requests wait at the most.
        longest_work_s: Longest time that a request may be in progress.
        bulk: Whether its requests go by the limit on bulk work.
    """

    queue_length: int
    longest_work_s: float
    bulk: bool = False


@attrs.frozen
class RequestArrived:
    """A caller's request wants a target.

    Attributes:
        request_id: Number of the request, unique in this process.
        deadline_s: Time at which the caller stops waiting.
        idempotent: Whether it may be sent more than once.
        repeatable: Whether its body is at hand for another attempt.
    """

    request_id: int
    deadline_s: float
    idempotent: bool
    repeatable: bool


@attrs.frozen
class RequestWithdrawn:
    """The caller went away or its answer is complete."""

    request_id: int


@attrs.frozen
class AttemptEnded:
    """An attempt at a target ended.

    Attributes:
        attempt_id: Number of the attempt.
        result: How it ended.
    """

    attempt_id: int
    result: AttemptResult


@attrs.frozen
class HeldTarget:
    """A target that this entry VM holds now.

    Attributes:
        name: Name of the target.
        slots: How many requests it runs at once.
        cold_slots: How many it bears at once in cold start.
        local: Whether it is in this VM's data centre.
        valid_until_s: Time until which this VM holds it; nothing is sent to it and
            no slot of it is lent after that, also where this process was paused.
        quiet_until_s: Time until which nothing is sent to it, as an earlier
            holder's work may still be in progress there.
        cold: Whether it starts cold for this holder, as nothing is known of it.
        usable_when_cold: Whether it may get work while cold; False without an exclusive
            hold.
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
    """The whole set of targets that this VM holds now.

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
    """The whole set of peers that hold targets of the service now.

    Attributes:
        peers: Tuple of Peer, without this VM.
    """

    peers: tuple


@attrs.frozen
class SlotsWanted:
    """Said to a holder: how many slots the sender wants now, replacing what it said.

    Attributes:
        sequence: Grows with each statement of the sender.
        count: How many slots it wants.
        deadline_in_s: Seconds until its most urgent waiting request's deadline.
    """

    sequence: int
    count: int
    deadline_in_s: float


@attrs.frozen
class SlotLent:
    """Said to a peer: it may send one request to a target now.

    Attributes:
        loan_id: Number of the loan at the lender.
        target: Name of the target.
        sequence: The SlotsWanted that it answers; the borrower uses the loan only
            if it sent that statement recently, also where it was paused since.
    """

    loan_id: int
    target: str
    sequence: int


@attrs.frozen
class LoanReturned:
    """Said to a lender: the lent slot is free again.

    Attributes:
        loan_id: Number of the loan at the lender.
        result: How the attempt ended, or None where the loan was not used.
        taken_s: Seconds from sending to the end of the answer.
    """

    loan_id: int
    result: AttemptResult | None
    taken_s: float


@attrs.frozen
class PeerMessage:
    """A SlotsWanted, SlotLent or LoanReturned came from a peer.

    Attributes:
        peer: Name of the peer.
        body: What it said.
    """

    peer: str
    body: object


@attrs.frozen
class SendToPeer:
    """Command: say something to a peer.

    Attributes:
        peer: Name of the peer.
        body: A SlotsWanted, SlotLent or LoanReturned.
    """

    peer: str
    body: object


@attrs.frozen
class Tick:
    """Time has passed."""


@attrs.frozen
class SendAttempt:
    """Command: send a request to a target.

    Attributes:
        attempt_id: Number of the attempt.
        request_id: Number of the request.
        target: Name of the target.
        deadline_s: Time at which the attempt must have ended.
        send_by_s: Time by which its first byte must have left; a process that was
            paused past it reports NOT_SENT instead of sending.
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
    """Command: give a request its final answer now.

    Attributes:
        request_id: Number of the request.
        kind: The ErrorKind of the answer.
        retry_after_s: Whole seconds after which coming back helps, or None for
            the default of the kind.
    """

    request_id: int
    kind: ErrorKind
    retry_after_s: int | None = None
