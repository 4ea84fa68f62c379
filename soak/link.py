"""TCP proxy that injects network faults: delay, resets, silence and partitions."""

import asyncio
import contextlib
import enum
import socket
import struct

__all__ = ["Direction", "Link"]

CHUNK_BYTES = 16 * 1024
# SO_LINGER on with a timeout of 0 s: closing the socket sends RST instead of FIN.
LINGER_RESET = struct.pack("ii", 1, 0)


class Direction(enum.Enum):
    """A direction through a link: FORWARD leads from the client to the server."""

    FORWARD = "forward"
    BACK = "back"


class Link:
    """A TCP proxy to one address.

    Args:
        target: Pair of IP and port of the server to connect to.

    Attributes:
        delay_s: Delay before each chunk is forwarded in either direction, in seconds.
    """

    def __init__(self, target):
        self.delay_s = 0.0
        self._target = target
        self._open = {d: asyncio.Event() for d in Direction}
        for event in self._open.values():
            event.set()
        self._connections = set()
        # Addresses of the clients whose connections were silenced.
        self._silenced = set()
        self._server = None

    async def start(self, host, port):
        """Listen on an address."""
        self._server = await asyncio.start_server(self._serve_connection, host, port)

    def close(self):
        """Stop listening and reset all connections."""
        self._server.close()
        self.reset()

    def reset(self):
        """Reset all connections."""
        for connection in tuple(self._connections):
            connection.abort()

    def silence(self):
        """Stop forwarding on the open connections for good; new ones work.

        The connections stay open and ``restore`` does not affect them.
        """
        for connection in self._connections:
            connection.silent.set()
            self._silenced.add(connection.client_address)

    def is_silenced(self, client_address):
        """Return whether a connection from a client's address was silenced."""
        return client_address in self._silenced

    def reset_client(self, ip):
        """Reset all connections of a client."""
        for connection in tuple(self._connections):
            if connection.client_address[0] == ip:
                connection.abort()

    def silence_client(self, ip):
        """Stop forwarding on the open connections of a client for good."""
        for connection in self._connections:
            if connection.client_address[0] == ip:
                connection.silent.set()
                self._silenced.add(connection.client_address)

    def cut(self, *directions):
        """Hold back all bytes in some directions until ``restore``."""
        for direction in directions:
            self._open[direction].clear()

    def restore(self):
        """End ``cut``, forward the bytes held back, and set ``delay_s`` to 0."""
        self.delay_s = 0.0
        for event in self._open.values():
            event.set()

    async def wait_open(self, direction):
        """Wait for ``delay_s``, then until a direction is not cut."""
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        await self._open[direction].wait()

    async def _serve_connection(self, reader, writer):
        peer = writer.get_extra_info("peername")
        if peer is None:
            return
        try:
            # From the client's address, so that the server sees whose request it is.
            upstream = await asyncio.open_connection(
                *self._target, local_addr=(peer[0], 0)
            )
        except OSError:
            _abort(writer)
            return
        # The port may have been used before.
        self._silenced.discard(peer)
        connection = _Connection(self, peer, (reader, writer), upstream)
        self._connections.add(connection)
        # Only the end of the whole run cancels this task, so that need not be reported.
        with contextlib.suppress(asyncio.CancelledError):
            await connection.run()
        self._connections.discard(connection)


class _Connection:
    def __init__(self, link, client_address, client, server):
        self.silent = asyncio.Event()
        self.client_address = client_address
        self._link = link
        self._client_reader, self._client_writer = client
        self._server_reader, self._server_writer = server
        self._tasks = ()

    async def run(self):
        self._tasks = (
            asyncio.ensure_future(
                self._forward(
                    self._client_reader, self._server_writer, Direction.FORWARD
                )
            ),
            asyncio.ensure_future(
                self._forward(self._server_reader, self._client_writer, Direction.BACK)
            ),
        )
        try:
            await asyncio.wait(self._tasks)
        finally:
            self.abort()

    def abort(self):
        for task in self._tasks:
            task.cancel()
        for writer in (self._client_writer, self._server_writer):
            _abort(writer)

    async def _forward(self, reader, writer, direction):
        with contextlib.suppress(ConnectionError):
            while chunk := await reader.read(CHUNK_BYTES):
                await self._link.wait_open(direction)
                if self.silent.is_set():
                    await asyncio.Event().wait()
                writer.write(chunk)
                await writer.drain()
            await self._link.wait_open(direction)
            if self.silent.is_set():
                await asyncio.Event().wait()
            if writer.can_write_eof():
                writer.write_eof()
            return
        self.abort()


def _abort(writer):
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    writer.transport.abort()
