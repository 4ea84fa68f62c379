"""Lend free slots to peers, and count each loan until it can no longer be used."""

import itertools
import math

import attrs

from sesamespring.decisions.messages import SendToPeer, SlotLent

__all__ = ["LOAN_AGE_MAX_S", "Lender", "SlotRequest"]

# Time for which a slot request is served, and for which a loan may be used, counted
# from the request.
LOAN_AGE_MAX_S = 0.25
# Lead that a peer's request needs: transit time plus a share of the service time.
TRANSIT_S = 0.005
MARGIN_FACTOR = 0.5


@attrs.define
class SlotRequest:
    """The latest SlotsWanted of a peer.

    Attributes:
        peer: Name of the peer.
        sequence: Sequence number of the SlotsWanted.
        count: Number of slots that the peer still needs.
        deadline_s: Deadline of the peer's most urgent request.
        received_s: Time at which the SlotsWanted was received.
    """

    peer: str
    sequence: int
    count: int
    deadline_s: float
    received_s: float


@attrs.frozen
class _Loan:
    peer: str
    slot: object
    timer: object


class Lender:
    """The slots that peers request from this VM, and those that it has lent.

    Args:
        pool: The TargetPool.
        timers: The Timers.
        longest_work_s: Longest time in seconds that a request may be in progress.
        first_loan_id: Id of the first loan; must differ between runs of the process,
            so that a late return of an earlier run's loan does not match a new loan.
    """

    def __init__(self, pool, timers, longest_work_s, first_loan_id):
        self._pool = pool
        self._timers = timers
        self._longest_work_s = longest_work_s
        self._loan_ids = itertools.count(first_loan_id)
        self._requests = {}
        self._loans = {}

    @property
    def lent(self):
        """Number of lent slots that are counted as in progress."""
        return len(self._loans)

    def extend_longest_work(self, longest_s):
        """Raise the longest time of a request.

        A shorter time is ignored, as peers may still apply an earlier, longer one.
        """
        self._longest_work_s = max(self._longest_work_s, longest_s)

    def record_request(self, peer, body, now_s):
        """Replace a peer's SlotRequest with its new SlotsWanted."""
        self._requests.pop(peer, None)
        if body.count > 0:
            deadline_s = now_s + body.deadline_in_s
            slot_request = SlotRequest(
                peer, body.sequence, body.count, deadline_s, now_s
            )
            self._requests[peer] = slot_request

    def most_urgent(self, now_s):
        """Return the SlotRequest with the earliest deadline, or None."""
        if not self._requests:
            return None
        chosen = None
        for slot_request in tuple(self._requests.values()):
            if slot_request.received_s + LOAN_AGE_MAX_S <= now_s:
                del self._requests[slot_request.peer]
            elif chosen is None or slot_request.deadline_s < chosen.deadline_s:
                chosen = slot_request
        return chosen

    def precedes(self, slot_request, deadline_s, now_s):
        """Return whether a SlotRequest precedes a request of this VM.

        A lent slot is idle while messages travel to the peer and back, so the peer's
        deadline must be earlier by a margin. The peer serves requests meanwhile, so
        its most urgent deadline is assumed to advance with time.

        Args:
            slot_request: The SlotRequest.
            deadline_s: Deadline of the own request.
            now_s: The current time in seconds.
        """
        elapsed_s = now_s - slot_request.received_s
        margin_s = TRANSIT_S + MARGIN_FACTOR * self._pool.average_s
        return slot_request.deadline_s + elapsed_s + margin_s < deadline_s

    def lend(self, slot_request, now_s):
        """Lend a slot to the peer of a SlotRequest.

        Returns:
            The SendToPeer command, or None if no slot may be lent.
        """
        state = self._pool.best_to_lend(now_s, now_s + LOAN_AGE_MAX_S)
        if state is None:
            return None
        loan_id = next(self._loan_ids)
        ends_s = now_s + LOAN_AGE_MAX_S + self._longest_work_s
        timer = self._timers.at(ends_s, lambda when_s: self._expire(loan_id, when_s))
        slot = self._pool.start(state, now_s)
        self._loans[loan_id] = _Loan(slot_request.peer, slot, timer)
        slot_request.count -= 1
        slot_request.deadline_s += self._pool.average_s
        if slot_request.count == 0:
            del self._requests[slot_request.peer]
        return SendToPeer(
            slot_request.peer,
            SlotLent(loan_id, state.target.name, slot_request.sequence),
        )

    def handle_returned(self, peer, body, now_s):
        """Free the slot of a LoanReturned; ignore it if the peer has no such loan."""
        loan = self._loans.get(body.loan_id)
        if loan is None or loan.peer != peer:
            return
        del self._loans[body.loan_id]
        loan.timer.cancel()
        self._pool.finish(loan.slot, body.result, body.taken_s, now_s, math.inf)

    def _expire(self, loan_id, now_s):
        """Free the slot of a loan that was never returned."""
        loan = self._loans.pop(loan_id)
        self._pool.finish(loan.slot, None, 0.0, now_s, now_s)
