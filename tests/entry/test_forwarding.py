"""Test that responses are forwarded completely, cancellation and several attempts."""

import asyncio

import pytest

from sesamespring.decisions.messages import AttemptResult
from tests.entry.support import WHOLE, answering, entry_with, request, run

PIECE = b"x" * 65_536


def answer_of(target_answer, caller_request=None, **options):
    async def scenario():
        async with entry_with(answering(target_answer), **options) as entry:
            return await entry.send_raw(caller_request or request()), entry

    return run(scenario())


@pytest.mark.parametrize(
    ("answer", "method", "expected"),
    [
        (WHOLE, "GET", b"\r\n\r\nwhole"),
        (b"HTTP/1.1 100 Continue\r\n\r\n" + WHOLE, "GET", b"\r\n\r\nwhole"),
        (b"HTTP/1.1 204 No Content\r\n\r\n", "GET", b"204"),
        (b"HTTP/1.1 304 Not Modified\r\n\r\n", "GET", b"304"),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", "HEAD", b"length: 5\r\n"),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"5\r\nwhole\r\n0\r\n\r\n",
            "GET",
            b"5\r\nwhole\r\n0\r\n\r\n",
        ),
        (b"HTTP/1.1 500 No\r\nContent-Length: 1\r\n\r\n!", "GET", b"\r\n\r\n!"),
    ],
)
def test_forwards_complete_responses(answer, method, expected):
    received, entry = answer_of(answer, request(method))
    assert expected in received
    assert entry.runner.results()[0] in (AttemptResult.ANSWERED, AttemptResult.FAILED)


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\nzz\r\n",
        b"HTTP/1.1 200 OK\r\n\r\nends with the connection",
        b"HTTP/1.0 200 OK\r\n\r\nends with the connection",
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"1\r\nx\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Le",
        b"nonsense\r\n\r\n",
        b"",
    ],
)
def test_truncated_response_is_never_terminated_as_complete(answer):
    received, entry = answer_of(answer)
    head, _, body = received.partition(b"\r\n\r\n")
    refused = b"502" in head and b"Sesamespring-Outcome: unknown" in head
    short = b"content-length: 50" in head and len(body) < 50
    unended = b"chunked" in head.lower() and not body.endswith(b"0\r\n\r\n")
    assert refused or short or unended
    assert entry.runner.results() == [AttemptResult.CUT_OFF]


