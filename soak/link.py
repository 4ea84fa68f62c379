"""Carry TCP connections over loopback, and spoil them on demand."""

import asyncio
import contextlib
import enum
import socket
import struct

__all__ = ["Direction", "Link"]

PIECE_BYTES = 16 * 1024
# Closing with this option resets the connection.
RESET_AT_CLOSE = struct.pack("ii", 1, 0)


class Direction(enum.Enum):
    """A way through a link."""

    FORWARD = "forward"
    BACK = "back"


class Link:
    """A proxy between whoever connects to it and one address.

    Args:
        target: Pair of IP and port that connections lead to.

    Attributes:
        delay_s: How long bytes are held in each direction, in seconds.
    """

    def __init__(self, target):
        self.delay_s = 0.0
        self._target = target
        self._open = {d: asyncio.Event() for d in Direction}
        for opened in self._open.values():
            opened.set()
        self._connections = set()
        self._server = None

    async def start(self, host, port):
        """Listen on an address."""
        self._server = await asyncio.start_server(self._connected, host, port)

    def close(self):
        """Stop listening and drop all connections."""
        self._server.close()
        self.reset()

    def reset(self):
        """Reset all connections."""
        for connection in tuple(self._connections):
            connection.abort()

    def silence(self):
        """Let nothing more through the open connections; new ones work."""
        for connection in self._connections:
            connection.silent.set()

    def cut(self, *directions):
        """Hold all bytes in some directions until ``mend``."""
        for direction in directions:
            self._open[direction].clear()

    def mend(self):
        """Let held bytes go and delay nothing."""
        self.delay_s = 0.0
        for opened in self._open.values():
            opened.set()

    async def hold(self, direction):
        """Wait as long as bytes in a direction are held."""
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        await self._open[direction].wait()

    async def _connected(self, reader, writer):
        try:
            onward = await asyncio.open_connection(*self._target)
        except OSError:
            _abort(writer)
            return
        connection = _Connection(self, (reader, writer), onward)
        self._connections.add(connection)
        # Cancelled only when the whole soak ends.
        with contextlib.suppress(asyncio.CancelledError):
            await connection.run()
        self._connections.discard(connection)


class _Connection:
    def __init__(self, link, near, far):
        self.silent = asyncio.Event()
        self._link = link
        self._near_reader, self._near_writer = near
        self._far_reader, self._far_writer = far
        self._tasks = ()

    async def run(self):
        self._tasks = (
            asyncio.ensure_future(
                self._carry(self._near_reader, self._far_writer, Direction.FORWARD)
            ),
            asyncio.ensure_future(
                self._carry(self._far_reader, self._near_writer, Direction.BACK)
            ),
        )
        try:
            await asyncio.wait(self._tasks)
        finally:
            self.abort()

    def abort(self):
        for task in self._tasks:
            task.cancel()
        for writer in (self._near_writer, self._far_writer):
            _abort(writer)

    async def _carry(self, reader, writer, direction):
        with contextlib.suppress(ConnectionError):
            while piece := await reader.read(PIECE_BYTES):
                await self._link.hold(direction)
                if self.silent.is_set():
                    await asyncio.Event().wait()
                writer.write(piece)
                await writer.drain()
            await self._link.hold(direction)
            if self.silent.is_set():
                await asyncio.Event().wait()
            if writer.can_write_eof():
                writer.write_eof()
            return
        self.abort()


def _abort(writer):
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
    writer.transport.abort()
