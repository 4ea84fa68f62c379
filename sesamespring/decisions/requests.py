"""Keep the state of requests and of their attempts at targets."""

import math

import attrs

from sesamespring.decisions.messages import RequestArrived

__all__ = ["AttemptState", "Loan", "RequestState"]


@attrs.frozen
class Loan:
    """A slot that a peer lent.

    Attributes:
        peer: Name of the lender.
        loan_id: Number of the loan at the lender.
        target: Name of the target.
    """

    peer: str
    loan_id: int
    target: str


@attrs.define(eq=False)
class RequestState:
    """A request that has no final answer yet.

    Attributes:
        arrival: Its RequestArrived.
        arrived_s: Time at which it arrived.
        waits: Whether it stands in the queue.
        sent: How many attempts were made.
        attempts: Ids of the attempts in progress.
    """

    arrival: RequestArrived
    arrived_s: float
    waits: bool = False
    sent: int = 0
    attempts: set = attrs.field(factory=set)

    @property
    def hedgeable(self):
        """Whether a second attempt beside the first does no harm."""
        arrival = self.arrival
        return arrival.idempotent and arrival.repeatable and len(self.attempts) == 1


@attrs.define(eq=False)
class AttemptState:
    """One attempt in progress.

    Attributes:
        sent_s: Time at which it was sent.
        request_id: Number of its request.
        deadline_s: Time at which it has ended at the latest.
        send_by_s: Time by which its first byte must have left.
        slot: The OccupiedSlot at a held target, or None under a loan.
        loan: The Loan, or None at a held target.
        limited: Whether it counts in the BulkLimit.
        done: Whether it ended.
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
