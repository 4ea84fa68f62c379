"""Lend free slots to peers, and count each until it can no longer be used."""

import itertools
import math

import attrs

from sesamespring.decisions.messages import SendToPeer, SlotLent

__all__ = ["LOAN_AGE_MAX_S", "Lender", "SlotRequest"]

LOAN_AGE_MAX_S = 0.25
TRANSIT_S = 0.005
MARGIN_FACTOR = 0.5


@attrs.define
class SlotRequest:
    """The newest statement of a peer.

    Attributes:
        peer: Name of the peer.
        sequence: Number of the statement.
        count: How many slots it still wants.
        deadline_s: Deadline of its most urgent request.
        received_s: Time at which the statement came.
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
    """What peers request of this VM, and what it has lent.

    Args:
        pool: The TargetPool.
        timers: The Timers.
        longest_work_s: Longest time that a request may be in progress.
        first_loan_id: Number of the first loan; another one in each run of a
            process, so that a late return from an earlier run is not mistaken.
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
        """How many lent slots are counted as in progress."""
        return len(self._loans)

    def extend_longest_work(self, longest_s):
        """Let work last longer; peers may still go by a longer time than the newest."""
        self._longest_work_s = max(self._longest_work_s, longest_s)

    def record_request(self, peer, body, now_s):
        """Take a peer's SlotsWanted in place of its earlier one."""
        self._requests.pop(peer, None)
        if body.count > 0:
            deadline_s = now_s + body.deadline_in_s
            request = SlotRequest(peer, body.sequence, body.count, deadline_s, now_s)
            self._requests[peer] = request

    def most_urgent(self, now_s):
        """Return the SlotRequest of the earliest deadline, or None."""
        if not self._requests:
            return None
        chosen = None
        for request in tuple(self._requests.values()):
            if request.received_s + LOAN_AGE_MAX_S <= now_s:
                del self._requests[request.peer]
            elif chosen is None or request.deadline_s < chosen.deadline_s:
                chosen = request
        return chosen

    def precedes(self, request, deadline_s, now_s):
        """Return whether a SlotRequest goes before an own request of a deadline.

        A lent slot stands idle on the way there and back, so that a peer's request
        goes first only where it has waited clearly longer. The peer serves requests
        meanwhile, so that its most urgent deadline moves on with time.
        """
        elapsed_s = now_s - request.received_s
        margin_s = TRANSIT_S + MARGIN_FACTOR * self._pool.average_s
        return request.deadline_s + elapsed_s + margin_s < deadline_s

    def lend(self, request, now_s):
        """Lend a slot to the peer of a SlotRequest.

        Returns:
            The SendToPeer command, or None where no slot may be lent now.
        """
        state = self._pool.best_to_lend(now_s, now_s + LOAN_AGE_MAX_S)
        if state is None:
            return None
        loan_id = next(self._loan_ids)
        ends_s = now_s + LOAN_AGE_MAX_S + self._longest_work_s
        timer = self._timers.at(ends_s, lambda when_s: self._expire(loan_id, when_s))
        slot = self._pool.start(state, now_s)
        self._loans[loan_id] = _Loan(request.peer, slot, timer)
        request.count -= 1
        request.deadline_s += self._pool.average_s
        if request.count == 0:
            del self._requests[request.peer]
        return SendToPeer(
            request.peer, SlotLent(loan_id, state.target.name, request.sequence)
        )

    def handle_returned(self, peer, body, now_s):
        """Take a LoanReturned of a peer."""
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
