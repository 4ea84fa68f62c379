"""Test the TCP proxy that injects network faults."""

import asyncio
import contextlib

import pytest

from soak.link import Direction, Link
from tests.loopback import loopback_ip

SERVER = (loopback_ip(7, 1), 27001)
LINK = (loopback_ip(7, 2), 27002)
READ_TIMEOUT_S = 0.3


def run_scenario(scenario):
    """Run ``scenario(link)`` with a Link to an echo server."""

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
        while chunk := await reader.read(100):
            writer.write(chunk)


async def _read(reader):
    async with asyncio.timeout(READ_TIMEOUT_S):
        return await reader.read(100)


def test_forwards_bytes_in_both_directions():
    async def scenario(link):
        reader, writer = await asyncio.open_connection(*LINK)
        writer.write(b"a")
        assert await _read(reader) == b"a"

    run_scenario(scenario)


@pytest.mark.parametrize("direction", list(Direction))
def test_cut_holds_bytes_back_until_restore(direction):
    async def scenario(link):
        reader, writer = await asyncio.open_connection(*LINK)
        link.cut(direction)
        writer.write(b"a")
        with pytest.raises(TimeoutError):
            await _read(reader)
        link.restore()
        assert await _read(reader) == b"a"

    run_scenario(scenario)


def test_silenced_connection_stays_silent_and_new_ones_work():
    async def scenario(link):
        reader, writer = await asyncio.open_connection(*LINK)
        writer.write(b"a")
        assert await _read(reader) == b"a"
        link.silence()
        link.restore()
        writer.write(b"b")
        with pytest.raises(TimeoutError):
            await _read(reader)
        reader, writer = await asyncio.open_connection(*LINK)
        writer.write(b"c")
        assert await _read(reader) == b"c"

    run_scenario(scenario)


def test_reset_ends_connections():
    async def scenario(link):
        reader, writer = await asyncio.open_connection(*LINK)
        writer.write(b"a")
        assert await _read(reader) == b"a"
        link.reset()
        with pytest.raises(ConnectionResetError):
            await _read(reader)

    run_scenario(scenario)


def test_knows_which_connections_were_silenced():
    async def scenario(link):
        _, early = await asyncio.open_connection(*LINK)
        early.write(b"a")
        await asyncio.sleep(0.05)
        link.silence()
        reader, late = await asyncio.open_connection(*LINK)
        late.write(b"a")
        assert await _read(reader) == b"a"
        assert link.is_silenced(early.get_extra_info("sockname"))
        assert not link.is_silenced(late.get_extra_info("sockname"))

    run_scenario(scenario)
