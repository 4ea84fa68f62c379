"""Route the requests of one service to own targets and to slots lent by peers."""

import math

from sesamespring.decisions.admission import Admission
from sesamespring.decisions.borrowing import Borrower
from sesamespring.decisions.lending import Lender
from sesamespring.decisions.messages import (
    AttemptEnded,
    FailRequest,
    HeldTargetsChanged,
    LoanReturned,
    PeerMessage,
    PeersChanged,
    RequestArrived,
    RequestWithdrawn,
    SendToPeer,
    ServiceChanged,
    SlotLent,
    SlotsWanted,
    Tick,
)
from sesamespring.decisions.pool import TargetPool
from sesamespring.decisions.request_tracker import RequestTracker
from sesamespring.decisions.requests import Loan
from sesamespring.decisions.timers import Timers
from sesamespring.errors import ErrorKind

__all__ = ["ServiceRouter"]

LONGEST_WORK_S = 600.0


class ServiceRouter:
    """The routing decisions of one service at one entry VM.

    Args:
        queue_length: How many requests wait at the most.
        longest_work_s: Longest time that a request may be in progress.
        first_loan_id: Number of the first loan; differs between runs of a process.
        hedging: Whether slow idempotent requests get a second attempt.
        bulk_limit: The BulkLimit of this VM, or None without one.
    """

    def __init__(
        self,
        queue_length,
        *,
        longest_work_s=LONGEST_WORK_S,
        first_loan_id=1,
        hedging=True,
        bulk_limit=None,
    ):
        self._timers = Timers()
        self._pool = TargetPool(self._timers)
        self._admission = Admission(queue_length, self._pool)
        self._lender = Lender(self._pool, self._timers, longest_work_s, first_loan_id)
        self._borrower = Borrower()
        self._book = RequestTracker(self._pool, self._admission, hedging, bulk_limit)
        self._handlers = {
            RequestArrived: self._arrived,
            RequestWithdrawn: self._withdrawn,
            AttemptEnded: self._ended,
            ServiceChanged: self._service_changed,
            HeldTargetsChanged: self._held_changed,
            PeersChanged: self._peers_changed,
            PeerMessage: self._peer_said,
            Tick: self._ticked,
        }
        self._peer_handlers = {
            SlotsWanted: self._slots_wanted,
            SlotLent: self._slot_lent,
            LoanReturned: self._loan_returned,
        }

    @property
    def in_progress(self):
        """How many attempts of own requests are in progress."""
        return self._book.in_progress

    @property
    def lent(self):
        """How many slots are lent to peers."""
        return self._lender.lent

    @property
    def waiting(self):
        """How many requests wait for a target."""
        return self._admission.waiting

    @property
    def next_wake_s(self):
        """Time at which a Tick is wanted at the latest, or None."""
        times = (
            self._timers.next_s,
            self._pool.next_overdue_s,
            self._book.next_hedge_s,
            self._borrower.next_s,
            self._admission.next_s,
        )
        return min((time for time in times if time is not None), default=None)

    def is_busy(self, target):
        """Return whether work of this VM or lent slots may be in progress there."""
        return self._pool.is_busy(target)

    def is_warm(self, target):
        """Return whether a held target is known to be warm."""
        return self._pool.is_warm(target)

    def handle(self, message, now_s):
        """Take in one message and return the list of commands that follow.

        Args:
            message: A message of ``decisions.messages``.
            now_s: The time now.
        """
        commands = []
        self._timers.run_due(now_s)
        self._pool.notice_overdue(now_s)
        self._handlers[type(message)](message, now_s, commands)
        self._assign(now_s, commands)
        if self._admission.waiting:
            self._book.drop_unreachable(now_s, commands, spare_new=False)
        self._book.hedge(now_s, commands)
        if self._admission.waiting or self._borrower.wants:
            self._borrow(now_s, commands)
        return commands

    def _arrived(self, message, now_s, commands):
        if not self._pool.slots and not self._borrower.has_peers:
            commands.append(FailRequest(message.request_id, ErrorKind.NO_CAPACITY))
            return
        self._book.arrive(message, now_s, commands)

    def _withdrawn(self, message, now_s, commands):
        self._book.withdraw(message, commands)

    def _ended(self, message, now_s, commands):
        self._book.end(message, now_s, commands)

    def _borrow(self, now_s, commands):
        admission = self._admission
        wanted = admission.waiting if self._book.may_start() else 0
        commands += self._borrower.state(wanted, admission.head_deadline_s, now_s)

    def _service_changed(self, message, now_s, commands):
        self._admission.set_length(message.queue_length)
        self._lender.allow_work(message.longest_work_s)
        self._book.set_bulk(message.bulk)

    def _held_changed(self, message, now_s, commands):
        self._pool.set_held(message.targets, now_s)

    def _peers_changed(self, message, now_s, commands):
        self._borrower.set_peers(message.peers)

    def _peer_said(self, message, now_s, commands):
        handler = self._peer_handlers[type(message.body)]
        handler(message.peer, message.body, now_s, commands)

    def _slots_wanted(self, peer, body, now_s, commands):
        self._lender.wanted(peer, body, now_s)

    def _slot_lent(self, peer, body, now_s, commands):
        send_by_s = self._borrower.accept(peer, body, now_s)
        self._book.drop_unreachable(now_s, commands)
        needed = self._admission.waiting and self._book.may_start()
        if send_by_s is None or not needed:
            unused = LoanReturned(body.loan_id, None, 0.0)
            commands.append(SendToPeer(peer, unused))
            return
        loan = Loan(peer, body.loan_id, body.target)
        self._book.send_head_on_loan(loan, send_by_s, now_s, commands)

    def _loan_returned(self, peer, body, now_s, commands):
        self._lender.returned(peer, body, now_s)

    def _ticked(self, message, now_s, commands):
        """Do nothing more than what handle does with each message."""

    def _assign(self, now_s, commands):
        """Serve own requests and peers' wants by the earliest deadline."""
        while True:
            if self._admission.waiting:
                self._book.drop_unreachable(now_s, commands)
            deadline_s = self._admission.head_deadline_s
            want = self._lender.most_urgent(now_s)
            if want is not None and self._lender.precedes(want, deadline_s, now_s):
                lent = self._lender.lend(want, now_s)
                if lent is not None:
                    commands.append(lent)
                    continue
            if deadline_s == math.inf or not self._book.may_start():
                return
            state = self._pool.best(now_s)
            if state is None:
                return
            self._book.send_head(state, now_s, commands)
