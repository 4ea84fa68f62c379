"""Stand in for a target on the platform, with answers that go wrong on demand."""

import asyncio
import contextlib
import time

import attrs

__all__ = ["Arrival", "PlatformTarget", "ReceivedRequest"]

# How long an early answer comes before the rest of the body is read.
EARLY_READ_S = 0.1


@attrs.frozen
class Arrival:
    """A request that reached a target.

    Attributes:
        at_s: Time of its arrival, on the monotonic clock.
        request_id: The id that the caller gave.
        accepted: Whether the target ran it.
    """

    at_s: float
    request_id: str
    accepted: bool


@attrs.define
class ReceivedRequest:
    """A request that a target began to run.

    Attributes:
        request_id: The id that the caller gave.
        method: HTTP method.
        target: Request target.
        body: Its body.
        left_ms: How long the sender said it may take.
    """

    request_id: str
    method: str
    target: str
    body: bytes
    left_ms: int


class PlatformTarget:
    """A target on a loopback address.

    Attributes:
        work_s: How long it works on a request.
        slots: How many it runs at once; more are rejected.
        choose_fault: Function that is called with the ReceivedRequest and returns the
            fault to inject into its response, or None for a correct response:
            ``reset``, ``truncate``, ``unsigned``, ``fail``, ``unframed``, ``extra``,
            ``other-id``, ``early``, ``silent`` or ``close``.
        received: List of ReceivedRequest that it began to run.
        arrivals: List of Arrival of all requests but health checks and those that
            expected another target.
        overrun: How many requests found no free slot.
        connections: How many connections were opened to it.
        cold_left_ms: What its health check says of cold start.
        slowdown: What it says of its speed.
    """

    def __init__(self, target_id, work_s=0.01, slots=2):
        self.id = target_id
        self.work_s = work_s
        self.slots = slots
        self.choose_fault = lambda received: None
        self.received = []
        self.arrivals = []
        self.finished = []
        self.cancelled = 0
        self.overrun = 0
        self.connections = 0
        self.cold_left_ms = 0
        self.slowdown = 100
        self._running = 0
        self._server = None
        self._writers = set()

    async def start(self, host, port):
        """Listen on an address."""
        self._server = await asyncio.start_server(self._connected, host, port)

    def close(self):
        """Stop listening and drop all connections."""
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _connected(self, reader, writer):
        self.connections += 1
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(ConnectionError):
                writer.close()

    async def _serve_one(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode().split("\r\n")
        method, target, _ = lines[0].split(" ")
        fields = dict(_field(line) for line in lines[1:] if line)
        if target == "/health":
            headers = {"Sesamespring-Instance-Id": self.id}
            if self.cold_left_ms:
                headers["Sesamespring-Warmup-Ms"] = str(self.cold_left_ms)
            return await self._answer(writer, 200, b"", headers)
        if fields.get("sesamespring-expect-instance", self.id) != self.id:
            await _read_body(reader, fields)
            headers = {"Sesamespring-Instance-Id": self.id}
            return await self._answer(writer, 421, b"", headers)
        request_id = fields["sesamespring-request-id"]
        accepted = self._running < self.slots
        self.arrivals.append(Arrival(time.monotonic(), request_id, accepted))
        if not accepted:
            self.overrun += 1
            await _read_body(reader, fields)
            headers = {
                "Sesamespring-Not-Executed": "1",
                "Sesamespring-Request-Id": request_id,
            }
            return await self._answer(writer, 503, b"", headers)
        return await self._run(reader, writer, method, target, fields, request_id)

    async def _run(self, reader, writer, method, target, fields, request_id):
        left_ms = int(fields["sesamespring-deadline-ms"])
        received = ReceivedRequest(request_id, method, target, b"", left_ms)
        fault = self.choose_fault(received)
        self._running += 1
        try:
            if fault == "early":
                self.received.append(received)
                await self._answer(writer, 413, b"early", self._signed(request_id))
                await asyncio.sleep(EARLY_READ_S)
                await _read_body(reader, fields)
                return True
            received.body = await _read_body(reader, fields)
            self.received.append(received)
            await self._work(reader)
        finally:
            self._running -= 1
        self.finished.append(request_id)
        return await self._answer_with(fault, writer, request_id)

    async def _work(self, reader):
        """Work for a while; a caller that goes away ends it."""
        gone = asyncio.ensure_future(reader.read(1))
        done, _ = await asyncio.wait((gone,), timeout=self.work_s)
        if done and not gone.result():
            self.cancelled += 1
            raise ConnectionResetError
        gone.cancel()
        # The reader must be free before the next request is read from it.
        await asyncio.wait((gone,))

    async def _answer_with(self, fault, writer, request_id):
        signed = self._signed(request_id)
        body = b"answer to " + request_id.encode()
        if fault == "reset":
            writer.transport.abort()
            return False
        if fault == "silent":
            await asyncio.sleep(3600)
        if fault == "truncate":
            headers = {**signed, "Content-Length": str(len(body) + 10)}
            await self._write(writer, 200, body, headers)
            return False
        if fault == "unframed":
            await self._write(writer, 200, body, signed)
            return False
        if fault == "unsigned":
            return await self._answer(
                writer, 200, body, {"Sesamespring-Request-Id": request_id}
            )
        if fault == "fail":
            return await self._answer(writer, 500, b"failed", signed)
        if fault == "other-id":
            await self._answer(writer, 200, b"stray", self._signed("someone-else"))
        if fault == "close":
            await self._answer(writer, 200, body, {**signed, "Connection": "close"})
            return False
        await self._answer(writer, 200, body, signed)
        if fault == "extra":
            await self._answer(writer, 200, b"extra", signed)
        return True

    def _signed(self, request_id):
        return {
            "Sesamespring-Request-Id": request_id,
            "Sesamespring-Server-Stamp": f"signed-by-{self.id}",
        }

    async def _answer(self, writer, status, body, headers):
        load = f"{self._running},0,{self.slots},{self.slowdown}"
        framed = {
            "Content-Length": str(len(body)),
            "Sesamespring-Server-Load": load,
            "Keep-Alive": "timeout=10",
            **headers,
        }
        await self._write(writer, status, body, framed)
        return True

    async def _write(self, writer, status, body, headers):
        lines = [f"HTTP/1.1 {status} X", *(f"{k}: {v}" for k, v in headers.items())]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await writer.drain()


async def _read_body(reader, fields):
    if fields.get("transfer-encoding") != "chunked":
        return await reader.readexactly(int(fields.get("content-length", 0)))
    body = b""
    while size := int(await reader.readline(), 16):
        body += await reader.readexactly(size)
        await reader.readline()
    await reader.readline()
    return body


def _field(line):
    name, _, value = line.partition(":")
    return name.lower(), value.strip()
