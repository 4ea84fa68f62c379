"""Assemble the tasks of an entry VM, run them and shut them down gracefully."""

import asyncio
import contextlib
import signal
import time

import attrs

from sesamespring.decisions.idempotency import make_ticket
from sesamespring.entry.audit import AuditTask
from sesamespring.entry.changes import ChangeHandler
from sesamespring.entry.configuration import ConfigurationTask
from sesamespring.entry.connection_pool import TargetConnectionPool
from sesamespring.entry.dispatcher import RequestDispatcher
from sesamespring.entry.holds import HoldsTask
from sesamespring.entry.idempotency import KeyAdmission
from sesamespring.entry.in_force import InForceTask
from sesamespring.entry.metrics import METRICS_CONTENT_TYPE, Metrics
from sesamespring.entry.operator_api import OperatorApi
from sesamespring.entry.peers import PeersTask
from sesamespring.entry.recording import CallRecorder
from sesamespring.entry.services import Member, Services
from sesamespring.entry.vm_rows import VmRows
from sesamespring.errors import ExternalError
from sesamespring.http import ServerConnections, listen, server_context
from sesamespring.logs import configure_logs, get_logger
from sesamespring.peers import Heartbeat
from sesamespring.platform.json_table import JsonTable
from sesamespring.platform.store import StoreClient

__all__ = ["EntryDaemon", "run_entry"]

logger = get_logger(__name__)

STOP_POLL_S = 0.01
VM_ROWS_INTERVAL_S = 2.0
LISTEN_BACKLOG = 1024
LAST_REQUESTS_S = 0.25  # added to the entries' TTL for requests still in transit


def run_entry(settings):
    """Run the daemon of an entry VM until SIGTERM or SIGINT.

    Args:
        settings: The Settings.
    """
    configure_logs(settings.name)
    asyncio.run(_run_until_signal(settings))


async def _run_until_signal(settings):
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await EntryDaemon(settings).run(stop)


