"""A target that answers each attempt as it was drawn."""

import asyncio

import attrs
import h11
from hypothesis import strategies as st

from search.link import Link
from search.messages import around, framed, framing_field
from sesamespring.gateway.targets.attempt import BUFFERED_BYTES_MAX

__all__ = ["Answer", "SimulatedTarget", "answers", "answers_with_long_failures"]

REQUEST_ID = b"sesamespring-request-id"
SIGNATURE = b"Sesamespring-Server-Stamp: s\r\n"
NOT_RUN = b"Sesamespring-Not-Executed: 1\r\n"
CHUNK_BYTES = 5000


@attrs.frozen
class Answer:
    """What a target does with one attempt.

    Attributes:
        status: Status of its response; 0 closes the connection without one.
        rejects: Whether it doesn't run the request, and says so.
        size: Bytes of the response's body.
        framing: How the body is framed: "length", "chunked" or "close".
        missing: Bytes that are missing at the end of the response, as the connection
            ends before; 0 if it is complete.
        is_early: Whether it responds before it has read the request's body.
        wait_s: Time before the response.
    """

    status: int
    rejects: bool
    size: int
    framing: str
    missing: int
    is_early: bool
    wait_s: float

    @property
    def runs(self):
        """Whether the target runs the request."""
        return not self.rejects

    @property
    def is_whole(self):
        """Whether the target sends a complete response."""
        return self.status > 0 and not self.missing

    @property
    def is_good(self):
        """Whether the response must be passed on, as it is whole and says 200."""
        return self.status == 200 and self.is_whole and not self.is_early

    def content(self, request_id):
        """Return the body of the response to a request."""
        return (request_id + b":" + b"r" * self.size)[: max(self.size, 8)]

    def message(self, request_id):
        """Return the response as it is sent."""
        start = b"HTTP/1.1 %d X\r\nSesamespring-Request-Id: %b\r\n" % (
            self.status,
            request_id,
        )
        start += NOT_RUN if self.rejects else SIGNATURE
        content = self.content(request_id)
        if self.framing == "close":
            message = start + b"Connection: close\r\n\r\n" + content
        else:
            chunk_size = CHUNK_BYTES if self.framing == "chunked" else 0
            start += framing_field(len(content), chunk_size) + b"\r\n"
            message = start + framed(content, chunk_size)
        return message[: max(0, len(message) - self.missing)]


_short = st.integers(0, 2000)
_waits_s = st.sampled_from([0.0, 0.0, 0.0, 0.0025, 0.3, 3.0])
_long = st.one_of(_short, around(BUFFERED_BYTES_MAX))


def _responses(statuses, sizes):
    """Return a strategy for Answers of targets that run the request."""
    return st.builds(
        Answer,
        status=st.sampled_from(statuses),
        rejects=st.just(False),
        size=sizes,
        framing=st.sampled_from(["length", "length", "chunked", "close"]),
        missing=st.sampled_from([0, 0, 0, 1, 100_000]),
        is_early=st.sampled_from([False, False, False, True]),
        wait_s=_waits_s,
    )


_successes = _responses([200], _long)
_failures = [404, 408, 429, 500, 503, 0]
_rejections = st.builds(
    Answer,
    status=st.sampled_from([429, 503]),
    rejects=st.just(True),
    size=st.just(0),
    framing=st.just("length"),
    missing=st.just(0),
    is_early=st.booleans(),
    wait_s=_waits_s,
)
answers = st.one_of(_successes, _responses(_failures, _short), _rejections)
answers_with_long_failures = st.one_of(
    _successes, _responses(_failures, around(BUFFERED_BYTES_MAX)), _rejections
)


class SimulatedTarget:
    """A target that other ends connect to.

    Args:
        shape: The LinkShape of its connections.
        choose: Function that takes a request id and returns the Answer to it.

    Attributes:
        runs: List of the ids of the requests that it has run, in bytes.
    """

    def __init__(self, shape, choose):
        self.runs = []
        self._shape = shape
        self._choose = choose
        self._tasks = set()

    def accept(self, protocol):
        """Connect a protocol to the target, and return its transport."""
        link = Link(protocol, self._shape)
        task = asyncio.get_running_loop().create_task(self._serve(link.peer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return link.transport

    async def _serve(self, peer):
        """Answer requests until the connection ends or an answer ends it."""
        state = h11.Connection(h11.SERVER)
        while (head := await _read_event(state, peer, h11.Request)) is not None:
            request_id = dict(head.headers)[REQUEST_ID]
            answer = self._choose(request_id)
            is_whole = False
            if not answer.is_early:
                is_whole = await _read_end(state, peer)
                if not is_whole:
                    break
            if answer.runs:
                self.runs.append(request_id)
            await asyncio.sleep(answer.wait_s)
            if answer.status:
                peer.send(answer.message(request_id))
            if answer.status and answer.missing and answer.framing == "close":
                # Only a reset shows that more should have followed.
                peer.reset()
                return
            if not answer.is_whole or answer.framing == "close":
                break
            if not is_whole and not await _read_end(state, peer):
                break
            trailing = state.trailing_data[0]
            state = h11.Connection(h11.SERVER)
            state.receive_data(trailing)
        peer.end()
        while not peer.at_end:
            await peer.wait()
            peer.received.clear()


async def _read_end(state, peer):
    """Read to the end of a request, and return whether it is whole."""
    return await _read_event(state, peer, h11.EndOfMessage) is not None


async def _read_event(state, peer, kind):
    """Return the next event of a kind, or None if the connection ends before it."""
    while True:
        try:
            event = state.next_event()
        except h11.RemoteProtocolError:
            return None
        if isinstance(event, kind):
            return event
        if event is not h11.NEED_DATA and not isinstance(event, h11.Data):
            return None
        if event is h11.NEED_DATA:
            if not peer.received:
                if peer.at_end:
                    return None
                await peer.wait()
            state.receive_data(bytes(peer.received))
            peer.received.clear()
