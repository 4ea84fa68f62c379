"""Lend free slots to peers, and count each until it can no longer be used."""

import itertools
import math

import attrs

from sesamespring.decisions.messages import SendToPeer, SlotLent

__all__ = ["LOAN_AGE_MAX_S", "Lender", "Want"]

LOAN_AGE_MAX_S = 0.25
TRANSIT_S = 0.005
MARGIN_FACTOR = 0.5


@attrs.define
class Want:
    """The newest statement of a peer.

    Attributes:
        peer: Name of the peer.
        sequence: Number of the statement.
        count: How many slots it still wants.
        deadline_s: Deadline of its most urgent request.
        stated_s: Time at which the statement came.
    """

    peer: str
    sequence: int
    count: int
    deadline_s: float
    stated_s: float


@attrs.frozen
class _Loan:
    peer: str
    slot: object
    timer: object


class Lender:
    """What peers want of this VM, and what it has lent.

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
        self._work_longest_s = longest_work_s
        self._loan_ids = itertools.count(first_loan_id)
        self._wants = {}
        self._loans = {}

    @property
    def lent(self):
        """How many lent slots are counted as in progress."""
        return len(self._loans)

    def allow_work(self, longest_s):
        """Let work last longer; peers may still go by a longer time than the newest."""
        self._work_longest_s = max(self._work_longest_s, longest_s)

    def wanted(self, peer, body, now_s):
        """Take a peer's SlotsWanted in place of its earlier one."""
        self._wants.pop(peer, None)
        if body.count > 0:
            deadline_s = now_s + body.deadline_in_s
            want = Want(peer, body.sequence, body.count, deadline_s, now_s)
            self._wants[peer] = want

    def most_urgent(self, now_s):
        """Return the Want of the earliest deadline, or None."""
        if not self._wants:
            return None
        chosen = None
        for want in tuple(self._wants.values()):
            if want.stated_s + LOAN_AGE_MAX_S <= now_s:
                del self._wants[want.peer]
            elif chosen is None or want.deadline_s < chosen.deadline_s:
                chosen = want
        return chosen

    def precedes(self, want, deadline_s, now_s):
        """Return whether a Want goes before an own request of a deadline.

        A lent slot stands idle on the way there and back, so that a peer's request
        goes first only where it has waited clearly longer. The peer serves requests
        meanwhile, so that its most urgent deadline moves on with time.
        """
        moved_s = now_s - want.stated_s
        margin_s = TRANSIT_S + MARGIN_FACTOR * self._pool.average_s
        return want.deadline_s + moved_s + margin_s < deadline_s

    def lend(self, want, now_s):
        """Lend a slot to the peer of a Want.

        Returns:
            The SendToPeer command, or None where no slot may be lent now.
        """
        state = self._pool.best_to_lend(now_s, now_s + LOAN_AGE_MAX_S)
        if state is None:
            return None
        loan_id = next(self._loan_ids)
        ends_s = now_s + LOAN_AGE_MAX_S + self._work_longest_s
        timer = self._timers.at(ends_s, lambda when_s: self._lapse(loan_id, when_s))
        slot = self._pool.start(state, now_s)
        self._loans[loan_id] = _Loan(want.peer, slot, timer)
        want.count -= 1
        want.deadline_s += self._pool.average_s
        if want.count == 0:
            del self._wants[want.peer]
        return SendToPeer(
            want.peer, SlotLent(loan_id, state.target.name, want.sequence)
        )

    def returned(self, peer, body, now_s):
        """Take a LoanReturned of a peer."""
        loan = self._loans.get(body.loan_id)
        if loan is None or loan.peer != peer:
            return
        del self._loans[body.loan_id]
        loan.timer.cancel()
        self._pool.finish(loan.slot, body.result, body.taken_s, now_s, math.inf)

    def _lapse(self, loan_id, now_s):
        """Free the slot of a loan that was never returned."""
        loan = self._loans.pop(loan_id)
        self._pool.finish(loan.slot, None, 0.0, now_s, now_s)
