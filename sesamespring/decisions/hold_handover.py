"""Pass holds to the VMs that should have them, and take in those passed here."""

import math

from sesamespring.decisions.hold_messages import HoldHandedOver, SendToVm, Witness
from sesamespring.decisions.holds import HandedOverHold, Hold

__all__ = ["HandoverManager"]

STABLE_TTLS = 0.5
REBALANCES_PER_TTL = 6


class HandoverManager:
    """The hand-over of holds between VMs, one message a hold.

    The message is the hold: the sender gives up before it says so, and a message
    that is lost loses capacity until the sender takes the hold back by the table.

    Args:
        vm: Name of this VM.
        ttl_s: Seconds that a session lasts.
        session: The SessionRenewer.
        extensions: The SessionExtensions.
        holds: The Holds.
        is_busy: Function from TargetKey to whether work is in progress there.
        is_warm: Function from TargetKey to whether the target is warm.
    """

    def __init__(self, vm, ttl_s, session, extensions, holds, is_busy, is_warm):
        self._vm = vm
        self._ttl_s = ttl_s
        self._session = session
        self._extensions = extensions
        self._holds = holds
        self._is_busy = is_busy
        self._is_warm = is_warm
        self._rebalance_due_s = -math.inf

    def pass_on(self, view, view_changed_s, leaving, valid_until_s, now_s, commands):
        """Pass on each hold that should be another's and has no work in progress.

        Args:
            view: The HoldView.
            view_changed_s: When preferred holders changed last; a view must have
                been stable for a while before a VM that stays gives up a hold.
            leaving: Whether this VM passes on all that it can.
            valid_until_s: Function from Hold to the time until which it is valid.
            now_s: The time now.
            commands: List to which commands are added.
        """
        stable = now_s - view_changed_s >= STABLE_TTLS * self._ttl_s
        # One hold after the other, as each that moves is a write of the table.
        rebalances = stable and now_s >= self._rebalance_due_s
        for hold in self._holds:
            successor = view.preferred.get(hold.key, self._vm)
            peer = view.peers.get(successor)
            # Without the table a hold moves only where its holder goes away.
            settles = peer is not None and peer.platform_reachable
            hold.handing_over = peer is not None and (
                leaving or (rebalances and settles)
            )
            rebalances = rebalances and not hold.handing_over
            ready = hold.handing_over and now_s >= hold.quiet_until_s
            if ready and now_s < valid_until_s(hold) and not self._is_busy(hold.key):
                self._pass(hold, successor, view.peers, now_s, commands)

    def receive(self, body):
        """Take in a HoldHandedOver; return whether it gave this VM a hold."""
        key = body.key
        hold = self._holds.get(key)
        if hold is not None and hold.epoch >= body.epoch:
            return False
        if not self._holds.newer_than_passed(key, body.session, body.epoch):
            return False
        own = body.session == self._session.session
        # A hold that comes back is as good as before only in the same renewal:
        # after a lapse in between, others may have taken it.
        current = own and body.counter == self._session.lease.counter
        if not own:
            self._extensions.adopt(body)
        self._holds.add(
            Hold(
                key=key,
                session=body.session,
                counter=None if current else body.counter,
                epoch=body.epoch,
                version=body.version,
                warm=body.warm,
            )
        )
        return True

    def _pass(self, hold, successor, peers, now_s, commands):
        own = hold.counter is None
        counter = self._session.lease.counter if own else hold.counter
        witnesses = self._witnesses(hold, peers, now_s)
        body = HoldHandedOver(
            key=hold.key,
            session=hold.session,
            counter=counter,
            ttl_s=self._extensions.get(hold.session).ttl_s,
            epoch=hold.epoch + 1,
            version=hold.version,
            warm=self._is_warm(hold.key),
            quorum=self._extensions.get(hold.session).quorum,
            witnesses=witnesses,
        )
        passed = HandedOverHold(hold.session, counter, hold.epoch, witnesses, now_s)
        self._holds.pass_on(hold.key, passed)
        self._rebalance_due_s = now_s + self._ttl_s / REBALANCES_PER_TTL
        commands.append(SendToVm(successor, body))

    def _witnesses(self, hold, peers, now_s):
        """Name each witness with the run that cannot have released the session."""
        extension = self._extensions.get(hold.session)
        lease = self._session.lease
        addresses = {w.vm: w.address for w in lease.witnesses}
        by_lease = hold.counter is None and now_s < lease.valid_until_s
        witnesses = []
        for vm in extension.witnesses:
            incarnation = extension.incarnation(vm)
            if by_lease and vm in peers:
                incarnation = peers[vm].incarnation
            address = addresses.get(vm, ("", 0))
            witnesses.append(Witness(vm, address, incarnation))
        return tuple(witnesses)
