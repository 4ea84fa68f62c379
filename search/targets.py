"""What is promised of connections to targets, whatever a target sends, and when."""

import asyncio

import attrs
import h11
from hypothesis import strategies as st

from search import clock
from search.link import Link, LinkShape
from search.messages import Body, bodies, body_sizes, delays_s, links
from sesamespring.http.channel import HEAD_BYTES_MAX, READ_BUFFER_BYTES, Channel

__all__ = [
    "Exchange",
    "TargetsInput",
    "check_targets",
    "targets",
    "targets_that_answer_early",
    "targets_that_go_on_sending",
]

# Virtual time in which each exchange has to end; what is drawn takes less than half.
CALM_S = 6.0
GONE_S = 10.0
# What a connection may hold beside what is wanted of a body at once.
HELD_BYTES_MAX = 2 * READ_BUFFER_BYTES + HEAD_BYTES_MAX
PART_BYTES = 64 * 1024
STRAY_HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"
ERRORS = (ConnectionError, h11.RemoteProtocolError)


@attrs.frozen
class Exchange:
    """A request, what its target sends, and how the response is taken.

    Attributes:
        upload: Bytes of the request's body, which is sent in parts.
        upload_wait_s: Time between two parts of it.
        is_early: Whether the target responds before it has read the request.
        interims: Number of interim responses before the response.
        body: The Body of the response.
        is_framed: Whether the response says where its body ends.
        cut: Number of bytes that are missing at its end, at most.
        extra: Bytes that follow the response at once.
        ends: None, or how the target ends the connection: "end", "close" or "reset".
        limit: Bytes of the body that are wanted whole; a longer one is read in parts.
        take_after_s: Time before the body is taken.
        idle_s: Time before the next exchange.
    """

    upload: int
    upload_wait_s: float
    is_early: bool
    interims: int
    body: Body
    is_framed: bool
    cut: int
    extra: int
    ends: str | None
    limit: int
    take_after_s: float
    idle_s: float

    @property
    def message(self):
        """All that the target sends."""
        start = (
            b"HTTP/1.1 100 Continue\r\n\r\n" * self.interims + b"HTTP/1.1 200 OK\r\n"
        )
        if self.is_framed:
            start += self.body.field + b"\r\n" + self.body.framed
        else:
            start += b"\r\n" + self.body.content
        if self.is_cut:
            return start[: len(start) - self.cut]
        return start + self.stray

    @property
    def stray(self):
        """What follows the response; without framing, that would be a part of it."""
        size = self.extra if self.is_framed and not self.is_cut else 0
        return (STRAY_HEAD + b"e" * size)[:size]

    @property
    def is_cut(self):
        """Whether the response is incomplete."""
        framed = self.body.framed if self.is_framed else b""
        return 0 < self.cut <= len(framed)

    @property
    def has_end(self):
        """Whether the target ends the connection, as it must to end some bodies."""
        return self.ends is not None or self.is_cut or not self.is_framed

    @property
    def is_whole(self):
        """Whether the response has to be taken for complete."""
        return not self.is_cut and (self.is_framed or self.ends != "reset")


@attrs.frozen
class TargetsInput:
    """Exchanges with one target, on one connection for as long as it can be used.

    Attributes:
        exchanges: List of Exchange.
        link: The LinkShape of each connection.
    """

    exchanges: list
    link: LinkShape


def _inputs(early=False, framed=(True, True, True, False), extras=(0, 0, 1, 400)):
    exchange = st.builds(
        Exchange,
        upload=body_sizes,
        upload_wait_s=st.sampled_from([0.0, 0.0, 0.005]),
        is_early=st.just(early),
        interims=st.integers(0, 16),
        body=bodies,
        is_framed=st.sampled_from(framed),
        cut=st.sampled_from([0, 0, 0, 1, 7]),
        extra=st.sampled_from(extras),
        ends=st.sampled_from([None, None, None, "end", "close", "reset"]),
        limit=st.sampled_from([0, 100, READ_BUFFER_BYTES, 10**7]),
        take_after_s=delays_s,
        idle_s=delays_s,
    )
    return st.builds(TargetsInput, st.lists(exchange, min_size=1, max_size=4), links)


