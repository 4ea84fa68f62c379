"""Stand-in of clients: it asks the directory for machines and speaks HTTP/1.1."""

import asyncio
import contextlib
import json
import time

__all__ = ["Answer", "Connection", "resolve"]

RESOLVE_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 1.0


class Answer:
    """A complete answer.

    Attributes:
        status: HTTP status.
        headers: Dict with names in lower case.
        body: The body in bytes.
        at_s: Time at which it was complete.
    """

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body
        self.at_s = time.monotonic()

    @property
    def closes(self):
        """Whether it closes the connection."""
        return self.headers.get("connection", "").lower() == "close"


class Connection:
    """One connection of a client to a machine.

    Args:
        reader: The StreamReader.
        writer: The StreamWriter.
    """

    def __init__(self, reader, writer):
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(cls, address, source_ip=None):
        """Connect to a machine, from an address of the client's own if given."""
        local = None if source_ip is None else (source_ip, 0)
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            return cls(*await asyncio.open_connection(*address, local_addr=local))

    def send(self, method, host, path, request_id, limit_ms, body=None, caller=None):
        """Send a request; with ``body`` as a number only its head and that length."""
        length = body if isinstance(body, int) else len(body or b"")
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {host}",
            f"Sesamespring-Request-Id: {request_id}",
            f"Sesamespring-Deadline-Ms: {limit_ms}",
        ]
        if body is not None:
            lines.append(f"Content-Length: {length}")
        if caller is not None:
            lines.append(f"Authorization: {caller}")
        content = body if isinstance(body, bytes) else b""
        self._writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + content)

    def send_piece(self, data):
        """Send a part of a body."""
        self._writer.write(data)

    async def receive(self):
        """Return the next Answer, or None if the connection ends before it is whole."""
        try:
            head = await self._reader.readuntil(b"\r\n\r\n")
            lines = head.decode("latin-1").split("\r\n")
            status = int(lines[0].split(" ")[1])
            headers = {}
            for line in filter(None, lines[1:]):
                name, _, value = line.partition(":")
                headers[name.lower()] = value.strip()
            body = await self._receive_body(headers)
        except (OSError, asyncio.IncompleteReadError):
            return None
        return Answer(status, headers, body)

    async def _receive_body(self, headers):
        if headers.get("transfer-encoding") != "chunked":
            return await self._reader.readexactly(int(headers["content-length"]))
        body = b""
        while size := int(await self._reader.readline() or b"0", 16):
            body += await self._reader.readexactly(size)
            await self._reader.readline()
        await self._reader.readexactly(2)
        return body

    def close(self):
        """Close the connection at once."""
        with contextlib.suppress(OSError):
            self._writer.transport.abort()


async def resolve(directories, host, zone, zones):
    """Ask up to three directories, nearest first; return the machines' addresses.

    Args:
        directories: Dict of address by zone.
        host: Name of the service's host.
        zone: The client's zone.
        zones: Dict of region by zone.
    """
    order = sorted(directories, key=lambda name: name != zone)
    path = f"/-/resolve?name={host}&region={zones[zone]}&zone={zone}"
    for name in order[:3]:
        try:
            async with asyncio.timeout(RESOLVE_TIMEOUT_S):
                connection = await Connection.open(directories[name])
                try:
                    connection.send("GET", host, path, "resolve", 1000)
                    answer = await connection.receive()
                finally:
                    connection.close()
        except (OSError, TimeoutError):
            continue
        if answer is not None and answer.status == 200:
            texts = json.loads(answer.body)["addresses"]
            return [(ip, int(port)) for ip, port in (t.split(":") for t in texts)]
    return []
