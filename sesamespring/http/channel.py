"""HTTP/1.1 client connections as an asyncio protocol, for targets and the store.

Unlike ClientConnection they limit the time for which a peer may be unreachable.
"""

import asyncio
import copy
import socket

import h11

from sesamespring.http.headers import FRAMING_HEADERS
from sesamespring.http.turns import ParsingTurns

__all__ = ["BODILESS_STATUSES", "Channel", "ChannelClosed", "open_channel"]

BODILESS_STATUSES = (204, 304)

# A host that has become unreachable neither acknowledges data nor resets the
# connection. These TCP options make the kernel close it.
UNACKNOWLEDGED_MS_MAX = 2000
KEEP_ALIVE_IDLE_S = 2
KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_PROBES = 2
WRITE_BUFFER_BYTES = 64 * 1024
READ_BUFFER_BYTES = 256 * 1024
HEAD_BYTES_MAX = 64 * 1024
# By how much the framing of a body may exceed the body, where each chunk takes at least
# ``CHUNK_FRAMING_BYTES``.
FRAMING_EXCESS_BYTES_MAX = 16 * 1024
CHUNK_FRAMING_BYTES = 5
INTERIM_RESPONSES_MAX = 16
# Greatest status of HTTP; servers in trouble send others, which mean nothing.
STATUS_MAX = 599
# After the end of a response without length, a reset that follows at once shows that
# the server has not read the request, and that the response may be a part of one.
RESET_CHECK_S = 0.05


class ChannelClosed(ConnectionError):
    """The connection closed before the response was complete."""


async def open_channel(address, timeout_s, source_ip=None):
    """Connect to ``address`` and return the Channel.

    Args:
        address: Pair of IP and port.
        timeout_s: Connect timeout in seconds.
        source_ip: Local IP address to connect from, or None.

    Raises:
        OSError: The connection failed or timed out.
    """
    loop = asyncio.get_running_loop()
    local = None if source_ip is None else (source_ip, 0)
    try:
        async with asyncio.timeout(timeout_s):
            transport, channel = await loop.create_connection(
                Channel, *address, local_addr=local
            )
    except (ValueError, OverflowError) as error:
        # An address that is none, such as a name that cannot be encoded.
        raise OSError(f"not an address: {error}") from error
    _detect_unreachable_peer(transport.get_extra_info("socket"))
    return channel


def _detect_unreachable_peer(sock):
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS_MAX)


