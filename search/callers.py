"""What callers are promised, whatever they send on a connection, and in which order."""

import asyncio
import contextlib
import itertools

import attrs
from hypothesis import strategies as st

from search import clock
from search.link import Link, LinkShape
from search.messages import Body, bodies, body_sizes, delays_s, digest, links
from search.responses import read_responses
from search.stopping import stop
from sesamespring.gateway.callers.caller_connections import CallerConnections
from sesamespring.http.incoming import BODY_BUFFER_BYTES, CallerDisconnected
from sesamespring.http.pipeline import READ_BYTES, CallerConnection, ServerLimits

__all__ = [
    "CallersInput",
    "callers",
    "callers_that_offer_more",
    "callers_that_read_late",
    "callers_that_send_on",
    "check_callers",
]

# Virtual time by which all has to be answered; all that is drawn takes less than half.
CALM_S = 14.0
# After this a connection that its caller has left holds nothing.
GONE_S = 30.0
HEAD_BYTES_MAX = 2 * READ_BYTES
LIMITS = ServerLimits(HEAD_BYTES_MAX, head_timeout_s=3.0, idle_timeout_s=15.0)
# What may be read and not parsed when a request is handed to its handler: what is read
# ahead, the read that goes over it, and the rest of the read that its head came with.
UNPARSED_BYTES_MAX = 3 * READ_BYTES
POLL_S = 0.02
CLOSE = b"Connection: close\r\n"
# Fields that HTTP clients of widespread libraries send, to be obeyed or ignored.
PLAIN_FIELDS = (
    *[b""] * 8,
    b"Connection: keep-alive\r\n",
    b"Expect: 100-continue\r\n",
    CLOSE,
)
OFFERS = (
    b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMA\r\n",
    b"Connection: Upgrade\r\nUpgrade: websocket\r\n",
)
# What may be read of a body that nobody takes: its buffer, and reads that go over it.
BODY_BYTES_MAX = BODY_BUFFER_BYTES + 2 * READ_BYTES


@attrs.frozen
class Request:
    """A request of a caller, and how the product's handler responds.

    Attributes:
        method: Its method.
        fields: Further header fields.
        head_padding: Bytes of one more header field.
        body: Its Body.
        takes_after_s: Time before the handler takes the body.
        takes_body: Whether the handler takes it at all.
        responds_after_s: Time before it responds.
        response_size: Bytes of the response behind the digest of the request's body.
        parts: Number of parts in which a response is sent; 0 sends it whole.
    """

    method: bytes
    fields: bytes
    head_padding: int
    body: Body
    takes_after_s: float
    takes_body: bool
    responds_after_s: float
    response_size: int
    parts: int

    def head(self, number):
        """Return the request's head as it is sent."""
        line = b"%b /%d HTTP/1.1\r\nHost: h\r\n" % (self.method, number)
        padding = b"X-Padding: %b\r\n" % (b"p" * self.head_padding)
        return line + self.fields + padding + self.body.field + b"\r\n"

    def message(self, number):
        """Return the request as it is sent."""
        return self.head(number) + self.body.framed


@attrs.frozen
class CallersInput:
    """What one caller does on one connection.

    Attributes:
        requests: List of Request; all are sent ahead.
        pieces: Pairs of the size of a piece that is sent and the time after it.
        reads_after_s: Time before the caller reads responses.
        leaves: None, or how the caller leaves: "end", "close" or "reset".
        leaves_after: Number of pieces after which it leaves.
        stop_s: Time at which the process begins to stop, or None.
        link: The LinkShape.
    """

    requests: list
    pieces: list
    reads_after_s: float
    leaves: str | None
    leaves_after: int
    stop_s: float | None
    link: LinkShape


