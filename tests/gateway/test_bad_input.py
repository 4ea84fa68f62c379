"""Test malformed requests of callers and malformed datagrams."""

import asyncio
import random
import socket

import pytest

from tests.gateway.cluster import CALLERS_PORT, HOST, INTERNAL_PORT
from tests.gateway.test_forwarding import run_scenario

FUZZ_SEED = 20261204
GOOD_HEAD = (
    f"GET /read/1 HTTP/1.1\r\nHost: {HOST}\r\nSesamespring-Request-Id: good\r\n\r\n"
).encode()


async def exchange(ip, data, timeout_s=2.0):
    """Send bytes and return everything received until the connection ends."""
    reader, writer = await asyncio.open_connection(ip, CALLERS_PORT)
    writer.write(data)
    try:
        async with asyncio.timeout(timeout_s):
            return await reader.read()
    except (ConnectionError, TimeoutError):
        return b""
    finally:
        writer.transport.abort()


@pytest.mark.parametrize(
    ("head", "status"),
    [
        ("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", b"400"),
        ("Content-Length: 3\r\nContent-Length: 4\r\n", b"400"),
        ("Content-Length: -1\r\n", b"400"),
        ("Transfer-Encoding: gzip, chunked\r\n", b"501"),
        (f"X-Long: {'x' * 20_000}\r\n", b"431"),
    ],
)
def test_ambiguous_or_oversized_heads_are_rejected(head, status):
    async def scenario(cluster):
        data = (
            f"POST /write/1 HTTP/1.1\r\nHost: {HOST}\r\n"
            f"Sesamespring-Request-Id: r1\r\n{head}\r\nabc"
        ).encode()
        response = await exchange(cluster.ips[0], data)
        assert response[9:12] in (status, b"400")
        assert cluster.runs == []

    run_scenario(scenario)


def test_request_inside_a_body_is_not_run():
    async def scenario(cluster):
        body = GOOD_HEAD.replace(b"good", b"smuggled")
        data = (
            f"POST /write/1 HTTP/1.1\r\nHost: {HOST}\r\nSesamespring-Request-Id: r1\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        ).encode() + body
        response = await exchange(cluster.ips[0], data)
        assert response.startswith(b"HTTP/1.1 200")
        assert cluster.runs == ["r1"]

    run_scenario(scenario)


def test_daemon_serves_after_random_corruption_of_heads():
    async def scenario(cluster):
        generator = random.Random(FUZZ_SEED)
        for _ in range(60):
            data = bytearray(GOOD_HEAD)
            for _ in range(generator.randint(1, 12)):
                data[generator.randrange(len(data))] = generator.randrange(256)
            await exchange(cluster.ips[0], bytes(data), timeout_s=0.1)
        response = await cluster.call(cluster.ips[0], "after")
        assert response.status == 200
        assert response.body == b"answer to after"

    run_scenario(scenario)


def test_daemon_serves_after_random_datagrams():
    async def scenario(cluster):
        generator = random.Random(FUZZ_SEED)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for _ in range(200):
                data = generator.randbytes(generator.randint(0, 200))
                sender.sendto(data, (cluster.ips[0], INTERNAL_PORT))
        await asyncio.sleep(0.2)
        assert (await cluster.call(cluster.ips[0], "after")).status == 200

    run_scenario(scenario, vms=2)


def test_slow_head_is_answered_with_408():
    async def scenario(cluster):
        slow = await exchange(cluster.ips[0], b"GET /read/1 HT", timeout_s=7.0)
        assert slow.startswith(b"HTTP/1.1 408")

    run_scenario(scenario)


def test_caller_that_stops_reading_does_not_delay_others():
    async def scenario(cluster):
        _, writer = await asyncio.open_connection(cluster.ips[0], CALLERS_PORT)
        for number in range(20):
            writer.write(GOOD_HEAD.replace(b"good", b"g%d" % number))
        responses = await asyncio.gather(
            *[cluster.call(cluster.ips[0], f"r{n}") for n in range(8)]
        )
        assert [response.status for response in responses] == [200] * 8
        writer.transport.abort()

    run_scenario(scenario)
