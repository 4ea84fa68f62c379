"""Keep this VM's copies of the store's tables up to date.

Two VMs, the readers, poll the store; they are in different data centres if possible.
All other VMs poll another VM for changes, over the same protocol as the store's (see
``routing.table_sources``), and poll the store themselves only if those do not respond.
"""

import asyncio
import time

import attrs
from returns.result import Failure

from sesamespring.errors import ErrorKind, ExternalError
from sesamespring.platform.operator_table import OPERATOR_TABLE
from sesamespring.platform.registrations import TARGETS_TABLE
from sesamespring.platform.rows import UNKNOWN_ERA, encode_page, encode_rows
from sesamespring.platform.store import StoreClient
from sesamespring.routing.table_sources import vms_to_follow
from sesamespring.routing.vm_selection import READERS

__all__ = ["TableSync", "FeedServer"]

STORE_TIMEOUT_S = 0.8
PEER_TIMEOUT_S = 0.3
PEER_POLL_WAIT_S = 1.0
CHECK_INTERVAL_S = 0.2
# Heartbeats of the reader may still arrive while the connection to it is dead. So the
# poll is also given up when the copy is behind other VMs' in this many checks in a row.
STALE_CHECKS_MAX = 3


@attrs.frozen
class _MemberFields:
    """Names of the fields of a Member that state a table's era and newest change."""

    era: str
    version: str


MEMBER_FIELDS = {
    OPERATOR_TABLE: _MemberFields("operator_era", "operator_version"),
    TARGETS_TABLE: _MemberFields("targets_era", "targets_version"),
}
SERVED_WAIT_MAX_S = 5.0
# How long a VM that has not read a table itself lets others wait for it. VMs that have
# just started ask a reader that has just started too; it is less than PEER_TIMEOUT_S.
UNREAD_WAIT_S = 0.2
STORE_PROBE_INTERVAL_S = 3.0
RETRY_DELAY_S = 0.15
STARTUP_DELAY_S = 0.1
PEER_FAILURES_MAX = 2
# How much more often a VM that has just started asks its distributor, which may have
# started with it and be about to read the tables.
START_RETRIES = 1
# A VM whose poll has failed after this time has told nothing for as long.
SILENCE_S = 0.5
# A poll that took longer than its timeout by this shows a pause of the process.
PAUSE_MIN_S = 0.3


@attrs.frozen
class PollTiming:
    """Timing of the long polls of a table at the store.

    Attributes:
        wait_s: How long the store holds a poll until there is a change, in seconds.
        interval_s: Shortest time between the starts of two polls, in seconds.
    """

    wait_s: float
    interval_s: float


@attrs.define
class _Source:
    """A server to poll: the store, or a VM that reads the store."""

    client: StoreClient
    name: str
    wait_s: float
    interval_s: float
    is_store: bool


