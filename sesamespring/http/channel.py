"""Send HTTP requests one after the other on a connection, and read their answers."""

import asyncio
import socket

import h11

__all__ = ["Channel", "ChannelClosed", "open_channel"]

# An unreachable machine neither acknowledges nor resets; these drop the connection.
UNACKNOWLEDGED_MS_MAX = 2000
KEEP_ALIVE_IDLE_S = 2
KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_PROBES = 2
WRITE_BUFFER_BYTES = 64 * 1024
READ_BUFFER_BYTES = 256 * 1024
HEAD_BYTES_MAX = 64 * 1024


class ChannelClosed(ConnectionError):
    """Report that a connection ended before the answer was whole."""


async def open_channel(address, timeout_s, source_ip=None):
    """Connect to ``address`` and return the Channel.

    Args:
        address: Pair of IP and port.
        timeout_s: Longest time to connect, in seconds.
        source_ip: IP address to connect from, or None.

    Raises:
        OSError: The other side cannot be reached, also in time.
    """
    loop = asyncio.get_running_loop()
    local = None if source_ip is None else (source_ip, 0)
    async with asyncio.timeout(timeout_s):
        transport, channel = await loop.create_connection(
            Channel, *address, local_addr=local
        )
    _detect_dead_peers(transport.get_extra_info("socket"))
    return channel


def _detect_dead_peers(sock):
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS_MAX)


