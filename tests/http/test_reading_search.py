"""Search for messages after which a connection on real sockets is not read again.

``bin/search`` plays far more, in virtual time. Here the system's own buffers, asyncio's
transports and real time take part. ``HYPOTHESIS_PROFILE=search`` searches longer.
"""

import asyncio
import contextlib
import socket
from unittest import mock

import attrs
import h11
import pytest
from hypothesis import given
from hypothesis import strategies as st

from search.messages import Body, bodies, body_sizes, digest
from sesamespring.gateway.callers.caller_connections import CallerConnections
from sesamespring.http.channel import Channel
from sesamespring.http.pipeline import READ_BYTES, CallerConnection

TIMEOUT_S = 5.0
# Shorter than in service, so that more examples fit; longer than a turn of the loop.
TURN_PAUSE_S = 0.001
IDLE_AFTER_S = 0.02
SOCKET_BUFFER_BYTES = 4 * 1024 * 1024


delays_s = st.sampled_from([0.0, TURN_PAUSE_S / 2, 3 * TURN_PAUSE_S])
# Sizes of the segments that a message is sent in, in turn; none means one segment.
segments = st.lists(st.integers(1, 100_000), max_size=4)


def connected_sockets(stack):
    """Return two connected sockets with room for whole messages."""
    pair = socket.socketpair()
    for sock in pair:
        stack.callback(sock.close)
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
    return pair


async def send(sock, message, sizes):
    """Send a message in segments of these sizes, the rest in one."""
    loop = asyncio.get_running_loop()
    for size in sizes:
        await loop.sock_sendall(sock, message[:size])
        message = message[size:]
        await asyncio.sleep(0)
    await loop.sock_sendall(sock, message)


def run(scenario):
    async def main():
        async with contextlib.AsyncExitStack() as stack:
            await stack.enter_async_context(asyncio.timeout(TIMEOUT_S))
            await scenario(stack)

    connections = "sesamespring.gateway.callers.caller_connections"
    with (
        mock.patch("sesamespring.http.turns.PAUSE_S", TURN_PAUSE_S),
        mock.patch(f"{connections}.IDLE_AFTER_S", IDLE_AFTER_S),
    ):
        asyncio.run(main())


@attrs.frozen
class Exchange:
    """An exchange of a Channel.

    Attributes:
        body: The Body of the response.
        segments: Sizes of its segments.
        limit: What is read whole, in bytes; a longer body is read in parts.
        take_after_s: Time before the body is taken.
        idle_s: Time before the next exchange.
    """

    body: Body
    segments: list
    limit: int
    take_after_s: float
    idle_s: float


exchanges = st.builds(
    Exchange, bodies, segments, st.sampled_from([0, 100, 10**7]), delays_s, delays_s
)


async def take_response(channel, exchange):
    await channel.receive_head()
    await asyncio.sleep(exchange.take_after_s)
    body = await channel.read_body(exchange.limit)
    if body is None:
        body = b"".join([piece async for piece in channel.iter_body()])
    return body


# A response was never read, as the one before it had ended with a turn (review/8).
@given(st.lists(exchanges, min_size=2, max_size=4))
def test_channel_reads_each_response_and_reads_while_idle(drawn):
    async def scenario(stack):
        near, far = connected_sockets(stack)
        loop = asyncio.get_running_loop()
        transport, channel = await loop.create_connection(Channel, sock=near)
        stack.callback(channel.abort)
        for exchange in drawn:
            channel.send_head("GET", "/", [("Host", "h")])
            channel.send_end()
            await loop.sock_recv(far, READ_BYTES)
            response = b"HTTP/1.1 200 OK\r\n" + exchange.body.field
            message = response + b"\r\n" + exchange.body.framed
            sending = asyncio.ensure_future(send(far, message, exchange.segments))
            assert await take_response(channel, exchange) == exchange.body.content
            await sending
            assert channel.reusable
            channel.finish(0.0)
            await asyncio.sleep(exchange.idle_s)
            assert channel.usable
            assert transport.is_reading()
        far.close()
        while channel.usable:
            await asyncio.sleep(0)

    run(scenario)


# A response that only the end of its connection ends is whole, and one that is cut off
# is an error, wherever a turn or a buffer ends; neither is waited for.
@given(exchanges, st.booleans(), st.integers(0, 16))
def test_channel_sees_the_end_of_a_last_response(exchange, is_cut, interims):
    async def scenario(stack):
        near, far = connected_sockets(stack)
        loop = asyncio.get_running_loop()
        _, channel = await loop.create_connection(Channel, sock=near)
        stack.callback(channel.abort)
        channel.send_head("GET", "/", [("Host", "h")])
        channel.send_end()
        await loop.sock_recv(far, READ_BYTES)
        head = b"HTTP/1.1 100 Continue\r\n\r\n" * interims + b"HTTP/1.1 200 OK\r\n"
        if is_cut:
            message = head + exchange.body.field + b"\r\n" + exchange.body.framed
            message = message[:-1] if exchange.body.framed else message[:-2]
        else:
            message = head + b"\r\n" + exchange.body.content

        async def send_and_close():
            await send(far, message, exchange.segments)
            far.close()

        sending = asyncio.ensure_future(send_and_close())
        if is_cut:
            with pytest.raises((ConnectionError, h11.RemoteProtocolError)):
                await take_response(channel, exchange)
        else:
            assert await take_response(channel, exchange) == exchange.body.content
        await sending
        while not channel.failed:
            await asyncio.sleep(0)
        assert not channel.reusable

    run(scenario)


