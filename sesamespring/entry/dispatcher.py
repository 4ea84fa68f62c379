"""Dispatch requests that arrive on the callers' listening socket.

Paths below CONTROL_PREFIX belong to the directory of entry VMs and the operators'
API. The first segment of any other path is the name of a service.
"""

import math

from sesamespring.entry.forwarding import RequestForwarder
from sesamespring.entry.headers import IDEMPOTENCY_KEY_HEADER
from sesamespring.errors import ErrorKind
from sesamespring.http import header, json_body

__all__ = ["CONTROL_PREFIX", "RequestDispatcher"]

CONTROL_PREFIX = "/.sesamespring/"


class RequestDispatcher:
    """Dispatches each request to a service, the directory or the operators' API.

    Args:
        services: The Services of this VM.
        operators: The OperatorApi.
        connections: The TargetConnectionPool.
        metrics: The Metrics.
        keys: The KeyAdmission.
        recorder: The CallRecorder.
        entries_ttl_ms: How long callers may cache the list of entry VMs of a service.
    """

    def __init__(
        self,
        services,
        operators,
        connections,
        metrics,
        keys,
        recorder,
        entries_ttl_ms,
    ):
        self._services = services
        self._operators = operators
        self._connections = connections
        self._metrics = metrics
        self._keys = keys
        self._recorder = recorder
        self._entries_ttl_ms = entries_ttl_ms

    async def handle(self, exchange):
        """Handle one request and send the response.

        Args:
            exchange: The ServerExchange.
        """
        path = exchange.target.partition("?")[0]
        if not path.startswith("/") or "#" in path:
            # Proxies differ in how they parse an absolute URL or a fragment in a
            # request target, so two hops could route the same request differently.
            await exchange.refuse(ErrorKind.MALFORMED, "request target")
            return
        if path.startswith(CONTROL_PREFIX):
            await self._handle_control(exchange, path.removeprefix(CONTROL_PREFIX))
            return
        name = path.removeprefix("/").partition("/")[0]
        runner = self._services.runner(name)
        if runner is None:
            await self._refuse_service(exchange, name)
            return
        await RequestForwarder(
            exchange,
            runner,
            self._connections,
            self._metrics,
            self._keys,
            self._recorder,
        ).run()

    async def _handle_control(self, exchange, path):
        parts = path.split("/")
        if exchange.method == "GET" and len(parts) == 2 and parts[0] == "entries":
            await self._send_entries(exchange, parts[1])
            return
        await self._operators.handle(exchange, parts)

    async def _refuse_service(self, exchange, service):
        """Refuse a request to a service that is not in this VM's configuration."""
        # Another VM may have executed an earlier copy of a request with a key.
        keyed = header(exchange.headers, IDEMPOTENCY_KEY_HEADER) is not None
        kind, detail = ErrorKind.NO_CAPACITY, "no configuration yet"
        if self._services.configured:
            kind, detail = ErrorKind.NO_SUCH_SERVICE, service
        await exchange.refuse(kind, detail, may_have_run=keyed)

    async def _send_entries(self, exchange, service):
        """Send the list of entry VMs for a service, with its time to live."""
        members = self._services.group_members(service)
        if members is None:
            await self._refuse_service(exchange, service)
            return
        response = {
            "service": service,
            "ttl_ms": self._entries_ttl_ms,
            "entries": [
                {
                    "name": member.name,
                    "data_centre": member.data_centre,
                    "address": f"{member.address[0]}:{member.address[1]}",
                    "ticket": member.ticket,
                    "weight": member.weight,
                }
                for member in members
            ],
        }
        ttl_s = math.floor(self._entries_ttl_ms / 1000)
        await exchange.send_whole(
            200,
            body=json_body(response),
            headers=[("Cache-Control", f"max-age={ttl_s}")],
        )