class Channel(asyncio.Protocol):
    """A client's connection that carries one exchange at a time.

    Bytes that come in between two exchanges belong to no request; they make the
    connection unusable.

    Attributes:
        exchange_count: How many exchanges were started on it.
        idle_since_s: Time at which the last exchange ended, on the loop's clock.
        idle_limit_s: How long the server keeps it idle, in seconds, or None.
    """

    def __init__(self):
        self.exchange_count = 0
        self.idle_since_s = 0.0
        self.idle_limit_s = None
        self._transport = None
        self._h11 = None
        self._error = None
        self._waiter = None
        self._writable = None
        self._response = None
        self._pieces = []
        self._piece_bytes = 0
        self._ended = False
        self._method = "GET"

    @property
    def usable(self):
        """Whether an exchange may be started."""
        return self._error is None and self._h11 is None

    @property
    def reusable(self):
        """Whether the answer ended whole and nothing came behind it."""
        if not self._ended or self._error is not None:
            return False
        state = self._h11
        done = state.our_state is h11.DONE and state.their_state is h11.DONE
        return done and not state.trailing_data[0]

    def connection_made(self, transport):
        """Take in the transport."""
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)

    def data_received(self, data):
        """Take in bytes of the server."""
        if self._h11 is None:
            self._fail(ChannelClosed("bytes that belong to no request"))
            self._transport.abort()
            return
        self._h11.receive_data(data)
        self._parse()

    def eof_received(self):
        """Take in the end of the server's direction."""
        if self._response is None:
            self._fail(ChannelClosed("closed before the answer"))
        elif not self._ended and self._error is None:
            try:
                self._h11.receive_data(b"")
            except RuntimeError as error:
                self._fail(ChannelClosed(str(error)))
            else:
                self._parse()
        self._fail(ChannelClosed("closed by the server"))

    def connection_lost(self, exc):
        """Take in the end of the connection."""
        self._fail(ChannelClosed(str(exc) if exc else "connection ended"))
        if self._writable is not None:
            self._writable.set()

    def pause_writing(self):
        """Let senders wait until the server reads."""
        self._writable = asyncio.Event()

    def resume_writing(self):
        """Let senders go on."""
        if self._writable is not None:
            self._writable.set()
            self._writable = None

    def send_head(self, method, target, headers):
        """Start an exchange by sending a request head.

        Args:
            method: HTTP method, text.
            target: Request target, text.
            headers: Pairs of name and value.

        Raises:
            ChannelClosed: The connection has ended.
        """
        if not self.usable:
            raise self._error or ChannelClosed("an exchange is in progress")
        self.exchange_count += 1
        self._method = method
        self._begin(h11.Connection(h11.CLIENT, HEAD_BYTES_MAX))
        head = h11.Request(method=method, target=target, headers=headers)
        self._transport.write(self._h11.send(head))

    def send_data(self, data):
        """Send a piece of the request body."""
        if self._error is None:
            self._transport.write(self._h11.send(h11.Data(data=data)))

    def send_end(self):
        """End the request body."""
        if self._error is None:
            self._transport.write(self._h11.send(h11.EndOfMessage()))

    async def drain(self):
        """Wait while the server does not read what is sent."""
        if self._writable is not None:
            await self._writable.wait()

    async def receive_head(self):
        """Return the h11.Response that answers the request.

        Raises:
            ChannelClosed: The connection ended before it.
            h11.RemoteProtocolError: What came in is no answer.
        """
        while self._response is None:
            await self._wait()
        return self._response

    async def read_body(self, limit):
        """Return the whole body, or None where it is longer than ``limit`` bytes.

        After None, ``iter_body`` yields the whole body.

        Raises:
            ChannelClosed: The connection ended inside it.
            h11.RemoteProtocolError: It was cut short or is malformed.
        """
        while not self._ended:
            if self._piece_bytes > limit:
                return None
            await self._wait()
        return b"".join(self._take())

    async def iter_body(self):
        """Yield the pieces of the body until its end; errors as in ``read_body``."""
        while True:
            for piece in self._take():
                yield piece
            if self._ended and not self._pieces:
                return
            if not self._pieces:
                await self._wait()

    def discard_response(self):
        """Drop a whole answer that belongs to another request and read on."""
        trailing, _ = self._h11.trailing_data
        state = h11.Connection(h11.CLIENT, HEAD_BYTES_MAX)
        # The state machine wants to have sent what is answered; nothing is written.
        state.send(h11.Request(method=self._method, target="/", headers=[("Host", "")]))
        state.send(h11.EndOfMessage())
        self._begin(state)
        if trailing:
            state.receive_data(trailing)
            self._parse()

    def finish(self, now_s):
        """End an exchange whose answer was whole, so that another may start."""
        self._h11 = None
        self.idle_since_s = now_s

    def abort(self):
        """Drop the connection at once."""
        self._fail(ChannelClosed("dropped by this side"))
        self._transport.abort()

    def _begin(self, state):
        self._h11 = state
        self._response = None
        self._pieces = []
        self._piece_bytes = 0
        self._ended = False

    def _take(self):
        pieces = self._pieces
        self._pieces = []
        if self._piece_bytes > READ_BUFFER_BYTES:
            self._transport.resume_reading()
        self._piece_bytes = 0
        return pieces

    def _parse(self):
        try:
            self._take_events()
        except h11.RemoteProtocolError as error:
            self._fail(error)
            self._transport.abort()
        self._wake()

    def _take_events(self):
        while not self._ended:
            event = self._h11.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.Response):
                _check_framing(event)
                self._response = event
            elif isinstance(event, h11.Data):
                self._take_data(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._ended = True
            elif isinstance(event, h11.ConnectionClosed):
                raise h11.RemoteProtocolError("closed before the answer")

    def _take_data(self, data):
        self._pieces.append(data)
        was_full = self._piece_bytes > READ_BUFFER_BYTES
        self._piece_bytes += len(data)
        if not was_full and self._piece_bytes > READ_BUFFER_BYTES:
            self._transport.pause_reading()

    async def _wait(self):
        if self._error is not None:
            raise self._error
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _wake(self):
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _fail(self, error):
        if self._error is None:
            self._error = error
        self._wake()


def _check_framing(response):
    names = [name for name, _ in response.headers]
    if b"content-length" in names and b"transfer-encoding" in names:
        raise h11.RemoteProtocolError("two ways of framing in one answer")
