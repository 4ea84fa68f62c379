"""Server connections that accept pipelined requests and respond in order."""

import asyncio
import collections

import h11

from sesamespring.http.connection_use import ConnectionUse
from sesamespring.http.incoming import CallerDisconnected, IncomingRequest
from sesamespring.http.turns import ParsingTurns

__all__ = ["CallerConnection", "ServerLimits"]

PIPELINED_MAX = 32
# Above this, a response counts as unread.
WRITE_BUFFER_BYTES = 64 * 1024
# What is read at a time, and at most of requests that may not start yet.
READ_BYTES = 64 * 1024
LINGER_S = 1.0
# Shortest time between two looks at the timeouts of a connection.
TIMEOUT_CHECK_S_MIN = 0.05
# Digits of a stated length that are read; more mean a body over every limit.
LENGTH_DIGITS_MAX = 18
BAD_REQUEST = 400
REQUEST_TIMEOUT = 408
HEAD_TOO_LARGE = 431


# Filled and copied within one event, so all connections share it.
_receive_buffer = memoryview(bytearray(READ_BYTES))


class ServerLimits:
    """Limits for callers' connections, read again for each request.

    Attributes:
        head_bytes_max: Largest request head, in bytes.
        head_timeout_s: Timeout for receiving a request head, in seconds.
        idle_timeout_s: Longest idle time between two requests, in seconds.
    """

    def __init__(self, head_bytes_max, head_timeout_s, idle_timeout_s):
        self.head_bytes_max = head_bytes_max
        self.head_timeout_s = head_timeout_s
        self.idle_timeout_s = idle_timeout_s


