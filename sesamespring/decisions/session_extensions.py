"""Request promises for sessions in use while the platform is unavailable."""

import math

from sesamespring.decisions.hold_messages import PromiseRequested, SendToVm
from sesamespring.decisions.witness import SessionExtension

__all__ = ["SessionExtensions"]

REQUESTS_PER_TTL = 6


class SessionExtensions:
    """The extensions of all sessions under which this VM holds targets.

    Args:
        vm: Name of this VM.
        incarnation: Identity of its run.
        witness_state: The WitnessState of this VM, as it may be a witness of a session
            whose hold was handed over to it.
    """

    def __init__(self, vm, incarnation, witness_state):
        self._vm = vm
        self._incarnation = incarnation
        self._witness_state = witness_state
        self._extensions = {}
        self._requested_s = {}

    def valid_until_s(self, session):
        """Return the time until which a quorum of a session's witnesses promised."""
        extension = self._extensions.get(session)
        return -math.inf if extension is None else extension.valid_until_s

    def get(self, session):
        """Return the SessionExtension of a session, or None."""
        return self._extensions.get(session)

    def set_own(self, session, lease, ttl_s):
        """Update the extension of this VM's session from its lease.

        Args:
            session: The own session.
            lease: Its SessionLease.
            ttl_s: Seconds for which a promise lasts.
        """
        names = [witness.vm for witness in lease.witnesses]
        extension = self._extensions.get(session)
        if extension is None or extension.counter != lease.counter:
            incarnations = dict.fromkeys(names)
            self._extensions[session] = SessionExtension(
                lease.counter, ttl_s, lease.quorum, incarnations
            )
        else:
            extension.require_witnesses(names, lease.quorum)

    def adopt(self, handover):
        """Add the extension of the session of a HoldHandedOver, unless it is older."""
        incarnations = {
            witness.vm: witness.incarnation for witness in handover.witnesses
        }
        extension = self._extensions.get(handover.session)
        if extension is None or extension.counter < handover.counter:
            self._extensions[handover.session] = SessionExtension(
                handover.counter, handover.ttl_s, handover.quorum, incarnations
            )

    def retain_only(self, sessions):
        """Remove all but these sessions."""
        for session in self._extensions.keys() - sessions:
            del self._extensions[session]
            self._requested_s.pop(session, None)

    def request_promises(self, peers, lease_until_s, own_session, now_s, commands):
        """Request promises for each session whose last request is old enough.

        Args:
            peers: Names of the live peers.
            lease_until_s: End of the own session's lease in the table.
            own_session: The own session.
            now_s: The current time in seconds.
            commands: List to append commands to.
        """
        for session, extension in self._extensions.items():
            requested_s = self._requested_s.get(session, -math.inf)
            if now_s - requested_s < extension.ttl_s / REQUESTS_PER_TTL:
                continue
            self._requested_s[session] = now_s
            body = PromiseRequested(session, extension.counter, extension.ttl_s, now_s)
            for vm in extension.witnesses:
                if vm in peers:
                    commands.append(SendToVm(vm, body))
                elif vm == self._vm and self._promise_as_witness(body, now_s):
                    end_s = lease_until_s if session == own_session else -math.inf
                    extension.record_promise(vm, self._incarnation, now_s, now_s, end_s)

    def record_promise(self, vm, incarnation, promise, lease_until_s, now_s):
        """Record a PromiseGranted; see SessionExtension.record_promise."""
        extension = self._extensions.get(promise.session)
        if extension is not None and extension.counter == promise.counter:
            extension.record_promise(
                vm, incarnation, promise.asked_s, now_s, lease_until_s
            )

    def _promise_as_witness(self, body, now_s):
        return self._witness_state.promise(
            body.session, body.counter, body.ttl_s, now_s
        )