def test_first_response_head_wins_and_the_other_attempt_is_cancelled():
    closed = asyncio.Event()

    async def silent(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        assert await reader.read(-1) == b""
        closed.set()

    async def scenario():
        async with entry_with(silent, answering(WHOLE)) as entry:
            received = await entry.send_raw(request())
            await closed.wait()
            return received, entry.runner.ends

    received, ends = run(scenario())
    assert received.endswith(b"whole")
    assert sorted(ends) == sorted(
        [(0, AttemptResult.CANCELLED), (1, AttemptResult.ANSWERED)]
    )


def test_attempt_is_cancelled_when_the_caller_disconnects():
    started = asyncio.Event()
    closed = asyncio.Event()

    async def silent(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        started.set()
        await reader.read(-1)
        closed.set()

    async def scenario():
        async with entry_with(silent, deadline_ms=600_000) as entry:
            _, writer = await entry.connect()
            writer.write(request("POST", body=b"swap"))
            await started.wait()
            writer.close()
            await closed.wait()
            await entry.runner.withdrawn.wait()
            return entry.runner.results()

    assert run(scenario()) == [AttemptResult.CANCELLED]


def test_queued_request_is_withdrawn_when_the_caller_disconnects():
    async def scenario():
        async with entry_with() as entry:
            _, writer = await entry.connect()
            writer.write(request())
            writer.write_eof()
            await entry.runner.withdrawn.wait()

    run(scenario())


def test_aborted_upload_is_not_counted_as_failure_of_the_target():
    async def swallow(reader, writer):
        await reader.read(-1)

    async def scenario():
        async with entry_with(swallow) as entry:
            _, writer = await entry.connect()
            writer.write(request("POST", "Content-Length: 1000000\r\n") + PIECE)
            await writer.drain()
            writer.close()
            await entry.runner.withdrawn.wait()
            while entry.connections.count:
                await asyncio.sleep(0.01)
            return entry.runner.results()

    assert run(scenario()) == [AttemptResult.CANCELLED]


def test_outcome_is_unknown_if_the_deadline_passes_after_sending():
    async def silent(reader, writer):
        await reader.read(-1)

    async def scenario():
        async with entry_with(silent, deadline_ms=100) as entry:
            return await entry.send_raw(request("POST", body=b"swap"))

    received = run(scenario())
    assert b"504" in received and b"Sesamespring-Outcome: unknown" in received


def test_early_response_to_an_upload_is_forwarded_completely():
    async def scenario():
        async with entry_with(answering(WHOLE, ends=False)) as entry:
            reader, writer = await entry.connect()
            head = request("POST", "Content-Length: 67108864\r\n", close=False)
            writer.write(head + PIECE)
            return await reader.read(-1), entry.runner.results()

    received, results = run(scenario())
    assert received.endswith(b"\r\n\r\nwhole")
    assert b"connection: close" in received.lower()
    assert results == [AttemptResult.ANSWERED]


def test_upload_is_not_buffered_completely():
    """The bytes read from the caller but not yet by the target are bounded."""
    size = 64 * 1024 * 1024
    gate = asyncio.Event()

    async def slow(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        await gate.wait()
        left = size
        while left:
            left -= len(await reader.read(1 << 20))
        writer.write(WHOLE)
        await writer.drain()

    async def scenario():
        async with entry_with(slow, deadline_ms=20_000) as entry:
            reader, writer = await entry.connect()
            writer.write(request("POST", f"Content-Length: {size}\r\n"))
            sent = 0
            while sent < size:
                writer.write(PIECE)
                sent += len(PIECE)
                try:
                    async with asyncio.timeout(None if gate.is_set() else 0.5):
                        await writer.drain()
                except TimeoutError:
                    stalled_at = sent
                    gate.set()
            return stalled_at, await reader.read(-1)

    stalled_at, received = run(scenario())
    # This includes the kernel's buffers of four sockets.
    assert stalled_at < 32 * 1024 * 1024
    assert received.endswith(b"whole")


def test_expect_100_continue_gets_an_interim_response():
    async def swallow(reader, writer):
        await reader.readexactly(100_000)
        writer.write(WHOLE)
        await reader.read(-1)

    async def scenario():
        async with entry_with(swallow) as entry:
            reader, writer = await entry.connect()
            head = "Content-Length: 100000\r\nExpect: 100-continue\r\n"
            writer.write(request("POST", head))
            interim = await reader.readuntil(b"\r\n\r\n")
            writer.write(b"x" * 100_000)
            return interim, await reader.read(-1)

    interim, received = run(scenario())
    assert interim.startswith(b"HTTP/1.1 100")
    assert received.endswith(b"whole")


def test_late_bytes_on_an_idle_connection_are_not_the_response_to_another_request():
    connections = []

    async def talkative(reader, writer):
        connections.append(writer)
        await reader.readuntil(b"\r\n\r\n")
        writer.write(WHOLE)
        await asyncio.sleep(0.05)
        writer.write(WHOLE.replace(b"whole", b"other"))
        await reader.read(-1)

    async def scenario():
        async with entry_with(talkative) as entry:
            first = await entry.send_raw(request())
            await asyncio.sleep(0.15)
            return first, await entry.send_raw(request())

    first, second = run(scenario())
    assert first.endswith(b"whole") and second.endswith(b"whole")
    assert len(connections) == 2


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_request_is_sent_again_if_the_target_closes_the_idle_connection(method):
    """It is closed as the next request arrives, before any response byte."""
    connections = []

    async def closing(reader, writer):
        connections.append(writer)
        await reader.readuntil(b"\r\n\r\n")
        writer.write(WHOLE)
        await reader.readuntil(b"\r\n\r\n")

    async def scenario():
        async with entry_with(closing) as entry:
            await entry.send_raw(request())
            return await entry.send_raw(request(method)), entry.runner.results()

    second, results = run(scenario())
    assert second.endswith(b"whole")
    assert results == [AttemptResult.ANSWERED] * 2
    assert len(connections) == 2


def test_shutdown_completes_the_exchange_and_sends_connection_close():
    gate = asyncio.Event()

    async def late(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        await gate.wait()
        writer.write(WHOLE)
        await reader.read(-1)

    async def scenario():
        async with entry_with(late) as entry:
            idle, _ = await entry.connect()
            reader, writer = await entry.connect()
            writer.write(request(close=False))
            while not entry.runner.arrived:
                await asyncio.sleep(0.01)
            entry.connections.stop()
            assert await idle.read(-1) == b""
            gate.set()
            return await reader.read(-1)

    received = run(scenario())
    assert received.endswith(b"whole")
    assert b"connection: close" in received.lower()
