"""One request on a caller's connection, with its body and its response."""

import asyncio
import collections
import copy

import h11

from sesamespring.routing.caller_memory import (
    BODY_COPIES,
    KEPT_BODY_BYTES_MAX,
    REQUEST_BYTES,
)

__all__ = ["CallerDisconnected", "IncomingRequest"]

BODY_BUFFER_BYTES = 256 * 1024


class CallerDisconnected(ConnectionError):
    """The caller closed its connection."""


class IncomingRequest:
    """A request on a caller's connection, its body and the response to it.

    With pipelining, several requests of a connection may be in progress. A response is
    held until all earlier ones are complete; only then is it decided whether it closes
    the connection, as further requests may have arrived behind it meanwhile.

    Args:
        connection: The CallerConnection.
        state: The h11.Connection, used for this request only.
        head: The h11 Request.
        arrived_s: Time at which the head was read, on the loop's clock.

    Attributes:
        head: The h11 Request.
        arrived_s: Time at which the head was read, on the loop's clock.
        on_disconnect: Function called once when the caller disconnects, or None.
        says_close: Whether the response says that this side closes the connection.
    """

    def __init__(self, connection, state, head, arrived_s):
        self.head = head
        self.arrived_s = arrived_s
        self.on_disconnect = None
        self.says_close = False
        self._connection = connection
        self._state = state
        self._body = collections.deque()
        self._body_bytes = 0
        self._body_ended = False
        self._body_error = None
        self._body_waiter = None
        self._held = []
        self._may_write = False
        self._write_waiter = None
        self._response_started = False
        self._finished = False
        self._disconnected = False
        self._received_bytes = 0
        self._response_bytes = 0
        # What is counted for the request, for its body and for its held response.
        self._request_bytes = 0
        self._body_use_bytes = 0
        self._held_bytes = 0
        self._admitted = True

    @property
    def admitted(self):
        """Whether the VM has memory for the request; if not, it must be refused."""
        return self._admitted

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
    def caller_ip(self):
        """IP address that the caller's connection comes from, as text."""
        return self._connection.caller_ip

    @property
    def response_started(self):
        """Whether a response has been started."""
        return self._response_started

    @property
    def disconnected(self):
        """Whether the caller has disconnected."""
        return self._disconnected

    @property
    def body_ended(self):
        """Whether the whole body has been received."""
        return self._body_ended

    @property
    def closing(self):
        """Whether the connection closes after this response."""
        return not self._body_ended or self._connection.closes_after(self)

    async def iter_body(self):
        """Yield the body in parts, as they arrive.

        A caller that waits for ``100 Continue`` gets it first.

        Raises:
            CallerDisconnected: The caller disconnected before the body was complete.
            h11.RemoteProtocolError: The body is malformed.
        """
        if self._state.they_are_waiting_for_100_continue:
            self._emit(h11.InformationalResponse(status_code=100, headers=[]))
        while True:
            while self._body:
                chunk = self._body.popleft()
                self._body_bytes -= len(chunk)
                yield chunk
            if self._body_ended:
                return
            if self._body_error is not None:
                # The traceback of the error itself would keep the body in a cycle.
                raise copy.copy(self._body_error)
            await self._wait_for_body()

    def send_whole(self, status, headers, body):
        """Send a complete response; a response to HEAD is sent without its body.

        Args:
            status: HTTP status code.
            headers: Pairs of name and value, without Content-Length.
            body: The body in bytes.
        """
        framed = [*headers, ("Content-Length", str(len(body)))]
        self.send_head(status, framed)
        if body and self.method != "HEAD":
            self.send_data(body)
        self.send_end()

    def send_head(self, status, headers):
        """Send the response head.

        Args:
            status: HTTP status code.
            headers: Pairs of name and value; they delimit the body.
        """
        self._response_started = True
        self._emit(h11.Response(status_code=status, headers=headers))

    def send_data(self, data):
        """Send a part of the response body."""
        self._emit(h11.Data(data=data))

    def send_end(self):
        """End the response."""
        if self._disconnected or self._finished:
            return
        self._emit(h11.EndOfMessage())
        self._finished = True
        self._connection.response_finished(self, self._response_bytes)

    async def drain(self):
        """Wait until the response may go on.

        As long as the connection may hold more, that is at once, so that a caller that
        reads slowly occupies no target. Otherwise it waits for earlier responses and
        while the write buffer is full.

        Raises:
            CallerDisconnected: The caller disconnected.
        """
        if self._disconnected:
            raise CallerDisconnected
        if self._may_go_on():
            return
        if not self._may_write:
            self._write_waiter = asyncio.get_running_loop().create_future()
            await self._write_waiter
        await self._connection.drain()
        if self._disconnected:
            raise CallerDisconnected

    def abort(self):
        """Abort the connection, so that the caller sees an incomplete response."""
        self._connection.abort()

    def start_writing(self):
        """Write what was held, as all earlier responses are complete."""
        self._may_write = True
        held, self._held = self._held, []
        self._release_held()
        try:
            for event in held:
                self._emit(event)
        except h11.LocalProtocolError:
            # The response is not as long as its head says: it must look incomplete.
            self.abort()
        if self._write_waiter is not None and not self._write_waiter.done():
            self._write_waiter.set_result(None)

    def admit(self, body_bytes):
        """Count the request, and decide whether the VM has memory for it.

        Args:
            body_bytes: Length of its body as far as its head states it.
        """
        self._request_bytes = REQUEST_BYTES
        self._body_use_bytes = _kept_bytes(body_bytes)
        self._connection.use.add(self._request_bytes + self._body_use_bytes)
        self._admitted = self._connection.account.is_admitted
        if not self._admitted:
            self._connection.use.add(-self._body_use_bytes)
            self._body_use_bytes = 0

    def handled(self):
        """Release the memory of the request and its body, as its handler has ended."""
        self.on_disconnect = None
        released = self._request_bytes + self._body_use_bytes
        self._request_bytes = self._body_use_bytes = 0
        self._connection.use.add(-released)
        self._connection.resume_reading_ahead()

    def feed_body(self, data):
        """Buffer a part of the body and return whether the buffer has room for more."""
        self._body.append(data)
        self._body_bytes += len(data)
        self._received_bytes += len(data)
        if self._admitted and self._request_bytes:
            self._count_body()
        self._wake()
        return self._body_bytes < BODY_BUFFER_BYTES

    def feed_body_end(self):
        """Record the end of the body."""
        self._body_ended = True
        self._wake()

    def fail(self, error):
        """End the body with an error, which ``iter_body`` raises.

        Args:
            error: A CallerDisconnected, which also discards further output and calls
                ``on_disconnect``, or an h11.RemoteProtocolError.
        """
        self._body_error = error
        self._wake()
        if not isinstance(error, CallerDisconnected) or self._disconnected:
            return
        self._disconnected = True
        self._held = []
        self._release_held()
        if self._write_waiter is not None and not self._write_waiter.done():
            self._write_waiter.set_result(None)
        if self.on_disconnect is not None:
            self.on_disconnect()

    @property
    def finished(self):
        """Whether the response is complete."""
        return self._finished

    @property
    def keep_alive(self):
        """Whether request and response are complete and allow another request."""
        state = self._state
        return state.our_state is h11.DONE and state.their_state is h11.DONE

    def _emit(self, event):
        """Write a part of the response, or hold it until earlier ones are complete."""
        if self._disconnected:
            return
        size = len(event.data) if isinstance(event, h11.Data) else 0
        self._response_bytes += size
        if not self._may_write:
            self._held.append(event)
            self._held_bytes += size
            self._connection.use.add(size)
            return
        if isinstance(event, h11.Response) and self.closing:
            headers = [*event.headers, (b"Connection", b"close")]
            event = h11.Response(status_code=event.status_code, headers=headers)
            self.says_close = True
            self._connection.close_announced()
        self._connection.write(self._state.send(event) or b"")

    def _count_body(self):
        """Count a body that is longer than its head has stated, if it did."""
        grown = _kept_bytes(self._received_bytes) - self._body_use_bytes
        if grown > 0:
            self._body_use_bytes += grown
            self._connection.use.add(grown)

    def _may_go_on(self):
        if self._may_write and not self._connection.is_unread:
            return True
        return self._connection.account.may_buffer

    def _release_held(self):
        released, self._held_bytes = self._held_bytes, 0
        if released:
            self._connection.use.add(-released)

    async def _wait_for_body(self):
        """Wait for more of the body, which parsing again may bring at once."""
        self._body_waiter = asyncio.get_running_loop().create_future()
        try:
            self._connection.resume_body()
            await self._body_waiter
        finally:
            self._body_waiter = None

    def _wake(self):
        if self._body_waiter is not None and not self._body_waiter.done():
            self._body_waiter.set_result(None)


def _kept_bytes(body_bytes):
    """Return what a body takes that is kept for a second attempt, in bytes."""
    return BODY_COPIES * min(body_bytes, KEPT_BODY_BYTES_MAX)
