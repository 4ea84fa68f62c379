"""Define the state of requests and of their attempts at targets."""

import math

import attrs

from sesamespring.decisions.messages import RequestArrived

__all__ = ["AttemptState", "Loan", "RequestState"]


@attrs.frozen
class Loan:
    """A slot that a peer lent.

    Attributes:
        peer: Name of the lender.
        loan_id: Id of the loan at the lender.
        target: Name of the target.
    """

    peer: str
    loan_id: int
    target: str


@attrs.define(eq=False)
class RequestState:
    """A request that has no final response yet.

    Attributes:
        arrival: Its RequestArrived.
        arrived_s: Time at which it arrived.
        queued: Whether it is in the waiting queue.
        sent: Number of attempts made so far.
        attempts: Ids of the attempts in progress.
    """

    arrival: RequestArrived
    arrived_s: float
    queued: bool = False
    sent: int = 0
    attempts: set = attrs.field(factory=set)

    @property
    def hedgeable(self):
        """Whether a second attempt may be sent while the only one is in progress."""
        arrival = self.arrival
        return arrival.idempotent and arrival.repeatable and len(self.attempts) == 1


@attrs.define(eq=False)
class AttemptState:
    """One attempt in progress.

    Attributes:
        sent_s: Time at which it was sent.
        request_id: Id of its request.
        deadline_s: Latest time at which it ends.
        send_by_s: Time by which its first byte must be sent.
        slot: The OccupiedSlot of a held target, or None for an attempt on a loan.
        loan: The Loan, or None for an attempt at a held target.
        limited: Whether it counts towards the BulkLimit.
        done: Whether it has ended.
    """

    sent_s: float
    request_id: int = 0
    deadline_s: float = 0.0
    send_by_s: float = math.inf
    slot: object = None
    loan: Loan | None = None
    limited: bool = False
    done: bool = False

    @property
    def target(self):
        """Name of the target."""
        if self.loan is not None:
            return self.loan.target
        return self.slot.state.target.name
