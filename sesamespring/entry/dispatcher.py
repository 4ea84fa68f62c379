"""Answer callers and operators on one listening socket."""

import math

from sesamespring.entry.forwarding import RequestForwarder
from sesamespring.entry.headers import IDEMPOTENCY_KEY_HEADER
from sesamespring.errors import ErrorKind
from sesamespring.http import header, json_body

__all__ = ["CONTROL_PREFIX", "RequestDispatcher"]

CONTROL_PREFIX = "/.sesamespring/"


class RequestDispatcher:
    """The part that takes in requests and sends each where it belongs.

    Args:
        services: The Services of this VM.
        operators: The OperatorApi.
        connections: The TargetConnectionPool.
        metrics: The Metrics.
        keys: The KeyAdmission.
        recorder: The CallRecorder.
        entries_ttl_ms: How long callers keep the answer to which VMs to use.
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
        """Answer one request."""
        path = exchange.target.partition("?")[0]
        if not path.startswith("/") or "#" in path:
            # Hops that read an absolute target differently could disagree on it.
            await exchange.refuse(ErrorKind.MALFORMED, "request target")
            return
        if path.startswith(CONTROL_PREFIX):
            await self._control(exchange, path.removeprefix(CONTROL_PREFIX))
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

    async def _control(self, exchange, path):
        parts = path.split("/")
        if exchange.method == "GET" and len(parts) == 2 and parts[0] == "entries":
            await self._answer_entries(exchange, parts[1])
            return
        await self._operators.handle(exchange, parts)

    async def _refuse_service(self, exchange, service):
        """Refuse a service that is not declared as far as this VM knows."""
        # Another VM may have run an earlier copy of a keyed request.
        keyed = header(exchange.headers, IDEMPOTENCY_KEY_HEADER) is not None
        kind, detail = ErrorKind.NO_CAPACITY, "no configuration yet"
        if self._services.configured:
            kind, detail = ErrorKind.NO_SUCH_SERVICE, service
        await exchange.refuse(kind, detail, may_have_run=keyed)

    async def _answer_entries(self, exchange, service):
        """Answer which entry VMs to use for a service, and for how long."""
        members = self._services.group_members(service)
        if members is None:
            await self._refuse_service(exchange, service)
            return
        answer = {
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
            body=json_body(answer),
            headers=[("Cache-Control", f"max-age={ttl_s}")],
        )