@attrs.frozen
class Call:
    """A request of a caller.

    Attributes:
        body: The Body of the request.
        segments: Sizes of its segments.
        take_after_s: Time before its body is taken.
        response_bytes: Size of the response behind what says the size of the body.
        response_after_s: Time before its response is sent.
    """

    body: Body
    segments: list
    take_after_s: float
    response_bytes: int
    response_after_s: float


calls = st.builds(Call, bodies, segments, delays_s, body_sizes, delays_s)


async def read_responses(sock):
    """Yield the bodies of the responses until the connection ends."""
    loop = asyncio.get_running_loop()
    received = await loop.sock_recv(sock, READ_BYTES)
    while received:
        state = h11.Connection(h11.CLIENT)
        state.send(h11.Request(method="GET", target="/", headers=[("Host", "h")]))
        state.send(h11.EndOfMessage())
        state.receive_data(received)
        content = b""
        while not isinstance(event := state.next_event(), h11.EndOfMessage):
            if event is h11.NEED_DATA:
                state.receive_data(await loop.sock_recv(sock, READ_BYTES))
            elif isinstance(event, h11.Data):
                content += bytes(event.data)
        yield content
        received = state.trailing_data[0] or await loop.sock_recv(sock, READ_BYTES)


async def read_bodies(sock, count):
    """Return the bodies of so many responses."""
    responses = read_responses(sock)
    return [await anext(responses) for _ in range(count)]


async def read_until_end(sock):
    """Return the bodies of all responses until the connection ends."""
    return [content async for content in read_responses(sock)]


class Caller:
    """A caller that makes drawn Calls on one connection, and what answers them.

    Args:
        drawn: List of Call.

    Attributes:
        expected: Bodies of the responses to the requests that were handled.
    """

    def __init__(self, drawn):
        self.expected = []
        self._drawn = drawn

    async def handle(self, incoming):
        """Respond to an IncomingRequest as its Call says."""
        call = self._drawn[int(incoming.target[1:])]
        padding = b"z" * call.response_bytes
        self.expected.append(digest(call.body.content) + padding)
        await asyncio.sleep(call.take_after_s)
        body = b"".join([piece async for piece in incoming.iter_body()])
        await asyncio.sleep(call.response_after_s)
        incoming.send_whole(200, [], digest(body) + padding)

    async def send_all(self, sock):
        """Send all requests, or those that are taken before the connection ends."""
        for number, call in enumerate(self._drawn):
            line = b"POST /%d HTTP/1.1\r\nHost: h\r\n" % number
            message = line + call.body.field + b"\r\n" + call.body.framed
            with contextlib.suppress(OSError):
                await send(sock, message, call.segments)


async def accept(stack, handle):
    """Return a new CallerConnections, a connection's transport and its other socket."""
    near, far = connected_sockets(stack)
    connections = CallerConnections(handle, 1)
    stack.callback(connections.close)
    transport, _ = await asyncio.get_running_loop().connect_accepted_socket(
        lambda: CallerConnection(connections), near
    )
    return connections, transport, far


# An upload had no end, as its last bytes had filled the buffer.
@given(st.lists(calls, min_size=1, max_size=5), delays_s)
def test_caller_gets_each_response_in_order_and_is_read_while_idle(drawn, read_after_s):
    caller = Caller(drawn)

    async def scenario(stack):
        connections, transport, far = await accept(stack, caller.handle)
        sending = asyncio.ensure_future(caller.send_all(far))
        await asyncio.sleep(read_after_s)
        received = await read_bodies(far, len(drawn))
        await sending
        assert received == caller.expected
        await asyncio.sleep(2 * TURN_PAUSE_S)
        assert transport.is_reading()
        assert not connections.in_progress

    run(scenario)


# At a stop each request that was handled is answered whole, and the connection ends.
@given(st.lists(calls, min_size=1, max_size=5), delays_s, delays_s, delays_s)
def test_stop_loses_no_request_that_was_handled(drawn, stop_s, last_s, read_after_s):
    caller = Caller(drawn)

    async def stop(connections):
        await asyncio.sleep(stop_s)
        connections.stop()
        await asyncio.sleep(last_s)
        connections.stop_accepting()
        while connections.active:
            await asyncio.sleep(TURN_PAUSE_S)
        connections.close_idle()

    async def scenario(stack):
        connections, _, far = await accept(stack, caller.handle)
        sending = asyncio.ensure_future(caller.send_all(far))
        stopping = asyncio.ensure_future(stop(connections))
        await asyncio.sleep(read_after_s)
        received = await read_until_end(far)
        await asyncio.gather(sending, stopping)
        assert received == caller.expected

    run(scenario)