class TableSync:
    """Polls the store, or a VM that reads it, for changes of the tables.

    Args:
        settings: The VmSettings.
        cluster_state: The ClusterState that changes are applied to.
        peers: The Peers.
        address_rows: The AddressRows.
        counters: The Counters.
        log: The EventLog.
        poll_timings: Dict by table name of the PollTiming at the store.
    """

    def __init__(
        self,
        settings,
        cluster_state,
        peers,
        address_rows,
        counters,
        log,
        poll_timings,
    ):
        self._settings = settings
        self._cluster_state = cluster_state
        self._peers = peers
        self._address_rows = address_rows
        self._counters = counters
        self._log = log
        self._poll_timings = poll_timings
        self._store_reached = True
        self._store_tried_s = 0.0
        self._clients = {}
        self._failures = {}

    @property
    def store_reached(self):
        """Whether this VM's last poll of the store succeeded; True before the first."""
        return self._store_reached

    async def run(self, replica):
        """Keep one table up to date until cancelled.

        Args:
            replica: The TableReplica of the table.
        """
        # Heartbeats received in the meantime show which VMs read the store.
        await asyncio.sleep(STARTUP_DELAY_S)
        while True:
            source = self._choose_source(replica)
            started_s = time.monotonic()
            try:
                await self._fetch_while_alive(source, replica)
            except ExternalError as error:
                taken_s = time.monotonic() - started_s
                self._handle_failure(source, replica, error, taken_s)
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            self._handle_success(source, replica)
            taken_s = time.monotonic() - started_s
            await asyncio.sleep(max(0.0, source.interval_s - taken_s))

    def close(self):
        """Close all connections."""
        for client in self._clients.values():
            client.close()

    def _choose_source(self, replica):
        sources = vms_to_follow(self._peers.own, self._peers.alive.values())
        failures = self._failures.get(replica.name, 0)
        has_distributor = len(sources) > READERS
        retries = START_RETRIES if has_distributor and not replica.loaded else 0
        sources = sources[:1] * retries + sources
        now_s = time.monotonic()
        probe_store = (
            not self._store_reached
            and now_s - self._store_tried_s > STORE_PROBE_INTERVAL_S
        )
        if failures >= PEER_FAILURES_MAX + retries or probe_store or not sources:
            self._store_tried_s = now_s
            return self._store_source(replica)
        name = sources[failures % len(sources)]
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
                client.accepts_compressed = True
            self._clients[name, replica.name] = client
        return client

    def _count_store_call(self, kind):
        self._counters.add("store_calls", kind=kind)

    async def _fetch_while_alive(self, source, replica):
        """Fetch changes from a source.

        Raises:
            ExternalError: The fetch failed, or the source is a VM that sends no
                heartbeats, has lost the store that another VM reaches, or does not
                deliver changes that other VMs have.
        """
        if source.is_store:
            await self._fetch(source, replica)
            return
        fetching = asyncio.ensure_future(self._fetch(source, replica))
        stale_checks = 0
        try:
            while not fetching.done():
                await asyncio.wait((fetching,), timeout=CHECK_INTERVAL_S)
                stale_checks = stale_checks + 1 if self._is_stale(replica) else 0
                if fetching.done():
                    break
                if not self._peers.is_alive(source.name):
                    raise ExternalError(ErrorKind.PLATFORM_AWAY, "silent")
                if self._has_lost_store(source.name):
                    raise ExternalError(ErrorKind.PLATFORM_AWAY, "has lost the store")
                if stale_checks >= STALE_CHECKS_MAX:
                    detail = "other VMs have newer changes"
                    raise ExternalError(ErrorKind.PLATFORM_AWAY, detail)
            fetching.result()
        finally:
            fetching.cancel()

    def _has_lost_store(self, name):
        """Whether another VM does not reach the store while some VM does.

        Its copy grows old, and following it would look like an outage of the store.
        """
        members = self._peers.alive
        if name not in members or members[name].store_reached:
            return False
        return any(member.store_reached for member in members.values())

    def _is_stale(self, replica):
        """Whether another VM's heartbeat states a change that this copy lacks."""
        fields = MEMBER_FIELDS[replica.name]
        known = (replica.era, replica.version)
        return any(
            (getattr(member, fields.era), getattr(member, fields.version)) > known
            for member in self._peers.alive.values()
        )

    async def _fetch(self, source, replica):
        if not replica.loaded:
            await self._read_whole(source, replica)
            return
        result = await source.client.poll_changes(
            replica.name, replica.version, source.wait_s
        )
        if isinstance(result, Failure):
            self._log.event("history-lost", table=replica.name, version=replica.version)
            await self._read_whole(source, replica)
            return
        changes = result.unwrap()
        self._log_refused(source, replica, changes)
        _check_era(source, replica, changes)
        if replica.is_of_later_era(changes):
            await self._read_whole(source, replica)
            return
        self._cluster_state.apply_changes(replica, replica.apply(changes))

    async def _read_whole(self, source, replica):
        changes = await source.client.read_table(replica.name)
        self._log_refused(source, replica, changes)
        _check_era(source, replica, changes)
        was_restored = replica.loaded and replica.is_of_later_era(changes)
        if was_restored:
            self._log.event(
                "store-restored",
                table=replica.name,
                source=source.name,
                era=changes.era,
                version=changes.version,
                version_before=replica.version,
            )
        self._cluster_state.apply_changes(replica, replica.replace(changes))
        if was_restored:
            self._address_rows.register_again()
            self._peers.broadcast_heartbeat()

    def _log_refused(self, source, replica, changes):
        for error in changes.refused:
            self._log.event(
                "row-refused", table=replica.name, source=source.name, reason=error
            )

    def _handle_failure(self, source, replica, error, taken_s):
        if not source.is_store:
            # After a wait, no other VM is tried, as it might be as silent.
            was_silent = taken_s >= SILENCE_S
            failures = self._failures.get(replica.name, 0)
            self._failures[replica.name] = (
                PEER_FAILURES_MAX + START_RETRIES if was_silent else failures + 1
            )
            self._log.event(
                "peer-feed-failed", peer=source.name, table=replica.name, error=error
            )
            return
        self._failures[replica.name] = 0
        # After a pause of this process, the answer may just not have been read yet.
        if taken_s < STORE_TIMEOUT_S + source.wait_s + PAUSE_MIN_S:
            replica.record_store_failure()
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


def _check_era(source, replica, changes):
    """Check that changes are not of an earlier era than the copy.

    A response of the store itself that states no era is taken for one of the present
    era.

    Raises:
        ExternalError: They are; another VM has not read the restored store yet.
    """
    if source.is_store and changes.era == UNKNOWN_ERA:
        return
    if replica.is_of_earlier_era(changes):
        detail = f"era {changes.era} is earlier than {replica.era}"
        raise ExternalError(ErrorKind.PLATFORM_AWAY, detail)


class FeedServer:
    """Serves this VM's copies of the tables to other VMs.

    Args:
        replicas: Dict of TableReplica by table name.
    """

    def __init__(self, replicas):
        self._replicas = replicas
        # Dict by table of the era, the version and the encoded rows of the whole table,
        # cached because many VMs that start together request the same.
        self._encoded = {}

    async def respond(self, rows_request):
        """Return the pair of HTTP status and JSON body that responds to a RowsRequest.

        A request for changes waits for one if there is none, any request for the first
        copy. The status is 503 if this VM has no copy of the table, and 410 if it no
        longer has the changes that were requested.
        """
        replica = self._replicas.get(rows_request.table)
        if replica is not None and not replica.loaded:
            await replica.wait_for_change(UNREAD_WAIT_S)
        if replica is None or not replica.loaded:
            return 503, b"{}"
        changes = replica.changes_after(rows_request.after)
        if changes is not None and rows_request.after is not None and not changes.rows:
            await replica.wait_for_change(min(rows_request.wait_s, SERVED_WAIT_MAX_S))
            changes = replica.changes_after(rows_request.after)
        if changes is None:
            return 410, b"{}"
        if rows_request.after is None:
            rows = self._encode_whole(rows_request.table, changes)
        else:
            rows = encode_rows(changes.rows)
        return 200, encode_page(
            rows, changes.version, changes.age_s, changes.era, changes.gap_age_s
        )

    def _encode_whole(self, table, changes):
        era, version, rows = self._encoded.get(table, (None, None, b""))
        if (era, version) != (changes.era, changes.version):
            rows = encode_rows(changes.rows)
            self._encoded[table] = (changes.era, changes.version, rows)
        return rows