class CallerConnection(asyncio.BufferedProtocol):
    """A caller's connection, on which requests may be pipelined.

    Args:
        owner: The CallerConnections that contains this connection. It provides the
            limits and handles the requests.
    """

    def __init__(self, owner):
        self._owner = owner
        self._loop = asyncio.get_running_loop()
        self._transport = None
        self._state = None
        self._current = None
        self._pending = collections.deque()
        self._closing = False
        self._reads_heads = True
        self._lost = False
        self._paused = False
        self._turns = ParsingTurns()
        self._writable = None
        self._timer = None
        self._head_started_s = None
        self._last_activity_s = 0.0
        self._use = None

    @property
    def use(self):
        """The ConnectionUse, which counts the memory that it takes."""
        return self._use

    @property
    def account(self):
        """The MemoryAccount of the connection."""
        return self._use.account

    @property
    def is_unread(self):
        """Whether the write buffer is full, as the caller does not read."""
        return self._writable is not None

    @property
    def has_no_request(self):
        """Whether no request is in progress; a head may be incomplete."""
        return not self._pending

    @property
    def closing(self):
        """Whether the connection closes after the responses in progress."""
        return self._closing or self._owner.stopping

    def closes_after(self, request):
        """Whether the connection closes after the response to a request."""
        return self.closing and bool(self._pending) and self._pending[-1] is request

    def read_last(self):
        """Read no request behind those in progress, or behind the next if none is."""
        if self._pending:
            self._stop_reading_heads()

    @property
    def caller_ip(self):
        """IP address of the other side as text; empty if it was lost at once."""
        peer = self._transport.get_extra_info("peername")
        return peer[0] if peer else ""

    @property
    def idle(self):
        """Whether no request is in progress or waits, and no head is being received."""
        waits = self._head_started_s is not None or self._paused
        return not self._pending and not waits

    @property
    def idle_since_s(self):
        """Time of the last activity, on the loop's clock."""
        return self._last_activity_s

    def connection_made(self, transport):
        """Register the connection, or abort it if the owner does not accept it."""
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        now_s = self._last_activity_s = self._loop.time()
        memory, relieve = self._owner.memory, self._owner.relieve_memory
        self._use = ConnectionUse(
            memory, self.caller_ip, self, transport, now_s, relieve
        )
        if not self._owner.add(self):
            transport.abort()
            return
        self._start_parsing(b"")
        self._schedule_timeout_check()

    def get_buffer(self, sizehint):
        """Return the buffer for the next bytes from the caller."""
        return _receive_buffer

    def buffer_updated(self, nbytes):
        """Parse bytes from the caller that are in the buffer."""
        self._last_activity_s = self._loop.time()
        if self._state is None:
            # What follows the last request is ignored.
            return
        data = bytes(_receive_buffer[:nbytes])
        self._use.received(nbytes)
        waits = self._current is None and not self._paused
        if waits and self._head_started_s is None:
            self._head_started_s = self._last_activity_s
        try:
            self._state.receive_data(data)
        except RuntimeError:
            self._transport.abort()
            return
        if not self._turns.pending:
            self._parse()

    def eof_received(self):
        """Fail the pending requests, as EOF counts as a disconnect."""
        self._fail_pending()

    def connection_lost(self, exc):
        """Fail the pending requests and unregister the connection."""
        self._lost = True
        self._fail_pending()
        if self._timer is not None:
            self._timer.cancel()
        if self._writable is not None:
            self._writable.set()
        self._use.lost()
        self._owner.remove(self)

    def pause_writing(self):
        """Make ``drain`` wait, as the write buffer is full."""
        self._writable = asyncio.Event()

    def resume_writing(self):
        """Wake the callers of ``drain``, as the write buffer has room."""
        if self._writable is not None:
            self._writable.set()
            self._writable = None
        self._use.update()
        self.resume_reading_ahead()

    def write(self, data):
        """Write output of the first pending response, unless the connection is lost."""
        if not self._lost:
            self._transport.write(data)
            self._use.written(len(data))

    async def drain(self):
        """Wait while the write buffer is full."""
        if self._writable is not None:
            await self._writable.wait()

    def resume_body(self):
        """Resume reading, as the body buffer of the current request has room."""
        if not self._paused or self._lost:
            return
        if self._current is None:
            if not self._may_start_next():
                return
            if self._use.unparsed_bytes:
                self._head_started_s = self._loop.time()
        self._paused = False
        if not self._turns.pending:
            self._parse()

    def resume_reading_ahead(self):
        """Read the next request if the connection has waited with it and may go on."""
        if self._current is None:
            self.resume_body()

    def response_finished(self, request, size_bytes):
        """Start the next response after a complete one, or close the connection.

        Args:
            request: The IncomingRequest whose response is complete.
            size_bytes: Size of its body.
        """
        self._owner.memory.observe_response(size_bytes)
        if not self._pending or self._pending[0] is not request:
            return
        while self._pending and self._pending[0].finished:
            finished = self._pending.popleft()
            if self._lost:
                return
            if not finished.keep_alive:
                self._close_after(finished)
                return
            if self._pending:
                self._pending[0].start_writing()
        self._last_activity_s = self._loop.time()
        if self.closing and not self._pending:
            self._close_when_read()
            return
        self.resume_reading_ahead()

    def close_announced(self):
        """Read no further request, as a response now says that the connection closes.

        Its caller takes the requests behind it for unread and sends them again.
        """
        self._closing = True
        self._stop_reading_heads()

    def close(self):
        """Close the connection after the buffered data is sent."""
        self._closing = True
        self._stop_parsing()
        if not self._lost:
            self._transport.close()

    def abort(self):
        """Close the connection at once and discard buffered data."""
        if not self._lost:
            self._transport.abort()

    def _close_after(self, request):
        """Close the connection after a response and fail all later requests."""
        self._closing = True
        self._stop_parsing()
        for later in self._pending:
            later.fail(CallerDisconnected())
        self._pending.clear()
        if request.says_close or not request.body_ended:
            self._close_when_read()
        else:
            self._transport.close()

    def _stop_reading_heads(self):
        """Read no further request; the body of the present one is still read."""
        self._reads_heads = False
        if self._current is None or self._current.body_ended:
            self._head_started_s = None
            self._stop_parsing()

    def _close_when_read(self):
        """Close the connection after its caller, or ``LINGER_S`` after the last byte.

        Closing a socket with unread data resets the connection, possibly before the
        caller has read the response. So what it has sent meanwhile is read and ignored.
        """
        self._closing = True
        self._stop_parsing()
        if self._lost:
            return
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._loop.call_later(LINGER_S, self._end_linger)

    def _end_linger(self):
        if self._lost:
            return
        if self._transport.get_write_buffer_size():
            self._loop.call_later(LINGER_S, self._end_linger)
        else:
            self._transport.close()

    def _fail_pending(self):
        pending, self._pending = self._pending, collections.deque()
        self._stop_parsing()
        for request in pending:
            request.fail(CallerDisconnected())

    def _start_parsing(self, data):
        limits = self._owner.limits()
        self._state = h11.Connection(h11.SERVER, limits.head_bytes_max)
        self._current = None
        self._use.parsed(len(data))
        self._head_started_s = self._loop.time() if data else None
        if data:
            self._state.receive_data(data)

    def _stop_parsing(self):
        """Parse no further request; what the caller sends is read and ignored."""
        self._state = None
        self._turns.cancel()
        self._use.parsed()
        self._update_reading()

    def _parse(self):
        """Parse what was received; later what is left of it after one turn's work."""
        try:
            self._turns.run(self._may_parse, self._parse_next, self._parse)
        except h11.RemoteProtocolError as error:
            self._reject_malformed(error)
        self._use.update()
        self._update_reading()

    def _may_parse(self):
        return self._state is not None and not self._paused

    def _parse_next(self):
        """Process the next event of a request, as ParsingTurns asks for it."""
        event = self._state.next_event()
        if event is h11.NEED_DATA or event is h11.PAUSED:
            if self._current is not None:
                self._use.parsed()
            return None
        self._process_event(event)
        return len(event.data) if isinstance(event, h11.Data) else 0

    def _update_reading(self):
        if self._lost:
            return
        if self._may_read:
            self._transport.resume_reading()
        else:
            self._transport.pause_reading()

    @property
    def _may_read(self):
        """Whether to read: more is wanted, or has to be ignored before the end.

        While requests wait for earlier ones, reading goes on for as long as little is
        read ahead, so that their caller's disconnect is noticed. A head that is being
        received is bounded by the parser.
        """
        if self._state is None:
            return True
        if self._turns.pending:
            return False
        if not self._paused:
            return True
        return self._current is None and self._use.unparsed_bytes < READ_BYTES

    def _process_event(self, event):
        if isinstance(event, h11.Request):
            self._process_head(event)
        elif isinstance(event, h11.Data):
            if not self._current.feed_body(bytes(event.data)):
                self._paused = True
        elif isinstance(event, h11.EndOfMessage):
            self._process_end()
        elif isinstance(event, h11.ConnectionClosed):
            self._stop_parsing()

    def _process_head(self, event):
        _check_head(event, self._owner.limits().head_bytes_max)
        self._head_started_s = None
        request = IncomingRequest(self, self._state, event, self._loop.time())
        self._current = request
        self._pending.append(request)
        request.admit(_stated_length(event))
        if len(self._pending) == 1:
            request.start_writing()
        self._owner.handle(request)

    def _process_end(self):
        state = self._state
        self._current.feed_body_end()
        trailing, _ = state.trailing_data
        is_last = not self._reads_heads or self._owner.reads_last
        if state.their_state is not h11.DONE or is_last:
            self._stop_parsing()
            return
        self._start_parsing(trailing)
        if not self._may_start_next():
            # The time that a head may take begins when it is read.
            self._head_started_s = None
            self._paused = True

    def _may_start_next(self):
        """Whether the next request may start; one may always be in progress.

        None starts while an earlier response is unread, so that callers which do not
        read take no slots of targets from those that do.
        """
        if self.is_unread:
            return False
        if not self._pending:
            return True
        return len(self._pending) < PIPELINED_MAX and self.account.may_start_another

    def _reject_malformed(self, error):
        state = self._state
        self._stop_parsing()
        if self._current is not None and self._current in self._pending:
            self._current.fail(error)
            return
        status = HEAD_TOO_LARGE if error.error_status_hint == 431 else BAD_REQUEST
        self._send_error(state, status)

    def _send_error(self, state, status):
        """Send an error status for an unreadable request head and close.

        While earlier responses are in progress, no error is sent: the connection closes
        after them.
        """
        self._closing = True
        if self._pending or state.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        headers = [("Content-Length", "0"), ("Connection", "close")]
        response = h11.Response(status_code=status, headers=headers)
        self.write(state.send(response) + (state.send(h11.EndOfMessage()) or b""))
        self._transport.close()

    def _schedule_timeout_check(self):
        limits = self._owner.limits()
        interval_s = min(limits.idle_timeout_s, limits.head_timeout_s)
        self._timer = self._loop.call_later(
            max(TIMEOUT_CHECK_S_MIN, interval_s), self._check_timeout
        )

    def _check_timeout(self):
        limits = self._owner.limits()
        now_s = self._loop.time()
        started_s = self._head_started_s
        if started_s is not None and now_s - started_s >= limits.head_timeout_s:
            state = self._state
            if state is not None:
                self._stop_parsing()
                self._send_error(state, REQUEST_TIMEOUT)
        elif self._use.is_unread(now_s, limits.idle_timeout_s):
            self._owner.close_early(self, "responses-unread")
        elif self.idle and now_s - self._last_activity_s >= limits.idle_timeout_s:
            self.close()
        if not self._lost:
            self._schedule_timeout_check()


def _stated_length(event):
    """Return the length of a body that the head of its request states, else 0."""
    for name, value in event.headers:
        if name == b"content-length":
            return int(value[:LENGTH_DIGITS_MAX])
    return 0


def _check_head(event, bytes_max):
    names = [name for name, _ in event.headers]
    if b"content-length" in names and b"transfer-encoding" in names:
        raise h11.RemoteProtocolError(
            "request has both Content-Length and Transfer-Encoding"
        )
    size = sum(len(name) + len(value) for name, value in event.headers)
    if size + len(event.target) > bytes_max:
        raise h11.RemoteProtocolError("head too large", error_status_hint=431)
