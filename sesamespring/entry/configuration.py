"""Keep the newest declared resources in force at this VM.

A few VMs of each data centre look at the head row; a VM that finds a new version
there sends the changes to its peers; a VM that sees a newer version in a peer's
heartbeat asks that peer for what it lacks.
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
    """The task that looks for changed resources and puts them in force.

    Args:
        table: The JsonTable.
        interval_s: Least seconds between two looks at the table.
        on_change: Function called with the new Resources.
    """

    def __init__(self, table, interval_s, on_change):
        self._table = table
        self._interval_s = interval_s
        self._on_change = on_change
        self._tracker = VersionTracker()
        self._in_force_since_s = time.time()
        self._table_answered = True
        self._look_lock = asyncio.Lock()
        self._look_wanted = asyncio.Event()
        self._peers = None
        self._own_name = ""
        self._data_centre = ""
        self._assembly = SnapshotAssembly()
        self._source = SnapshotSource()

    @property
    def resources(self):
        """The Resources in force here."""
        return self._tracker.resources

    @property
    def in_force_since_s(self):
        """Wall clock time in seconds since which they are in force."""
        return self._in_force_since_s

    def use_peers(self, peers, own_name, data_centre):
        """Exchange versions with other entry VMs.

        Args:
            peers: The PeersTask.
            own_name: Name of this VM.
            data_centre: Its data centre.
        """
        self._peers = peers
        self._own_name = own_name
        self._data_centre = data_centre
        peers.on_message(ConfigurationChanges, self._heard_changes)
        peers.on_message(ConfigurationWanted, self._heard_wanted)
        peers.on_message(SnapshotPiece, self._heard_piece)

    async def run(self):
        """Look for changes until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._look_at_table())
            group.create_task(self._look_at_peers())

    def apply_accepted(self, record):
        """Put a change in force that was accepted here, and send it to peers.

        The table need not be read again, as it may be away by now.

        Args:
            record: The AuditRecord, or None where it is not at hand.
        """
        if record is not None:
            known = self._tracker.version
            delta = Delta(record.version, record.digest, resources_after(record))
            self._note(self._tracker.offer_deltas([delta]), known, "operator")
            self._send_changes(known)
        if record is None or self._tracker.version < record.version:
            self._look_wanted.set()

    def is_audit_copier(self):
        """Tell whether this VM is among those that copy the audit trail."""
        return self._own_name in self._pollers()

    async def read_newest(self):
        """Return the newest declared Resources, having looked at the table now.

        Raises:
            ExternalError: The platform is away.
        """
        async with self._look_lock:
            await self._look()
        return self.resources

    async def _look_at_table(self):
        while True:
            pollers = self._pollers()
            if self._look_wanted.is_set() or self._own_name in pollers:
                self._look_wanted.clear()
                await self._look_and_log()
            await self._wait_to_look(self._polling_interval_s(len(pollers)))

    async def _wait_to_look(self, interval_s):
        try:
            async with asyncio.timeout(interval_s):
                await self._look_wanted.wait()
        except TimeoutError:
            pass

    async def _look_and_log(self):
        try:
            await self.read_newest()
            self._table_answered = True
        except ExternalError as error:
            self._table_answered = False
            logger.warning("configuration-look-failed", error=str(error))

    async def _look(self):
        head = await read_head(self._table)
        known = self._tracker.version
        if head.version < known:
            logger.warning("stale-head", version=head.version, in_force=known)
        if head.version <= known:
            return
        if known:
            deltas = await read_deltas(self._table, known, DELTAS_AT_ONCE)
            self._note(self._tracker.offer_deltas(deltas), known, "table")
        if self._tracker.version < head.version:
            before = self._tracker.version
            snapshot = await read_resources(self._table)
            self._note(self._tracker.offer_snapshot(*snapshot), before, "table")
        self._send_changes(known)

    def _note(self, offer, before, source):
        """Log what became of an offer and put what is newer in force."""
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
        """Return the names of the VMs that look at the table, this one if alone."""
        own = PollerCandidate(self._own_name, self._data_centre, self._table_answered)
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

    async def _look_at_peers(self):
        while True:
            self._pull()
            await asyncio.sleep(PEERS_INTERVAL_S)

    def _pull(self):
        """Ask the peer with the newest version for what is lacking here."""
        views = self._live_views()
        if not views:
            return
        newest = max(views, key=lambda view: view.heartbeat.configuration_version)
        version = newest.heartbeat.configuration_version
        now_s = asyncio.get_running_loop().time()
        if self._tracker.should_pull(version, now_s):
            wanted = ConfigurationWanted(after_version=self._tracker.version)
            self._peers.send(newest.hello.vm, wanted)

    def _send_changes(self, known):
        """Send peers what is new, unless their heartbeats say that they have it."""
        if self._tracker.version == known:
            return
        message = self._changes_after(known)
        if message is None:
            return
        for view in self._live_views():
            if view.heartbeat.configuration_version < self._tracker.version:
                self._peers.send(view.hello.vm, message)

    def _changes_after(self, version):
        """Return a ConfigurationChanges, or None where a snapshot is due."""
        deltas = self._tracker.deltas_after(version)
        if not deltas:
            return None
        changes = [
            ConfigurationChange(d.version, d.digest, pack(d.after)) for d in deltas
        ]
        if sum(len(change.content) for change in changes) > DELTAS_BYTES_MAX:
            return None
        return ConfigurationChanges(changes)

    def _heard_wanted(self, view, wanted):
        if wanted.after_version >= self._tracker.version:
            return
        message = self._changes_after(wanted.after_version)
        messages = [message] if message else self._source.pieces(self.resources)
        for message in messages:
            self._peers.send(view.hello.vm, message)

    def _heard_changes(self, view, message):
        before = self._tracker.version
        try:
            deltas = [
                Delta(change.version, change.digest, unpack(change.content))
                for change in message.changes
            ]
        except ValueError as error:
            logger.warning("configuration-malformed", error=str(error))
            return
        self._note(self._tracker.offer_deltas(deltas), before, view.hello.vm)

    def _heard_piece(self, view, piece):
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
            self._note(offer, before, view.hello.vm)
