"""Test callers that do not read, or upload more than there is memory for."""

import asyncio
import contextlib
import socket

import attrs

from sesamespring.gateway.callers.bodies import StreamedBody
from sesamespring.http.incoming import CallerDisconnected
from tests.gateway.cluster import (
    CALLERS_PORT,
    HOST,
    Cluster,
    configuration,
    read_response,
    request_bytes,
    route,
)
from tests.gateway.test_forwarding import run_scenario

KB = 1024
UPLOAD = b"u" * (400 * KB)
PIPELINED = 60


def request(request_id, path="/read/1", method="GET", body=b"", timeout_ms=9000):
    headers = {
        "Host": HOST,
        "Sesamespring-Request-Id": request_id,
        "Sesamespring-Deadline-Ms": str(timeout_ms),
    }
    return request_bytes(path, method, headers, body)


@contextlib.asynccontextmanager
async def connection(ip):
    """Connect with little room for what is not read; yields reader and writer."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 * KB)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, (ip, CALLERS_PORT))
    reader, writer = await asyncio.open_connection(sock=sock, limit=KB)
    try:
        yield reader, writer
    finally:
        writer.transport.abort()


async def until_true(condition):
    while not condition():
        await asyncio.sleep(0.01)


async def until_unchanged(value):
    """Wait until a function returns the same value for half a second."""
    last = None
    while last != value():
        last = value()
        await asyncio.sleep(0.5)


def test_requests_behind_an_unread_response_start_when_it_is_read():
    async def scenario(cluster):
        for target in cluster.targets:
            target.padding = b"x" * (200 * KB)
        changed = configuration(2)
        changed["limits"]["headerTimeoutMs"] = 200
        await cluster.store.put("op", "config", changed)
        await asyncio.sleep(0.5)
        async with connection(cluster.ips[0]) as (reader, writer):
            for number in range(PIPELINED):
                writer.write(request(f"r{number}"))
            await until_unchanged(lambda: len(cluster.runs))
            assert 0 < len(cluster.runs) < PIPELINED
            for number in range(PIPELINED):
                response = await read_response(reader)
                assert response.status == 200
                assert response.body.startswith(b"answer to r%d" % number)
        assert len(set(cluster.runs)) == PIPELINED

    run_scenario(scenario)


def test_response_that_stays_unread_gives_its_slot_back():
    async def scenario(cluster):
        target = cluster.targets[0]
        target.padding = b"x" * (24_000 * KB)
        reads = route("read", timeoutMs=9000)
        changed = configuration(2, {"read": reads})
        changed["limits"]["idleTimeoutMs"] = 600
        await cluster.store.put("op", "config", changed)
        await asyncio.sleep(0.5)
        async with connection(cluster.ips[0]) as (_, writer):
            writer.write(request("unread"))
            await until_true(lambda: "unread" in target.finished)
            target.padding = b""
            # Its only slot is taken for 9 s, unless it is given back.
            response = await cluster.call(cluster.ips[0], "r1", timeout_ms=6000)
            assert response.status == 200

    run_scenario(scenario, targets=1, slots=1)


class SmallVms(Cluster):
    """A cluster whose VMs have memory for one kept upload."""

    def settings(self, ip):
        return attrs.evolve(super().settings(ip), memory_bytes=8 * KB * KB)


def test_upload_without_memory_is_refused_and_never_run():
    async def scenario():
        async with SmallVms() as cluster, asyncio.timeout(30):
            ip = cluster.ips[0]
            for target in cluster.targets:
                target.service_time_s = 1.0

            async def upload(request_id):
                options = {"method": "POST", "body": UPLOAD, "timeout_ms": 2000}
                return await cluster.call(ip, request_id, "/write/1", **options)

            first = asyncio.ensure_future(upload("first"))
            await until_true(lambda: "first" in cluster.runs)
            second = await upload("second")
            assert second.status == 503
            assert float(second.headers["retry-after"]) > 0
            assert (await first).status == 200
            assert (await upload("third")).status == 200
            assert cluster.runs == ["first", "third"]

    asyncio.run(scenario())


def test_uploads_sent_ahead_are_all_answered_and_run_once():
    async def scenario(cluster):
        async with connection(cluster.ips[0]) as (reader, writer):
            for number in range(8):
                writer.write(request(f"r{number}", "/write/1", "POST", UPLOAD))
            statuses = [(await read_response(reader)).status for _ in range(8)]
            assert statuses == [200] * 8
        assert sorted(cluster.runs) == [f"r{number}" for number in range(8)]

    run_scenario(scenario)


def test_time_in_which_a_caller_sends_nothing_is_known():
    async def rest(caller_leaves):
        yield b"a"
        await asyncio.sleep(0.2)
        if caller_leaves:
            raise CallerDisconnected
        yield b"b"

    async def scenario(caller_leaves):
        body = StreamedBody(b"s", rest(caller_leaves), 10)
        with contextlib.suppress(CallerDisconnected):
            async for _ in body.pieces():
                await asyncio.sleep(0.2)
        assert 0.2 <= body.waited_s < 0.4

    asyncio.run(scenario(False))
    asyncio.run(scenario(True))
