"""Run an h11 connection over a pair of asyncio streams."""

import asyncio
import select
from http import HTTPStatus

import h11

__all__ = [
    "HEAD_BYTES_MAX",
    "READ_BYTES",
    "CloseNotifyingReader",
    "HttpStream",
    "connect",
    "listen",
]

HEAD_BYTES_MAX = 16 * 1024
READ_BYTES = 64 * 1024
BUFFER_BYTES = 64 * 1024
LINGER_S = 1.0


class CloseNotifyingReader(asyncio.StreamReader):
    """A StreamReader that reports a close by the peer without a pending read.

    Attributes:
        on_closed: Function called when the peer sends EOF or the connection fails, or
            None.
        activity_seen: Whether data, EOF or a failure arrived since this was last set
            to False.
    """

    def __init__(self, loop):
        super().__init__(limit=BUFFER_BYTES, loop=loop)
        self.on_closed = None
        self.activity_seen = False

    def feed_data(self, data):
        """Buffer data from the transport."""
        self.activity_seen = True
        super().feed_data(data)

    def feed_eof(self):
        """Record EOF from the transport and call ``on_closed``."""
        super().feed_eof()
        self._notify_closed()

    def set_exception(self, exc):
        """Record a failure of the connection and call ``on_closed``."""
        super().set_exception(exc)
        self._notify_closed()

    def _notify_closed(self):
        self.activity_seen = True
        if self.on_closed is not None:
            self.on_closed()


async def listen(connected, address, backlog=100, tls=None):
    """Listen on ``address`` and return the asyncio server.

    Args:
        connected: Coroutine function called with the reader and writer of each new
            connection.
        address: Pair of IP and port.
        backlog: Largest number of connections that wait to be accepted.
        tls: The ssl.SSLContext, or None for plain text.
    """
    loop = asyncio.get_running_loop()

    def make_protocol():
        return asyncio.StreamReaderProtocol(
            CloseNotifyingReader(loop), connected, loop=loop
        )

    return await loop.create_server(make_protocol, *address, backlog=backlog, ssl=tls)


async def connect(address, tls=None):
    """Connect to ``address`` and return the pair of reader and writer.

    Args:
        address: Pair of IP and port.
        tls: The ssl.SSLContext, or None for plain text.
    """
    loop = asyncio.get_running_loop()
    reader = CloseNotifyingReader(loop)
    protocol = asyncio.StreamReaderProtocol(reader, loop=loop)
    transport, _ = await loop.create_connection(lambda: protocol, *address, ssl=tls)
    return reader, asyncio.StreamWriter(transport, protocol, reader, loop)


class HttpStream:
    """One HTTP/1.1 connection.

    Args:
        role: ``h11.CLIENT`` or ``h11.SERVER``: the local side's role.
        reader: The asyncio StreamReader.
        writer: The asyncio StreamWriter.
    """

    def __init__(self, role, reader, writer):
        self._reader = reader
        self._writer = writer
        self._h11 = h11.Connection(role, max_incomplete_event_size=HEAD_BYTES_MAX)

    @property
    def state(self):
        """The h11 Connection, which holds the protocol state of both sides."""
        return self._h11

    @property
    def writer(self):
        """The asyncio StreamWriter."""
        return self._writer

    @property
    def at_eof(self):
        """Whether the peer has sent EOF and all data has been read."""
        return self._reader.at_eof()

    @property
    def open_and_idle(self):
        """Whether the connection is open and has received nothing since next_cycle."""
        transport = self._writer.transport
        if transport.is_closing() or self._reader.activity_seen:
            return False
        # The kernel may hold data or an EOF that the event loop has not read yet.
        poller = select.poll()
        poller.register(transport.get_extra_info("socket"), select.POLLIN)
        return not poller.poll(0)

    def next_buffered_event(self):
        """Return the next h11 event if its bytes are already buffered, or None.

        Raises:
            h11.RemoteProtocolError: The peer violated the protocol.
        """
        event = self._h11.next_event()
        if event is h11.NEED_DATA:
            return None
        _check_size(event)
        return event

    async def receive(self, on_first_bytes=None):
        """Return the next h11 event from the peer.

        Args:
            on_first_bytes: Function called once when the first bytes arrive, or None.

        Raises:
            h11.RemoteProtocolError: The peer violated the protocol or the connection
                ended inside a message.
            ConnectionError: The connection failed.
        """
        while True:
            event = self.next_buffered_event()
            if event is not None:
                return event
            data = await self._reader.read(READ_BYTES)
            if on_first_bytes is not None and data:
                on_first_bytes()
                on_first_bytes = None
            self._h11.receive_data(data)

    async def send(self, *events):
        """Send h11 events in one write and wait while the write buffer is full."""
        chunks = [self._h11.send(event) for event in events]
        self._writer.write(b"".join(chunk for chunk in chunks if chunk))
        await self._writer.drain()

    def next_cycle(self):
        """Prepare the connection for its next request and response."""
        self._h11.start_next_cycle()
        self._reader.activity_seen = False

    def set_close_callback(self, callback):
        """Set the function that is called when the peer closes or the connection fails.

        It is called at once if the peer has already closed.

        Args:
            callback: Function without arguments, or None to remove it.
        """
        self._reader.on_closed = callback
        if callback is not None and self._reader.at_eof():
            callback()

    async def linger(self):
        """Send EOF and discard what the peer sends for up to LINGER_S seconds.

        Closing a socket with unread data resets the connection, and the reset may
        reach the peer before it has read the response.
        """
        try:
            self._writer.write_eof()
            async with asyncio.timeout(LINGER_S):
                while await self._reader.read(READ_BYTES):
                    pass
        except (OSError, TimeoutError, RuntimeError):
            pass

    def close(self):
        """Close the connection after the buffered data is sent."""
        self._writer.close()

    def abort(self):
        """Close the connection at once and discard buffered data."""
        self._writer.transport.abort()


def _check_size(event):
    """Check a head's size: h11 does not limit one that arrives in a single read."""
    if isinstance(event, h11.Request | h11.Response):
        size = sum(len(name) + len(value) for name, value in event.headers)
        if size > HEAD_BYTES_MAX:
            raise h11.RemoteProtocolError(
                "head too large",
                error_status_hint=HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
            )
