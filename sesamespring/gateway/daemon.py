"""Create and run the components of an entry VM's daemon, and stop them gracefully."""

import asyncio
import contextlib
import functools
import signal

from returns.result import Failure

from sesamespring.errors import UserError
from sesamespring.gateway.callers.caller_connections import CallerConnections
from sesamespring.gateway.callers.caller_limits import CallerLimits
from sesamespring.gateway.callers.forwarding import RequestForwarder
from sesamespring.gateway.callers.request_quarantine import RequestQuarantine
from sesamespring.gateway.coalesced_call import CoalescedCall
from sesamespring.gateway.context import GatewayContext
from sesamespring.gateway.counters import Counters
from sesamespring.gateway.event_log import EventLog
from sesamespring.gateway.generated.ttypes import CrashRecords
from sesamespring.gateway.http_handlers import (
    DIRECTORY_TTL_S,
    DirectoryHandler,
    InternalHandler,
    ReadinessHandler,
)
from sesamespring.gateway.members.datagrams import open_datagrams
from sesamespring.gateway.members.peer_traffic import PeerTraffic
from sesamespring.gateway.members.peers import Peers
from sesamespring.gateway.slots.departure_reports import report_departures
from sesamespring.gateway.slots.quota_gate import make_quota_gate
from sesamespring.gateway.slots.rollout_context import RolloutContext
from sesamespring.gateway.slots.rollouts import Rollouts
from sesamespring.gateway.slots.services import Services
from sesamespring.gateway.slots.slot_client import SlotClient
from sesamespring.gateway.slots.slot_server import SlotServer
from sesamespring.gateway.store.address_rows import AddressRows
from sesamespring.gateway.store.cluster_state import ClusterState
from sesamespring.gateway.store.quarantine_rows import QuarantineRows
from sesamespring.gateway.store.rollout_store import RolloutStore
from sesamespring.gateway.store.table_sync import FeedServer, PollTiming, TableSync
from sesamespring.gateway.supervision import describe_error, run_supervised
from sesamespring.gateway.targets.connection_pool import TargetConnectionPool
from sesamespring.gateway.targets.prober import Prober
from sesamespring.gateway.targets.relay_server import RelayServer
from sesamespring.gateway.targets.target_availability import TargetAvailability
from sesamespring.gateway.targets.target_limits import TargetLimits
from sesamespring.gateway.targets.target_paths import TargetPaths
from sesamespring.http.pipeline import ServerLimits
from sesamespring.platform.operator_table import OPERATOR_TABLE
from sesamespring.platform.registrations import TARGETS_TABLE
from sesamespring.platform.settings import read_vm_settings
from sesamespring.platform.store import StoreClient
from sesamespring.routing.routes import RouteTable

__all__ = ["GatewayDaemon", "run_gateway"]

STORE_TIMEOUT_S = 0.8
HOUSEKEEPING_INTERVAL_S = 0.25
STOP_POLL_INTERVAL_S = 0.05
# Shortest time between two updates of all services for changes of other VMs.
PEERS_UPDATE_INTERVAL_S = 0.1
# Part of the stop timeout that is kept for responses still in progress.
LAST_RESPONSES_S = 1.0
DESCRIPTORS_RESERVED = 200
# Characters of a request target that are logged.
TARGET_LOGGED_MAX = 100
# Above what callers may send, as attempts for other VMs come with further headers.
INTERNAL_LIMITS = ServerLimits(128 * 1024, 3.0, 15.0)
OPERATOR_POLL_TIMING = PollTiming(wait_s=2.0, interval_s=0.02)
# Targets write heartbeats many times a second, so a poll returns almost at once and
# the interval limits the rate of polls.
TARGETS_POLL_TIMING = PollTiming(wait_s=0.5, interval_s=0.7)


def run_gateway(settings_path, metrics_port=None):
    """Run the daemon until SIGTERM or SIGINT.

    Args:
        settings_path: Path of the platform's settings file.
        metrics_port: Additional port on which metrics are served, or None.

    Raises:
        UserError: The settings are missing or invalid.
    """
    result = read_vm_settings(settings_path)
    if isinstance(result, Failure):
        raise UserError(result.failure())
    asyncio.run(_run_until_signal(result.unwrap(), metrics_port))