class EntryDaemon:
    """The daemon of one entry VM.

    Args:
        settings: The Settings.
    """

    def __init__(self, settings):
        self._settings = settings
        self._metrics = Metrics()
        self._tables = []
        self._stopping = False
        self._peers = PeersTask(
            settings, self._metrics, self._heartbeat, self._update_services
        )
        self._own = Member(
            settings.name,
            settings.data_centre,
            settings.callers_address,
            make_ticket(self._peers.incarnation),
        )
        self._keys = KeyAdmission(self._peers, self._new_table(), self._is_sweeper)
        self._vm_rows = VmRows(self._new_table(), settings)
        self._connections = TargetConnectionPool()
        self._callers_connections = ServerConnections()
        self._services = Services(self._own, self._metrics, self._peers)
        self._holds = HoldsTask(
            settings, self._new_table(), self._peers, self._services, self._metrics
        )
        self._configuration = ConfigurationTask(
            self._new_table(),
            settings.platform_poll_interval_ms / 1000,
            self._on_configuration_change,
        )
        self._configuration.use_peers(self._peers, settings.name, settings.data_centre)
        self._in_force = InForceTask(
            self._peers,
            self._heartbeat,
            settings.name,
            settings.data_centre,
            settings.peers_heartbeat_timeout_ms / 1000,
        )
        self._audit = AuditTask(self._new_table(), self._configuration.is_audit_copier)
        changes = ChangeHandler(self._new_table(), self._configuration, self._audit)
        recorder = CallRecorder(settings.data_centre, time.monotonic)
        operators = OperatorApi(
            settings.operators_key,
            self._new_table(),
            self._vm_rows,
            self._in_force,
            changes,
            recorder,
        )
        self._dispatcher = RequestDispatcher(
            self._services,
            operators,
            self._connections,
            self._metrics,
            self._keys,
            recorder,
            settings.entries_ttl_ms,
        )

    async def run(self, stop):
        """Serve until stopped, then shut down gracefully.

        Args:
            stop: The asyncio.Event that starts the shutdown.
        """
        async with contextlib.AsyncExitStack() as stack:
            for table in self._tables:
                stack.callback(table.close)
            stack.callback(self._connections.close)
            stack.callback(self._callers_connections.abort)
            await self._listen(
                stack, self._settings.peers_address, self._peers.serve_connection
            )
            await self._listen(
                stack, self._settings.metrics_address, self._serve_metrics
            )
            tls = server_context(
                self._settings.tls_certificate, self._settings.tls_private_key
            )
            await self._listen(
                stack, self._settings.callers_address, self._serve_caller, tls
            )
            tasks = await stack.enter_async_context(_cancelled_at_exit())
            tasks.create_task(self._configuration.run())
            tasks.create_task(self._in_force.run())
            tasks.create_task(self._audit.run())
            tasks.create_task(self._peers.run())
            tasks.create_task(self._keys.run())
            tasks.create_task(self._holds.run())
            tasks.create_task(self._sync_vm_rows())
            logger.info("started", incarnation=self._peers.incarnation)
            await stop.wait()
            await self._stop_gracefully()
        logger.info("stopped")

    async def _listen(self, stack, address, on_connection, tls=None):
        server = await listen(on_connection, address, LISTEN_BACKLOG, tls)
        stack.callback(server.close)

    async def _serve_caller(self, reader, writer):
        await self._callers_connections.serve(reader, writer, self._dispatcher.handle)

    async def _serve_metrics(self, reader, writer):
        await ServerConnections().serve(reader, writer, self._send_metrics)

    async def _send_metrics(self, exchange):
        await exchange.send_whole(
            200, self._metrics.render(), content_type=METRICS_CONTENT_TYPE
        )

    def _new_table(self):
        """Return a new JsonTable with a connection of its own."""
        settings = self._settings
        store = StoreClient(
            settings.platform_address,
            settings.platform_timeout_ms / 1000,
            self._count_platform_call,
        )
        self._tables.append(JsonTable(store))
        return self._tables[-1]

    async def _sync_vm_rows(self):
        """Read the addresses of other VMs and keep this VM's row up to date."""
        while True:
            try:
                rows = await self._vm_rows.read()
                self._peers.add_addresses(row.peers_address for row in rows)
                await self._vm_rows.register(rows)
                live_names = {view.hello.vm for view in self._peers.live_views()}
                await self._vm_rows.remove_silent(rows, live_names)
            except ExternalError as error:
                self._metrics.platform_failures.inc()
                logger.warning("platform-away", error=str(error))
            await asyncio.sleep(VM_ROWS_INTERVAL_S)

    def _is_sweeper(self):
        """Return whether this VM removes expired rows.

        Among VMs that are linked to each other, it is the one with the lowest name.
        """
        names = [view.hello.vm for view in self._peers.live_views()]
        return all(self._own.name <= name for name in names)

    def _count_platform_call(self, kind):
        self._metrics.measuring.labels(f"platform-{kind}").inc()

    def _on_configuration_change(self, resources):
        self._metrics.configuration_version.set(resources.version)
        self._update_services()

    def _update_services(self):
        members = []
        if not self._stopping:
            reachable = not self._holds.platform_away
            members.append(attrs.evolve(self._own, platform_reachable=reachable))
        for view in self._peers.live_views():
            if not view.heartbeat.stopping:
                hello = view.hello
                address = (hello.callers_host, hello.callers_port)
                ticket = make_ticket(hello.incarnation)
                reachable = view.heartbeat.platform_reachable
                members.append(
                    Member(hello.vm, hello.data_centre, address, ticket, reachable)
                )
        self._services.update(self._configuration.resources, members)
        self._holds.update()

    def _heartbeat(self, sequence):
        resources = self._configuration.resources
        return Heartbeat(
            sequence=sequence,
            configuration_version=resources.version,
            configuration_digest=resources.digest(),
            in_force_since_ms=int(self._configuration.in_force_since_s * 1000),
            platform_reachable=not self._holds.platform_away,
            stopping=self._stopping,
        )

    async def _stop_gracefully(self):
        """Shut down without failing requests of callers that use a cached entry list.

        This VM first disappears from the list of entries. Requests are accepted until
        cached lists have expired, and the holds are kept for them. Then the holds are
        handed over and the requests in progress are completed, within the stop timeout.
        """
        logger.info("stopping", in_progress=self._services.in_progress)
        self._stopping = True
        self._holds.pause_updates()
        self._update_services()
        self._peers.send_heartbeats()
        entries_ttl_s = self._settings.entries_ttl_ms / 1000
        await asyncio.sleep(entries_ttl_s + LAST_REQUESTS_S)
        self._callers_connections.stop()
        try:
            async with asyncio.timeout(self._settings.stop_timeout_s):
                await self._holds.hand_over_all()
                while self._services.in_progress or self._callers_connections.count:
                    await asyncio.sleep(STOP_POLL_S)
                while not self._keys.updates_done:
                    await asyncio.sleep(STOP_POLL_S)
                await self._vm_rows.remove()
        except ExternalError as error:
            logger.warning("row-not-removed", error=str(error))
        except TimeoutError:
            logger.warning("stop-timeout", in_progress=self._services.in_progress)


@contextlib.asynccontextmanager
async def _cancelled_at_exit():
    """Yield a TaskGroup whose tasks are cancelled at exit."""
    try:
        async with asyncio.TaskGroup() as group:
            yield group
            raise _Finished
    except* _Finished:
        pass


class _Finished(Exception):
    """Ends a TaskGroup."""
