"""Fake target for the platform's HTTP protocol, with faults in its responses."""

import asyncio
import contextlib
import itertools
import socket
import struct
import time

import attrs

from standins.connections import AcceptedConnections

__all__ = ["Arrival", "PlatformTarget", "ReceivedRequest"]

# Delay between an early response and reading the rest of the request body.
EARLY_BODY_DELAY_S = 0.1
ENDLESS_PART = b"x" * 16_384
ENDLESS_PAUSE_S = 0.005
QUIET_S = 0.05
# Longer than any test.
SILENCE_S = 3600.0


@attrs.frozen
class Arrival:
    """The record of a request that reached a target.

    Attributes:
        at_s: Time of its arrival, on the monotonic clock.
        request_id: The request id that the caller chose.
        accepted: Whether the target ran it; it is rejected if no slot is free.
        client_ip: IP address of the VM that sent it.
        backoff_s: For how long the target asked this VM to back off in its response, in
            seconds, or None.
    """

    at_s: float
    request_id: str
    accepted: bool
    client_ip: str | None = None
    backoff_s: float | None = None


@attrs.define
class ReceivedRequest:
    """A request that a target has started to run.

    Attributes:
        request_id: The request id that the caller chose.
        method: HTTP method.
        target: Request target.
        body: Request body; empty until the target has read it.
        left_ms: Time to the deadline according to the sender, in ms.
        fields: List of pairs of the headers that it got, names in lower case.
    """

    request_id: str
    method: str
    target: str
    body: bytes
    left_ms: int
    fields: list = attrs.field(factory=list)


