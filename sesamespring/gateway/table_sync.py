"""Keep copies of the tables up to date: few VMs read the store, the others follow.

Each table has two readers in different data centres. All other VMs ask a reader for
what changed, over the same protocol as the store's, and go to the store themselves
only where no reader answers.
"""

import asyncio
import time

import attrs
from returns.result import Failure

from sesamespring.errors import ErrorKind, OutsideError
from sesamespring.platform.operator_table import OPERATOR_TABLE
from sesamespring.platform.registrations import TARGETS_TABLE
from sesamespring.platform.rows import encode_page, encode_rows
from sesamespring.platform.store import StoreClient
from sesamespring.routing.rendezvous import rank
from sesamespring.routing.vm_selection import reader_names

__all__ = ["TableSync", "FeedServer"]

STORE_TIMEOUT_S = 0.8
PEER_TIMEOUT_S = 0.3
PEER_POLL_WAIT_S = 1.0
CHECK_INTERVAL_S = 0.2
# A connection may fall silent while its reader lives.
STALE_CHECKS_MAX = 3
VERSION_FIELDS = {
    OPERATOR_TABLE: "operator_version",
    TARGETS_TABLE: "targets_version",
}
SERVED_WAIT_MAX_S = 5.0
STORE_PROBE_INTERVAL_S = 3.0
RETRY_DELAY_S = 0.15
STARTUP_DELAY_S = 0.1
PEER_FAILURES_MAX = 2


@attrs.frozen
class PollTiming:
    """How a reader follows a table at the store.

    Attributes:
        wait_s: How long a call waits for a change, in seconds.
        interval_s: Shortest time between two calls, in seconds.
    """

    wait_s: float
    interval_s: float


@attrs.define
class _Source:
    client: StoreClient
    name: str
    wait_s: float
    interval_s: float
    is_store: bool


