"""Track which entry VMs and targets are in use, and assign targets to VMs.

SharedAssignment, the rule of the baselines, lets all VMs send to all targets.
"""

import attrs

from sesamespring.decisions.groups import Candidate
from sesamespring.decisions.messages import (
    HeldTarget,
    HeldTargetsChanged,
)

__all__ = ["Entry", "Assignment", "SharedAssignment", "make_held_target"]

# Delay between a declaration of the operators and its effect.
CONFIGURATION_DELAY_S = 0.5
# Delay until the other VMs detect that a VM died or is paused.
HEARTBEAT_TIMEOUT_S = 2.0


@attrs.frozen
class Entry:
    """An entry VM that callers of a service may use.

    Attributes:
        vm: Name of the VM.
        weight: Its weight in the random choice of the callers.
    """

    vm: str
    weight: int = 1


class Assignment:
    """Base of the rules that decide which VM may send to which target.

    It tracks which VMs are live, and which targets and data centres are in service.
    A subclass provides ``entries``, ``_update`` and ``_send_targets``.

    Args:
        simulation: The Simulation; its schedule, services, VMs and targets are used.
    """

    def __init__(self, simulation):
        self._simulation = simulation
        self._schedule = simulation.schedule
        self._live = {name for name, vm in simulation.vms.items() if vm.running}
        self._data_centres_out = set()
        self._leaving = set()
        for vm in simulation.vms.values():
            vm.on_runner_created = self._send_targets

    def start(self):
        """Send every VM its first targets."""
        self._update()

    def declare_leaving(self, target):
        """Take a target, given by name, out of service after CONFIGURATION_DELAY_S."""
        self._leaving.add(target)
        self._schedule.after(CONFIGURATION_DELAY_S, self._update)

    def declare_joining(self, target):
        """Take a target, given by name, into service after CONFIGURATION_DELAY_S."""
        self._leaving.discard(target)
        self._schedule.after(CONFIGURATION_DELAY_S, self._update)

    def declare_data_centre_out(self, data_centre):
        """Take a data centre out of service after CONFIGURATION_DELAY_S."""
        self._data_centres_out.add(data_centre)
        self._schedule.after(CONFIGURATION_DELAY_S, self._update)

    def declare_data_centre_in(self, data_centre):
        """Take a data centre into service after CONFIGURATION_DELAY_S."""
        self._data_centres_out.discard(data_centre)
        self._schedule.after(CONFIGURATION_DELAY_S, self._update)

    def vm_started(self, vm):
        """Update for a SimulatedVm that started or resumed."""
        self._live.add(vm.record.name)
        self._update()

    def vm_stopping(self, vm):
        """Update for a SimulatedVm that begins a planned stop."""
        self._live.discard(vm.record.name)
        self._update()

    def vm_failed(self, vm):
        """Update for a SimulatedVm that died or paused, after HEARTBEAT_TIMEOUT_S.

        A VM that is running again by then stays in use.
        """
        self._schedule.after(HEARTBEAT_TIMEOUT_S, self._detect_failure, vm)

    def set_platform(self, up, slow):
        """Set whether the table service of the platform responds, and whether slowly.

        Only a rule that uses leases depends on it.
        """

    def _detect_failure(self, vm):
        if not vm.running:
            self._live.discard(vm.record.name)
            self._update()

    def _candidates(self):
        return [
            Candidate(name, self._simulation.vms[name].record.data_centre)
            for name in sorted(self._live)
            if self._simulation.vms[name].record.data_centre
            not in self._data_centres_out
        ]

    def _in_service(self, target):
        record = target.record
        out = record.data_centre in self._data_centres_out
        return not out and record.name not in self._leaving


class SharedAssignment(Assignment):
    """Let every VM send to every target in service."""

    def entries(self, service):
        """Return a tuple with an Entry for each VM that callers may use."""
        return tuple(Entry(candidate.name) for candidate in self._candidates())

    def _update(self):
        for vm in self._simulation.vms.values():
            if vm.running:
                for service in self._simulation.services:
                    self._send_targets(vm, service)

    def _send_targets(self, vm, service):
        held = tuple(
            make_held_target(target.record, vm)
            for target in self._simulation.targets_by_service[service]
            if self._in_service(target)
        )
        vm.handle_message(service, HeldTargetsChanged(held))


def make_held_target(record, vm):
    """Return the HeldTarget that a SimulatedVm gets for a TargetRecord."""
    return HeldTarget(
        record.name,
        record.slots,
        record.cold_slots,
        record.data_centre == vm.record.data_centre,
    )