async def _run_until_signal(settings, metrics_port):
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    daemon = GatewayDaemon(settings, metrics_port)
    loop.add_signal_handler(signal.SIGHUP, daemon.reload)
    await daemon.run(stop)


class GatewayDaemon:
    """The daemon of one entry VM.

    Args:
        settings: The VmSettings.
        metrics_port: Additional port on which metrics are served, or None.
    """

    def __init__(self, settings, metrics_port=None):
        self._settings = settings
        self._metrics_port = metrics_port
        self._leaving = False
        self._counters = Counters()
        self._log = EventLog(settings.process_name)
        self._cluster_state = ClusterState(self._log, self._cluster_state_changed)
        self._store = StoreClient(settings.store_address, STORE_TIMEOUT_S)
        self._limits = TargetLimits(self._counters, self._log)
        self._availability = TargetAvailability(
            self._cluster_state, self._counters, self._log
        )
        self._quarantine = RequestQuarantine(self._counters, self._log)
        self._quarantine_rows = QuarantineRows(self._store, self._quarantine, self._log)
        self._quarantine.on_changed = self._quarantine_rows.record_changed
        self._peers_changed = CoalescedCall(self._update_peers, PEERS_UPDATE_INTERVAL_S)
        self._peers = Peers(
            settings,
            self._local_state,
            self._limits,
            self._availability,
            self._quarantine,
            self._log,
            self._handle_peers_changed,
        )
        self._traffic = PeerTraffic(
            self._counters, settings.data_centre, self._peers.data_centre_of
        )
        self._address_rows = AddressRows(settings, self._store, self._log)
        self._table_sync = TableSync(
            settings,
            self._cluster_state,
            self._peers,
            self._address_rows,
            self._counters,
            self._log,
            {OPERATOR_TABLE: OPERATOR_POLL_TIMING, TARGETS_TABLE: TARGETS_POLL_TIMING},
        )
        self._target_connections = TargetConnectionPool(
            lambda: self._counters.add("target_connections")
        )
        self._relay_connections = TargetConnectionPool(
            lambda: self._counters.add("relay_connections")
        )
        self._paths = TargetPaths(
            self._peers, self._target_connections, self._relay_connections, self._log
        )
        self._paths.on_change = self._paths_changed
        self._quotas = make_quota_gate(
            settings, self._cluster_state, self._peers, self._counters, self._log
        )
        self._services = Services(
            settings,
            self._cluster_state,
            self._peers,
            self._target_connections,
            self._limits,
            self._quotas,
        )
        self._limits.on_change = self._services.apply_limits
        self._limits.on_news = self._peers.broadcast_heartbeat
        self._availability.on_news = self._peers.broadcast_heartbeat
        self._quarantine.on_news = self._peers.broadcast
        self._peers.set_handler(CrashRecords, self._quarantine.handle_message)
        self._slot_client = SlotClient(
            self._services,
            self._peers,
            self._cluster_state,
            self._availability,
            self._counters,
            self._log,
        )
        self._slot_server = SlotServer(self._services, self._peers)
        self._slot_server.register_handlers()
        self._rollouts = Rollouts(
            self._cluster_state,
            RolloutContext(
                settings.bounds,
                self._services,
                self._peers,
                self._slot_client,
                RolloutStore(self._store, self._log),
                lambda: self._cluster_state.operator.era,
                self._counters,
                self._log,
            ),
        )
        probes_per_s = settings.bounds.probes_per_s
        self._prober = Prober(
            self._services,
            self._limits,
            self._availability,
            self._paths,
            self._counters,
            probes_per_s,
        )
        self._context = GatewayContext(
            self._cluster_state,
            None,
            self._slot_client,
            self._target_connections,
            self._paths,
            self._limits,
            self._availability,
            self._quarantine,
            self._counters,
            self._log,
            settings.data_centre,
        )
        self._relay = RelayServer(self._context)
        self._quarantine.on_quarantined = self._context.content_quarantined
        self._client_limits = CallerLimits(
            settings.memory_bytes, self._counters, self._log
        )
        self._callers = CallerConnections(
            self._serve,
            self._connections_max(),
            self._caller_limits,
            self._request_failed,
            self._client_limits,
        )
        self._was_ready = False

    async def run(self, stop):
        """Serve until the asyncio.Event ``stop`` is set, then stop gracefully."""
        settings = self._settings
        self._log.event("starting", data_centre=settings.data_centre, ip=settings.ip)
        async with contextlib.AsyncExitStack() as stack:
            stack.callback(self._target_connections.close)
            stack.callback(self._relay_connections.close)
            stack.callback(self._store.close)
            stack.callback(self._table_sync.close)
            stack.callback(self._services.close)
            if self._quotas is not None:
                stack.callback(self._quotas.close)
            stack.callback(self._peers_changed.close)
            await self._listen(stack)
            tasks = await stack.enter_async_context(_cancelled_at_exit())
            for name, run in self._background_tasks().items():
                tasks.create_task(run_supervised(name, run, self._log))
            await stop.wait()
            await self._stop_gracefully()
        self._log.event("stopped")

    def reload(self):
        """Handle SIGHUP, which changes nothing: the settings file is not read again.

        On the platform, addresses and bounds stay the same for a process's lifetime.
        """
        self._log.event("reload", outcome="nothing-to-change")

    def _background_tasks(self):
        """Return the coroutine functions that run until the end, by name."""
        tasks = {
            "peers": self._peers.run,
            "address-rows": self._run_address_rows,
            "quarantine-rows": self._quarantine_rows.run,
            "prober": self._prober.run,
            "housekeeping": self._run_housekeeping,
        }
        for name, replica in self._cluster_state.replicas.items():
            tasks[f"table-{name}"] = functools.partial(self._table_sync.run, replica)
        # A process that only serves the directory sends nothing to targets.
        if self._settings.callers_address is not None:
            tasks["paths"] = self._paths.run
            if self._settings.bounds.exposure_share is not None:
                tasks["rollouts"] = self._rollouts.run
        return tasks

    async def _run_address_rows(self):
        await self._address_rows.run(self._peers.add_addresses)

    async def _listen(self, stack):
        settings = self._settings
        internal_address = settings.internal_address
        datagrams = await open_datagrams(
            internal_address,
            self._peers.handle_message,
            self._counters,
            self._log,
            self._traffic.record_datagram,
        )
        stack.callback(datagrams.close)
        self._peers.set_socket(datagrams)
        directory = DirectoryHandler(
            lambda: self._context.routes,
            self._cluster_state,
            self._services,
            settings.bounds.resolve_ttl_max_s,
        )
        ready = ReadinessHandler(lambda: self._ready)
        feed = FeedServer(self._cluster_state.replicas)
        internal = InternalHandler(feed, self._relay, self._counters, self._traffic)
        listeners = [
            (directory.handle, settings.directory_address),
            (ready.handle, settings.ready_address),
            (internal.handle, internal_address),
        ]
        if self._metrics_port is not None:
            listeners.append((internal.handle, (settings.ip, self._metrics_port)))
        connections_max = self._connections_max()
        for handle, address in listeners:
            if address is None:
                continue
            is_public = address == settings.directory_address
            connections = CallerConnections(
                handle,
                connections_max,
                lambda: INTERNAL_LIMITS,
                self._request_failed,
                self._client_limits if is_public else None,
            )
            stack.callback(connections.close)
            await connections.listen(address)
        stack.callback(self._callers.close)
        if settings.callers_address is not None:
            await self._callers.listen(settings.callers_address)

    async def _serve(self, incoming):
        await RequestForwarder(incoming, self._context).run()

    def _request_failed(self, request, error):
        self._counters.add("failed_handlers")
        self._log.event(
            "request-handler-failed",
            caller=request.caller_ip,
            target=request.target[:TARGET_LOGGED_MAX],
            **describe_error(error),
        )

    @property
    def _ready(self):
        serves = self._settings.callers_address is not None
        return serves and self._cluster_state.ready and not self._leaving

    @property
    def _has_work(self):
        """Whether requests of callers or attempts for other VMs are in progress."""
        return self._callers.active or self._relay.in_progress > 0

    def _local_state(self):
        return {
            "ready": self._ready,
            "leaving": self._leaving,
            "store_reached": self._table_sync.store_reached,
            "operator_version": self._cluster_state.operator.changed_version,
            "targets_version": self._cluster_state.registrations.changed_version,
            "operator_era": self._cluster_state.operator.era,
            "targets_era": self._cluster_state.registrations.era,
            **self._paths.state_for_members,
        }

    def _connections_max(self):
        return (self._settings.descriptors_max - DESCRIPTORS_RESERVED) // 2

    def _caller_limits(self):
        configuration = self._cluster_state.configuration
        if configuration is None:
            return ServerLimits(16 * 1024, 3.0, 15.0)
        limits = configuration.limits
        return ServerLimits(
            limits.head_bytes_max, limits.head_timeout_s, limits.idle_timeout_s
        )

    def _cluster_state_changed(self):
        configuration = self._cluster_state.configuration
        if configuration is not None:
            self._counters.set("configuration_version", configuration.version)
            routes = self._context.routes
            self._context.routes = RouteTable(configuration.routes, routes)
        self._paths.set_targets(self._cluster_state.entries)
        if self._ready == self._was_ready:
            self._services.update_targets()
        else:
            self._services.update()
            self._was_ready = self._ready
            self._log.event("ready", ready=self._ready)
            self._peers.broadcast_heartbeat()

    def _paths_changed(self):
        self._services.update()
        self._peers.broadcast_heartbeat()

    def _handle_peers_changed(self):
        self._services.choose_deciders_again()
        self._peers_changed()

    def _update_peers(self):
        self._services.update()
        self._slot_server.keep_only({m.address for m in self._peers.alive.values()})
        self._paths.drop_departed_relays()

    async def _run_housekeeping(self):
        while True:
            await asyncio.sleep(HOUSEKEEPING_INTERVAL_S)
            self._cluster_state.drop_expired()
            self._limits.drop_outdated(self._cluster_state.target_keys)
            self._availability.drop_outdated()
            self._quarantine.drop_expired()
            if self._quotas is not None:
                self._quotas.tick()
            report_departures(
                self._services,
                self._counters,
                self._log,
                asyncio.get_running_loop().time(),
            )
            self._counters.set("vms_heard", len(self._peers.alive))
            self._counters.set("requests_in_progress", self._callers.in_progress)
            held_bytes = self._client_limits.memory.used_bytes
            self._counters.set("caller_memory_bytes", held_bytes)

    async def _stop_gracefully(self):
        """Withdraw from the directory, serve until its responses expire, then finish.

        Callers may use this VM until the TTL of the last directory response that named
        it is over.
        """
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        self._log.event("stopping", in_progress=self._callers.in_progress)
        self._leaving = True
        self._was_ready = False
        self._services.update()
        self._peers.broadcast_heartbeat()
        self._callers.stop()
        grace_s = self._settings.bounds.stop_s
        await asyncio.sleep(min(DIRECTORY_TTL_S + 0.5, grace_s / 2))
        self._callers.stop_accepting()
        self._callers.close_idle()
        last_s = started_s + grace_s - LAST_RESPONSES_S / 2
        while self._has_work and loop.time() < last_s:
            await asyncio.sleep(STOP_POLL_INTERVAL_S)
            self._callers.close_idle()
        for forwarder in tuple(self._context.forwarders):
            forwarder.process_ends()
        await asyncio.sleep(STOP_POLL_INTERVAL_S)


@contextlib.asynccontextmanager
async def _cancelled_at_exit():
    """Yield a TaskGroup whose tasks are cancelled on exit from the context."""
    try:
        async with asyncio.TaskGroup() as group:
            yield group
            raise _Finished
    except* _Finished:
        pass


class _Finished(Exception):
    """Raised inside a TaskGroup to cancel its tasks."""
