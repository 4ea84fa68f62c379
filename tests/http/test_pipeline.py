"""Test the order and the end of pipelined requests on a caller's connection."""

import asyncio
from unittest import mock

import h11
import pytest

from sesamespring.gateway.callers.caller_connections import CallerConnections
from tests.loopback import loopback_ip

HOST = loopback_ip(0, 1)
READ_TIMEOUT_S = 3.0


class Served:
    """Requests that the test answers one by one, by path."""

    def __init__(self):
        self.requests = {}
        self._answers = {}

    def finish(self, path):
        """Let the response to a request be sent."""
        self._answers[path].set()

    async def handle(self, incoming):
        self.requests[incoming.target] = incoming
        answer = self._answers.setdefault(incoming.target, asyncio.Event())
        await answer.wait()
        incoming.send_whole(200, [], incoming.target.encode())

    async def until_handled(self, path):
        while path not in self.requests:
            await asyncio.sleep(0.005)


def run(scenario):
    """Run ``scenario(connections, served, reader, writer)`` on a connection."""

    async def main():
        served = Served()
        connections = CallerConnections(served.handle, 10)
        await connections.listen((HOST, 0))
        port = connections._socket.getsockname()[1]
        reader, writer = await asyncio.open_connection(HOST, port)
        async with asyncio.timeout(READ_TIMEOUT_S):
            await scenario(connections, served, reader, writer)
        writer.close()
        connections.close()

    asyncio.run(main())


def head(path, *fields):
    return "\r\n".join([f"GET {path} HTTP/1.1", "Host: h", *fields, "", ""]).encode()


async def read_all(reader):
    """Return the bodies of the responses until the connection ends."""
    state = h11.Connection(h11.CLIENT)
    data = await reader.read()
    bodies = []
    while data:
        state = h11.Connection(h11.CLIENT)
        state.send(h11.Request(method="GET", target="/", headers=[("Host", "h")]))
        state.send(h11.EndOfMessage())
        state.receive_data(data)
        body = b""
        while not isinstance(event := state.next_event(), h11.EndOfMessage):
            assert event is not h11.NEED_DATA
            body += bytes(event.data) if isinstance(event, h11.Data) else b""
        bodies.append(body.decode())
        data = state.trailing_data[0]
    return bodies


def test_request_behind_a_held_response_is_answered_at_a_stop():
    async def scenario(connections, served, reader, writer):
        writer.write(head("/a") + head("/b"))
        await served.until_handled("/b")
        connections.stop()
        served.finish("/b")
        await asyncio.sleep(0.05)
        writer.write(head("/c"))
        await served.until_handled("/c")
        served.finish("/a")
        await asyncio.sleep(0.05)
        served.finish("/c")
        assert await read_all(reader) == ["/a", "/b", "/c"]

    run(scenario)


def test_request_behind_a_response_that_closes_is_not_read():
    async def scenario(connections, served, reader, writer):
        writer.write(head("/a"))
        await served.until_handled("/a")
        connections.stop()
        served.requests["/a"].send_head(200, [("Content-Length", "1")])
        writer.write(head("/b"))
        await asyncio.sleep(0.05)
        assert "/b" not in served.requests
        served.requests["/a"].send_data(b"x")
        served.requests["/a"].send_end()
        assert await read_all(reader) == ["x"]

    run(scenario)


def test_caller_that_always_sends_ahead_does_not_keep_its_connection_open():
    async def scenario(connections, served, reader, writer):
        writer.write(head("/0") + head("/1"))
        await served.until_handled("/1")
        connections.stop()
        connections.stop_accepting()
        for number in range(20):
            writer.write(head(f"/{number + 2}"))
            if f"/{number}" in served.requests:
                served.finish(f"/{number}")
            await asyncio.sleep(0.01)
        assert await read_all(reader) == ["/0", "/1"]
        assert list(served.requests) == ["/0", "/1"]

    run(scenario)


def test_connection_without_a_request_takes_its_last_one():
    async def scenario(connections, served, reader, writer):
        await asyncio.sleep(0.05)
        connections.stop()
        connections.stop_accepting()
        writer.write(head("/a") + head("/b"))
        await served.until_handled("/a")
        served.finish("/a")
        assert await read_all(reader) == ["/a"]
        assert list(served.requests) == ["/a"]

    run(scenario)


def test_response_is_whole_although_the_caller_goes_on_sending():
    async def scenario(connections, served, reader, writer):
        writer.write(head("/a"))
        await served.until_handled("/a")
        connections.stop()
        served.requests["/a"].send_whole(200, [], b"x" * 300_000)
        for _ in range(20):
            writer.write(head("/b"))
            await asyncio.sleep(0.01)
        assert await read_all(reader) == ["x" * 300_000]
        assert list(served.requests) == ["/a"]

    run(scenario)


def test_handler_that_fails_leaves_no_caller_without_an_answer():
    async def scenario(connections, served, reader, writer):
        async def fail(incoming):
            raise OverflowError("odd")

        with mock.patch.object(connections, "_handle", fail):
            writer.write(head("/a", "Connection: close"))
            data = await reader.read()
        assert data.startswith(b"HTTP/1.1 500")

    run(scenario)


@pytest.mark.parametrize("count", [40, 3000])
def test_body_in_tiny_chunks_is_read_in_turns(count):
    async def scenario(connections, served, reader, writer):
        calls = []
        most = 0
        original = h11.Connection.next_event

        def next_event(state):
            calls.append(1)
            return original(state)

        async def watch():
            nonlocal most
            while True:
                most = max(most, len(calls))
                calls.clear()
                await asyncio.sleep(0)

        body = b"".join(b"1\r\nx\r\n" for _ in range(count)) + b"0\r\n\r\n"
        fields = "Transfer-Encoding: chunked", "Connection: close"
        with mock.patch.object(h11.Connection, "next_event", next_event):
            watching = asyncio.ensure_future(watch())
            writer.write(head("/a", *fields) + body)
            await served.until_handled("/a")
            pieces = [piece async for piece in served.requests["/a"].iter_body()]
            watching.cancel()
        assert b"".join(pieces) == b"x" * count
        assert most < 200
        served.finish("/a")
        assert await read_all(reader) == ["/a"]

    run(scenario)


def test_address_with_most_connections_makes_room_for_another():
    async def main():
        served = Served()
        connections = CallerConnections(served.handle, 3)
        await connections.listen((HOST, 0))
        port = connections._socket.getsockname()[1]
        async with asyncio.timeout(READ_TIMEOUT_S):
            crowd = []
            for _ in range(3):
                crowd.append(await asyncio.open_connection(HOST, port))
                crowd[-1][1].write(head("/a")[:-2])
            await asyncio.sleep(0.1)
            other = (loopback_ip(0, 2), 0)
            reader, writer = await asyncio.open_connection(HOST, port, local_addr=other)
            writer.write(head("/b"))
            await served.until_handled("/b")
            served.finish("/b")
            assert (await reader.readline()).startswith(b"HTTP/1.1 200")
        for _, opened in (*crowd, (reader, writer)):
            opened.transport.abort()
        connections.close()

    asyncio.run(main())
