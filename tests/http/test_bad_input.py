"""Test that malformed, oversized and slow requests get 4xx and affect no others."""

import asyncio
import re

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sesamespring.http import exchange, server
from tests.entry.support import WHOLE, answering, entry_with, request

GOOD = request()
CHUNKED = "Transfer-Encoding: chunked\r\n"


def run(coroutine):
    async def bounded():
        async with asyncio.timeout(20):
            return await coroutine

    return asyncio.run(bounded())


def responses_to(*payloads):
    """Return the response to each payload, and all that the target received.

    The target responds to a GET, or to a body that ends with ``abc``.
    """
    received = []

    async def record(reader, writer):
        while data := await reader.read(65_536):
            received.append(data)
            if data.startswith(b"GET") or data.endswith(b"abc"):
                writer.write(WHOLE)

    async def scenario():
        async with entry_with(record) as entry:
            return [await entry.send_raw(payload) for payload in payloads]

    return run(scenario()), b"".join(received)


@pytest.mark.parametrize(
    ("payload", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (b"GET /s/x HTTP/1.1\r\n\r\n", 400),
        (b"GET /s/x HTTP/1.0\r\nHost: h\r\n\r\n", 400),
        (b"GET  /s/x HTTP/1.1\r\nHost: h\r\n\r\n", 400),
        (b"GET /s/x HTTP/1.1\r\nHost : h\r\n\r\n", 400),
        (b"GET http://h/s/x HTTP/1.1\r\nHost: h\r\n\r\n", 400),
        (b"GET * HTTP/1.1\r\nHost: h\r\n\r\n", 400),
        (b"CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n", 400),
        (b"GET /s/x#part HTTP/1.1\r\nHost: h\r\n\r\n", 400),
        (b"GET //s/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", 404),
        (request("POST", "Content-Length: 3\r\n" + CHUNKED), 400),
        (request("POST", "Content-Length: 3\r\nContent-Length: 4\r\n"), 400),
        (request("POST", "Content-Length: -3\r\n"), 400),
        (request("POST", "Content-Length: 3_0\r\n"), 400),
        (request("POST", "Transfer-Encoding: gzip, chunked\r\n"), 400),
        (request("POST", "Transfer-Encoding: xchunked\r\n"), 400),
        (request("POST", CHUNKED + CHUNKED), 400),
        (request("GET", "Request-Timeout-Ms: soon\r\n"), 400),
        (request("GET", "X: " + "x" * 100_000 + "\r\n"), 431),
        (request("GET", "X: 1\r\n" * 10_000), 431),
        (b"x" * 100_000, 431),
    ],
)
def test_bad_requests_get_4xx_and_never_reach_a_target(payload, status):
    (response, later), received = responses_to(payload, GOOD)
    assert response.startswith(b"HTTP/1.1 %d " % status)
    assert b"Sesamespring-Outcome: not-run" in response
    assert later.endswith(b"whole")
    assert received.count(b"HTTP/1.1\r\n") == 1


@pytest.mark.parametrize("size", [b"zz", b"-1", b"0x3", b"1" * 30, b""])
def test_bad_chunk_sizes_never_end_a_body(size):
    payload = request("POST", CHUNKED) + size + b"\r\nabc\r\n0\r\n\r\n"
    (response, later), received = responses_to(payload, GOOD)
    assert response.startswith(b"HTTP/1.1 400 ")
    assert later.endswith(b"whole")
    assert b"\r\n0\r\n\r\n" not in received


def test_folded_headers_and_hop_by_hop_headers_reach_no_target():
    headers = "X-A: 1\r\n folded\r\nConnection: x-b, content-length\r\nX-B: 2\r\n"
    (response,), received = responses_to(request("POST", headers, body=b"abc"))
    assert response.endswith(b"whole")
    assert b"x-a: 1 folded\r\n" in received
    assert b"x-b" not in received and b"content-length: 3" in received


@pytest.mark.parametrize(
    ("start", "module", "limit"),
    [
        (b"GET /s/x HT", server, "HEAD_TIMEOUT_S"),
        (
            request("POST", "Content-Length: 10\r\n") + b"abc",
            exchange,
            "BODY_CHUNK_TIMEOUT_S",
        ),
    ],
)
def test_slow_requests_get_408_and_their_connection_closed(
    monkeypatch, start, module, limit
):
    monkeypatch.setattr(module, limit, 0.1)
    (response,), received = responses_to(start)
    assert response.startswith(b"HTTP/1.1 408 ")
    assert b"Sesamespring-Outcome: not-run" in response
    assert not received


def test_connections_are_limited_and_idle_ones_are_replaced():
    async def scenario():
        async with entry_with(answering(WHOLE), connections_max=3) as entry:
            idle = [await entry.connect() for _ in range(10)]
            response = await entry.send_raw(GOOD)
            count = entry.connections.count
            for _, writer in idle:
                writer.transport.abort()
            return response, count

    response, count = run(scenario())
    assert response.endswith(b"whole")
    assert count <= 3


FRAGMENTS = st.sampled_from(
    [
        b"GET /s/x HTTP/1.1\r\n",
        b"POST /s/x HTTP/1.1\r\n",
        b"GET /.sesamespring/in-force HTTP/1.1\r\n",
        b"POST /.sesamespring/changes HTTP/1.1\r\n",
        b"Host: h\r\n",
        b"Content-Length: 3\r\n",
        b"Content-Length: 99999999999999999999\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"Idempotency-Key: k\r\n",
        b"Request-Timeout-Ms: 50\r\n",
        b"Expect: 100-continue\r\n",
        b"Upgrade: websocket\r\n",
        b"Connection: close\r\n",
        b"\r\n",
        b"3\r\nabc\r\n",
        b"0\r\n\r\n",
        b"\0\xff",
        b" ",
    ]
)
PAYLOADS = st.lists(
    st.lists(FRAGMENTS | st.binary(max_size=20), max_size=12).map(b"".join),
    min_size=20,
    max_size=20,
)


@settings(max_examples=15)
@given(PAYLOADS)
def test_arbitrary_bytes_do_not_affect_other_connections(payloads):
    async def send_and_close(entry, payload):
        reader, writer = await entry.connect()
        writer.write(payload)
        writer.write_eof()
        try:
            response = await reader.read(-1)
        except ConnectionResetError:
            response = b""
        writer.transport.abort()
        return response

    async def scenario():
        async with entry_with(answering(WHOLE)) as entry:
            for payload in payloads:
                response = await send_and_close(entry, payload)
                assert not response or re.match(rb"HTTP/1\.1 [1-5]\d\d ", response)
                assert not re.match(rb"HTTP/1\.1 500 ", response)
            assert (await entry.send_raw(GOOD)).endswith(b"whole")

    run(scenario())
