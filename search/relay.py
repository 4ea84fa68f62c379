"""Another VM, which sends requests on to targets that the first does not reach."""

import asyncio

from search.link import Link
from search.surroundings import make_context
from sesamespring.gateway.callers.caller_connections import CallerConnections
from sesamespring.gateway.targets.relay_messages import parse_reachability_path
from sesamespring.gateway.targets.relay_server import RelayServer
from sesamespring.http.pipeline import CallerConnection

__all__ = ["RelayVm"]

CONNECTIONS_MAX = 32


class RelayVm:
    """A VM that reaches targets at these addresses.

    Args:
        addresses: List of pairs of IP and port.
        shape: The LinkShape of the connections to it.
        on_error: Function called with a request and the error if handling it fails.
    """

    def __init__(self, addresses, shape, on_error):
        self._shape = shape
        self._relay = RelayServer(make_context(addresses))
        self._connections = CallerConnections(
            self._handle, CONNECTIONS_MAX, on_error=on_error
        )
        self._tasks = set()

    def accept(self, protocol):
        """Connect a protocol to the VM, and return its transport."""
        near = Link(protocol, self._shape)
        far = Link(CallerConnection(self._connections), self._shape)
        for source, destination in ((near, far), (far, near)):
            copying = _copy(source.peer, destination.peer)
            task = asyncio.get_running_loop().create_task(copying)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        return near.transport

    async def _handle(self, incoming):
        if not await self._relay.handle(incoming):
            key = parse_reachability_path(incoming.target)
            await self._relay.respond_reachability(incoming, key)


async def _copy(source, destination):
    """Send on what comes from one end of the way between two VMs, up to its end."""
    while not source.at_end or source.received:
        destination.send(bytes(source.received))
        source.received.clear()
        await source.wait()
    destination.reset() if source.is_reset else destination.end()
