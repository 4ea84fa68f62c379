"""Test the link that spoils connections."""

import asyncio
import contextlib

import pytest

from soak.link import Direction, Link

SERVER = ("127.0.7.1", 27001)
LINK = ("127.0.7.2", 27002)
SOON_S = 0.3


def play(scenario):
    """Run ``scenario(link)`` with a Link before a server that echoes."""

    async def run():
        link = Link(SERVER)
        async with contextlib.AsyncExitStack() as stack:
            server = await asyncio.start_server(_echo, *SERVER)
            stack.callback(server.close)
            await link.start(*LINK)
            stack.callback(link.close)
            await scenario(link)

    asyncio.run(run())


async def _echo(reader, writer):
    with contextlib.suppress(ConnectionError):
        while piece := await reader.read(100):
            writer.write(piece)


async def _hears(reader):
    async with asyncio.timeout(SOON_S):
        return await reader.read(100)


def test_carries_bytes_both_ways():
    async def scenario(link):
        reader, writer = await asyncio.open_connection(*LINK)
        writer.write(b"a")
        assert await _hears(reader) == b"a"

    play(scenario)


@pytest.mark.parametrize("direction", list(Direction))
def test_cut_holds_bytes_until_it_is_mended(direction):
    async def scenario(link):
        reader, writer = await asyncio.open_connection(*LINK)
        link.cut(direction)
        writer.write(b"a")
        with pytest.raises(TimeoutError):
            await _hears(reader)
        link.mend()
        assert await _hears(reader) == b"a"

    play(scenario)


def test_silenced_connection_stays_silent_and_new_ones_work():
    async def scenario(link):
        reader, writer = await asyncio.open_connection(*LINK)
        writer.write(b"a")
        assert await _hears(reader) == b"a"
        link.silence()
        link.mend()
        writer.write(b"b")
        with pytest.raises(TimeoutError):
            await _hears(reader)
        reader, writer = await asyncio.open_connection(*LINK)
        writer.write(b"c")
        assert await _hears(reader) == b"c"

    play(scenario)


def test_reset_ends_connections():
    async def scenario(link):
        reader, writer = await asyncio.open_connection(*LINK)
        writer.write(b"a")
        assert await _hears(reader) == b"a"
        link.reset()
        with pytest.raises(ConnectionResetError):
            await _hears(reader)

    play(scenario)
