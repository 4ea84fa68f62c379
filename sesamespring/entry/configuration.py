"""Keep the newest declared resources in force at this VM.

A few VMs of each data centre poll the head row in the platform's table. A VM that finds
a new version there sends the changes to its peers. A VM that finds a newer version in a
peer's heartbeat requests the missing changes from that peer.
"""

import asyncio
import time

from sesamespring.decisions.versions import (
    Delta,
    OfferResult,
    PollerCandidate,
    VersionTracker,
    choose_pollers,
    polling_interval_s,
)
from sesamespring.entry.snapshots import SnapshotAssembly, SnapshotSource
from sesamespring.errors import ExternalError
from sesamespring.logs import get_logger
from sesamespring.peers.generated.ttypes import (
    ConfigurationChange,
    ConfigurationChanges,
    ConfigurationWanted,
    SnapshotPiece,
)
from sesamespring.resources.records import resources_after
from sesamespring.resources.serialization import pack, unpack
from sesamespring.resources.store import read_deltas, read_head, read_resources

__all__ = ["ConfigurationTask"]

logger = get_logger(__name__)

PEERS_INTERVAL_S = 0.1
PLATFORM_CALLS_PER_S_DEFAULT = 100
DELTAS_AT_ONCE = 64
DELTAS_BYTES_MAX = 256 * 1024