def _inputs(fields=PLAIN_FIELDS, reads_after_s=delays_s, sends_on=False):
    request = st.builds(
        Request,
        method=st.sampled_from([b"POST", b"POST", b"GET", b"HEAD"]),
        fields=st.sampled_from(fields),
        head_padding=st.sampled_from([0, 0, 0, 0, READ_BYTES, HEAD_BYTES_MAX - 1024]),
        body=bodies,
        takes_after_s=delays_s,
        takes_body=st.sampled_from([True, True, True, False]),
        responds_after_s=delays_s,
        response_size=body_sizes,
        parts=st.integers(0, 3),
    )
    requests = st.lists(request, min_size=1, max_size=5)
    return st.builds(
        CallersInput,
        requests=requests if sends_on else requests.map(_until_close),
        pieces=st.lists(st.tuples(st.integers(1, 3000), delays_s), max_size=4),
        reads_after_s=reads_after_s,
        leaves=st.sampled_from([None, None, "end", "close", "reset"]),
        leaves_after=st.integers(0, 4),
        stop_s=st.sampled_from([None, None, 0.0, 0.0025, 0.3, 0.6]),
        link=links,
    )


def _until_close(requests):
    """Return the requests up to the first that is to be the last on its connection."""
    last = (n for n, request in enumerate(requests, 1) if request.fields == CLOSE)
    return requests[: next(last, None)]


callers = _inputs()
callers_that_offer_more = _inputs(fields=(b"", *OFFERS))
callers_that_read_late = _inputs(reads_after_s=st.sampled_from([0.0, 3.0]))
# RFC 9112, 9.6: such a caller is wrong, but it has to get the responses before the end.
callers_that_send_on = _inputs(fields=(b"", CLOSE), sends_on=True)


def check_callers(drawn):
    """Play a CallersInput, and raise AssertionError for each promise that is broken."""
    clock.run(_Play(drawn).run())


