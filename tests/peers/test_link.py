"""Test which peers an entry VM accepts, also while keys are being rotated."""

import asyncio

import pytest

from sesamespring.peers import FrameError, Heartbeat, Hello, accept_link, open_link
from sesamespring.peers.link import new_nonce
from tests.loopback import loopback_ip

HOST = loopback_ip(0, 1)
OLD, NEW, OTHER = b"old-secret", b"new-secret", b"other-secret"


def hello(name):
    return Hello(name, "i", "a", new_nonce(), HOST, 1, HOST, 2)


async def connect_and_send(opener_keys, accepter_keys):
    """Return the first message that the accepting side receives after a handshake."""
    received = asyncio.get_running_loop().create_future()

    async def connected(reader, writer):
        try:
            link = await accept_link(reader, writer, hello("b"), accepter_keys)
            received.set_result(await link.receive())
            link.close()
        except (FrameError, OSError) as error:
            received.set_exception(error)

    async with await asyncio.start_server(connected, HOST, 0) as server:
        address = server.sockets[0].getsockname()
        try:
            link = await open_link(address, hello("a"), opener_keys)
            link.send(Heartbeat(1, 2, "d", 3, True, False))
            return await received
        finally:
            await asyncio.wait([received])
            received.exception()


@pytest.mark.parametrize(
    ("opener", "accepter"),
    [
        ((OLD,), (OLD,)),
        ((OLD,), (OLD, NEW)),
        ((OLD, NEW), (NEW, OLD)),
        ((NEW, OLD), (OLD, NEW)),
        ((NEW,), (NEW, OLD)),
    ],
)
def test_links_open_at_each_step_of_a_key_rotation(opener, accepter):
    received = asyncio.run(connect_and_send(opener, accepter))
    assert received.configuration_version == 2


@pytest.mark.parametrize("keys", [(OTHER,), (NEW,)])
def test_peer_without_the_key_gets_no_link(keys):
    with pytest.raises((FrameError, OSError)):
        asyncio.run(connect_and_send(keys, (OLD,)))


@pytest.mark.parametrize(
    "sent", [b"", b"\x00\x00\x00\x20" + b"x" * 32, b"\xff" * 100, b"GET / HTTP/1.1\r\n"]
)
def test_client_without_a_valid_hello_is_sent_no_bytes(sent):
    async def scenario():
        async def connected(reader, writer):
            try:
                await accept_link(reader, writer, hello("b"), (OLD,))
            except (FrameError, OSError, TimeoutError):
                pass

        async with await asyncio.start_server(connected, HOST, 0) as server:
            reader, writer = await asyncio.open_connection(
                *server.sockets[0].getsockname()
            )
            writer.write(sent)
            writer.write_eof()
            try:
                return await reader.read()
            except ConnectionResetError:
                return b""
            finally:
                writer.transport.abort()

    assert asyncio.run(scenario()) == b""