targets = _inputs()
targets_that_answer_early = _inputs(early=True, framed=(True, False))
targets_that_go_on_sending = _inputs(extras=(0, 1, 400, 8 * READ_BUFFER_BYTES))


def check_targets(drawn):
    """Play a TargetsInput, and raise AssertionError for each promise that is broken."""
    clock.run(_Play(drawn).run())


class _Play:
    """The play of one TargetsInput."""

    def __init__(self, drawn):
        self._drawn = drawn
        self._channel = None
        self._link = None

    async def run(self):
        """Play, and check the promises."""
        loop = asyncio.get_running_loop()
        for number, exchange in enumerate(self._drawn.exchanges):
            if self._channel is None:
                self._channel = Channel()
                self._link = Link(self._channel, self._drawn.link)
            await self._play(number, exchange)
        if self._channel is not None:
            self._channel.abort()
        await asyncio.sleep(GONE_S)
        assert not loop.timers, f"timers are left: {loop.timers}"

    async def _play(self, number, exchange):
        """Play an exchange, and leave a connection for the next one or none."""
        loop = asyncio.get_running_loop()
        target = loop.create_task(self._respond(exchange))
        sending = loop.create_task(self._send(exchange))
        try:
            async with asyncio.timeout(CALM_S):
                body = await self._take(exchange, sending)
        except TimeoutError as error:
            raise AssertionError(f"exchange {number} never ends") from error
        except ERRORS:
            assert not exchange.is_whole or exchange.has_end, f"{number} failed"
            assert not exchange.is_whole or exchange.ends in ("close", "reset"), (
                f"the whole response of exchange {number} was taken for cut off"
            )
            body = None
        finally:
            sending.cancel()
            target.cancel()
            await asyncio.wait([sending, target])
        if body is not None:
            assert not exchange.is_cut, f"a part was taken for exchange {number}"
            assert body == exchange.body.content, f"exchange {number} got another body"
        await self._finish(exchange, body)

    async def _finish(self, exchange, body):
        """Keep the connection as the pool does, or open another one next."""
        channel = self._channel
        if body is None or not channel.reusable:
            channel.abort()
        else:
            assert not exchange.stray, "stray bytes are kept for the next exchange"
            channel.finish(asyncio.get_running_loop().time())
            await asyncio.sleep(exchange.idle_s)
            if exchange.ends is not None:
                await asyncio.sleep(0.01)
                assert not channel.usable, "the end was not seen"
            assert channel.failed or self._link.transport.is_reading(), "deaf"
        if not channel.usable:
            channel.abort()
            self._channel = None

    async def _take(self, exchange, sending):
        """Take the response as an Attempt does, which gives up the upload's rest."""
        channel = self._channel
        await channel.receive_head()
        await asyncio.sleep(exchange.take_after_s)
        self._check_held(0)
        body = await channel.read_body(exchange.limit)
        sending.cancel()
        if body is not None:
            return body
        self._check_held(exchange.limit)
        return b"".join([piece async for piece in channel.iter_body()])

    def _check_held(self, wanted_bytes):
        held_bytes = self._link.transport.delivered_bytes - self._before_bytes
        assert held_bytes <= HELD_BYTES_MAX + wanted_bytes, f"{held_bytes} bytes held"

    async def _send(self, exchange):
        """Send the request in parts, as an upload is streamed."""
        channel = self._channel
        self._before_bytes = self._link.transport.delivered_bytes
        fields = [("Host", "h"), ("Content-Length", str(exchange.upload))]
        channel.send_head("POST", "/", fields)
        left = exchange.upload
        while left:
            part = min(left, PART_BYTES)
            channel.send_data(b"u" * part)
            left -= part
            await channel.drain()
            if left:
                await asyncio.sleep(exchange.upload_wait_s)
        channel.send_end()

    async def _respond(self, exchange):
        """Do what the target does."""
        peer = self._link.peer
        start = len(peer.received)
        while not exchange.is_early and not _is_whole_request(peer, start, exchange):
            await peer.wait()
        peer.send(exchange.message)
        if exchange.has_end:
            ends = {"close": peer.close, "reset": peer.reset}
            ends.get(exchange.ends, peer.end)()


def _is_whole_request(peer, start, exchange):
    head_end = peer.received.find(b"\r\n\r\n", start)
    return head_end >= 0 and len(peer.received) >= head_end + 4 + exchange.upload