class ConfigurationTask:
    """Task that detects changed resources and puts them in force.

    Args:
        table: The JsonTable.
        interval_s: Minimum time between two polls of the table in seconds.
        on_change: Function called with the new Resources when they come into force.
    """

    def __init__(self, table, interval_s, on_change):
        self._table = table
        self._interval_s = interval_s
        self._on_change = on_change
        self._tracker = VersionTracker()
        self._in_force_since_s = time.time()
        self._table_reachable = True
        self._poll_lock = asyncio.Lock()
        self._poll_requested = asyncio.Event()
        self._peers = None
        self._own_name = ""
        self._data_centre = ""
        self._assembly = SnapshotAssembly()
        self._source = SnapshotSource()

    @property
    def resources(self):
        """The Resources in force at this VM."""
        return self._tracker.resources

    @property
    def in_force_since_s(self):
        """Wall clock time in seconds at which the resources came into force."""
        return self._in_force_since_s

    def use_peers(self, peers, own_name, data_centre):
        """Exchange configuration changes with other entry VMs.

        Args:
            peers: The PeersTask.
            own_name: Name of this VM.
            data_centre: Data centre of this VM.
        """
        self._peers = peers
        self._own_name = own_name
        self._data_centre = data_centre
        peers.on_message(ConfigurationChanges, self._on_changes)
        peers.on_message(ConfigurationWanted, self._on_wanted)
        peers.on_message(SnapshotPiece, self._on_piece)

    async def run(self):
        """Follow the table and the peers until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follow_table())
            group.create_task(self._follow_peers())

    def apply_accepted(self, record):
        """Put a change in force that this VM has accepted, and send it to peers.

        The change is taken from the record instead of the table, as the platform may
        have become unreachable since. The table is polled if that is not enough.

        Args:
            record: The AuditRecord, or None if it is not available.
        """
        if record is not None:
            before = self._tracker.version
            delta = Delta(record.version, record.digest, resources_after(record))
            self._apply_offer(self._tracker.offer_deltas([delta]), before, "operator")
            self._send_changes(before)
        if record is None or self._tracker.version < record.version:
            self._poll_requested.set()

    def is_audit_copier(self):
        """Return whether this VM is one of those that copy the audit trail."""
        return self._own_name in self._pollers()

    async def read_newest(self):
        """Poll the table and return the newest declared Resources.

        Raises:
            ExternalError: The platform is unreachable.
        """
        async with self._poll_lock:
            await self._poll()
        return self.resources

    async def _follow_table(self):
        while True:
            pollers = self._pollers()
            if self._poll_requested.is_set() or self._own_name in pollers:
                self._poll_requested.clear()
                await self._poll_and_log()
            await self._wait_for_poll(self._polling_interval_s(len(pollers)))

    async def _wait_for_poll(self, interval_s):
        """Wait for an interval, or until a poll is requested."""
        try:
            async with asyncio.timeout(interval_s):
                await self._poll_requested.wait()
        except TimeoutError:
            pass

    async def _poll_and_log(self):
        try:
            await self.read_newest()
            self._table_reachable = True
        except ExternalError as error:
            self._table_reachable = False
            logger.warning("configuration-look-failed", error=str(error))

    async def _poll(self):
        head = await read_head(self._table)
        in_force = self._tracker.version
        if head.version < in_force:
            logger.warning("stale-head", version=head.version, in_force=in_force)
        if head.version <= in_force:
            return
        if in_force:
            deltas = await read_deltas(self._table, in_force, DELTAS_AT_ONCE)
            self._apply_offer(self._tracker.offer_deltas(deltas), in_force, "table")
        if self._tracker.version < head.version:
            before = self._tracker.version
            snapshot = await read_resources(self._table)
            self._apply_offer(self._tracker.offer_snapshot(*snapshot), before, "table")
        self._send_changes(in_force)

    def _apply_offer(self, offer, before, source):
        """Log a rejected offer, and put the resources in force if they have changed.

        Args:
            offer: The OfferResult that the tracker returned.
            before: Version in force before the offer.
            source: Origin of the offer, for the log.
        """
        if offer in (OfferResult.GAP, OfferResult.DIFFERS):
            logger.warning("configuration-not-taken", offer=offer.value, source=source)
        if self._tracker.version == before:
            return
        self._in_force_since_s = time.time()
        logger.info(
            "configuration-in-force", version=self._tracker.version, source=source
        )
        self._on_change(self.resources)

    def _pollers(self):
        """Return the names of the VMs that poll the table.

        A VM without live peers polls the table itself.
        """
        own = PollerCandidate(self._own_name, self._data_centre, self._table_reachable)
        candidates = [own]
        for view in self._live_views():
            if not view.heartbeat.stopping:
                hello, reachable = view.hello, view.heartbeat.platform_reachable
                other = PollerCandidate(hello.vm, hello.data_centre, reachable)
                candidates.append(other)
        return choose_pollers(self._data_centre, candidates)

    def _live_views(self):
        return [] if self._peers is None else self._peers.live_views()

    def _polling_interval_s(self, pollers):
        budget = self.resources.by_key.get("measuring-budget/default")
        calls_per_s = PLATFORM_CALLS_PER_S_DEFAULT
        if budget is not None:
            calls_per_s = budget.platform_calls_per_s
        return polling_interval_s(self._interval_s, pollers, calls_per_s)

    async def _follow_peers(self):
        while True:
            self._pull()
            await asyncio.sleep(PEERS_INTERVAL_S)

    def _pull(self):
        """Request missing changes from the peer with the newest version."""
        views = self._live_views()
        if not views:
            return
        newest = max(views, key=lambda view: view.heartbeat.configuration_version)
        version = newest.heartbeat.configuration_version
        now_s = asyncio.get_running_loop().time()
        if self._tracker.should_pull(version, now_s):
            wanted = ConfigurationWanted(after_version=self._tracker.version)
            self._peers.send(newest.hello.vm, wanted)

    def _send_changes(self, version):
        """Send the changes after a version to peers whose heartbeats lack them."""
        if self._tracker.version == version:
            return
        message = self._changes_after(version)
        if message is None:
            return
        for view in self._live_views():
            if view.heartbeat.configuration_version < self._tracker.version:
                self._peers.send(view.hello.vm, message)

    def _changes_after(self, version):
        """Return the ConfigurationChanges after a version.

        None is returned if the changes are not available or too large, so that a
        snapshot is needed.
        """
        deltas = self._tracker.deltas_after(version)
        if not deltas:
            return None
        changes = [
            ConfigurationChange(d.version, d.digest, pack(d.after)) for d in deltas
        ]
        if sum(len(change.content) for change in changes) > DELTAS_BYTES_MAX:
            return None
        return ConfigurationChanges(changes)

    def _on_wanted(self, view, wanted):
        if wanted.after_version >= self._tracker.version:
            return
        message = self._changes_after(wanted.after_version)
        messages = [message] if message else self._source.pieces(self.resources)
        for message in messages:
            self._peers.send(view.hello.vm, message)

    def _on_changes(self, view, message):
        before = self._tracker.version
        try:
            deltas = [
                Delta(change.version, change.digest, unpack(change.content))
                for change in message.changes
            ]
        except ValueError as error:
            logger.warning("configuration-malformed", error=str(error))
            return
        self._apply_offer(self._tracker.offer_deltas(deltas), before, view.hello.vm)

    def _on_piece(self, view, piece):
        before = self._tracker.version
        if piece.version <= before:
            return
        try:
            snapshot = self._assembly.add(view.hello.vm, piece)
        except ValueError as error:
            logger.warning("configuration-malformed", error=str(error))
            return
        if snapshot is not None:
            offer = self._tracker.offer_snapshot(*snapshot)
            self._apply_offer(offer, before, view.hello.vm)
