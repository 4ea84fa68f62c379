"""Test that a Channel reads between two exchanges, wherever the first one has ended."""

import asyncio
import contextlib
import socket
import struct

import pytest

from sesamespring.http.channel import open_channel
from sesamespring.http.turns import EVENTS_PER_TURN
from sesamespring.platform.store import StoreClient
from tests.loopback import loopback_ip

HOST = loopback_ip(0, 3)
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
# With this many chunks a turn of parsing has a head, the chunks and the end.
FULL_TURN = EVENTS_PER_TURN - 2
AROUND_TURNS = [
    turns * EVENTS_PER_TURN - 2 + more for turns in (1, 2, 3) for more in (-1, 0, 1)
]
TIMEOUT_S = 2.0


def chunked(count, body=b"x"):
    chunk = b"%x\r\n%s\r\n" % (len(body), body)
    return HEAD + chunk * count + b"0\r\n\r\n"


def run(scenario, response, after_first=None):
    """Run ``scenario(channel)``; the server sends ``response`` to each request.

    Args:
        scenario: Coroutine function.
        response: Bytes of the response.
        after_first: Function that is called with the server's StreamWriter some time
            after the first response, or None.
    """

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(response)
        if after_first is not None:
            await asyncio.sleep(0.05)
            after_first(writer)
        while await reader.readuntil(b"\r\n\r\n"):
            writer.write(response)

    async def main():
        async with serving(serve) as address:
            channel = await open_channel(address, 1.0)
            async with asyncio.timeout(TIMEOUT_S):
                await scenario(channel)
            channel.abort()

    asyncio.run(main())


@contextlib.asynccontextmanager
async def serving(serve):
    """Serve connections by ``serve(reader, writer)`` until they end; yield the address.

    No connection outlives the loop.
    """

    async def serve_until_end(reader, writer):
        try:
            await serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.transport.abort()

    server = await asyncio.start_server(serve_until_end, HOST, 0)
    try:
        yield server.sockets[0].getsockname()
    finally:
        server.close()


async def exchange(channel):
    """Make one exchange and return the body of the response."""
    channel.send_head("GET", "/", [("Host", "h")])
    channel.send_end()
    await channel.receive_head()
    body = await channel.read_body(1_000_000)
    assert channel.reusable
    channel.finish(0.0)
    return body


# An unsafe request ran, and its response was never read (LOST): the response before it
# on the connection had 62 chunks.
@pytest.mark.parametrize("pause_s", [0.0, 0.002, 0.03])
@pytest.mark.parametrize("count", AROUND_TURNS)
def test_response_is_read_behind_one_that_ends_with_a_turn(count, pause_s):
    async def scenario(channel):
        for _ in range(3):
            assert await exchange(channel) == b"x" * count
            await asyncio.sleep(pause_s)
        assert channel.exchange_count == 3

    run(scenario, chunked(count))


# The same in a body of which a part was taken before the end had been parsed.
@pytest.mark.parametrize("count", AROUND_TURNS)
def test_response_is_read_behind_a_streamed_one_that_ends_with_a_turn(count):
    async def scenario(channel):
        for _ in range(2):
            channel.send_head("GET", "/", [("Host", "h")])
            channel.send_end()
            await channel.receive_head()
            parts = [part async for part in channel.iter_body()]
            assert b"".join(parts) == b"x" * count
            assert channel.reusable
            channel.finish(0.0)
            await asyncio.sleep(0.02)

    run(scenario, chunked(count))


def close(writer):
    writer.close()


def reset(writer):
    linger = struct.pack("ii", 1, 0)
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


def send_stray_response(writer):
    writer.write(chunked(1))


# A connection that reads nothing in its pool meets these with its next request.
@pytest.mark.parametrize("after_first", [close, reset, send_stray_response])
@pytest.mark.parametrize("count", [FULL_TURN - 1, FULL_TURN])
def test_connection_in_a_pool_sees_its_end_and_stray_bytes(count, after_first):
    async def scenario(channel):
        await exchange(channel)
        assert channel.usable
        while channel.usable:
            await asyncio.sleep(0.01)
        assert channel.failed

    run(scenario, chunked(count), after_first)


# The timer of a turn kept a connection that was closed, and woke it once more.
@pytest.mark.parametrize("count", [FULL_TURN, 5 * FULL_TURN])
def test_connection_that_is_closed_inside_a_response_leaves_no_timer(count):
    async def scenario(channel):
        timers = asyncio.get_running_loop()._scheduled
        before = set(timers)
        channel.send_head("GET", "/", [("Host", "h")])
        channel.send_end()
        await channel.receive_head()
        channel.abort()
        await asyncio.sleep(0)
        assert not [t for t in timers if t not in before and not t.cancelled()]

    run(scenario, chunked(count))


# The client of the store keeps one connection, which went deaf alike.
def test_store_is_read_behind_an_object_that_ends_with_a_turn():
    async def serve(reader, writer):
        while await reader.readuntil(b"\r\n\r\n"):
            writer.write(chunked(FULL_TURN))

    async def main():
        async with serving(serve) as address:
            client = StoreClient(address, 0.5)
            for _ in range(3):
                assert await client.get_object("a key") == b"x" * FULL_TURN
                await asyncio.sleep(0.03)
            client.close()

    asyncio.run(main())
