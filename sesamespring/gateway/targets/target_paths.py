"""Find the ways from this VM to targets: over its own links, or through other VMs."""

import asyncio
import enum

import attrs
import h11

from sesamespring.gateway.targets.connection_pool import LinkState
from sesamespring.gateway.targets.relay_messages import (
    TARGET_DOWN,
    link_of_status,
    reachability_path,
    relay_outcome,
)
from sesamespring.routing.reachability import Reachability
from sesamespring.routing.rendezvous import rank

__all__ = ["BreakCause", "ReachReport", "TargetPaths"]

ROUND_INTERVAL_S = 0.25
# A round that ends this late shows that the process has been paused.
PAUSE_MIN_S = 0.25
# Time between two tests of the link to a target that could not be reached.
RETEST_INTERVAL_S = 0.5
RETESTS_PER_ROUND = 2
# After a link has failed, the links to other targets of the service are tested too.
SPREAD_PERIOD_S = 2.0
SPREAD_PER_ROUND = 4
# A VM without evidence of its own tests links to services that another VM, or this one,
# has lost.
EVIDENCE_LIFETIME_S = 1.0
DOUBTED_PER_ROUND = 2
RELAYS_MAX = 2
# Targets that show, after one has refused a connection, that the VM's links work.
COMPARED_TARGETS_MAX = 3
PEER_RESPONSE_TIMEOUT_S = 0.3
# An attempt without a response for this many times its expected duration makes the VM
# test its link to the target.
SILENCE_FACTOR = 2.0
SILENCE_MIN_S = 0.25
# Keeps a heartbeat far below the largest datagram.
SERVICES_PER_HEARTBEAT_MAX = 48


class BreakCause(enum.Enum):
    """Why the connection of an attempt broke.

    ``TARGET_CRASHED``: the target's process has ended. ``PATH_CUT``: this VM does not
    reach the target, and others may. ``OTHER``: anything else; the target accepts
    connections, or nothing is known.
    """

    TARGET_CRASHED = "target-crashed"
    PATH_CUT = "path-cut"
    OTHER = "other"


@attrs.frozen
class ReachReport:
    """What another VM says of its link to a target.

    Attributes:
        link: The LinkState, or None if it does not know or does not respond.
        is_target_down: Whether it reaches other targets of the service, but not this.
    """

    link: LinkState | None = None
    is_target_down: bool = False


