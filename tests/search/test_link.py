"""Test that a simulated connection behaves as one of asyncio on loopback does."""

import asyncio
import contextlib
import socket
import struct

import pytest

from search import clock
from search.link import Link, LinkShape
from tests.loopback import loopback_ip

BUFFER_BYTES = 16 * 1024
STEP_S = 0.05


class Recorder(asyncio.Protocol):
    """A protocol that records what it is told."""

    def __init__(self, keeps_open):
        self.seen = []
        self._keeps_open = keeps_open

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.seen.append(data)

    def eof_received(self):
        self.seen.append("end")
        return self._keeps_open

    def connection_lost(self, exc):
        self.seen.append("reset" if isinstance(exc, ConnectionError) else "closed")


class SocketPeer:
    """The other side of a real connection, which never reads, as a simulated one."""

    def __init__(self, sock):
        self._sock = sock

    def send(self, data):
        self._sock.sendall(data)

    def end(self):
        self._sock.shutdown(socket.SHUT_WR)

    def close(self):
        self._sock.close()

    def reset(self):
        linger = struct.pack("ii", 1, 0)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self._sock.close()


async def connect_sockets(stack, protocol):
    """Return the peer of a real connection on loopback."""
    listening = stack.enter_context(socket.create_server((loopback_ip(9, 1), 0)))
    far = stack.enter_context(socket.create_connection(listening.getsockname()))
    near, _ = listening.accept()
    near.setblocking(False)
    loop = asyncio.get_running_loop()
    transport, _ = await loop.connect_accepted_socket(lambda: protocol, near)
    stack.callback(transport.abort)
    return SocketPeer(far)


async def connect_link(stack, protocol):
    """Return the peer of a simulated connection."""
    peer = Link(protocol, LinkShape(BUFFER_BYTES, BUFFER_BYTES, [])).peer
    peer.pause(True)
    return peer


KINDS = {"simulated": (clock.run, connect_link), "real": (asyncio.run, connect_sockets)}


@pytest.fixture(params=KINDS)
def play(request):
    """Function that plays steps on a connection and returns what its protocol saw."""
    run, connect = KINDS[request.param]

    def play(*steps, keeps_open=False):
        async def main():
            with contextlib.ExitStack() as stack:
                protocol = Recorder(keeps_open)
                peer = await connect(stack, protocol)
                for step in steps:
                    step(protocol.transport, peer)
                    await asyncio.sleep(STEP_S)
                return list(protocol.seen)

        return run(main())

    return play


def send(transport, peer):
    peer.send(b"abc")


def end(transport, peer):
    peer.end()


def close(transport, peer):
    peer.close()


def reset(transport, peer):
    peer.reset()


def pause(transport, peer):
    transport.pause_reading()


def resume(transport, peer):
    transport.resume_reading()


def write(transport, peer):
    transport.write(b"answer")


def test_bytes_come_before_the_end(play):
    assert play(send, end) == [b"abc", "end", "closed"]


def test_end_that_is_kept_open_is_read_once_more_after_a_pause(play):
    seen = play(end, pause, resume, write, keeps_open=True)
    assert seen == ["end", "end"]


def test_nothing_is_noticed_while_reading_is_paused(play):
    assert play(pause, send, reset) == []
    assert play(pause, send, end) == []


def test_bytes_are_read_before_a_reset_that_comes_later(play):
    assert play(pause, send, end, resume) == [b"abc", "end", "closed"]
    assert play(send, reset) == [b"abc", "reset"]


def test_peer_that_has_closed_answers_bytes_with_a_reset(play):
    assert play(close, write, write, keeps_open=True) == ["end", "reset"]


def test_peer_that_closes_with_bytes_unread_resets_the_connection(play):
    assert play(write, close) == ["reset"]
