"""Answer what callers, the platform and other VMs ask of this VM."""

from sesamespring.gateway.metrics import CONTENT_TYPE, render
from sesamespring.platform.directory import (
    encode_resolve_response,
    is_readiness_check,
    parse_resolve_request,
)
from sesamespring.platform.rows import parse_rows_request

__all__ = ["DirectoryHandler", "InternalHandler", "ReadinessHandler"]

JSON_HEADERS = [("Content-Type", "application/json")]
DIRECTORY_TTL_S = 1.0
METRICS_PATH = "/metrics"


class DirectoryHandler:
    """Tells callers which VMs to use for a host.

    Args:
        routes: Function that returns the RouteTable, or None.
        services: The Services.
        ttl_max_s: Longest time for which an answer counts.
    """

    def __init__(self, routes, services, ttl_max_s):
        self._routes = routes
        self._services = services
        self._ttl_s = min(DIRECTORY_TTL_S, ttl_max_s)

    async def handle(self, incoming):
        """Answer one IncomingRequest."""
        question = parse_resolve_request(incoming.target)
        routes = self._routes()
        if question is None:
            incoming.send_whole(404, [], b"")
            return
        if routes is None:
            incoming.send_whole(503, [], b"")
            return
        # Hosts without routes still get VMs, which then answer for themselves.
        service = routes.main_service(question.host) or question.host
        members = self._services.vms_for_callers(service, question.data_centre)
        if not members:
            incoming.send_whole(503, [], b"")
            return
        addresses = [(member.address[0], member.callers_port) for member in members]
        incoming.send_whole(
            200, JSON_HEADERS, encode_resolve_response(addresses, self._ttl_s)
        )


class ReadinessHandler:
    """Tells the platform whether this VM takes requests.

    Args:
        is_ready: Function that says so.
    """

    def __init__(self, is_ready):
        self._is_ready = is_ready

    async def handle(self, incoming):
        """Answer one IncomingRequest."""
        if not is_readiness_check(incoming.target):
            incoming.send_whole(404, [], b"")
            return
        incoming.send_whole(200 if self._is_ready() else 503, [], b"")


class InternalHandler:
    """Serves copies of tables to other VMs, and metrics.

    Args:
        feed: The FeedServer.
        counters: The Counters.
    """

    def __init__(self, feed, counters):
        self._feed = feed
        self._counters = counters

    async def handle(self, incoming):
        """Answer one IncomingRequest."""
        if incoming.target == METRICS_PATH:
            headers = [("Content-Type", CONTENT_TYPE)]
            incoming.send_whole(200, headers, render(self._counters))
            return
        question = parse_rows_request(incoming.target)
        if question is None:
            incoming.send_whole(404, [], b"")
            return
        status, body = await self._feed.respond(question)
        incoming.send_whole(status, JSON_HEADERS, body)