class Channel(asyncio.Protocol):
    """A client connection that carries one exchange (request and response) at a time.

    Bytes that arrive between two exchanges belong to no request and close the
    connection.

    Attributes:
        exchange_count: Number of exchanges started on the connection.
        idle_since_s: Time at which the last exchange ended, on the loop's clock.
        idle_limit_s: Time for which the server keeps the connection open while idle, in
            seconds, or None if unknown.
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
        self._chunks = []
        self._buffered_bytes = 0
        # How much of the body is read before any of it is taken.
        self._wanted_bytes = 0
        self._response_ended = False
        self._method = "GET"
        self._turns = ParsingTurns()
        # Timer of the next look for a reset after the end of a response, or None.
        self._reset_timer = None
        self._has_request_body = False
        self._interim_responses = 0
        self._framing_excess_bytes = 0

    @property
    def usable(self):
        """Whether the connection is open and no exchange is in progress."""
        return self._error is None and self._h11 is None

    @property
    def failed(self):
        """Whether the connection failed or was closed by the server."""
        return self._error is not None

    @property
    def is_framed(self):
        """Whether the response says where its body ends.

        Otherwise only the end of the connection shows it, and a body that was cut off
        looks the same as a complete one.
        """
        if self._method == "HEAD" or self._response.status_code in BODILESS_STATUSES:
            return True
        names = {name for name, _ in self._response.headers}
        return not names.isdisjoint(FRAMING_HEADERS)

    @property
    def reusable(self):
        """Whether the response was read completely and no bytes follow it.

        If so, ``finish`` makes the connection usable for another exchange.
        """
        if not self._response_ended or self._error is not None:
            return False
        state = self._h11
        done = state.our_state is h11.DONE and state.their_state is h11.DONE
        return done and not state.trailing_data[0]

    def connection_made(self, transport):
        """Store the transport."""
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)

    def data_received(self, data):
        """Parse data from the server."""
        if self._h11 is None:
            self._fail(ChannelClosed("received data outside of an exchange"))
            self._transport.abort()
            return
        self._h11.receive_data(data)
        if not self._turns.pending:
            self._parse()

    def eof_received(self):
        """Handle EOF from the server, which ends a response without a length."""
        if self._response is None:
            self._fail(ChannelClosed("connection closed before the response"))
        elif not self._response_ended and self._error is None:
            if self._has_request_body and not self.is_framed:
                self._check_reset_later()
                # Keeps the connection open for the rest of the request.
                return True
            self._end_response()
        self._fail(ChannelClosed("connection closed by the server"))
        return False

    def connection_lost(self, exc):
        """Fail the exchange in progress and wake its reader and writer."""
        self._turns.cancel()
        if self._reset_timer is not None:
            self._reset_timer.cancel()
        self._fail(ChannelClosed(str(exc) if exc else "connection closed"))
        if self._writable is not None:
            self._writable.set()

    def pause_writing(self):
        """Make ``drain`` wait, as the write buffer is full."""
        self._writable = asyncio.Event()

    def resume_writing(self):
        """Wake the callers of ``drain``, as the write buffer has room."""
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
            ChannelClosed: The connection is closed or an exchange is in progress.
        """
        if not self.usable:
            raise self._error or ChannelClosed("an exchange is already in progress")
        self.exchange_count += 1
        self._method = method
        self._start_response(h11.Connection(h11.CLIENT, HEAD_BYTES_MAX))
        head = h11.Request(method=method, target=target, headers=headers)
        self._transport.write(self._h11.send(head))

    def send_data(self, data):
        """Send a part of the request body; ignored on a failed connection."""
        self._has_request_body = True
        if self._error is None:
            self._transport.write(self._h11.send(h11.Data(data=data)))

    def send_end(self):
        """End the request body; ignored on a failed connection."""
        if self._error is None:
            self._transport.write(self._h11.send(h11.EndOfMessage()))

    async def drain(self):
        """Wait while the write buffer is full."""
        if self._writable is not None:
            await self._writable.wait()

    async def receive_head(self):
        """Return the h11.Response, which is the head of the response.

        Raises:
            ChannelClosed: The connection closed first.
            h11.RemoteProtocolError: The response is malformed.
        """
        while self._response is None:
            await self._wait()
        return self._response

    async def read_body(self, limit):
        """Return the whole body, or None if it is longer than ``limit`` bytes.

        After None, ``iter_body`` yields the body from its start.

        Raises:
            ChannelClosed: The connection closed inside the body.
            h11.RemoteProtocolError: The body is malformed or incomplete.
        """
        self._wanted_bytes = limit
        self._update_reading()
        while not self._response_ended:
            if self._buffered_bytes > limit:
                return None
            await self._wait()
        return b"".join(self._take_chunks())

    async def iter_body(self):
        """Yield the body in parts, as they arrive; raises what ``read_body`` raises."""
        while True:
            content = b"".join(self._take_chunks())
            if content:
                yield content
            elif self._response_ended:
                return
            else:
                await self._wait()

    def discard_response(self):
        """Discard a complete response to another request and read the next one.

        The client uses it for a response that does not belong to its request.
        """
        trailing, _ = self._h11.trailing_data
        state = h11.Connection(h11.CLIENT, HEAD_BYTES_MAX)
        # h11 accepts a response only after a request. The one passed to it here is not
        # written to the transport.
        state.send(h11.Request(method=self._method, target="/", headers=[("Host", "")]))
        state.send(h11.EndOfMessage())
        self._start_response(state)
        if trailing:
            state.receive_data(trailing)
            self._parse()

    def finish(self, now_s):
        """End an exchange whose response is complete, so that another may start.

        Args:
            now_s: Time on the loop's clock, stored in ``idle_since_s``.
        """
        self._turns.cancel()
        self._h11 = None
        self.idle_since_s = now_s
        self._update_reading()

    def abort(self):
        """Close the connection at once and fail the exchange in progress."""
        self._fail(ChannelClosed("connection aborted by the client"))
        self._transport.abort()

    def _start_response(self, state):
        self._turns.cancel()
        self._h11 = state
        self._response = None
        self._has_request_body = False
        self._chunks = []
        self._buffered_bytes = 0
        self._wanted_bytes = 0
        self._response_ended = False
        self._interim_responses = 0
        self._framing_excess_bytes = 0
        self._update_reading()

    def _check_reset_later(self):
        loop = asyncio.get_running_loop()
        self._reset_timer = loop.call_later(RESET_CHECK_S, self._check_reset)

    def _check_reset(self):
        """End the response, once the request was sent and no reset has followed."""
        self._reset_timer = None
        if self._error is not None:
            return
        sock = self._transport.get_extra_info("socket")
        if sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self._fail(ChannelClosed("connection reset after the response"))
            self._transport.abort()
            return
        is_sending = self._h11.our_state is h11.SEND_BODY
        if is_sending or self._transport.get_write_buffer_size():
            self._check_reset_later()
            return
        self._end_response()
        self._fail(ChannelClosed("connection closed by the server"))
        self._transport.close()

    def _end_response(self):
        """End a response that only the end of the connection ends."""
        try:
            self._h11.receive_data(b"")
        except RuntimeError as error:
            self._fail(ChannelClosed(str(error)))
        else:
            self._parse()

    def _take_chunks(self):
        chunks = self._chunks
        self._chunks = []
        self._buffered_bytes = self._wanted_bytes = 0
        self._update_reading()
        return chunks

    def _parse(self):
        """Parse what was received; later what is left of it after one turn's work."""
        try:
            self._turns.run(self._may_parse, self._parse_next, self._parse)
        except h11.RemoteProtocolError as error:
            self._fail(error)
            self._transport.abort()
        self._update_reading()
        self._wake()

    def _may_parse(self):
        in_exchange = self._error is None and self._h11 is not None
        return in_exchange and not self._response_ended

    def _parse_next(self):
        """Process the next event of the response, as ParsingTurns asks for it."""
        event = self._h11.next_event()
        if event is h11.NEED_DATA or event is h11.PAUSED:
            return None
        self._process_event(event)
        return len(event.data) if isinstance(event, h11.Data) else 0

    def _process_event(self, event):
        if isinstance(event, h11.Response):
            _check_status(event)
            _check_framing(event)
            self._response = event
        elif isinstance(event, h11.InformationalResponse):
            self._interim_responses += 1
            if self._interim_responses > INTERIM_RESPONSES_MAX:
                raise h11.RemoteProtocolError("too many interim responses")
        elif isinstance(event, h11.Data):
            self._check_chunk(event)
            self._buffer_data(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._response_ended = True
        elif isinstance(event, h11.ConnectionClosed):
            raise h11.RemoteProtocolError("connection closed before the response")

    def _check_chunk(self, event):
        """Check that a body does not consist of the framing of its chunks."""
        framing_bytes = CHUNK_FRAMING_BYTES if event.chunk_start else 0
        excess_bytes = self._framing_excess_bytes + framing_bytes - len(event.data)
        self._framing_excess_bytes = max(0, excess_bytes)
        if excess_bytes > FRAMING_EXCESS_BYTES_MAX:
            raise h11.RemoteProtocolError("body consists of framing")

    def _buffer_data(self, data):
        self._chunks.append(data)
        self._buffered_bytes += len(data)

    def _update_reading(self):
        if self._may_read:
            self._transport.resume_reading()
        else:
            self._transport.pause_reading()

    @property
    def _may_read(self):
        """Whether to read: all that was read is parsed, and there is room for a body.

        Between two exchanges the connection always reads, so that it sees its end, a
        reset, and bytes that belong to no request.
        """
        if self._h11 is None:
            return True
        is_full = self._buffered_bytes > max(READ_BUFFER_BYTES, self._wanted_bytes)
        return not is_full and not self._turns.pending

    async def _wait(self):
        if self._error is not None:
            # The traceback of the error itself would keep this object in a cycle.
            raise copy.copy(self._error)
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


def _check_status(response):
    if response.status_code > STATUS_MAX:
        raise h11.RemoteProtocolError(f"{response.status_code} is no status of HTTP")


def _check_framing(response):
    names = [name for name, _ in response.headers]
    if b"content-length" in names and b"transfer-encoding" in names:
        raise h11.RemoteProtocolError(
            "response has both Content-Length and Transfer-Encoding"
        )