class PlatformTarget:
    """A target that listens on a loopback address.

    Args:
        target_id: Its identity, which it sends as its instance id.
        service_time_s: Time that it spends on each request, in seconds.
        slots: Number of requests that it runs at once; it rejects more than these.

    Attributes:
        id: As the argument ``target_id``.
        service_time_s: As the argument.
        slots: As the argument.
        choose_fault: Function that is called with the ReceivedRequest and returns the
            fault to inject into its response, or None for a correct response:
            ``reset``, ``truncate``, ``unsigned``, ``fail``, ``unframed``, ``extra``,
            ``other-id``, ``early``, ``silent``, ``close``, ``endless-head``,
            ``endless-body``, ``unframed-end``, which ends the target inside a response
            without length, ``late-copy``, which sends the response again when the
            next request arrives on the connection, ``early-reset``, which sends part of
            a response without length before it has read the request's body, and then
            resets the connection, ``early-close``, which does the same but closes it,
            having read what has arrived so far, or ``status-TEXT``, whose status is
            the text.
        ends_on: Function that is called with the ReceivedRequest and its body, and
            returns whether running it ends the target.
        on_end: Function without arguments that is called when it ends by itself.
        received: List of ReceivedRequest that it has started to run.
        arrivals: List of Arrival of all requests but health checks and those that
            expected another target.
        finished: List of the ids of requests that it has run to the end.
        crashes: List of the times at which requests ended it, on the monotonic clock.
        cancelled: Number of requests whose client disconnected while they ran.
        overrun: Number of requests that arrived while no slot was free.
        connections: Number of connections opened to it so far.
        cold_left_ms: Remaining time of its cold start that its health check reports,
            in ms; 0 when it is warm.
        slowdown: Slowdown that it reports in its load header, in percent.
        padding: Bytes at the end of the body of each response.
        choose_chunk_count: Function without arguments that is called for each correct
            response and returns into how many chunks its body is divided, or 0 if its
            length is stated.
        leaving: Whether it states in each response that it is leaving.
        limit_per_s: Limit on requests per second that it states in each response, as
            the text of a decimal number, or None.
        busy_s: If not None, it rejects each request with 503 and states that it wants
            none for so many seconds.
        sheds: Function without arguments that is called for each request and returns
            whether to reject it although a slot may be free.
        reject_delay_s: Time that it takes to reject a request, in seconds.
        reset_delay_s: Time between the part of a response and the reset of the fault
            ``early-reset``, in seconds.
        health_checks: List of the times at which health checks arrived, on the
            monotonic clock.
        checked_by: List of the IP addresses of the VMs that sent them.
        endless: Whether its health checks get bytes without end.
        unreachable_from: Set of IP addresses of clients whose connections have fallen
            silent: no request is read from them, and no response reaches them.
    """

    def __init__(self, target_id, service_time_s=0.01, slots=2):
        self.id = target_id
        self.service_time_s = service_time_s
        self.slots = slots
        self.choose_fault = lambda received: None
        self.ends_on = lambda received: False
        self.on_end = lambda: None
        self.received = []
        self.arrivals = []
        self.finished = []
        self.crashes = []
        self.cancelled = 0
        self.overrun = 0
        self.connections = 0
        self.cold_left_ms = 0
        self.slowdown = 100
        self.padding = b""
        self.choose_chunk_count = lambda: 0
        self.leaving = False
        self.limit_per_s = None
        self.busy_s = None
        self.sheds = lambda: False
        self.reject_delay_s = 0.0
        self.reset_delay_s = 0.0
        self.health_checks = []
        self.checked_by = []
        self.endless = False
        self.unreachable_from = set()
        self._running = 0
        self._server = None
        self._accepted = None
        self._writers = set()
        self._late_copies = {}

    @property
    def listening(self):
        """Whether it accepts connections."""
        return self._server is not None and self._server.is_serving()

    async def start(self, host, port):
        """Listen on an address."""
        self._accepted = AcceptedConnections(self._serve_connection)
        self._server = await asyncio.start_server(self._accepted, host, port)

    def end(self):
        """End as a crashed process does, and record the time."""
        self.crashes.append(time.monotonic())
        self.close()
        self.on_end()

    def close(self):
        """Stop listening and abort all connections."""
        self._server.close()
        self._accepted.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    def reset_connections(self, client_ip):
        """Abort all connections of a client."""
        for writer in tuple(self._writers):
            if _client_ip(writer) == client_ip:
                writer.transport.abort()

    async def _serve_connection(self, reader, writer):
        self.connections += 1
        self._writers.add(writer)
        try:
            while await self._serve_request(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(ConnectionError):
                writer.close()

    async def _serve_request(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        if _client_ip(writer) in self.unreachable_from:
            await asyncio.sleep(SILENCE_S)
        lines = head.decode().split("\r\n")
        method, target, _ = lines[0].split(" ")
        fields = [_parse_field(line) for line in lines[1:] if line]
        request_headers = dict(fields)
        if target == "/health":
            self.health_checks.append(time.monotonic())
            self.checked_by.append(_client_ip(writer))
            if self.endless:
                return await self._write_endlessly(writer, b"noise ")
            headers = {"Sesamespring-Instance-Id": self.id}
            if self.cold_left_ms:
                headers["Sesamespring-Warmup-Ms"] = str(self.cold_left_ms)
            return await self._send(writer, 200, b"", headers)
        if request_headers.get("sesamespring-expect-instance", self.id) != self.id:
            await _read_body(reader, request_headers)
            headers = {"Sesamespring-Instance-Id": self.id}
            return await self._send(writer, 421, b"", headers)
        request_id = request_headers["sesamespring-request-id"]
        if writer in self._late_copies:
            await self._send(writer, 200, *self._late_copies.pop(writer))
        is_free = self._running < self.slots and self.busy_s is None
        accepted = is_free and not self.sheds()
        self.arrivals.append(
            Arrival(
                time.monotonic(),
                request_id,
                accepted,
                _client_ip(writer),
                self.busy_s,
            )
        )
        if not accepted:
            self.overrun += 1
            await _read_body(reader, request_headers)
            await asyncio.sleep(self.reject_delay_s)
            headers = {
                "Sesamespring-Not-Executed": "1",
                "Sesamespring-Request-Id": request_id,
            }
            if self.busy_s is not None:
                headers["Retry-After"] = str(self.busy_s)
            return await self._send(writer, 503, b"", headers)
        return await self._run(
            reader, writer, method, target, fields, request_headers, request_id
        )

    async def _run(
        self, reader, writer, method, target, fields, request_headers, request_id
    ):
        left_ms = int(request_headers["sesamespring-deadline-ms"])
        received = ReceivedRequest(request_id, method, target, b"", left_ms, fields)
        fault = self.choose_fault(received)
        self._running += 1
        try:
            if fault == "early":
                self.received.append(received)
                await self._send(
                    writer, 413, b"early", self._signature_headers(request_id)
                )
                await asyncio.sleep(EARLY_BODY_DELAY_S)
                await _read_body(reader, request_headers)
                return True
            if fault == "early-close":
                await _read_until_quiet(reader)
            if fault in ("early-reset", "early-close"):
                self.received.append(received)
                part = b"a part" + self.padding
                await self._write(
                    writer, 200, part, self._signature_headers(request_id)
                )
                await asyncio.sleep(self.reset_delay_s)
                if fault == "early-reset":
                    _reset(writer)
                return False
            received.body = await _read_body(reader, request_headers)
            self.received.append(received)
            await self._wait_service_time(reader)
        finally:
            self._running -= 1
        if self.ends_on(received):
            self.end()
            return False
        self.finished.append(request_id)
        return await self._respond(fault, writer, request_id)

    async def _wait_service_time(self, reader):
        """Wait for the service time; stop at once if the client disconnects.

        Raises:
            ConnectionResetError: The client disconnected.
        """
        disconnect = asyncio.ensure_future(reader.read(1))
        done, _ = await asyncio.wait((disconnect,), timeout=self.service_time_s)
        if done and not disconnect.result():
            self.cancelled += 1
            raise ConnectionResetError
        disconnect.cancel()
        # A StreamReader permits only one waiting read, so wait for the cancelled one
        # to end before the next request is read.
        await asyncio.wait((disconnect,))

    async def _respond(self, fault, writer, request_id):
        signature = self._signature_headers(request_id)
        body = b"answer to " + request_id.encode() + self.padding
        if fault == "reset":
            writer.transport.abort()
            return False
        if fault == "silent":
            await asyncio.sleep(SILENCE_S)
        if fault == "endless-head":
            return await self._write_endlessly(writer, b"HTTP/1.1 200 X\r\nX: ")
        if fault == "endless-body":
            lines = ["HTTP/1.1 200 X", *(f"{k}: {v}" for k, v in signature.items())]
            return await self._write_endlessly(
                writer, "\r\n".join(lines).encode() + b"\r\n\r\n"
            )
        if fault == "truncate":
            headers = {**signature, "Content-Length": str(len(body) + 10)}
            await self._write(writer, 200, body, headers)
            return False
        if fault == "unframed-end":
            await self._write(writer, 200, body[:-1], signature)
            self.end()
            return False
        if fault == "unframed":
            await self._write(writer, 200, body, signature)
            return False
        if fault == "unsigned":
            return await self._send(
                writer, 200, body, {"Sesamespring-Request-Id": request_id}
            )
        if fault is not None and fault.startswith("status-"):
            status = fault.removeprefix("status-")
            return await self._send(writer, status, body, signature)
        if fault == "fail":
            return await self._send(writer, 500, b"failed", signature)
        if fault == "other-id":
            await self._send(
                writer, 200, b"stray", self._signature_headers("someone-else")
            )
        if fault == "close":
            await self._send(writer, 200, body, {**signature, "Connection": "close"})
            return False
        await self._send(writer, 200, body, signature, self.choose_chunk_count())
        if fault == "extra":
            await self._send(writer, 200, b"extra", signature)
        if fault == "late-copy":
            self._late_copies[writer] = (body, signature)
        return True

    async def _write_endlessly(self, writer, start):
        """Write bytes after ``start`` until the client closes the connection."""
        writer.write(start)
        while True:
            writer.write(ENDLESS_PART)
            await writer.drain()
            await asyncio.sleep(ENDLESS_PAUSE_S)

    def _signature_headers(self, request_id):
        return {
            "Sesamespring-Request-Id": request_id,
            "Sesamespring-Server-Stamp": f"signed-by-{self.id}",
        }

    async def _send(self, writer, status, body, headers, chunk_count=0):
        load = f"{self._running},0,{self.slots},{self.slowdown}"
        framing = {"Content-Length": str(len(body))}
        if chunk_count:
            framing = {"Transfer-Encoding": "chunked"}
            body = _in_chunks(body, chunk_count)
        all_headers = {
            **framing,
            "Sesamespring-Server-Load": load,
            "Keep-Alive": "timeout=10",
            **headers,
        }
        if self.leaving:
            all_headers["Server-Leaving"] = "1"
        if self.limit_per_s is not None:
            all_headers["Server-Limit"] = self.limit_per_s
        await self._write(writer, status, body, all_headers)
        return True

    async def _write(self, writer, status, body, headers):
        if _client_ip(writer) in self.unreachable_from:
            return
        lines = [f"HTTP/1.1 {status} X", *(f"{k}: {v}" for k, v in headers.items())]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await writer.drain()


def _in_chunks(body, count):
    """Return a body in so many chunks of about the same size, with their framing."""
    starts = [len(body) * number // count for number in range(count + 1)]
    chunks = [body[start:end] for start, end in itertools.pairwise(starts)]
    framed = [b"%x\r\n%s\r\n" % (len(chunk), chunk) for chunk in chunks if chunk]
    return b"".join(framed) + b"0\r\n\r\n"


async def _read_body(reader, request_headers):
    if request_headers.get("transfer-encoding") != "chunked":
        return await reader.readexactly(int(request_headers.get("content-length", 0)))
    body = b""
    while size := int(await reader.readline(), 16):
        body += await reader.readexactly(size)
        await reader.readline()
    await reader.readline()
    return body


async def _read_until_quiet(reader):
    """Read until nothing has arrived for ``QUIET_S``."""
    with contextlib.suppress(TimeoutError):
        while True:
            async with asyncio.timeout(QUIET_S):
                if not await reader.read(65_536):
                    return


def _reset(writer):
    """Reset a connection, whatever of it has been read."""
    sock = writer.get_extra_info("socket")
    linger = struct.pack("ii", 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


def _client_ip(writer):
    """Return the IP address of a connection's client, or None if it is closed."""
    peer = writer.get_extra_info("peername")
    return peer[0] if peer else None


def _parse_field(line):
    name, _, value = line.partition(":")
    return name.lower(), value.strip()