class TargetPaths:
    """The links from this VM to targets, and the VMs that may send in its place.

    Args:
        peers: The Peers.
        connections: The TargetConnectionPool.
        relay_connections: The TargetConnectionPool of connections to other VMs.
        log: The EventLog.

    Attributes:
        on_change: Function without arguments, called when this VM has lost or regained
            its links to a service.
    """

    def __init__(self, peers, connections, relay_connections, log):
        self.on_change = lambda: None
        self._peers = peers
        self._connections = connections
        self._relay_connections = relay_connections
        self._log = log
        self._reachability = Reachability()
        self._loop = asyncio.get_running_loop()
        self._tested_s = {}
        self._tests = {}
        self._lost_s = {}
        self._watchers = {}
        self._paused_s = 0.0

    @property
    def paused_s(self):
        """Sum of the times for which this process has been paused, in seconds."""
        return self._paused_s

    @property
    def connections(self):
        """The TargetConnectionPool of connections to targets."""
        return self._connections

    @property
    def relay_connections(self):
        """The TargetConnectionPool of connections to VMs that send in place of this."""
        return self._relay_connections

    @property
    def unreachable_services(self):
        """Sorted tuple of the names of the services that this VM does not reach."""
        return self._reachability.unreachable_services

    @property
    def reaches_no_target(self):
        """Whether this VM does not reach the targets of any service."""
        lost = self.unreachable_services
        return bool(lost) and self._reachability.services() <= set(lost)

    @property
    def state_for_members(self):
        """Dict of the fields with which this VM's Member states what it reaches."""
        reaches_no_target = self.reaches_no_target
        lost = () if reaches_no_target else self.unreachable_services
        return {
            "unreachable_services": lost[:SERVICES_PER_HEARTBEAT_MAX],
            "reaches_no_target": reaches_no_target,
        }

    def set_targets(self, entries):
        """Replace the targets, a list of TargetEntry."""
        self._reachability.set_targets(entries)
        keys = {entry.key for entry in entries}
        self._tested_s = {k: s for k, s in self._tested_s.items() if k in keys}

    def reaches(self, entry):
        """Return whether a request may be sent to a target over this VM's links."""
        return self._reachability.reaches(entry)

    def may_reuse(self, entry):
        """Return whether open connections to a target are likely to work.

        They may live on where new ones fail; then it has responded since the loss.
        """
        if self.reaches(entry):
            return True
        lost_s = self._lost_s.get(entry.service, 0.0)
        return self._reachability.contact_s(entry.key) > lost_s

    def record_contact(self, entry):
        """Record that a target responded."""
        self._reachability.record_contact(entry.key, self._loop.time())

    def has_evidence(self, service):
        """Return whether a target of a service has just been reached."""
        age_s = self._loop.time() - self._reachability.last_contact_s(service)
        return age_s < EVIDENCE_LIFETIME_S

    def target_failed_everywhere(self, entry):
        """Record that other VMs do not reach a target either, so that it is down."""
        self._reachability.forget_failure(entry.key)
        self._judge()

    async def connect(self, entry):
        """Return a new Channel to a target, and record whether it is reached.

        Raises:
            OSError: The connection failed or timed out.
        """
        try:
            channel = await self._connections.open(entry.address)
        except OSError as error:
            self._record_failure(entry, error)
            raise
        self._reachability.record_connected(entry.key, self._loop.time())
        self._judge()
        return channel

    def relays(self, entry, subject):
        """Return up to ``RELAYS_MAX`` Members that may reach a target in its place.

        Args:
            entry: The TargetEntry.
            subject: Text by which the VMs are shuffled, of the request and attempt.
        """
        members = {
            member.name: member
            for member in self._peers.alive.values()
            if member.callers_port
            and not member.leaving
            and member.reaches(entry.service)
        }
        cores = {name: member.cores for name, member in members.items()}
        names = rank(subject, cores)
        return [members[name] for name in names[:RELAYS_MAX]]

    def drop_departed_relays(self):
        """Close the idle connections to VMs that are silent or were replaced."""
        members = self._peers.alive.values()
        self._relay_connections.keep_only({(m.name, m.incarnation) for m in members})

    def silence_s(self, expected_s):
        """Return after how many seconds of silence an attempt's link is tested."""
        return max(SILENCE_MIN_S, SILENCE_FACTOR * expected_s)

    def suspect(self, entry, since_s):
        """Test the link to a target that has sent nothing since a time."""
        if self._reachability.contact_s(entry.key) < since_s:
            self._start_test(entry, self._loop.time())

    def watch(self, entry, on_lost):
        """Call ``on_lost`` without arguments when connections to a target hang."""
        self._watchers.setdefault(entry.key, []).append(on_lost)

    def unwatch(self, entry, on_lost):
        """End ``watch``."""
        watchers = self._watchers.get(entry.key, [])
        if on_lost in watchers:
            watchers.remove(on_lost)
        if not watchers:
            self._watchers.pop(entry.key, None)

    async def break_cause(self, entry):
        """Return the BreakCause after an attempt's connection has broken.

        A process that has ended refuses connections; so does a link that was cut. The
        process has ended if other VMs are refused too, and if this VM still reaches
        another target.
        """
        if not await self._connections.refuses(entry):
            lost = self._reachability.has_failed(entry.key)
            return BreakCause.PATH_CUT if lost else BreakCause.OTHER
        reached_elsewhere, refused_elsewhere = await asyncio.gather(
            self._reaches_another(entry), self._is_refused_elsewhere(entry)
        )
        if reached_elsewhere and refused_elsewhere:
            return BreakCause.TARGET_CRASHED
        self._record_failure(entry, ConnectionRefusedError("refused"))
        return BreakCause.PATH_CUT

    async def run(self):
        """Test links until cancelled, while some have failed."""
        try:
            while True:
                started_s = self._loop.time()
                self._test_links(started_s)
                self._judge()
                await asyncio.sleep(ROUND_INTERVAL_S)
                late_s = self._loop.time() - started_s - ROUND_INTERVAL_S
                if late_s >= PAUSE_MIN_S:
                    self._paused_s += late_s
        finally:
            for task in tuple(self._tests.values()):
                task.cancel()

    def _record_failure(self, entry, error):
        if isinstance(error, TimeoutError):
            # Open connections hang as well, and would hold requests until the deadline.
            # Where new ones are refused, they may live on.
            self._connections.drop(entry.key)
            for on_lost in tuple(self._watchers.get(entry.key, ())):
                on_lost()
        if not self._reachability.record_failure(entry.key):
            return
        self._lost_s[entry.service] = self._loop.time()
        self._log.event(
            "target-unreachable",
            target=entry.id,
            service=entry.service,
            reason=str(error) or type(error).__name__,
        )
        self._judge()

    def _judge(self):
        """Find out which services this VM reaches, and tell of a change."""
        before = self.unreachable_services
        if not self._reachability.judge(self._loop.time()):
            return
        services = self.unreachable_services
        self._log.event(
            "services-unreachable",
            services=",".join(services),
            before=",".join(before),
        )
        self.on_change()

    def _test_links(self, now_s):
        doubted = self._doubted_services()
        for service in doubted | self._reachability.failing_services():
            entries = self._reachability.entries(service)
            failed = [e for e in entries if self._reachability.has_failed(e.key)]
            sound = [e for e in entries if e not in failed]
            for entry in self._due(failed, now_s, RETEST_INTERVAL_S, RETESTS_PER_ROUND):
                self._start_test(entry, now_s)
            lost_s = self._lost_s.get(service, 0.0)
            if now_s - lost_s < SPREAD_PERIOD_S and failed:
                unseen = [e for e in sound if self._is_unseen(e, lost_s)]
                for entry in unseen[:SPREAD_PER_ROUND]:
                    self._start_test(entry, now_s)
            elif service in doubted and not self.has_evidence(service):
                for entry in self._due(
                    sound, now_s, EVIDENCE_LIFETIME_S, DOUBTED_PER_ROUND
                ):
                    self._start_test(entry, now_s)

    def _doubted_services(self):
        """Return the services to which this VM's links are in doubt.

        A VM that has lost its links to one service may have lost all, and what another
        VM has lost, this one may have lost too.
        """
        if self.unreachable_services:
            return self._reachability.services()
        members = self._peers.alive.values()
        if any(member.reaches_no_target for member in members):
            return self._reachability.services()
        return {service for m in members for service in m.unreachable_services}

    def _is_unseen(self, entry, since_s):
        seen_s = max(
            self._reachability.contact_s(entry.key),
            self._tested_s.get(entry.key, 0.0),
        )
        return seen_s < since_s

    def _due(self, entries, now_s, interval_s, count):
        """Return up to ``count`` entries whose last test is an interval ago."""
        due = [e for e in entries if now_s - self._tested_s.get(e.key, 0) >= interval_s]
        due.sort(key=lambda e: self._tested_s.get(e.key, 0.0))
        return due[:count]

    def _start_test(self, entry, now_s):
        if entry.key in self._tests:
            return
        self._tested_s[entry.key] = now_s
        task = self._loop.create_task(self._test(entry))
        self._tests[entry.key] = task
        task.add_done_callback(lambda _: self._tests.pop(entry.key, None))

    async def _test(self, entry):
        """Connect to a target; the connection is kept for a request."""
        try:
            channel = await self.connect(entry)
        except OSError:
            # ``connect`` has recorded and logged it.
            return False
        self._connections.keep_unused(entry, channel)
        return True

    async def _reaches_another(self, entry):
        """Return whether this VM can connect to a target other than one that broke.

        Without another one, nothing speaks against the VM's links.
        """
        others = [
            other
            for service in self._reachability.services()
            for other in self._reachability.entries(service)
            if other.key != entry.key
        ]
        others.sort(
            key=lambda e: (
                self._reachability.has_failed(e.key),
                -self._reachability.contact_s(e.key),
            )
        )
        if not others:
            return True
        tests = [self._test(other) for other in others[:COMPARED_TARGETS_MAX]]
        return any(await asyncio.gather(*tests))

    async def _is_refused_elsewhere(self, entry):
        """Return whether a target refuses the connections of other VMs too.

        Without another VM that says what it meets, this VM's own refusal decides.
        """
        asked = [self.ask(m, entry) for m in self.relays(entry, entry.id)]
        reports = await asyncio.gather(*asked)
        unlike_ended = (LinkState.REACHED, LinkState.SILENT)
        return not any(report.link in unlike_ended for report in reports)

    async def ask(self, member, entry):
        """Ask another VM whether it reaches a target.

        Returns:
            The ReachReport; one that says nothing if the VM does not respond.
        """
        try:
            async with asyncio.timeout(PEER_RESPONSE_TIMEOUT_S):
                channel = await self._relay_connections.open(member.address)
                try:
                    path = reachability_path(entry.key)
                    channel.send_head("GET", path, [("Host", "peer")])
                    channel.send_end()
                    head = await channel.receive_head()
                finally:
                    channel.abort()
        except (OSError, h11.ProtocolError) as error:
            self._log.event("peer-silent", peer=member.name, reason=str(error))
            return ReachReport()
        is_target_down = relay_outcome(head.headers) == TARGET_DOWN
        return ReachReport(link_of_status(head.status_code), is_target_down)
