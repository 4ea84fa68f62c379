"""Hand holds over to the VMs that should have them, and accept those of others."""

import math

from sesamespring.decisions.hold_messages import HoldHandedOver, SendToVm, Witness
from sesamespring.decisions.holds import HandedOverHold, Hold

__all__ = ["HandoverManager"]

# Time, in ttls, for which a view must be stable before holds are rebalanced.
STABLE_TTLS = 0.5
REBALANCES_PER_TTL = 6


class HandoverManager:
    """The handover of holds between VMs, with one message for each hold.

    The message transfers the hold: the sender drops the hold before it sends the
    message. If the message is lost, the target is unused until the sender takes the
    hold back by means of the table.

    Args:
        vm: Name of this VM.
        ttl_s: Seconds for which a renewal of a session is valid.
        session: The SessionRenewer.
        extensions: The SessionExtensions.
        holds: The Holds.
        is_busy: Function from TargetKey to whether the target has requests in
            progress.
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

    def hand_over_due(
        self, view, view_changed_s, leaving, valid_until_s, now_s, commands
    ):
        """Hand over each hold that another VM should have, once its target is idle.

        Args:
            view: The HoldView.
            view_changed_s: Time of the last change of preferred holders. The view must
                have been stable for a while before a VM that is not leaving hands a
                hold over.
            leaving: Whether this VM hands over all its holds.
            valid_until_s: Function from Hold to the time until which it is valid.
            now_s: The current time in seconds.
            commands: List to append commands to.
        """
        stable = now_s - view_changed_s >= STABLE_TTLS * self._ttl_s
        # Holds are rebalanced one at a time, as each one costs a write to the table.
        may_rebalance = stable and now_s >= self._rebalance_due_s
        for hold in self._holds:
            successor = view.preferred.get(hold.key, self._vm)
            peer = view.peers.get(successor)
            # A successor that cannot reach the platform's table gets a hold only if
            # this VM is leaving.
            successor_reaches_platform = peer is not None and peer.platform_reachable
            hold.handing_over = peer is not None and (
                leaving or (may_rebalance and successor_reaches_platform)
            )
            may_rebalance = may_rebalance and not hold.handing_over
            ready = hold.handing_over and now_s >= hold.quiet_until_s
            if ready and now_s < valid_until_s(hold) and not self._is_busy(hold.key):
                self._hand_over(hold, successor, view.peers, now_s, commands)

    def receive(self, handover):
        """Accept a HoldHandedOver; return whether this VM got the hold."""
        key = handover.key
        hold = self._holds.get(key)
        if hold is not None and hold.epoch >= handover.epoch:
            return False
        if not self._holds.newer_than_handed_over(
            key, handover.session, handover.epoch
        ):
            return False
        own = handover.session == self._session.session
        # A returned hold is valid under the own session only within the same renewal,
        # as other VMs may have taken it over if the session lapsed in between.
        current = own and handover.counter == self._session.lease.counter
        if not own:
            self._extensions.adopt(handover)
        self._holds.add(
            Hold(
                key=key,
                session=handover.session,
                counter=None if current else handover.counter,
                epoch=handover.epoch,
                version=handover.version,
                warm=handover.warm,
            )
        )
        return True

    def _hand_over(self, hold, successor, peers, now_s, commands):
        own = hold.counter is None
        counter = self._session.lease.counter if own else hold.counter
        witnesses = self._witnesses(hold, peers, now_s)
        handover = HoldHandedOver(
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
        handed_over = HandedOverHold(
            hold.session, counter, hold.epoch, witnesses, now_s
        )
        self._holds.hand_over(hold.key, handed_over)
        self._rebalance_due_s = now_s + self._ttl_s / REBALANCES_PER_TTL
        commands.append(SendToVm(successor, handover))

    def _witnesses(self, hold, peers, now_s):
        """Return the Witnesses, with the runs that cannot have released the session."""
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
