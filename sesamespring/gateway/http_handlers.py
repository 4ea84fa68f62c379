"""Handle HTTP requests for the directory, readiness, metrics and table copies."""

from sesamespring.gateway.metrics import CONTENT_TYPE, render
from sesamespring.gateway.targets.relay_messages import parse_reachability_path
from sesamespring.http.compression import compress_response
from sesamespring.platform.directory import (
    encode_resolve_response,
    is_readiness_check,
    parse_resolve_request,
)
from sesamespring.platform.rows import parse_rows_request

__all__ = ["DirectoryHandler", "InternalHandler", "ReadinessHandler"]

JSON_HEADERS = [("Content-Type", "application/json")]
DIRECTORY_TTL_S = 1.0
# How long a caller waits for a response of the directory before it asks the next one.
DIRECTORY_TIMEOUT_S = 1.0
METRICS_PATH = "/metrics"


class DirectoryHandler:
    """Serves the directory, from which callers get the VMs to use for a host.

    Args:
        routes: Function that returns the RouteTable, or None before the first
            configuration.
        cluster_state: The ClusterState.
        services: The Services.
        ttl_max_s: Upper bound of the time for which a response is valid, in seconds.
    """

    def __init__(self, routes, cluster_state, services, ttl_max_s):
        self._routes = routes
        self._cluster_state = cluster_state
        self._services = services
        self._ttl_s = min(DIRECTORY_TTL_S, ttl_max_s)

    async def handle(self, incoming):
        """Respond to one IncomingRequest."""
        if not incoming.admitted:
            incoming.send_whole(503, [("Retry-After", "1")], b"")
            return
        request = parse_resolve_request(incoming.target)
        if request is None:
            incoming.send_whole(404, [], b"")
            return
        await self._cluster_state.wait_until_ready(DIRECTORY_TIMEOUT_S)
        routes = self._routes()
        if routes is None:
            incoming.send_whole(503, [], b"")
            return
        # For a host without routes, VMs are returned as well; they reject its requests
        # themselves.
        service = routes.main_service(request.host) or request.host
        members = self._services.vms_for_callers(service, request.data_centre)
        if not members:
            incoming.send_whole(503, [], b"")
            return
        addresses = [(member.address[0], member.callers_port) for member in members]
        incoming.send_whole(
            200, JSON_HEADERS, encode_resolve_response(addresses, self._ttl_s)
        )


class ReadinessHandler:
    """Serves the platform's readiness check.

    Args:
        is_ready: Function that returns whether this VM accepts requests.
    """

    def __init__(self, is_ready):
        self._is_ready = is_ready

    async def handle(self, incoming):
        """Respond to one IncomingRequest with 200 if ready, else with 503."""
        if not is_readiness_check(incoming.target):
            incoming.send_whole(404, [], b"")
            return
        incoming.send_whole(200 if self._is_ready() else 503, [], b"")


class InternalHandler:
    """Serves other VMs: copies of the tables, attempts at targets; and the metrics.

    Args:
        feed: The FeedServer.
        relay: The RelayServer.
        counters: The Counters.
        traffic: The PeerTraffic.
    """

    def __init__(self, feed, relay, counters, traffic):
        self._feed = feed
        self._relay = relay
        self._counters = counters
        self._traffic = traffic

    async def handle(self, incoming):
        """Respond to one IncomingRequest."""
        if await self._relay.handle(incoming):
            return
        key = parse_reachability_path(incoming.target)
        if key is not None:
            await self._relay.respond_reachability(incoming, key)
            return
        if incoming.target == METRICS_PATH:
            headers = [("Content-Type", CONTENT_TYPE)]
            incoming.send_whole(200, headers, render(self._counters))
            return
        request = parse_rows_request(incoming.target)
        if request is None:
            incoming.send_whole(404, [], b"")
            return
        status, body = await self._feed.respond(request)
        headers, body = compress_response(incoming.headers, body)
        self._traffic.record_page(incoming.caller_ip, len(body))
        incoming.send_whole(status, [*JSON_HEADERS, *headers], body)
