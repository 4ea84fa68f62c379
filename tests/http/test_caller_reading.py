"""Test that a caller's connection is read again after each pause, in each order."""

import asyncio
from unittest import mock

import pytest

from sesamespring.gateway.callers.caller_connections import CallerConnections
from sesamespring.http.incoming import BODY_BUFFER_BYTES
from sesamespring.http.pipeline import LINGER_S, PIPELINED_MAX, READ_BYTES, ServerLimits
from sesamespring.http.turns import EVENTS_PER_TURN
from tests.loopback import loopback_ip

HOST = loopback_ip(0, 4)
TIMEOUT_S = 3.0
HEAD_BYTES_MAX = 2 * READ_BYTES


def run(scenario, handle):
    """Run ``scenario(connections, reader, writer)`` on a connection.

    Args:
        scenario: Coroutine function.
        handle: Coroutine function that responds to an IncomingRequest.
    """

    async def main():
        limits = ServerLimits(HEAD_BYTES_MAX, 1.0, 15.0)
        connections = CallerConnections(handle, 10, lambda: limits)
        await connections.listen((HOST, 0))
        port = connections._socket.getsockname()[1]
        reader, writer = await asyncio.open_connection(HOST, port)
        try:
            async with asyncio.timeout(TIMEOUT_S):
                await scenario(connections, reader, writer)
        finally:
            writer.transport.abort()
            connections.close()

    asyncio.run(main())


def head(method, *fields):
    return "\r\n".join([f"{method} / HTTP/1.1", "Host: h", *fields, "", ""]).encode()


def chunked(pieces):
    framed = [b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces]
    return b"".join(framed) + b"0\r\n\r\n"


async def respond_with_size_later(incoming):
    """Take the body only after it has filled its buffer; answer with its size."""
    await asyncio.sleep(0.1)
    size = 0
    async for piece in incoming.iter_body():
        size += len(piece)
    incoming.send_whole(200, [], b"%d" % size)


async def respond(incoming):
    incoming.send_whole(200, [], b"x")


def check_upload(request, size):
    async def scenario(connections, reader, writer):
        for _ in range(2):
            writer.write(request)
            response = await reader.readuntil(b"\r\n\r\n")
            assert response.startswith(b"HTTP/1.1 200")
            assert await reader.readexactly(len(str(size))) == b"%d" % size

    run(scenario, respond_with_size_later)


# An upload was never at its end if its last bytes filled the buffer before they were
# taken: its target waited for the rest (CONFIG, LOST).
@pytest.mark.parametrize("more_bytes", [-READ_BYTES, -1, 0, 1, 1000, READ_BYTES])
@pytest.mark.parametrize("buffers", [1, 2])
def test_upload_that_fills_its_buffer_has_an_end(buffers, more_bytes):
    size = buffers * BODY_BUFFER_BYTES + more_bytes
    body = b"x" * size
    check_upload(head("POST", f"Content-Length: {size}") + body, size)


# The same in chunks: what the parser had left when the buffer was full held the end.
@pytest.mark.parametrize("chunk_bytes", [31, 5000, READ_BYTES, 100_000])
@pytest.mark.parametrize("more_bytes", [0, 1, 40_000])
def test_upload_in_chunks_that_fills_its_buffer_has_an_end(chunk_bytes, more_bytes):
    size = BODY_BUFFER_BYTES + more_bytes
    whole = b"x" * size
    pieces = [whole[i : i + chunk_bytes] for i in range(0, size, chunk_bytes)]
    request = head("POST", "Transfer-Encoding: chunked") + chunked(pieces)
    check_upload(request, size)


# A head of over 64 KB was never read, though the limit allows it: 408.
@pytest.mark.parametrize("more_bytes", [-200, -1, 0, 1, 1000, READ_BYTES - 2000])
def test_large_head_within_the_limit_is_read(more_bytes):
    async def scenario(connections, reader, writer):
        for _ in range(2):
            field = "X: " + "x" * (READ_BYTES + more_bytes)
            writer.write(head("GET", field))
            response = await reader.readuntil(b"\r\n\r\nx")
            assert response.startswith(b"HTTP/1.1 200")

    run(scenario, respond)


# It is bounded all the same.
@pytest.mark.parametrize("size", [HEAD_BYTES_MAX, 4 * HEAD_BYTES_MAX])
def test_head_over_the_limit_is_refused(size):
    async def scenario(connections, reader, writer):
        writer.write(head("GET", "X: " + "x" * size))
        response = await reader.readuntil(b"\r\n\r\n")
        assert response.startswith(b"HTTP/1.1 431")

    run(scenario, respond)


class Requests:
    """Requests whose responses the test sends; their bodies are not taken."""

    def __init__(self):
        self.all = []

    async def handle(self, incoming):
        self.all.append(incoming)
        await asyncio.Event().wait()

    async def until(self, count):
        while len(self.all) < count:
            await asyncio.sleep(0.005)


# The rest of an upload that was refused was not read to its end, as the timer of a turn
# stopped it: its caller met a reset. A turn ends here where the buffer is full.
@pytest.mark.parametrize("more_chunks", [-1, 0, 1])
def test_refused_upload_is_read_although_its_buffer_was_full(more_chunks):
    chunk = b"1f\r\n%s\r\n" % (b"x" * 31)
    chunks = EVENTS_PER_TURN - 1 + more_chunks

    async def scenario(connections, reader, writer):
        writer.write(head("POST", "Transfer-Encoding: chunked") + chunk * (chunks + 9))
        await asyncio.sleep(0.05)
        writer.transport.set_write_buffer_limits(high=0)
        writer.write(chunk * 500_000)
        await asyncio.wait_for(writer.drain(), LINGER_S - 0.1)
        assert (await reader.read()).startswith(b"HTTP/1.1 200")

    name = "sesamespring.http.incoming.BODY_BUFFER_BYTES"
    with mock.patch(name, chunks * 31):
        run(scenario, respond)


# A caller that leaves was not noticed while requests behind those in progress filled
# what is read ahead, although they were not to be read any more.
def test_caller_that_leaves_at_a_stop_is_noticed_behind_requests_sent_ahead():
    requests = Requests()

    async def scenario(connections, reader, writer):
        large = head("GET", "X: " + "x" * 4000)
        writer.write(large * (PIPELINED_MAX + 2 * READ_BYTES // len(large)))
        await asyncio.sleep(0.1)
        connections.stop()
        connections.stop_accepting()
        writer.transport.abort()
        count = len(requests.all)
        assert count > 1
        while not all(request.disconnected for request in requests.all):
            await asyncio.sleep(0.01)
        assert len(requests.all) == count

    run(scenario, requests.handle)


# Each response to an earlier request let the full buffer of an upload grow.
def test_upload_behind_other_requests_stays_within_its_buffer():
    requests = Requests()
    earlier = 20

    async def scenario(connections, reader, writer):
        writer.write(head("GET") * earlier)
        writer.write(head("POST", "Content-Length: 10000000") + b"x" * 5_000_000)
        await requests.until(earlier + 1)
        await asyncio.sleep(0.1)
        for request in requests.all[:earlier]:
            request.send_whole(200, [], b"")
            await asyncio.sleep(0.005)
        upload = requests.all[earlier]
        assert upload._body_bytes < BODY_BUFFER_BYTES + READ_BYTES

    run(scenario, requests.handle)
