"""Decide which targets a VM holds: acquire, extend, hand over and take over holds."""

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

    Only one call to the platform is in progress at a time, so that no read returns
    data older than a write of this VM.

    Args:
        vm: Name of this VM.
        incarnation: Identity of this run of its daemon.
        address: Its address for peers, a pair of IP and port.
        ttl_s: Seconds for which a renewal of a session is valid.
        is_busy: Function from TargetKey to whether the target has requests in
            progress.
        is_warm: Function from TargetKey to whether the target is warm.
        longest_work_s: Function from TargetKey to the longest time in seconds that a
            request may run there.
        started_s: The current time in seconds; this VM must already be listening for
            peers.
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
        self._witness_state = WitnessState(started_s, ttl_s)
        self._extensions = SessionExtensions(vm, incarnation, self._witness_state)
        self._takeover = SessionTakeover(vm, ttl_s, self._witness_state)
        self._table = HoldTable(
            vm, ttl_s, self._session, self._holds, self._takeover, longest_work_s
        )
        self._handover = HandoverManager(
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
        self._assigned = ()
        self._witnesses = ()
        self._leaving = False
        self._lapses = 0
        self._pending_calls = {}
        self._call_in_progress = False
        self._handlers = {
            Tick: lambda message, now_s, commands: None,
            SessionWritten: self._session_written,
            SessionRead: self._session_read,
            HoldsRead: self._holds_read,
            HoldsWritten: self._holds_written,
            OperationFailed: self._operation_failed,
            PeerProbed: self._peer_probed,
            PeerMessageReceived: self._peer_message_received,
        }
        self._peer_handlers = {
            PromiseRequested: self._promise_requested,
            PromiseGranted: self._promise_granted,
            ReleaseRequested: self._release_requested,
            ReleaseGranted: self._release_granted,
            HoldHandedOver: self._hold_handed_over,
        }

    @property
    def holds(self):
        """The Holds."""
        return self._holds

    @property
    def platform_away(self):
        """Whether the latest calls to the platform failed."""
        return self._session.platform_away

    @property
    def leaving(self):
        """Whether this VM hands over all its holds."""
        return self._leaving

    @property
    def session_valid_until_s(self):
        """Time until which holds under this VM's own session are valid."""
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
        """Replace this VM's HoldView."""
        if view.preferred != self._view.preferred:
            self._view_changed_s = now_s
        self._view = view
        self._table.poll_soon()
        self._update_assigned()

    def set_witnesses(self, witnesses):
        """Set the tuple of Witness for the next renewal."""
        self._witnesses = witnesses

    def hand_over_all(self):
        """Start to hand over all holds, and acquire no more."""
        self._leaving = True
        self._update_assigned()

    def handle(self, message, now_s):
        """Process one message and return the list of resulting commands.

        Args:
            message: A message of ``decisions.hold_messages``.
            now_s: The current time in seconds.
        """
        commands = []
        self._handlers[type(message)](message, now_s, commands)
        self._sync_with_session()
        self._request_promises(now_s, commands)
        self._handover.hand_over_due(
            self._view,
            self._view_changed_s,
            self._leaving,
            self.valid_until_s,
            now_s,
            commands,
        )
        self._enqueue_calls(
            self._table.due_reads(self._assigned, self._view.peers, now_s)
        )
        self._next_call(now_s, commands)
        return commands

    def _update_assigned(self):
        preferred = self._view.preferred.items()
        assigned = () if self._leaving else (k for k, vm in preferred if vm == self._vm)
        self._assigned = dict.fromkeys(assigned)

    def _enqueue_calls(self, calls):
        for call in calls:
            self._pending_calls.setdefault(call)

    def _next_call(self, now_s, commands):
        if self._call_in_progress:
            return
        call = self._session.next_call(self._witnesses, now_s)
        if call is None:
            # Writes precede reads: with a slow table, new reads may become due as fast
            # as it serves them, and would delay writes without limit.
            call = self._table.next_write(
                self._assigned, self._view.peers, now_s, commands
            )
        if call is None and self._pending_calls and not self._session.platform_away:
            call = next(iter(self._pending_calls))
            del self._pending_calls[call]
        if call is not None:
            self._call_in_progress = True
            commands.append(call)

    def _sync_with_session(self):
        session = self._session
        self._extensions.set_own(session.session, session.lease, self._ttl_s)
        if self._lapses == session.lapses:
            return
        # Other VMs may have taken over the holds while the session had lapsed.
        self._lapses = session.lapses
        self._pending_calls.clear()
        for hold in self._holds:
            if hold.counter is None:
                self._holds.drop(hold.key)
                self._table.recheck(hold.key.service)

    def _request_promises(self, now_s, commands):
        sessions = {hold.session for hold in self._holds} | {self._session.session}
        self._extensions.retain_only(sessions)
        if self._session.platform_away:
            self._extensions.request_promises(
                self._view.peers,
                self._session.lease.valid_until_s,
                self._session.session,
                now_s,
                commands,
            )

    def _operation_failed(self, message, now_s, commands):
        self._call_in_progress = False
        self._session.record_failure(now_s)

    def _session_written(self, message, now_s, commands):
        self._call_in_progress = False
        until_s = self.session_valid_until_s
        self._session.handle_written(message, until_s, now_s)

    def _session_read(self, message, now_s, commands):
        self._call_in_progress = False
        session = message.command.session
        if session == self._session.session:
            self._session.handle_read(message.row, self.session_valid_until_s, now_s)
            return
        self._session.record_success()
        self._takeover.observe(session, message.row, now_s)

    def _holds_read(self, message, now_s, commands):
        self._call_in_progress = False
        self._session.record_success()
        service = message.command.service
        self._enqueue_calls(
            self._table.handle_read(service, message.rows, self._assigned)
        )

    def _holds_written(self, message, now_s, commands):
        self._call_in_progress = False
        self._table.handle_written(message)
        if message.result is WriteResult.UNKNOWN:
            self._session.record_failure(now_s)
        else:
            self._session.record_success()

    def _peer_probed(self, message, now_s, commands):
        self._takeover.handle_probe(message, now_s)

    def _peer_message_received(self, message, now_s, commands):
        self._peer_handlers[type(message.body)](message, now_s, commands)

    def _promise_requested(self, message, now_s, commands):
        body = message.body
        if not self._session.platform_away:
            self._session.call_soon(now_s)
            return
        if self._witness_state.promise(body.session, body.counter, body.ttl_s, now_s):
            response = PromiseGranted(body.session, body.counter, body.asked_s)
            commands.append(SendToVm(message.vm, response))

    def _promise_granted(self, message, now_s, commands):
        own = message.body.session == self._session.session
        end_s = self._session.lease.valid_until_s if own else -math.inf
        self._extensions.record_promise(
            message.vm, message.incarnation, message.body, end_s, now_s
        )

    def _release_requested(self, message, now_s, commands):
        body = message.body
        if self._witness_state.release(body.session, body.counter, now_s):
            response = ReleaseGranted(body.session, body.counter)
            commands.append(SendToVm(message.vm, response))

    def _release_granted(self, message, now_s, commands):
        body = message.body
        self._takeover.record_release(message.vm, body.session, body.counter)

    def _hold_handed_over(self, message, now_s, commands):
        if self._handover.receive(message.body):
            self._enqueue_calls([ReadHolds(message.body.key.service)])
