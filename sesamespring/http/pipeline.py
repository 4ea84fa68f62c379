"""Take in requests on a caller's connection and answer them in their order."""

import asyncio
import collections

import h11

__all__ = ["CallerConnection", "CallerGone", "IncomingRequest", "ServerLimits"]

PIPELINED_MAX = 32
BODY_BUFFER_BYTES = 256 * 1024
WRITE_BUFFER_BYTES = 256 * 1024
LINGER_S = 1.0
BAD_REQUEST = 400
REQUEST_TIMEOUT = 408
HEAD_TOO_LARGE = 431


class CallerGone(ConnectionError):
    """Report that the caller closed its connection."""


class ServerLimits:
    """Bounds for callers' connections, read anew for each request.

    Attributes:
        head_bytes_max: Largest request head.
        head_timeout_s: Longest time for a request head, in seconds.
        idle_timeout_s: Longest time between two requests, in seconds.
    """

    def __init__(self, head_bytes_max, head_timeout_s, idle_timeout_s):
        self.head_bytes_max = head_bytes_max
        self.head_timeout_s = head_timeout_s
        self.idle_timeout_s = idle_timeout_s


class IncomingRequest:
    """A request on a caller's connection, its body, and the answer to it.

    Attributes:
        head: The h11 Request.
        arrived_s: Time at which its head was read, on the loop's clock.
        on_gone: Function called once when the caller goes away, or None.
    """

    def __init__(self, connection, state, head, arrived_s):
        self.head = head
        self.arrived_s = arrived_s
        self.on_gone = None
        self._connection = connection
        self._state = state
        self._body = collections.deque()
        self._body_bytes = 0
        self._body_ended = False
        self._body_error = None
        self._waiter = None
        self._outgoing = []
        self._is_first = False
        self._turn = None
        self._answered = False
        self._finished = False
        self._gone = False

    @property
    def method(self):
        """The HTTP method as text."""
        return self.head.method.decode("ascii")

    @property
    def target(self):
        """The request target as text."""
        return self.head.target.decode("ascii")

    @property
    def headers(self):
        """Pairs of lower-case name and value, in bytes."""
        return self.head.headers

    @property
    def gone(self):
        """Whether the caller has gone away."""
        return self._gone

    @property
    def answered(self):
        """Whether an answer was started."""
        return self._answered

    @property
    def body_ended(self):
        """Whether the whole body came in."""
        return self._body_ended

    @property
    def closing(self):
        """Whether the connection ends after this answer."""
        return not self._body_ended or self._connection.closes_after(self)

    async def pieces(self):
        """Yield the pieces of the body.

        Raises:
            CallerGone: The caller went away inside it.
            h11.RemoteProtocolError: It is malformed.
        """
        if self._state.they_are_waiting_for_100_continue:
            proceed = h11.InformationalResponse(status_code=100, headers=[])
            self._write(self._state.send(proceed))
        while True:
            while self._body:
                piece = self._body.popleft()
                self._body_bytes -= len(piece)
                yield piece
            if self._body_ended:
                return
            if self._body_error is not None:
                raise self._body_error
            self._connection.resume_body()
            await self._wait_for_body()

    def send_whole(self, status, headers, body):
        """Send a whole answer.

        Args:
            status: HTTP status.
            headers: Pairs of name and value, without framing.
            body: The body in bytes.
        """
        framed = [*headers, ("Content-Length", str(len(body)))]
        self.send_head(status, framed)
        if body and self.method != "HEAD":
            self.send_data(body)
        self.send_end()

    def send_head(self, status, headers):
        """Send the head of an answer, framed by its headers."""
        if self.closing:
            headers = [*headers, ("Connection", "close")]
        self._answered = True
        if not self._gone:
            response = h11.Response(status_code=status, headers=headers)
            self._write(self._state.send(response))

    def send_data(self, data):
        """Send a piece of the answer's body."""
        if not self._gone:
            self._write(self._state.send(h11.Data(data=data)))

    def send_end(self):
        """End the answer."""
        if self._gone or self._finished:
            return
        self._write(self._state.send(h11.EndOfMessage()))
        self._finished = True
        self._connection.answer_finished(self)

    async def drain(self):
        """Wait until earlier answers are through and the caller reads.

        Raises:
            CallerGone: The caller went away.
        """
        if not self._is_first:
            self._turn = asyncio.get_running_loop().create_future()
            await self._turn
        await self._connection.drain()
        if self._gone:
            raise CallerGone

    def break_off(self):
        """End the connection so that the answer cannot be taken for whole."""
        self._connection.abort()

    def become_first(self):
        """Let the answer out: all earlier ones are through."""
        self._is_first = True
        outgoing, self._outgoing = self._outgoing, []
        for data in outgoing:
            self._connection.write(data)
        if self._turn is not None and not self._turn.done():
            self._turn.set_result(None)

    def feed(self, data):
        """Take in a piece of the body and return whether more is welcome."""
        self._body.append(data)
        self._body_bytes += len(data)
        self._wake()
        return self._body_bytes < BODY_BUFFER_BYTES

    def feed_end(self):
        """Take in the end of the body."""
        self._body_ended = True
        self._wake()

    def fail(self, error):
        """Take in that the rest of the body will not come, or the caller left."""
        self._body_error = error
        self._wake()
        if not isinstance(error, CallerGone) or self._gone:
            return
        self._gone = True
        if self._turn is not None and not self._turn.done():
            self._turn.set_result(None)
        if self.on_gone is not None:
            self.on_gone()

    @property
    def finished(self):
        """Whether the whole answer was handed to the connection."""
        return self._finished

    @property
    def keeps_open(self):
        """Whether the state machine lets another request follow."""
        state = self._state
        return state.our_state is h11.DONE and state.their_state is h11.DONE

    def _write(self, data):
        if not data:
            return
        if self._is_first:
            self._connection.write(data)
        else:
            self._outgoing.append(data)

    async def _wait_for_body(self):
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _wake(self):
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


