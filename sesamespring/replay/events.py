"""Apply the events of a trace to the simulation."""

from sesamespring.replay.callers import ENTRIES_TTL_S
from sesamespring.replay.event_records import (
    DataCentreIn,
    DataCentreOut,
    LinksCut,
    LinksRestored,
    PlatformDown,
    PlatformSlow,
    PlatformUp,
    TargetCold,
    TargetDrains,
    TargetFailsFast,
    TargetReports,
    TargetReturns,
    TargetSheds,
    TargetSlows,
    VmDies,
    VmPauses,
    VmResumes,
    VmStarts,
    VmStops,
)
from sesamespring.replay.vms import VmState

__all__ = ["apply_event"]

STOP_MARGIN_S = 0.1


def apply_event(simulation, event):
    """Apply one event at the current virtual time.

    Args:
        simulation: The Simulation.
        event: A record of one of the types in ``event_records.EVENTS``.
    """
    _ACTIONS[type(event)](simulation, event)


def _slow_target(simulation, event):
    simulation.targets[event.target].slow_down(event.factor)


def _turn_target_cold(simulation, event):
    simulation.targets[event.target].turn_cold(event.warm_after)


def _make_target_shed(simulation, event):
    simulation.targets[event.target].shed(event.share)


def _make_target_fail_fast(simulation, event):
    simulation.targets[event.target].fail_fast(event.share)


def _ignore_load_report(simulation, event):
    """Do nothing: no policy of the replay uses load reports, true or false."""


def _drain_target(simulation, event):
    simulation.targets[event.target].leave()
    simulation.assignment.declare_leaving(event.target)


def _return_target(simulation, event):
    simulation.targets[event.target].restore()
    simulation.assignment.declare_joining(event.target)


def _take_data_centre_out(simulation, event):
    for target in _targets_in(simulation, event.data_centre):
        target.leave()
    simulation.assignment.declare_data_centre_out(event.data_centre)


def _bring_data_centre_in(simulation, event):
    for target in _targets_in(simulation, event.data_centre):
        target.rejoin()
    simulation.assignment.declare_data_centre_in(event.data_centre)


def _targets_in(simulation, data_centre):
    targets = simulation.targets.values()
    return [target for target in targets if target.record.data_centre == data_centre]


def _stop_vm(simulation, event):
    """Withdraw a VM from use, and end it once no caller can still depend on it.

    Callers may use the VM until their cached entries expire, and wait for a response
    up to the longest deadline after that.
    """
    vm = simulation.vms[event.vm]
    if not vm.running:
        return
    simulation.assignment.vm_stopping(vm)
    longest_s = max(simulation.longest_deadline_s.values())
    ends_after_s = ENTRIES_TTL_S + longest_s + STOP_MARGIN_S
    simulation.schedule.after(ends_after_s, vm.run_or_defer, vm.incarnation, vm.die)


def _kill_vm(simulation, event):
    vm = simulation.vms[event.vm]
    if vm.state is not VmState.DEAD:
        vm.die()
        simulation.assignment.vm_failed(vm)


def _pause_vm(simulation, event):
    vm = simulation.vms[event.vm]
    if vm.running:
        vm.pause()
        simulation.assignment.vm_failed(vm)


def _resume_vm(simulation, event):
    vm = simulation.vms[event.vm]
    if vm.state is VmState.PAUSED:
        vm.resume()
        simulation.assignment.vm_started(vm)


def _start_vm(simulation, event):
    vm = simulation.vms[event.vm]
    if vm.state is VmState.DEAD:
        vm.start()
        simulation.assignment.vm_started(vm)


def _cut_links(simulation, event):
    simulation.links.cut(event.data_centre, event.other)


def _restore_links(simulation, event):
    simulation.links.restore(event.data_centre, event.other)


def _make_platform_action(up, slow):
    def apply(simulation, event):
        simulation.assignment.set_platform(up, slow)

    return apply


_ACTIONS = {
    TargetSlows: _slow_target,
    TargetCold: _turn_target_cold,
    TargetSheds: _make_target_shed,
    TargetFailsFast: _make_target_fail_fast,
    TargetReports: _ignore_load_report,
    TargetDrains: _drain_target,
    TargetReturns: _return_target,
    VmStops: _stop_vm,
    VmDies: _kill_vm,
    VmPauses: _pause_vm,
    VmResumes: _resume_vm,
    VmStarts: _start_vm,
    LinksCut: _cut_links,
    LinksRestored: _restore_links,
    DataCentreOut: _take_data_centre_out,
    DataCentreIn: _bring_data_centre_in,
    PlatformDown: _make_platform_action(up=False, slow=False),
    PlatformSlow: _make_platform_action(up=True, slow=True),
    PlatformUp: _make_platform_action(up=True, slow=False),
}
