"""Bring the estate, the live VMs and the services' schedulers together."""

import asyncio

from sesamespring.gateway.runner import ServiceRunner
from sesamespring.routing.budget import RetryBudget
from sesamespring.routing.holders import rank
from sesamespring.routing.scheduler import ServiceScheduler

__all__ = ["Services"]

NAMED_VMS = 2


class Services:
    """One ServiceRunner for each declared service, and who decides for it.

    Args:
        settings: The VmSettings.
        estate: The Estate.
        peers: The Peers.
        channels: The TargetChannels.
    """

    def __init__(self, settings, estate, peers, channels):
        self._settings = settings
        self._estate = estate
        self._peers = peers
        self._channels = channels
        self._runners = {}
        self._orders = {}
        self._loop = asyncio.get_running_loop()

    def runner(self, service):
        """Return the ServiceRunner of a service, or None."""
        return self._runners.get(service)

    def holder(self, service):
        """Return the name of the VM that decides for a service."""
        return self.order(service)[0]

    def order(self, service):
        """Return the names of all VMs that serve, the preferred ones first."""
        order = self._orders.get(service)
        if order is None:
            order = self._orders[service] = rank(service, self._weights())
        return order

    def named(self, service, data_centre):
        """Return the Members that callers of a service are sent to.

        Those in the callers' data centre are enough, as they get their slots from the
        VM that decides; others are named where there are too few.

        Args:
            service: Name of the service.
            data_centre: Data centre of the callers.
        """
        members = {**self._peers.alive, self._settings.name: self._peers.own}
        order = [members[name] for name in self.order(service)]
        near = [member for member in order if member.data_centre == data_centre]
        far = [member for member in order if member.data_centre != data_centre]
        return (near + far)[:NAMED_VMS]

    def is_holder(self, service):
        """Whether this VM decides for a service."""
        return self.holder(service) == self._settings.name

    def probed(self):
        """Return pairs of ServiceRunner and health path to send health checks for."""
        configuration = self._estate.configuration
        if configuration is None:
            return []
        return [
            (runner, configuration.services[name].health_path)
            for name, runner in self._runners.items()
            if runner.in_use and name in configuration.services
        ]

    def update(self):
        """Take in a change of the estate or of the VMs."""
        self._orders.clear()
        configuration = self._estate.configuration
        if configuration is None:
            return
        for name, declaration in configuration.services.items():
            self._update_service(name, declaration)
        keys = set()
        for runner in self._runners.values():
            keys.update(runner.scheduler.states)
        self._channels.keep_only(keys)
        for runner in self._runners.values():
            runner.advance()

    def close(self):
        """Stop all timers."""
        for runner in self._runners.values():
            runner.close()

    def _update_service(self, name, declaration):
        runner = self._runners.get(name)
        if runner is None:
            runner = ServiceRunner(self._make_scheduler(declaration))
            self._runners[name] = runner
        scheduler = runner.scheduler
        scheduler.set_declaration(declaration)
        scheduler.set_vms(len(self._peers.alive) + 1, not self.is_holder(name))
        closed = self._estate.closed_data_centres
        scheduler.set_targets(self._estate.targets(name), closed, self._loop.time())

    def _make_scheduler(self, declaration):
        bounds = self._settings.bounds
        budget = RetryBudget(
            bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_s
        )
        return ServiceScheduler(declaration, bounds, budget)

    def _weights(self):
        own = self._peers.own
        members = [*self._peers.alive.values(), own]
        serving = {m.name: m.cores for m in members if m.ready and not m.leaving}
        return serving or {own.name: own.cores}
