"""Assign each target to one entry VM at a time, through failures of VMs and platform.

The rule is a simple model of the leases of the daemon; docs/design/replay.md
specifies it.
"""

import collections

import attrs

from sesamespring.decisions.groups import choose_group, choose_holder
from sesamespring.decisions.hold_table import CANCEL_S
from sesamespring.decisions.lease import MARGIN_SHARE
from sesamespring.decisions.messages import (
    HeldTargetsChanged,
    Peer,
    PeersChanged,
)
from sesamespring.replay.assignment import Assignment, Entry, make_held_target
from sesamespring.replay.vms import VmState

__all__ = ["ExclusiveAssignment"]

LEASE_S = 6.0
LEASE_MARGIN_S = LEASE_S * MARGIN_SHARE
RENEWAL_INTERVAL_S = 2.0
# Extra wait before a lease counts as lapsed while the table service is slow.
PLATFORM_SLOW_S = 2.0
# Least duration of a handover between two live VMs.
HAND_OVER_MIN_S = 0.05
# Interval of the checks whether the work of the previous holder has ended.
HAND_OVER_POLL_S = 0.01


@attrs.define(eq=False)
class _Hold:
    """Which VM holds a target.

    Attributes:
        target: The SimulatedTarget.
        holder: Name of the VM, or None.
        handing_over: Whether the work of the previous holder has yet to end.
        quiet_until_s: Time until which the holder must not send to the target.
        cold: Whether the holder must treat the target as in cold start.
    """

    target: object
    holder: str | None = None
    handing_over: bool = False
    quiet_until_s: float = 0.0
    cold: bool = False


class ExclusiveAssignment(Assignment):
    """Let one VM of the group of its service hold each target."""

    def __init__(self, simulation):
        super().__init__(simulation)
        self._holds = {name: _Hold(t) for name, t in simulation.targets.items()}
        self._group_by_service = dict.fromkeys(simulation.services, ())
        self._entries = dict.fromkeys(simulation.services, ())
        self._valid_until_s = {}
        self._platform_up = True
        self._platform_slow = False

    def start(self):
        """Assign all targets as warm, and start to renew leases periodically."""
        super().start()
        self._renew_leases()

    def entries(self, service):
        """Return a tuple with an Entry for each VM of the group.

        Its weight is the number of slots of the targets that the VM should hold.
        """
        return self._entries[service]

    def vm_started(self, vm):
        """Update for a VM that started or resumed; its lease is renewed."""
        self._renew_lease(vm)
        super().vm_started(vm)

    def set_platform(self, up, slow):
        """Set whether the platform's table service responds, and whether slowly."""
        self._platform_up = up
        self._platform_slow = slow
        self._update()

    def _renew_leases(self):
        for vm in self._simulation.vms.values():
            if vm.running:
                self._renew_lease(vm)
                for service in self._simulation.services:
                    if any(self._holds_of(vm, service)):
                        self._send_targets(vm, service)
        self._schedule.after(RENEWAL_INTERVAL_S, self._renew_leases)

    def _renew_lease(self, vm):
        self._valid_until_s[vm.record.name] = self._schedule.now_s + LEASE_S

    def _update(self):
        candidates = self._candidates()
        for service, record in self._simulation.services.items():
            group = choose_group(service, record.group_size, candidates)
            self._group_by_service[service] = group
            members = [c for c in candidates if c.name in group]
            weights = collections.Counter()
            for target in self._simulation.targets_by_service[service]:
                new_holder = self._choose_holder(target, members)
                weights[new_holder] += target.record.slots
                self._assign(self._holds[target.record.name], new_holder)
            self._entries[service] = tuple(
                Entry(name, max(1, weights[name])) for name in group
            )
            for vm in self._simulation.vms.values():
                if vm.running:
                    self._send_targets(vm, service)

    def _choose_holder(self, target, members):
        """Return the name of the VM that should hold a target, or None."""
        if not members or not self._in_service(target):
            return None
        record = target.record
        return choose_holder(record.name, record.data_centre, members)

    def _assign(self, hold, new_holder):
        if hold.handing_over:
            return
        if new_holder is None:
            hold.holder = None
            hold.cold = True
            return
        if hold.holder == new_holder:
            return
        if hold.holder is None:
            self._set_holder(hold, new_holder)
        elif hold.holder in self._live:
            self._hand_over(hold)
        else:
            self._take_over(hold)

    def _set_holder(self, hold, new_holder):
        hold.holder = new_holder
        if new_holder not in self._valid_until_s:
            self._renew_lease(self._simulation.vms[new_holder])

    def _hand_over(self, hold):
        hold.handing_over = True
        hold.holder = None
        self._schedule.after(HAND_OVER_MIN_S, self._finish_hand_over, hold)

    def _finish_hand_over(self, hold):
        """Free the hold for its new holder once the target has no work in progress."""
        if hold.target.in_progress:
            self._schedule.after(HAND_OVER_POLL_S, self._finish_hand_over, hold)
            return
        hold.handing_over = False
        hold.cold = hold.target.cold
        self._update()

    def _take_over(self, hold):
        """Free a hold of a VM that is not live once its lease has lapsed.

        A dead VM loses it at once. Its connections are closed, so its work at the
        target is cancelled within CANCEL_S. A paused VM may have requests in progress
        there up to the longest deadline of the service. No hold is freed while the
        platform's table service does not respond.
        """
        vm = self._simulation.vms[hold.holder]
        if not self._platform_up:
            return
        now_s = self._schedule.now_s
        ends_s = self._valid_until_s[hold.holder] + LEASE_MARGIN_S
        dead = vm.state is VmState.DEAD
        if self._platform_slow:
            ends_s += PLATFORM_SLOW_S
        if not dead and now_s < ends_s:
            self._schedule.at(ends_s, self._update)
            return
        service = hold.target.record.service
        work_s = self._simulation.longest_deadline_s[service]
        hold.quiet_until_s = now_s + (CANCEL_S if dead else work_s)
        hold.holder = None
        hold.cold = True
        self._schedule.after(0.0, self._update)

    def _holds_of(self, vm, service):
        name = vm.record.name
        for target in self._simulation.targets_by_service[service]:
            hold = self._holds[target.record.name]
            if hold.holder == name:
                yield hold

    def _send_targets(self, vm, service):
        name = vm.record.name
        valid_until_s = self._valid_until_s.get(name, 0.0)
        held = tuple(
            attrs.evolve(
                make_held_target(hold.target.record, vm),
                valid_until_s=valid_until_s,
                quiet_until_s=hold.quiet_until_s,
                cold=hold.cold,
            )
            for hold in self._holds_of(vm, service)
        )
        peers = tuple(
            Peer(peer, self._is_local(peer, vm))
            for peer in self._group_by_service[service]
            if peer != name
        )
        vm.handle_message(service, PeersChanged(peers))
        vm.handle_message(service, HeldTargetsChanged(held))

    def _is_local(self, peer, vm):
        return self._simulation.vms[peer].record.data_centre == vm.record.data_centre