class CallerConnection(asyncio.Protocol):
    """A caller's connection; requests may come before earlier ones are answered.

    Args:
        owner: The CallerConnections that it belongs to.
    """

    def __init__(self, owner):
        self._owner = owner
        self._loop = asyncio.get_running_loop()
        self._transport = None
        self._state = None
        self._reading = None
        self._pending = collections.deque()
        self._closing = False
        self._lost = False
        self._paused = False
        self._writable = None
        self._timer = None
        self._head_started_s = None
        self._active_s = 0.0

    @property
    def closing(self):
        """Whether the connection ends after the answers in progress."""
        return self._closing or self._owner.stopping

    def closes_after(self, request):
        """Whether the connection ends after the answer to a request."""
        return self.closing and bool(self._pending) and self._pending[-1] is request

    @property
    def idle(self):
        """Whether no request is in progress."""
        return not self._pending and self._head_started_s is None

    @property
    def idle_since_s(self):
        """Time of the last activity."""
        return self._active_s

    def connection_made(self, transport):
        """Take in the transport."""
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self._active_s = self._loop.time()
        if not self._owner.add(self):
            transport.abort()
            return
        self._start_parsing(b"")
        self._plan_timeout()

    def data_received(self, data):
        """Take in bytes of the caller."""
        self._active_s = self._loop.time()
        if self._state is None:
            return
        if self._head_started_s is None and self._reading is None:
            self._head_started_s = self._active_s
        try:
            self._state.receive_data(data)
        except RuntimeError:
            self._transport.abort()
            return
        self._parse()

    def eof_received(self):
        """Take in that the caller closed its direction, which ends its requests."""
        self._leave()

    def connection_lost(self, exc):
        """Take in the end of the connection."""
        self._lost = True
        self._leave()
        if self._timer is not None:
            self._timer.cancel()
        if self._writable is not None:
            self._writable.set()
        self._owner.remove(self)

    def pause_writing(self):
        """Let answers wait until the caller reads."""
        self._writable = asyncio.Event()

    def resume_writing(self):
        """Let answers go on."""
        if self._writable is not None:
            self._writable.set()
            self._writable = None

    def write(self, data):
        """Write bytes of the first answer."""
        if not self._lost:
            self._transport.write(data)

    async def drain(self):
        """Wait while the caller does not read."""
        if self._writable is not None:
            await self._writable.wait()

    def resume_body(self):
        """Read on, as the body of the current request has room."""
        if self._paused and not self._lost:
            self._paused = False
            self._transport.resume_reading()
            self._parse()

    def answer_finished(self, request):
        """Go on to the next answer after a whole one."""
        if not self._pending or self._pending[0] is not request:
            return
        while self._pending and self._pending[0].finished:
            finished = self._pending.popleft()
            if self._lost:
                return
            if not finished.keeps_open:
                self._end(finished)
                return
            if self._pending:
                self._pending[0].become_first()
        self._active_s = self._loop.time()
        if self.closing and not self._pending:
            self.close()
            return
        if self._paused:
            self.resume_body()

    def close(self):
        """Close after what was written."""
        self._closing = True
        self._state = None
        if not self._lost:
            self._transport.close()

    def abort(self):
        """Drop the connection at once."""
        if not self._lost:
            self._transport.abort()

    def _end(self, request):
        """End the connection behind an answer; what came behind it is not read."""
        self._closing = True
        self._state = None
        for later in self._pending:
            later.fail(CallerGone())
        self._pending.clear()
        if request.body_ended:
            self._transport.close()
            return
        # Closing with unread bytes would reset the connection before the answer is
        # read, so the rest of the body is read and dropped for a while.
        if self._paused:
            self._transport.resume_reading()
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._loop.call_later(LINGER_S, self._transport.abort)

    def _leave(self):
        pending, self._pending = self._pending, collections.deque()
        self._state = None
        for request in pending:
            request.fail(CallerGone())

    def _start_parsing(self, data):
        limits = self._owner.limits()
        self._state = h11.Connection(h11.SERVER, limits.head_bytes_max)
        self._reading = None
        self._head_started_s = self._loop.time() if data else None
        if data:
            self._state.receive_data(data)

    def _parse(self):
        try:
            while self._state is not None and not self._paused:
                event = self._state.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return
                self._take_event(event)
        except h11.RemoteProtocolError as error:
            self._refuse_malformed(error)

    def _take_event(self, event):
        if isinstance(event, h11.Request):
            self._take_head(event)
        elif isinstance(event, h11.Data):
            if not self._reading.feed(bytes(event.data)):
                self._pause()
        elif isinstance(event, h11.EndOfMessage):
            self._take_end()
        elif isinstance(event, h11.ConnectionClosed):
            self._state = None

    def _take_head(self, event):
        _check_head(event, self._owner.limits().head_bytes_max)
        self._head_started_s = None
        request = IncomingRequest(self, self._state, event, self._loop.time())
        self._reading = request
        self._pending.append(request)
        if len(self._pending) == 1:
            request.become_first()
        self._owner.handle(request)

    def _take_end(self):
        state = self._state
        self._reading.feed_end()
        trailing, _ = state.trailing_data
        if state.their_state is not h11.DONE:
            self._state = None
            return
        self._start_parsing(trailing)
        if len(self._pending) >= PIPELINED_MAX:
            self._pause()

    def _pause(self):
        self._paused = True
        if not self._lost:
            self._transport.pause_reading()

    def _refuse_malformed(self, error):
        state, self._state = self._state, None
        if self._reading is not None and self._reading in self._pending:
            self._reading.fail(error)
            return
        status = HEAD_TOO_LARGE if error.error_status_hint == 431 else BAD_REQUEST
        self._refuse(state, status)

    def _refuse(self, state, status):
        """Answer a head that cannot be read, behind all earlier answers."""
        self._closing = True
        if self._pending or state.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        headers = [("Content-Length", "0"), ("Connection", "close")]
        response = h11.Response(status_code=status, headers=headers)
        self.write(state.send(response) + (state.send(h11.EndOfMessage()) or b""))
        self._transport.close()

    def _plan_timeout(self):
        limits = self._owner.limits()
        self._timer = self._loop.call_later(
            min(limits.idle_timeout_s, limits.head_timeout_s), self._check_timeout
        )

    def _check_timeout(self):
        limits = self._owner.limits()
        now_s = self._loop.time()
        started_s = self._head_started_s
        if started_s is not None and now_s - started_s >= limits.head_timeout_s:
            state, self._state = self._state, None
            if state is not None:
                self._refuse(state, REQUEST_TIMEOUT)
        elif self.idle and now_s - self._active_s >= limits.idle_timeout_s:
            self.close()
        if not self._lost:
            self._plan_timeout()


def _check_head(event, bytes_max):
    names = [name for name, _ in event.headers]
    if b"content-length" in names and b"transfer-encoding" in names:
        raise h11.RemoteProtocolError("two ways of framing in one request")
    size = sum(len(name) + len(value) for name, value in event.headers)
    if size + len(event.target) > bytes_max:
        raise h11.RemoteProtocolError("head too large", error_status_hint=431)
