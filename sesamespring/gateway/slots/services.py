"""Keep a scheduler for each declared service and choose the VM that schedules it."""

import asyncio

from sesamespring.gateway.slots.runner import ServiceRunner
from sesamespring.routing.retry_budget import RetryBudget
from sesamespring.routing.scheduler import ServiceScheduler
from sesamespring.routing.vm_selection import decider_order, vms_for_callers

__all__ = ["Services"]


class Services:
    """The ServiceRunner of each declared service, and the choice of its VMs.

    Each service has one decider: the VM that schedules its requests.

    Args:
        settings: The VmSettings.
        cluster_state: The ClusterState.
        peers: The Peers.
        target_connections: The TargetConnectionPool.
        limits: The TargetLimits.
        quotas: The QuotaGate, or None without quotas.
    """

    def __init__(
        self, settings, cluster_state, peers, target_connections, limits, quotas=None
    ):
        self._settings = settings
        self._cluster_state = cluster_state
        self._peers = peers
        self._target_connections = target_connections
        self._limits = limits
        self._quotas = quotas
        self._runners = {}
        self._deciders = {}
        self._vms_for_callers = {}
        self._loop = asyncio.get_running_loop()

    def runner(self, service):
        """Return the ServiceRunner of a service, or None if it was never declared."""
        return self._runners.get(service)

    def runners(self):
        """Return pairs of service and ServiceRunner."""
        return self._runners.items()

    def decider(self, service):
        """Return the name of a service's decider, or an empty string without VMs."""
        first = self._first_deciders(service)
        return first[0] if first else ""

    def lenders(self, service):
        """Return the addresses of a service's decider and of the next one, a tuple."""
        members = {**self._peers.alive, self._settings.process_name: self._peers.own}
        names = self._first_deciders(service)
        return tuple([members[name].address for name in names if name in members])

    def vms_for_callers(self, service, data_centre):
        """Return the Members that the directory names to callers in a data centre."""
        key = (service, data_centre)
        members = self._vms_for_callers.get(key)
        if members is None:
            slots = sum(entry.slots for entry in self._cluster_state.targets(service))
            members = vms_for_callers(
                service, self._members_reaching(service), data_centre, slots
            )
            self._vms_for_callers[key] = members
        return members

    def is_decider(self, service):
        """Whether this VM is a service's decider."""
        return self.decider(service) == self._settings.process_name

    def services_to_probe(self):
        """Return pairs of ServiceRunner and health path to send health checks for.

        Only a service's decider probes its targets, so that the number of health checks
        does not grow with the number of VMs.
        """
        configuration = self._cluster_state.configuration
        if configuration is None:
            return []
        return [
            (runner, configuration.services[name].health_path)
            for name, runner in self._runners.items()
            if name in configuration.services
            and runner.in_use
            and self.is_decider(name)
        ]

    def choose_deciders_again(self):
        """Choose each service's decider again when it is needed, as VMs have changed.

        ``update`` may follow later, as it costs more: until then this VM must not go on
        deciding for services that another one decides for.
        """
        self._deciders.clear()

    def update(self):
        """Update all schedulers after a change of the VMs, with this one."""
        self._deciders.clear()
        self.update_targets()

    def update_targets(self):
        """Update all schedulers after a change of the ClusterState.

        The deciders, which depend on the VMs alone, stay the same.
        """
        self._vms_for_callers.clear()
        configuration = self._cluster_state.configuration
        if configuration is None:
            return
        for name, declaration in configuration.services.items():
            self._update_service(name, declaration)
            self._runners[name].scheduler.shares.set_accounts(configuration.accounts)
        if self._quotas is not None:
            self._quotas.update(self.lenders)
        keys = set()
        for runner in self._runners.values():
            keys.update(runner.scheduler.targets.states)
        self._target_connections.keep_only(keys)
        for runner in self._runners.values():
            runner.advance()

    def apply_limits(self):
        """Make all schedulers keep to the present limits of their targets."""
        for runner in self._runners.values():
            runner.scheduler.targets.apply_limits(self._loop.time())
            runner.advance()

    def close(self):
        """Close all ServiceRunners."""
        for runner in self._runners.values():
            runner.close()

    def _update_service(self, name, declaration):
        runner = self._runners.get(name)
        if runner is None:
            runner = ServiceRunner(self._make_scheduler(declaration), self._quotas)
            self._runners[name] = runner
        targets = runner.scheduler.targets
        targets.set_declaration(declaration)
        targets.set_vms(
            len(self._serving_members()),
            not self.is_decider(name),
            self._peers.known_count,
        )
        closed = self._cluster_state.closed_data_centres
        targets.set_targets(
            self._cluster_state.targets(name), closed, self._loop.time()
        )

    def _make_scheduler(self, declaration):
        bounds = self._settings.bounds
        budget = RetryBudget(
            bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_s
        )
        take_token = self._quotas.take_extra if self._quotas is not None else None
        return ServiceScheduler(
            declaration, bounds, budget, self._limits.stated, take_token
        )

    def _first_deciders(self, service):
        """Return the names of a service's decider and of the next one, if any."""
        first = self._deciders.get(service)
        if first is None:
            order = decider_order(service, self._members_reaching(service))
            first = self._deciders[service] = order[:2]
        return first

    def _members_reaching(self, service):
        """Return the serving Members that reach a service's targets, or all if none."""
        serving = self._serving_members()
        reaching = [member for member in serving if member.reaches(service)]
        return reaching or serving

    def _serving_members(self):
        """Return the Members that accept requests.

        Without any, return this VM alone if it has a callers' port.
        """
        own = self._peers.own
        members = [*self._peers.alive.values(), own]
        serving = [m for m in members if m.ready and not m.leaving]
        return serving or ([own] if own.callers_port else [])
