"""Ask witnesses for promises while the platform is away, for each session in use."""

import math

from sesamespring.decisions.hold_messages import PromiseRequested, SendToVm
from sesamespring.decisions.witness import SessionExtension

__all__ = ["SessionExtensions"]

ASKS_PER_TTL = 6


class SessionExtensions:
    """The sessions under which this VM holds targets, by the word of witnesses.

    Args:
        vm: Name of this VM.
        incarnation: Identity of its run.
        duty: This VM's own WitnessState, as it may be a witness of a session that it
            was passed.
    """

    def __init__(self, vm, incarnation, duty):
        self._vm = vm
        self._incarnation = incarnation
        self._duty = duty
        self._extensions = {}
        self._asked_s = {}

    def valid_until_s(self, session):
        """Return the time until which enough witnesses promised."""
        extension = self._extensions.get(session)
        return -math.inf if extension is None else extension.valid_until_s

    def get(self, session):
        """Return the SessionExtension of a session, or None."""
        return self._extensions.get(session)

    def set_own(self, session, lease, ttl_s):
        """Keep the own session's SessionExtension in line with its SessionLease."""
        names = [witness.vm for witness in lease.witnesses]
        extension = self._extensions.get(session)
        if extension is None or extension.counter != lease.counter:
            known = dict.fromkeys(names)
            self._extensions[session] = SessionExtension(
                lease.counter, ttl_s, lease.quorum, known
            )
        else:
            extension.require(names, lease.quorum)

    def adopt(self, passed):
        """Take over the SessionExtension of a HoldHandedOver's session."""
        known = {witness.vm: witness.incarnation for witness in passed.witnesses}
        extension = self._extensions.get(passed.session)
        if extension is None or extension.counter < passed.counter:
            self._extensions[passed.session] = SessionExtension(
                passed.counter, passed.ttl_s, passed.quorum, known
            )

    def forget_except(self, sessions):
        """Drop all sessions but these."""
        for session in self._extensions.keys() - sessions:
            del self._extensions[session]
            self._asked_s.pop(session, None)

    def ask(self, peers, lease_until_s, own_session, now_s, commands):
        """Ask the witnesses of each session whose last asking is long past.

        Args:
            peers: Names of the live peers.
            lease_until_s: End of the own session's lease in the table.
            own_session: The own session.
            now_s: The time now.
            commands: List to which commands are added.
        """
        for session, extension in self._extensions.items():
            asked_s = self._asked_s.get(session, -math.inf)
            if now_s - asked_s < extension.ttl_s / ASKS_PER_TTL:
                continue
            self._asked_s[session] = now_s
            body = PromiseRequested(session, extension.counter, extension.ttl_s, now_s)
            for vm in extension.witnesses:
                if vm in peers:
                    commands.append(SendToVm(vm, body))
                elif vm == self._vm and self._promise(body, now_s):
                    end_s = lease_until_s if session == own_session else -math.inf
                    extension.count(vm, self._incarnation, now_s, now_s, end_s)

    def given(self, vm, incarnation, given, lease_until_s, now_s):
        """Count a PromiseGranted; see SessionExtension.count."""
        extension = self._extensions.get(given.session)
        if extension is not None and extension.counter == given.counter:
            extension.count(vm, incarnation, given.asked_s, now_s, lease_until_s)

    def _promise(self, body, now_s):
        return self._duty.promise(body.session, body.counter, body.ttl_s, now_s)
