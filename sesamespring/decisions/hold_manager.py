"""Decide which targets a VM holds: take, extend, pass on and take over holds."""

import math

from sesamespring.decisions.hold_handover import HandoverManager
from sesamespring.decisions.hold_messages import (
    HoldHandedOver,
    HoldsRead,
    HoldsWritten,
    HoldView,
    OperationFailed,
    PeerMessageReceived,
    PeerProbed,
    PromiseGranted,
    PromiseRequested,
    ReadHolds,
    ReleaseGranted,
    ReleaseRequested,
    SendToVm,
    SessionRead,
    SessionWritten,
    Tick,
    WriteResult,
)
from sesamespring.decisions.hold_table import HoldTable
from sesamespring.decisions.holds import Holds
from sesamespring.decisions.session import SessionRenewer
from sesamespring.decisions.session_extensions import SessionExtensions
from sesamespring.decisions.takeover import SessionTakeover
from sesamespring.decisions.witness import WitnessState

__all__ = ["HoldManager"]


class HoldManager:
    """The decisions of one VM on which targets it holds.

    Calls to the platform come out one at a time, so that no read shows what is
    older than a write of this VM.

    Args:
        vm: Name of this VM.
        incarnation: Identity of this run of its daemon.
        address: Its peers' address, a pair of IP and port.
        ttl_s: Seconds that a session lasts without renewal.
        is_busy: Function from TargetKey to whether work is in progress there.
        is_warm: Function from TargetKey to whether the target is warm.
        longest_work_s: Function from TargetKey to the longest that a request may
            run there, in seconds.
        started_s: The time now; this VM must be listening for peers already.
    """

    def __init__(
        self,
        vm,
        incarnation,
        address,
        ttl_s,
        *,
        is_busy,
        is_warm,
        longest_work_s,
        started_s,
    ):
        self._vm = vm
        self._ttl_s = ttl_s
        self._holds = Holds()
        self._session = SessionRenewer(vm, incarnation, address, ttl_s)
        self._duty = WitnessState(started_s, ttl_s)
        self._extensions = SessionExtensions(vm, incarnation, self._duty)
        self._take_over = SessionTakeover(vm, ttl_s, self._duty)
        self._table = HoldTable(
            vm, ttl_s, self._session, self._holds, self._take_over, longest_work_s
        )
        self._passing = HandoverManager(
            vm,
            ttl_s,
            self._session,
            self._extensions,
            self._holds,
            is_busy,
            is_warm,
        )
        self._view = HoldView({}, {})
        self._view_changed_s = started_s
        self._wanted = ()
        self._witnesses = ()
        self._leaving = False
        self._gaps = 0
        self._calls = {}
        self._calling = False
        self._handlers = {
            Tick: lambda message, now_s, commands: None,
            SessionWritten: self._session_written,
            SessionRead: self._session_read,
            HoldsRead: self._holds_read,
            HoldsWritten: self._holds_written,
            OperationFailed: self._operation_failed,
            PeerProbed: self._peer_probed,
            PeerMessageReceived: self._peer_said,
        }
        self._answers = {
            PromiseRequested: self._promise_asked,
            PromiseGranted: self._promise_given,
            ReleaseRequested: self._release_asked,
            ReleaseGranted: self._release_given,
            HoldHandedOver: self._hold_passed,
        }

    @property
    def holds(self):
        """The Holds."""
        return self._holds

    @property
    def platform_away(self):
        """Whether the platform did not answer of late."""
        return self._session.away

    @property
    def leaving(self):
        """Whether this VM passes all its holds on."""
        return self._leaving

    @property
    def session_valid_until_s(self):
        """Time until which holds under the own session are valid."""
        session = self._session.session
        extended_s = self._extensions.valid_until_s(session)
        return max(self._session.lease.valid_until_s, extended_s)

    def valid_until_s(self, hold):
        """Return the time until which a Hold is valid."""
        if hold.counter is None:
            own = hold.session == self._session.session
            return self.session_valid_until_s if own else -math.inf
        extension = self._extensions.get(hold.session)
        if extension is None or extension.counter != hold.counter:
            return -math.inf
        return extension.valid_until_s

    def holds_with_validity(self):
        """Yield a pair of each Hold and the time until which it is valid."""
        session = self._session.session
        session_valid_until_s = self.session_valid_until_s
        for hold in self._holds:
            if hold.counter is None and hold.session == session:
                yield hold, session_valid_until_s
            else:
                yield hold, self.valid_until_s(hold)

    def set_view(self, view, now_s):
        """Take what this VM believes now, a HoldView."""
        if view.preferred != self._view.preferred:
            self._view_changed_s = now_s
        self._view = view
        self._table.poll_soon()
        self._choose_wanted()

    def set_witnesses(self, witnesses):
        """Take the tuple of Witness to name at the next renewal."""
        self._witnesses = witnesses

    def hand_over_all(self):
        """Pass all holds on and take no more."""
        self._leaving = True
        self._choose_wanted()

    def handle(self, message, now_s):
        """Take in one message and return the list of commands that follow."""
        commands = []
        self._handlers[type(message)](message, now_s, commands)
        self._follow_session()
        self._ask_for_promises(now_s, commands)
        self._passing.pass_on(
            self._view,
            self._view_changed_s,
            self._leaving,
            self.valid_until_s,
            now_s,
            commands,
        )
        self._call(self._table.reads(self._wanted, self._view.peers, now_s))
        self._next_call(now_s, commands)
        return commands

    def _choose_wanted(self):
        wanted = self._view.preferred.items()
        own = () if self._leaving else (k for k, vm in wanted if vm == self._vm)
        self._wanted = dict.fromkeys(own)

    def _call(self, calls):
        for call in calls:
            self._calls.setdefault(call)

    def _next_call(self, now_s, commands):
        if self._calling:
            return
        call = self._session.next_call(self._witnesses, now_s)
        if call is None:
            # Before the reads, which may come as fast as a slow table answers.
            call = self._table.next_write(
                self._wanted, self._view.peers, now_s, commands
            )
        if call is None and self._calls and not self._session.away:
            call = next(iter(self._calls))
            del self._calls[call]
        if call is not None:
            self._calling = True
            commands.append(call)

    def _follow_session(self):
        session = self._session
        self._extensions.set_own(session.session, session.lease, self._ttl_s)
        if self._gaps == session.gaps:
            return
        # Others may have taken the holds while the session had lapsed.
        self._gaps = session.gaps
        self._calls.clear()
        for hold in self._holds:
            if hold.counter is None:
                self._holds.drop(hold.key)
                self._table.recheck(hold.key.service)

    def _ask_for_promises(self, now_s, commands):
        sessions = {hold.session for hold in self._holds} | {self._session.session}
        self._extensions.forget_except(sessions)
        if self._session.away:
            self._extensions.ask(
                self._view.peers,
                self._session.lease.valid_until_s,
                self._session.session,
                now_s,
                commands,
            )

    def _operation_failed(self, message, now_s, commands):
        self._calling = False
        self._session.failed(now_s)

    def _session_written(self, message, now_s, commands):
        self._calling = False
        until_s = self.session_valid_until_s
        self._session.written(message, until_s, now_s)

    def _session_read(self, message, now_s, commands):
        self._calling = False
        session = message.command.session
        if session == self._session.session:
            self._session.read(message.row, self.session_valid_until_s, now_s)
            return
        self._session.answered()
        self._take_over.observe(session, message.row, now_s)

    def _holds_read(self, message, now_s, commands):
        self._calling = False
        self._session.answered()
        service = message.command.service
        self._call(self._table.read(service, message.rows, self._wanted))

    def _holds_written(self, message, now_s, commands):
        self._calling = False
        self._table.written(message)
        if message.result is WriteResult.UNKNOWN:
            self._session.failed(now_s)
        else:
            self._session.answered()

    def _peer_probed(self, message, now_s, commands):
        self._take_over.probed(message, now_s)

    def _peer_said(self, message, now_s, commands):
        self._answers[type(message.body)](message, now_s, commands)

    def _promise_asked(self, message, now_s, commands):
        body = message.body
        if not self._session.away:
            self._session.hasten(now_s)
            return
        if self._duty.promise(body.session, body.counter, body.ttl_s, now_s):
            given = PromiseGranted(body.session, body.counter, body.asked_s)
            commands.append(SendToVm(message.vm, given))

    def _promise_given(self, message, now_s, commands):
        own = message.body.session == self._session.session
        end_s = self._session.lease.valid_until_s if own else -math.inf
        self._extensions.given(
            message.vm, message.incarnation, message.body, end_s, now_s
        )

    def _release_asked(self, message, now_s, commands):
        body = message.body
        if self._duty.release(body.session, body.counter, now_s):
            given = ReleaseGranted(body.session, body.counter)
            commands.append(SendToVm(message.vm, given))

    def _release_given(self, message, now_s, commands):
        body = message.body
        self._take_over.released(message.vm, body.session, body.counter)

    def _hold_passed(self, message, now_s, commands):
        if self._passing.receive(message.body):
            self._call([ReadHolds(message.body.key.service)])
