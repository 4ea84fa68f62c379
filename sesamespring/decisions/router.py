"""Route the requests of one service to held targets and to slots lent by peers."""

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
    """The routing decisions of one service on one entry VM.

    Each call of ``handle`` takes one message and returns the commands that the daemon
    must run.

    Args:
        queue_length: Maximum number of waiting requests.
        longest_work_s: Longest time in seconds that a request may be in progress.
        first_loan_id: Id of the first loan; must differ between runs of the process.
        hedging: Whether slow idempotent requests get a second, concurrent attempt.
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
        self._tracker = RequestTracker(self._pool, self._admission, hedging, bulk_limit)
        self._handlers = {
            RequestArrived: self._request_arrived,
            RequestWithdrawn: self._request_withdrawn,
            AttemptEnded: self._attempt_ended,
            ServiceChanged: self._service_changed,
            HeldTargetsChanged: self._held_targets_changed,
            PeersChanged: self._peers_changed,
            PeerMessage: self._peer_message_received,
            Tick: self._ignore_tick,
        }
        self._peer_handlers = {
            SlotsWanted: self._slots_wanted,
            SlotLent: self._slot_lent,
            LoanReturned: self._loan_returned,
        }

    @property
    def in_progress(self):
        """Number of attempts in progress for requests of this VM."""
        return self._tracker.in_progress

    @property
    def lent(self):
        """Number of slots that are lent to peers."""
        return self._lender.lent

    @property
    def waiting(self):
        """Number of requests that wait for a target."""
        return self._admission.waiting

    @property
    def next_wake_s(self):
        """Latest time at which a Tick must be passed in, or None."""
        times = (
            self._timers.next_s,
            self._pool.next_overdue_s,
            self._tracker.next_hedge_s,
            self._borrower.next_refresh_s,
            self._admission.next_s,
        )
        return min((time for time in times if time is not None), default=None)

    def is_busy(self, target):
        """Return whether a target may have requests in progress.

        Includes slots that are lent to peers.
        """
        return self._pool.is_busy(target)

    def is_warm(self, target):
        """Return whether a held target is known to be warm."""
        return self._pool.is_warm(target)

    def handle(self, message, now_s):
        """Process one message and return the list of resulting commands.

        Args:
            message: A message of ``decisions.messages``.
            now_s: The current time in seconds.
        """
        commands = []
        self._timers.run_due(now_s)
        self._pool.update_overdue(now_s)
        self._handlers[type(message)](message, now_s, commands)
        self._assign(now_s, commands)
        if self._admission.waiting:
            self._tracker.drop_unreachable(now_s, commands, spare_new=False)
        self._tracker.hedge(now_s, commands)
        if self._admission.waiting or self._borrower.has_open_request:
            self._borrow(now_s, commands)
        return commands

    def _request_arrived(self, message, now_s, commands):
        if not self._pool.slots and not self._borrower.has_peers:
            commands.append(FailRequest(message.request_id, ErrorKind.NO_CAPACITY))
            return
        self._tracker.arrive(message, now_s, commands)

    def _request_withdrawn(self, message, now_s, commands):
        self._tracker.withdraw(message, commands)

    def _attempt_ended(self, message, now_s, commands):
        self._tracker.finish_attempt(message, now_s, commands)

    def _borrow(self, now_s, commands):
        admission = self._admission
        count = admission.waiting if self._tracker.may_start() else 0
        commands += self._borrower.request_slots(
            count, admission.head_deadline_s, now_s
        )

    def _service_changed(self, message, now_s, commands):
        self._admission.set_length(message.queue_length)
        self._lender.extend_longest_work(message.longest_work_s)
        self._tracker.set_bulk(message.bulk)

    def _held_targets_changed(self, message, now_s, commands):
        self._pool.set_held(message.targets, now_s)

    def _peers_changed(self, message, now_s, commands):
        self._borrower.set_peers(message.peers)

    def _peer_message_received(self, message, now_s, commands):
        handler = self._peer_handlers[type(message.body)]
        handler(message.peer, message.body, now_s, commands)

    def _slots_wanted(self, peer, body, now_s, commands):
        self._lender.record_request(peer, body, now_s)

    def _slot_lent(self, peer, body, now_s, commands):
        send_by_s = self._borrower.accept(peer, body, now_s)
        self._tracker.drop_unreachable(now_s, commands)
        needed = self._admission.waiting and self._tracker.may_start()
        if send_by_s is None or not needed:
            unused = LoanReturned(body.loan_id, None, 0.0)
            commands.append(SendToPeer(peer, unused))
            return
        loan = Loan(peer, body.loan_id, body.target)
        self._tracker.send_head_on_loan(loan, send_by_s, now_s, commands)

    def _loan_returned(self, peer, body, now_s, commands):
        self._lender.handle_returned(peer, body, now_s)

    def _ignore_tick(self, message, now_s, commands):
        """Do nothing; ``handle`` does the periodic work with every message."""

    def _assign(self, now_s, commands):
        """Serve own requests and slot requests of peers, earliest deadline first."""
        while True:
            if self._admission.waiting:
                self._tracker.drop_unreachable(now_s, commands)
            deadline_s = self._admission.head_deadline_s
            slot_request = self._lender.most_urgent(now_s)
            if slot_request is not None and self._lender.precedes(
                slot_request, deadline_s, now_s
            ):
                lent = self._lender.lend(slot_request, now_s)
                if lent is not None:
                    commands.append(lent)
                    continue
            if deadline_s == math.inf or not self._tracker.may_start():
                return
            state = self._pool.best(now_s)
            if state is None:
                return
            self._tracker.send_head(state, now_s, commands)
