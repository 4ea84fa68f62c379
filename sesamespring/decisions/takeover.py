"""Decide when another session's holds may be taken, and what to ask before."""

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
    """Refused probes so close that no run lived long enough to promise between."""

    first_ended_s: float
    last_sent_s: float


class SessionTakeover:
    """What this VM knows of the sessions whose holds it may want.

    Args:
        vm: Name of this VM.
        ttl_s: Seconds that a session lasts.
        duty: This VM's own WitnessState.
    """

    def __init__(self, vm, ttl_s, duty):
        self._vm = vm
        self._ttl_s = ttl_s
        self._duty = duty
        self._watch = ObservedSessions()
        self._released = {}
        self._refusals = {}
        self._asked = {}
        self._probed = {}

    def row(self, session):
        """Return the SessionRow last read, or None."""
        return self._watch.row(session)

    def observe(self, session, row, now_s):
        """Take a session's row as read, or None where the table has none."""
        self._watch.observe(session, row, now_s)

    def probed(self, message, now_s):
        """Take a PeerProbed."""
        address = message.address
        if not message.refused:
            self._refusals.pop(address, None)
            return
        seen = self._refusals.get(address)
        if seen is None or now_s - seen.last_sent_s >= self._ttl_s * GRACE_SHARE:
            self._refusals[address] = _Refusals(now_s, message.sent_s)
            return
        seen.last_sent_s = message.sent_s

    def released(self, vm, session, counter):
        """Take a witness's release."""
        self._released.setdefault((session, counter), set()).add(vm)

    def forget_except(self, sessions):
        """Drop what is known of all but these sessions."""
        self._watch.forget_except(sessions)
        for session in self._asked.keys() - sessions:
            del self._asked[session]
        for renewal in [r for r in self._released if r[0] not in sessions]:
            del self._released[renewal]

    def may_take(self, session, peers, now_s, commands):
        """Return whether the holds of another's session may be taken now.

        Asks and probes, by ``commands``, where something is wanting.

        Args:
            session: The session.
            peers: PeerState by name of each live peer.
            now_s: The time now.
            commands: List to which commands are added.
        """
        first_seen_s = self._watch.first_seen_s(session)
        if first_seen_s is None:
            return False
        row = self._watch.row(session)
        lapsed = self._watch.lapsed(session, self._ttl_s, now_s)
        if row is None:
            return lapsed
        if not (lapsed or self.proved_dead(session, peers)):
            if row.vm not in peers:
                self._probe(row.address, now_s, commands)
            return False
        return self.is_released(row, row.witnesses, peers, now_s, commands)

    def proved_dead(self, session, peers):
        """Return whether the session's run has certainly ended.

        A run has ended when its address refuses connections, which a paused
        process does not do, or when another run says hello there, either of them
        after the run was seen to have a session.
        """
        row = self._watch.row(session)
        if row is None:
            return False
        first_seen_s = self._watch.first_seen_s(session)
        peer = peers.get(row.vm)
        if peer is not None and peer.address == row.address:
            return peer.incarnation != row.incarnation and peer.linked_s > first_seen_s
        refusals = self._refusals.get(row.address)
        return refusals is not None and refusals.last_sent_s >= first_seen_s

    def is_released(self, lease, witnesses, peers, now_s, commands):
        """Return whether so many witnesses let go that no majority can promise.

        A witness lets go of a renewal by its word, or by being dead for longer than
        its promises last, as its successor's word does not count for the holder.

        Args:
            lease: Anything with ``session`` and ``counter``.
            witnesses: The Witnesses that an extension would need.
            peers: PeerState by name of each live peer.
            now_s: The time now.
            commands: List to which commands are added.
        """
        released = self._released.setdefault((lease.session, lease.counter), set())
        for witness in witnesses:
            if witness.vm == self._vm:
                if self._duty.release(lease.session, lease.counter, now_s):
                    released.add(witness.vm)
            elif witness.vm not in peers and witness.vm not in released:
                self._probe(witness.address, now_s, commands)
                if self._refused_long(witness.address, now_s):
                    released.add(witness.vm)
        wanted = len(witnesses) - majority(len(witnesses)) + 1 if witnesses else 0
        if len(released) >= wanted:
            return True
        asked = sorted({w.vm for w in witnesses} & peers.keys() - released)
        self._ask(lease, asked, now_s, commands)
        return False

    def _ask(self, lease, vms, now_s, commands):
        asked_s = self._asked.get(lease.session, -math.inf)
        if now_s - asked_s >= self._ttl_s / PROBES_PER_TTL:
            self._asked[lease.session] = now_s
            body = ReleaseRequested(lease.session, lease.counter)
            commands.extend(SendToVm(vm, body) for vm in vms)

    def _refused_long(self, address, now_s):
        seen = self._refusals.get(address)
        if seen is None or now_s - seen.last_sent_s >= self._ttl_s * GRACE_SHARE:
            return False
        refused_s = seen.last_sent_s - seen.first_ended_s
        return refused_s > self._ttl_s * (1 + MARGIN_SHARE)

    def _probe(self, address, now_s, commands):
        probed_s = self._probed.get(address, -math.inf)
        if now_s - probed_s >= self._ttl_s / PROBES_PER_TTL:
            self._probed[address] = now_s
            commands.append(ProbePeer(address))
