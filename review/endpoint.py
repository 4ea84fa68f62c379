"""Stand-in of an endpoint, as the users' protocol page describes it."""

import asyncio
import contextlib
import time

__all__ = ["Endpoint"]

HEALTH_PATH = "/health"
QUEUE = 6
ENDLESS_BLOCK_BYTES = 64 * 1024


class Endpoint:
    """An endpoint with slots and a short queue.

    How long a request takes is stated in its path: ``/anything/work-250`` takes 250 ms.

    Args:
        name: Its id in the store.
        slots: Number of requests that it runs at once.
        record: The Record of the case.

    Attributes:
        address: Pair of IP and port.
        runs: Dict of the time at which it began to run a request, by request id.
        cold_until_s: Time until which it is cold.
        on_crash: Function that is called with it after its crash.
        crashed_by: Value of Authorization of the requests that crash it.
        endless_body: Bytes that it repeats in the body of its answers, or None.
    """

    def __init__(self, name, slots, record):
        self.name = name
        self.slots = slots
        self.address = None
        self.runs = {}
        self.cold_until_s = 0.0
        self.on_crash = lambda endpoint: None
        self.crashed_by = None
        self.endless_body = None
        self._record = record
        self._free = asyncio.Semaphore(slots)
        self._waiting = 0
        self._running = 0
        self._server = None
        self._writers = set()

    async def start(self, ip):
        """Listen on a free port of ``ip``."""
        self._server = await asyncio.start_server(self._serve, ip, 0)
        self.address = self._server.sockets[0].getsockname()

    def close(self):
        """Stop listening and abort all connections."""
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    @property
    def cold_left_ms(self):
        """How much longer it is cold, in milliseconds."""
        return max(0, round((self.cold_until_s - time.monotonic()) * 1000))

    def become_cold(self, seconds):
        """Be cold for some seconds from now on."""
        self.cold_until_s = time.monotonic() + seconds

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(OSError):
                writer.close()

    async def _serve_one(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        _, path, _ = lines[0].split(" ")
        fields = {}
        for line in filter(None, lines[1:]):
            name, _, value = line.partition(":")
            fields[name.lower()] = value.strip()
        await _read_body(reader, fields)
        if path == HEALTH_PATH:
            headers = {"Sesamespring-Instance-Id": self.name}
            if self.cold_left_ms:
                headers["Sesamespring-Warmup-Ms"] = str(self.cold_left_ms)
            return await self._send(writer, 200, headers, b"")
        if fields.get("sesamespring-expect-instance", self.name) != self.name:
            headers = {"Sesamespring-Instance-Id": self.name}
            return await self._send(writer, 421, headers, b"")
        request_id = fields["sesamespring-request-id"]
        headers = {"Sesamespring-Request-Id": request_id}
        if self._is_fatal(fields):
            self.runs[request_id] = time.monotonic()
            self.close()
            self._record.write("crash", endpoint=self.name, request=request_id)
            self.on_crash(self)
            return False
        if self._free.locked() and self._waiting >= QUEUE:
            headers["Sesamespring-Not-Executed"] = "1"
            return await self._send(writer, 503, headers, b"")
        if not await self._run(reader, request_id, path):
            return False
        headers["Sesamespring-Server-Stamp"] = f"stamp-{self.name}"
        if self.endless_body is not None:
            lines = [
                "HTTP/1.1 200 X",
                "Transfer-Encoding: chunked",
                *(f"{k}: {v}" for k, v in headers.items()),
            ]
            head = "\r\n".join(lines).encode() + b"\r\n\r\n"
            return await _repeat(writer, head, self.endless_body)
        body = f"answer to {request_id}".encode()
        return await self._send(writer, 200, headers, body)

    def _is_fatal(self, fields):
        caller = fields.get("authorization")
        return caller is not None and caller == self.crashed_by

    async def _run(self, reader, request_id, path):
        """Run a request; return whether its connection is still open at the end."""
        self._waiting += 1
        async with self._free:
            self._waiting -= 1
            self._running += 1
            self.runs[request_id] = time.monotonic()
            self._record.write("run", request=request_id, endpoint=self.name, path=path)
            work_s = int(path.rpartition("work-")[2] or 10) / 1000
            closed = asyncio.ensure_future(reader.read(1))
            done, _ = await asyncio.wait((closed,), timeout=work_s)
            self._running -= 1
            if done:
                self._record.write("run-dropped", request=request_id)
                return False
            closed.cancel()
            await asyncio.wait((closed,))
            self._record.write("run-ended", request=request_id)
            return True

    async def _send(self, writer, status, headers, body):
        load = f"{self._running},{self._waiting},{self.slots},100"
        headers = {
            "Content-Length": str(len(body)),
            "Sesamespring-Server-Load": load,
            "Keep-Alive": "timeout=10",
            **headers,
        }
        lines = [f"HTTP/1.1 {status} X", *(f"{k}: {v}" for k, v in headers.items())]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await writer.drain()
        return True


async def _repeat(writer, start, part):
    """Write ``part`` again and again until the caller closes the connection."""
    writer.write(start)
    block = part * (ENDLESS_BLOCK_BYTES // len(part))
    while True:
        writer.write(block)
        await writer.drain()


async def _read_body(reader, fields):
    if fields.get("transfer-encoding") != "chunked":
        await reader.readexactly(int(fields.get("content-length", 0)))
        return
    while size := int(await reader.readline(), 16):
        await reader.readexactly(size + 2)
    await reader.readline()