class TableSync:
    """The tasks that follow the tables.

    Args:
        settings: The VmSettings.
        cluster_state: The ClusterState.
        peers: The Peers.
        counters: The Counters.
        log: The EventLog.
        poll_timings: Dict of PollTiming by table.
    """

    def __init__(self, settings, cluster_state, peers, counters, log, poll_timings):
        self._settings = settings
        self._cluster_state = cluster_state
        self._peers = peers
        self._counters = counters
        self._log = log
        self._poll_timings = poll_timings
        self._store_reached = True
        self._store_tried_s = 0.0
        self._clients = {}
        self._failures = {}

    @property
    def store_reached(self):
        """Whether this VM's last call of the store was answered."""
        return self._store_reached

    async def run(self, replica):
        """Follow one table until cancelled.

        Args:
            replica: The TableReplica.
        """
        # What the others say in the meantime tells who reads the store.
        await asyncio.sleep(STARTUP_DELAY_S)
        while True:
            source = self._choose_source(replica)
            started_s = time.monotonic()
            try:
                await self._fetch_while_alive(source, replica)
            except OutsideError as error:
                self._handle_failure(source, replica, error)
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            self._handle_success(source, replica)
            taken_s = time.monotonic() - started_s
            await asyncio.sleep(max(0.0, source.interval_s - taken_s))

    def close(self):
        """Drop all connections."""
        for client in self._clients.values():
            client.close()

    def _choose_source(self, replica):
        readers = reader_names([*self._peers.alive.values(), self._peers.own])
        own = self._settings.process_name
        peers_failed = self._failures.get(replica.name, 0) >= PEER_FAILURES_MAX
        now_s = time.monotonic()
        probe_store = (
            not self._store_reached
            and now_s - self._store_tried_s > STORE_PROBE_INTERVAL_S
        )
        others = [name for name in readers if name != own]
        if own in readers or peers_failed or probe_store or not others:
            self._store_tried_s = now_s
            return self._store_source(replica)
        failures = self._failures.get(replica.name, 0)
        preferred = rank(own, dict.fromkeys(others, 1.0))
        name = preferred[failures % len(preferred)]
        return self._peer_source(replica, self._peers.alive[name])

    def _store_source(self, replica):
        timing = self._poll_timings[replica.name]
        client = self._client("store", replica, self._settings.store_address)
        return _Source(client, "store", timing.wait_s, timing.interval_s, True)

    def _peer_source(self, replica, member):
        client = self._client(member.name, replica, member.address)
        return _Source(client, member.name, PEER_POLL_WAIT_S, 0.0, False)

    def _client(self, name, replica, address):
        client = self._clients.get((name, replica.name))
        if client is None:
            if name == "store":
                client = StoreClient(address, STORE_TIMEOUT_S, self._count_store_call)
            else:
                client = StoreClient(address, PEER_TIMEOUT_S)
            self._clients[name, replica.name] = client
        return client

    def _count_store_call(self, kind):
        self._counters.add("store_calls", kind=kind)

    async def _fetch_while_alive(self, source, replica):
        """Fetch from a source; leave it where it is a VM that falls silent."""
        if source.is_store:
            await self._fetch(source, replica)
            return
        fetching = asyncio.ensure_future(self._fetch(source, replica))
        stale_checks = 0
        try:
            while not fetching.done():
                await asyncio.wait((fetching,), timeout=CHECK_INTERVAL_S)
                stale_checks = stale_checks + 1 if self._is_stale(replica) else 0
                silent = not self._peers.is_alive(source.name)
                if not fetching.done() and (silent or stale_checks >= STALE_CHECKS_MAX):
                    detail = "silent" if silent else "others know of newer changes"
                    raise OutsideError(ErrorKind.PLATFORM_AWAY, detail)
            fetching.result()
        finally:
            fetching.cancel()

    def _is_stale(self, replica):
        """Whether heartbeats tell of changes that have not come here."""
        field = VERSION_FIELDS[replica.name]
        versions = [getattr(member, field) for member in self._peers.alive.values()]
        return max(versions, default=0) > replica.changed_version

    async def _fetch(self, source, replica):
        if not replica.loaded:
            changes = await source.client.read_table(replica.name)
            self._cluster_state.apply_changes(replica, replica.replace(changes))
            return
        result = await source.client.poll_changes(
            replica.name, replica.version, source.wait_s
        )
        if isinstance(result, Failure):
            self._log.event("history-lost", table=replica.name, version=replica.version)
            changes = await source.client.read_table(replica.name)
            self._cluster_state.apply_changes(replica, replica.replace(changes))
            return
        self._cluster_state.apply_changes(replica, replica.apply(result.unwrap()))

    def _handle_failure(self, source, replica, error):
        failures = self._failures.get(replica.name, 0)
        self._failures[replica.name] = failures + 1
        if not source.is_store:
            self._log.event(
                "peer-feed-failed", peer=source.name, table=replica.name, error=error
            )
            return
        self._failures[replica.name] = 0
        self._counters.add("store_failures")
        if self._store_reached:
            self._store_reached = False
            self._log.event("store-lost", table=replica.name, error=error)
            self._peers.broadcast_heartbeat()

    def _handle_success(self, source, replica):
        self._failures[replica.name] = 0
        if source.is_store and not self._store_reached:
            self._store_reached = True
            self._log.event("store-back", table=replica.name, version=replica.version)
            self._peers.broadcast_heartbeat()


class FeedServer:
    """Answers what other VMs ask of this VM's copies.

    Args:
        replicas: Dict of TableReplica by name.
    """

    def __init__(self, replicas):
        self._replicas = replicas
        # Dict by table of a pair of version and the encoded rows of the whole table,
        # as many VMs that start together ask for the same.
        self._encoded = {}

    async def respond(self, question):
        """Return the pair of status and body for a RowsRequest."""
        replica = self._replicas.get(question.table)
        if replica is None or not replica.loaded:
            return 503, b"{}"
        changes = replica.changes_after(question.after)
        if changes is not None and question.after is not None and not changes.rows:
            await replica.wait_for_change(min(question.wait_s, SERVED_WAIT_MAX_S))
            changes = replica.changes_after(question.after)
        if changes is None:
            return 410, b"{}"
        if question.after is None:
            rows = self._encode_whole(question.table, changes)
        else:
            rows = encode_rows(changes.rows)
        return 200, encode_page(rows, changes.version, changes.age_s)

    def _encode_whole(self, table, changes):
        version, rows = self._encoded.get(table, (None, b""))
        if version != changes.version:
            rows = encode_rows(changes.rows)
            self._encoded[table] = (changes.version, rows)
        return rows
