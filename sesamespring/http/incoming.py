"""Read one request of a caller's connection, and queue the answer to it."""

import asyncio
import collections

import h11

__all__ = ["CallerDisconnected", "IncomingRequest"]

BODY_BUFFER_BYTES = 256 * 1024


class CallerDisconnected(ConnectionError):
    """Report that the caller closed its connection."""


class IncomingRequest:
    """A request on a caller's connection, its body, and the answer to it.

    Attributes:
        head: The h11 Request.
        arrived_s: Time at which its head was read, on the loop's clock.
        on_disconnect: Function called once when the caller goes away, or None.
    """

    def __init__(self, connection, state, head, arrived_s):
        self.head = head
        self.arrived_s = arrived_s
        self.on_disconnect = None
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
        self._response_started = False
        self._finished = False
        self._disconnected = False

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
    def response_started(self):
        """Whether an answer was started."""
        return self._response_started

    @property
    def body_ended(self):
        """Whether the whole body came in."""
        return self._body_ended

    @property
    def closing(self):
        """Whether the connection ends after this answer."""
        return not self._body_ended or self._connection.closes_after(self)

    async def iter_body(self):
        """Yield the pieces of the body.

        Raises:
            CallerDisconnected: The caller went away inside it.
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
        self._response_started = True
        if not self._disconnected:
            response = h11.Response(status_code=status, headers=headers)
            self._write(self._state.send(response))

    def send_data(self, data):
        """Send a piece of the answer's body."""
        if not self._disconnected:
            self._write(self._state.send(h11.Data(data=data)))

    def send_end(self):
        """End the answer."""
        if self._disconnected or self._finished:
            return
        self._write(self._state.send(h11.EndOfMessage()))
        self._finished = True
        self._connection.response_finished(self)

    async def drain(self):
        """Wait until earlier answers are through and the caller reads.

        Raises:
            CallerDisconnected: The caller went away.
        """
        if not self._is_first:
            self._turn = asyncio.get_running_loop().create_future()
            await self._turn
        await self._connection.drain()
        if self._disconnected:
            raise CallerDisconnected

    def abort(self):
        """End the connection so that the answer cannot be taken for whole."""
        self._connection.abort()

    def start_writing(self):
        """Let the answer out: all earlier ones are through."""
        self._is_first = True
        outgoing, self._outgoing = self._outgoing, []
        for data in outgoing:
            self._connection.write(data)
        if self._turn is not None and not self._turn.done():
            self._turn.set_result(None)

    def feed_body(self, data):
        """Take in a piece of the body and return whether more is welcome."""
        self._body.append(data)
        self._body_bytes += len(data)
        self._wake()
        return self._body_bytes < BODY_BUFFER_BYTES

    def feed_body_end(self):
        """Take in the end of the body."""
        self._body_ended = True
        self._wake()

    def fail(self, error):
        """Take in that the rest of the body will not come, or the caller left."""
        self._body_error = error
        self._wake()
        if not isinstance(error, CallerDisconnected) or self._disconnected:
            return
        self._disconnected = True
        if self._turn is not None and not self._turn.done():
            self._turn.set_result(None)
        if self.on_disconnect is not None:
            self.on_disconnect()

    @property
    def finished(self):
        """Whether the whole answer was handed to the connection."""
        return self._finished

    @property
    def keep_alive(self):
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