class _Play:
    """The play of one CallersInput."""

    def __init__(self, drawn):
        self._drawn = drawn
        # Where each request begins in what the caller sends.
        lengths = [len(r.message(n)) for n, r in enumerate(drawn.requests)]
        self._starts = list(itertools.accumulate(lengths, initial=0))
        # Numbers of the requests that were handled, and what was responded to each.
        self._handled = []
        self._responses = {}
        self._errors = []
        self._connections = CallerConnections(
            self._handle,
            1,
            limits=lambda: LIMITS,
            on_error=lambda _, error: self._errors.append(error),
        )
        self._link = None
        self._has_left = False

    async def run(self):
        """Play, and check the promises."""
        loop = asyncio.get_running_loop()
        protocol = CallerConnection(self._connections)
        self._link = Link(protocol, self._drawn.link)
        tasks = [loop.create_task(self._send()), loop.create_task(self._read())]
        if self._drawn.stop_s is not None:
            tasks.append(loop.create_task(self._stop()))
        await self._wait_until_done()
        for error in self._errors:
            raise error
        self._check_responses()
        self._has_left = True
        self._link.peer.close()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        clock.raise_errors(tasks)
        await asyncio.sleep(GONE_S)
        assert self._connections.in_progress == 0, "a request is still handled"
        assert self._connections.memory.used_bytes == 0, "memory is still counted"
        assert not loop.timers, f"timers are left: {loop.timers}"

    async def _handle(self, incoming):
        number = int(incoming.target[1:])
        assert number not in self._handled, f"request {number} was handled twice"
        self._handled.append(number)
        held_bytes = self._read_behind_head(number)
        assert held_bytes <= UNPARSED_BYTES_MAX, f"{held_bytes} bytes unparsed"
        request = self._drawn.requests[number]
        await asyncio.sleep(request.takes_after_s)
        self._check_held(number, incoming)
        body = b""
        if request.takes_body:
            with contextlib.suppress(CallerDisconnected):
                body = b"".join([piece async for piece in incoming.iter_body()])
        await asyncio.sleep(request.responds_after_s)
        content = b"%d:" % number + digest(body) + b"z" * request.response_size
        self._responses[number] = content
        await _respond(incoming, content, request.parts)

    def _read_behind_head(self, number):
        """Return how many bytes were read behind the head of a request."""
        head_bytes = len(self._drawn.requests[number].head(number))
        start = self._starts[number] + head_bytes
        return self._link.transport.delivered_bytes - start

    def _check_held(self, number, incoming):
        """Check what is held of a body that is not complete, before any is taken."""
        if not incoming.body_ended:
            held_bytes = self._read_behind_head(number)
            assert held_bytes <= BODY_BYTES_MAX, f"{held_bytes} bytes of a body held"

    async def _send(self):
        peer = self._link.peer
        requests = self._drawn.requests
        rest = b"".join(r.message(number) for number, r in enumerate(requests))
        leaves = self._drawn.leaves
        for number, (size, wait_s) in enumerate(self._drawn.pieces):
            if leaves and number == self._drawn.leaves_after:
                break
            peer.send(rest[:size])
            rest = rest[size:]
            await asyncio.sleep(wait_s)
        else:
            peer.send(rest)
        if leaves:
            self._has_left = True
            {"end": peer.end, "close": peer.close, "reset": peer.reset}[leaves]()

    async def _read(self):
        self._link.peer.pause(True)
        await asyncio.sleep(self._drawn.reads_after_s)
        self._link.peer.pause(False)

    async def _stop(self):
        await asyncio.sleep(self._drawn.stop_s)
        await stop(self._connections)

    async def _wait_until_done(self):
        """Wait until all that may come has come, at most for ``CALM_S``."""
        loop = asyncio.get_running_loop()
        peer = self._link.peer
        while loop.time() < CALM_S and not peer.at_end:
            if self._has_left or len(self._complete()) == len(self._drawn.requests):
                await asyncio.sleep(POLL_S)
                return
            await asyncio.sleep(POLL_S)

    def _complete(self):
        """Return the complete responses that the caller has read."""
        peer = self._link.peer
        methods = [request.method for request in self._drawn.requests]
        return read_responses(bytes(peer.received), methods, peer.at_end)

    def _check_responses(self):
        """Check what has come against what was handled, and must be answered."""
        drawn = self._drawn
        complete = self._complete()
        expected = sorted(self._handled)
        assert self._handled == expected == list(range(len(expected))), "not in order"
        for number, (status, content) in enumerate(complete):
            assert status == 200, f"request {number} got {status}"
            whole = self._responses.get(number)
            assert whole is not None, f"request {number} was answered and not handled"
            if drawn.requests[number].method == b"HEAD":
                whole = b""
            assert content == whole, f"request {number} got another response"
        if drawn.leaves:
            return
        last = self._last_before_close()
        if last is not None:
            # What is behind it need not be handled, and is not answered then.
            assert len(complete) > min(last, len(expected) - 1), "not answered"
        elif drawn.stop_s is None:
            assert len(complete) == len(drawn.requests), "not answered"
            assert self._link.transport.is_reading(), "not read while idle"
        else:
            assert len(complete) == len(self._handled), "handled and cut off"

    def _last_before_close(self):
        """Return the number of the first request that may end the connection, or None.

        That is one that asks for it, or whose body is not taken.
        """
        for number, request in enumerate(self._drawn.requests):
            if request.fields == CLOSE or not request.takes_body:
                return number
        return None


async def _respond(incoming, content, parts):
    """Send a response whole, or in parts as a target's response is passed on."""
    if not parts:
        incoming.send_whole(200, [], content)
        return
    incoming.send_head(200, [("Content-Length", str(len(content)))])
    size = max(1, -(-len(content) // parts))
    with contextlib.suppress(CallerDisconnected):
        for start in range(0, len(content), size):
            if incoming.method != "HEAD":
                incoming.send_data(content[start : start + size])
            await incoming.drain()
    incoming.send_end()
