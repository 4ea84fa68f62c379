"""A client of the system: one HTTP/1.1 connection, read by a reader of its own."""

import asyncio
import secrets

__all__ = ["Answer", "ClientConnection", "request_bytes"]


def request_bytes(method, path, host, left_ms, body=None, headers=(), request_id=None):
    """Return the pair of a request's id and its bytes."""
    request_id = request_id or secrets.token_hex(8)
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {host}",
        f"Sesamespring-Request-Id: {request_id}",
        f"Sesamespring-Deadline-Ms: {left_ms}",
        *headers,
    ]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return request_id, "\r\n".join(lines).encode() + b"\r\n\r\n" + (body or b"")


class Answer:
    """A complete answer: its status, headers (lower case) and body."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body

    @property
    def closes(self):
        """Whether it says that its connection closes."""
        return "close" in self.headers.get("connection", "").lower()


class ClientConnection:
    """One connection to a VM."""

    def __init__(self, reader, writer):
        self._reader = reader
        self.writer = writer

    @classmethod
    async def open(cls, address):
        """Connect within the second that clients allow."""
        async with asyncio.timeout(1.0):
            return cls(*await asyncio.open_connection(*address))

    def send(self, data):
        """Send bytes."""
        self.writer.write(data)

    async def answer(self, timeout_s, head_only=False):
        """Return the next Answer.

        Raises:
            TimeoutError: It was not complete in time.
            ConnectionError, asyncio.IncompleteReadError: The connection ended first.
        """
        async with asyncio.timeout(timeout_s):
            head = await self._reader.readuntil(b"\r\n\r\n")
            lines = head.decode("latin-1").split("\r\n")
            status = int(lines[0].split(" ")[1])
            pairs = (line.partition(":") for line in lines[1:] if line)
            headers = {name.lower(): value.strip() for name, _, value in pairs}
            body = b"" if head_only else await self._read_body(headers)
            return Answer(status, headers, body)

    async def _read_body(self, headers):
        if headers.get("transfer-encoding") == "chunked":
            parts = []
            while size := int(await self._reader.readline(), 16):
                parts.append(await self._reader.readexactly(size))
                await self._reader.readline()
            await self._reader.readline()
            return b"".join(parts)
        return await self._reader.readexactly(int(headers.get("content-length", 0)))

    def close(self):
        """Close the connection."""
        self.writer.close()
