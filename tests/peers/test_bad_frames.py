"""Test that invalid frames are rejected and counted and do not affect valid peers."""

import asyncio
import hashlib
import hmac
import struct

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from prometheus_client.parser import text_string_to_metric_families

from sesamespring.entry.metrics import Metrics
from sesamespring.entry.peers import PeersTask
from sesamespring.peers import (
    FrameError,
    Heartbeat,
    Hello,
    KeyAnswer,
    KeyQuery,
    decode,
    encode,
    open_link,
)
from sesamespring.peers.link import new_nonce
from tests.loopback import loopback_ip

HOST = loopback_ip(0, 1)
KEYS = (b"shared",)
BODIES = (
    Heartbeat(1, 2, "d", 3, True, False),
    KeyQuery(1, "s/k", "f", True),
    KeyAnswer(1, "finished", 200, "text/plain", b"body"),
)


@attrs.frozen
class PeerSettings:
    name: str = "a"
    data_centre: str = "dc"
    callers_address: tuple = (HOST, 1)
    peers_address: tuple = (HOST, 2)
    peers_key: tuple = KEYS
    peers_seeds: tuple = ()
    peers_heartbeat_interval_ms: int = 100
    peers_heartbeat_timeout_ms: int = 1000


def hello(name="b"):
    return Hello(name, "1" * 16, "dc", new_nonce(), HOST, 3, HOST, 4)


def hello_frame(payload):
    mac = hmac.digest(KEYS[0], b"h" + payload, hashlib.sha256)[:16]
    return struct.pack("!I", len(payload) + len(mac)) + payload + mac


def dropped_counts(metrics):
    families = text_string_to_metric_families(metrics.render().decode())
    return {
        sample.labels["reason"]: sample.value
        for family in families
        for sample in family.samples
        if sample.name == "sesamespring_dropped_frames_total"
    }


def run_with_peer(scenario):
    """Run a scenario with the address and metrics of a listening peer."""

    async def main():
        metrics = Metrics()
        task = PeersTask(
            PeerSettings(),
            metrics,
            lambda number: Heartbeat(number, 0, "", 0, True, False),
            lambda: None,
        )
        server = await asyncio.start_server(task.serve_connection, HOST, 0)
        async with server, asyncio.timeout(20):
            address = server.sockets[0].getsockname()[:2]
            await scenario(address, metrics)
            # After the scenario, a peer with the key must still get a heartbeat.
            link = await open_link(address, hello(), KEYS)
            assert isinstance(await link.receive(), Heartbeat)
            link.close()
            await asyncio.sleep(0)

    asyncio.run(main())


async def send_raw(address, payload):
    reader, writer = await asyncio.open_connection(*address)
    writer.write(payload)
    if writer.can_write_eof():
        writer.write_eof()
    try:
        while await reader.read(65_536):
            pass
    except ConnectionResetError:
        pass
    writer.transport.abort()


@pytest.mark.parametrize(
    ("payload", "reason"),
    [
        (b"\xff\xff\xff\xff", "oversized"),
        (b"\x00\x00\x10\x01", "oversized"),
        (b"\x00\x00\x00\x03abc", "truncated"),
        (b"\x00\x00\x00\x80" + b"x" * 20, "truncated"),
        (b"\x00\x00", "truncated"),
        (b"\x00\x00\x00\x80" + b"x" * 128, "unauthenticated"),
        (b"\x00\x00\x00\x20" + encode(BODIES[0]).ljust(32, b"\0"), "unauthenticated"),
        (hello_frame(encode(BODIES[0])), "malformed"),
        (hello_frame(b"x" * 128), "malformed"),
    ],
)
def test_bad_hellos_are_dropped_and_counted(payload, reason):
    async def scenario(address, metrics):
        await send_raw(address, payload)
        assert dropped_counts(metrics) == {reason: 1.0}

    run_with_peer(scenario)


def test_peer_without_the_key_is_rejected():
    async def scenario(address, metrics):
        with pytest.raises((FrameError, ConnectionError)):
            await open_link(address, hello(), (b"other",))
        while "unauthenticated" not in dropped_counts(metrics):
            await asyncio.sleep(0.01)

    run_with_peer(scenario)


@pytest.mark.parametrize(
    "corrupt",
    [
        lambda frame: frame[:-1] + bytes([frame[-1] ^ 1]),
        lambda frame: frame[:5] + bytes([frame[5] ^ 1]) + frame[6:],
        lambda frame: frame + frame,
    ],
    ids=["mac", "payload", "replayed"],
)
def test_forged_and_replayed_frames_end_the_link(corrupt):
    async def scenario(address, metrics):
        link = await open_link(address, hello(), KEYS)
        frames = []
        writer = link._writer
        write = writer.write
        writer.write = frames.append
        link.send(BODIES[0])
        write(corrupt(frames[0]))
        with pytest.raises(ConnectionError):
            while True:
                await link.receive()
        assert dropped_counts(metrics) == {"unauthenticated": 1.0}

    run_with_peer(scenario)


@pytest.mark.parametrize("body", BODIES)
def test_decoding_returns_the_encoded_message(body):
    assert decode(encode(body)) == body


@settings(max_examples=500)
@given(st.sampled_from(BODIES).map(encode), st.data())
def test_decoding_arbitrary_bytes_raises_only_frame_errors(payload, data):
    cut = data.draw(st.integers(0, len(payload)))
    added = data.draw(st.binary(max_size=40))
    try:
        decode(payload[:cut] + added)
    except FrameError:
        pass


@settings(max_examples=10)
@given(st.lists(st.binary(max_size=200), max_size=10))
def test_arbitrary_bytes_do_not_affect_other_peers(payloads):
    async def scenario(address, metrics):
        for payload in payloads:
            await send_raw(address, payload)

    run_with_peer(scenario)
