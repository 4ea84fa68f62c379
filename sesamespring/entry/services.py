"""Run the declared services with the targets and VMs that are available."""

import collections

import attrs

from sesamespring.decisions.bulk_limit import BulkLimit
from sesamespring.decisions.groups import (
    Candidate,
    choose_group,
    choose_holder,
    eligible_candidates,
)
from sesamespring.decisions.hold_messages import TargetKey
from sesamespring.decisions.messages import Peer
from sesamespring.entry.service_runner import ServiceRunner
from sesamespring.entry.slot_transport import SlotTransport

__all__ = ["Member", "Services"]

BULK_STREAMS_MAX = 16


@attrs.frozen
class Member:
    """An entry VM to which callers may send requests.

    Attributes:
        name: Name of the VM.
        data_centre: Data centre of the VM.
        address: Pair of IP and port for callers.
        ticket: Prefix of the idempotency keys of callers that use this VM.
        platform_reachable: Whether the platform is reachable from the VM.
        weight: Relative share of a service's callers: the number of slots that the VM
            should hold, at least 1.
    """

    name: str
    data_centre: str
    address: tuple
    ticket: str = ""
    platform_reachable: bool = True
    weight: int = 1


class Services:
    """The ServiceRunners of this VM, updated to the configuration in force.

    Args:
        own: Member of this VM.
        metrics: The Metrics.
        peers: The PeersTask.
    """

    def __init__(self, own, metrics, peers):
        self._own = own
        self._slots = SlotTransport(peers, self.runner)
        self._bulk_limit = BulkLimit(BULK_STREAMS_MAX)
        self._metrics = metrics
        self._runners = {}
        self._groups = {}
        self._preferred_holders = {}
        self._targets = {}
        self._configured = False

    @property
    def configured(self):
        """Whether this VM has a configuration."""
        return self._configured

    @property
    def preferred_holders(self):
        """Name of the VM that should hold each declared target, by TargetKey."""
        return self._preferred_holders

    @property
    def targets(self):
        """The declared Targets that may receive requests, by TargetKey."""
        return self._targets

    @property
    def runners(self):
        """The ServiceRunners by service name, including those of removed services."""
        return self._runners

    @property
    def in_progress(self):
        """Number of requests of all services that are queued or being forwarded."""
        return sum(runner.in_progress for runner in self._runners.values())

    def runner(self, name):
        """Return the ServiceRunner of a declared service, or None."""
        return self._runners.get(name) if name in self._groups else None

    def group_members(self, service):
        """Return the tuple of Members that callers of a service should use.

        None is returned for a service that is not declared.
        """
        return self._groups.get(service)

    def update(self, resources, members):
        """Apply the resources in force and the list of live VMs.

        Args:
            resources: The Resources in force.
            members: The live Members that are not stopping, including this VM unless it
                is stopping.
        """
        self._configured = resources.version > 0
        # Runners of removed services are kept, as their last requests may still be in
        # progress.
        self._groups = {}
        data_centres = resources.of_kind("data-centre")
        in_service = [
            member
            for member in members
            if member.data_centre not in data_centres
            or data_centres[member.data_centre].in_service
        ]
        by_service = {}
        self._targets = {}
        for target in resources.of_kind("target").values():
            by_service.setdefault(target.service, {})[target.name] = target
            if (
                target.state == "joining"
                and data_centres[target.data_centre].in_service
            ):
                self._targets[TargetKey(target.service, target.name)] = target
        self._preferred_holders = {}
        for name, service in resources.of_kind("service").items():
            runner = self._runners.get(name)
            if runner is None:
                runner = ServiceRunner(
                    service,
                    self._metrics,
                    self._slots.send,
                    self._bulk_limit,
                    self._on_bulk_end,
                )
                self._runners[name] = runner
            runner.set_service(service)
            self._update_service(runner, by_service.get(name, {}), in_service)

    def _on_bulk_end(self):
        """Let queued bulk requests of all services use the freed capacity."""
        for runner in self._runners.values():
            if runner.service.priority == "bulk":
                runner.retry_waiting()

    def _update_service(self, runner, targets, members):
        service = runner.service
        by_name = {member.name: member for member in members}
        candidates = [
            Candidate(m.name, m.data_centre, m.platform_reachable) for m in members
        ]
        candidates = eligible_candidates(candidates)
        group = choose_group(service.name, service.group_size, candidates)
        weights = collections.Counter()
        holders = [c for c in candidates if c.name in group]
        if holders:
            for target in targets.values():
                key = TargetKey(service.name, target.name)
                holder = choose_holder(target.name, target.data_centre, holders)
                self._preferred_holders[key] = holder
                weights[holder] += target.slots if key in self._targets else 0
        self._groups[service.name] = tuple(
            attrs.evolve(by_name[name], weight=max(1, weights[name])) for name in group
        )
        runner.set_targets(targets)
        own = self._own
        runner.set_peers(
            tuple(
                Peer(h.name, h.data_centre == own.data_centre)
                for h in holders
                if h.name != own.name
            )
        )
