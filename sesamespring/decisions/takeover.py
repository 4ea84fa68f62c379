"""Decide when the holds of another VM's session may be taken over."""

import math

import attrs

from sesamespring.decisions.hold_messages import (
    ProbePeer,
    ReleaseRequested,
    SendToVm,
)
from sesamespring.decisions.lease import MARGIN_SHARE, ObservedSessions, majority
from sesamespring.decisions.witness import GRACE_SHARE

__all__ = ["SessionTakeover"]

PROBES_PER_TTL = 30


@attrs.define
class _Refusals:
    """A series of refused probes, so close that no run between them could promise."""

    first_ended_s: float
    last_sent_s: float


class SessionTakeover:
    """The state of other sessions whose holds this VM may take over.

    Args:
        vm: Name of this VM.
        ttl_s: Seconds for which a renewal of a session is valid.
        witness_state: The WitnessState of this VM.
    """

    def __init__(self, vm, ttl_s, witness_state):
        self._vm = vm
        self._ttl_s = ttl_s
        self._witness_state = witness_state
        self._observed = ObservedSessions()
        self._released = {}
        self._refusals = {}
        self._last_request_s = {}
        self._last_probe_s = {}

    def row(self, session):
        """Return the SessionRow last read, or None."""
        return self._observed.row(session)

    def observe(self, session, row, now_s):
        """Record a session's row as read, or None if the table has none."""
        self._observed.observe(session, row, now_s)

    def handle_probe(self, message, now_s):
        """Process a PeerProbed."""
        address = message.address
        if not message.refused:
            self._refusals.pop(address, None)
            return
        seen = self._refusals.get(address)
        if seen is None or now_s - seen.last_sent_s >= self._ttl_s * GRACE_SHARE:
            self._refusals[address] = _Refusals(now_s, message.sent_s)
            return
        seen.last_sent_s = message.sent_s

    def record_release(self, vm, session, counter):
        """Record a witness's release of a renewal."""
        self._released.setdefault((session, counter), set()).add(vm)

    def retain_only(self, sessions):
        """Remove the data of all but these sessions."""
        self._observed.retain_only(sessions)
        for session in self._last_request_s.keys() - sessions:
            del self._last_request_s[session]
        for renewal in [r for r in self._released if r[0] not in sessions]:
            del self._released[renewal]

    def may_take(self, session, peers, now_s, commands):
        """Return whether the holds of another session may be taken over.

        If a precondition is missing, appends probes and requests for releases to
        ``commands``.

        Args:
            session: The session.
            peers: PeerState of each live peer, by name of the VM.
            now_s: The current time in seconds.
            commands: List to append commands to.
        """
        first_seen_s = self._observed.first_seen_s(session)
        if first_seen_s is None:
            return False
        row = self._observed.row(session)
        lapsed = self._observed.lapsed(session, self._ttl_s, now_s)
        if row is None:
            return lapsed
        if not (lapsed or self.is_proven_dead(session, peers)):
            if row.vm not in peers:
                self._probe(row.address, now_s, commands)
            return False
        return self.is_released(row, row.witnesses, peers, now_s, commands)

    def is_proven_dead(self, session, peers):
        """Return whether the daemon run of a session has certainly ended.

        A run has ended if its address refuses connections, which a paused process does
        not do, or if another run sends a Hello from there, in both cases after the
        session's latest renewal was first read.
        """
        row = self._observed.row(session)
        if row is None:
            return False
        first_seen_s = self._observed.first_seen_s(session)
        peer = peers.get(row.vm)
        if peer is not None and peer.address == row.address:
            return peer.incarnation != row.incarnation and peer.linked_s > first_seen_s
        refusals = self._refusals.get(row.address)
        return refusals is not None and refusals.last_sent_s >= first_seen_s

    def is_released(self, lease, witnesses, peers, now_s, commands):
        """Return whether so many witnesses released that no majority can promise.

        A witness counts as released if it sent a release, or if it has been dead for
        longer than its promises last, as the promises of its successor do not count
        for the holder.

        Args:
            lease: Object with ``session`` and ``counter``, the renewal.
            witnesses: The Witnesses that an extension would need.
            peers: PeerState of each live peer, by name of the VM.
            now_s: The current time in seconds.
            commands: List to append commands to.
        """
        released = self._released.setdefault((lease.session, lease.counter), set())
        for witness in witnesses:
            if witness.vm == self._vm:
                if self._witness_state.release(lease.session, lease.counter, now_s):
                    released.add(witness.vm)
            elif witness.vm not in peers and witness.vm not in released:
                self._probe(witness.address, now_s, commands)
                if self._refused_for_long(witness.address, now_s):
                    released.add(witness.vm)
        needed = len(witnesses) - majority(len(witnesses)) + 1 if witnesses else 0
        if len(released) >= needed:
            return True
        reachable = sorted({w.vm for w in witnesses} & peers.keys() - released)
        self._request_releases(lease, reachable, now_s, commands)
        return False

    def _request_releases(self, lease, vms, now_s, commands):
        requested_s = self._last_request_s.get(lease.session, -math.inf)
        if now_s - requested_s >= self._ttl_s / PROBES_PER_TTL:
            self._last_request_s[lease.session] = now_s
            body = ReleaseRequested(lease.session, lease.counter)
            commands.extend(SendToVm(vm, body) for vm in vms)

    def _refused_for_long(self, address, now_s):
        seen = self._refusals.get(address)
        if seen is None or now_s - seen.last_sent_s >= self._ttl_s * GRACE_SHARE:
            return False
        refused_s = seen.last_sent_s - seen.first_ended_s
        return refused_s > self._ttl_s * (1 + MARGIN_SHARE)

    def _probe(self, address, now_s, commands):
        last_probe_s = self._last_probe_s.get(address, -math.inf)
        if now_s - last_probe_s >= self._ttl_s / PROBES_PER_TTL:
            self._last_probe_s[address] = now_s
            commands.append(ProbePeer(address))
