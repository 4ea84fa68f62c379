"""HTTP client connections, reusable once a response was read completely."""

import asyncio
import json

import attrs
import h11

from sesamespring.errors import ErrorKind, ExternalError
from sesamespring.http.stream import HttpStream, connect

__all__ = ["ClientConnection", "ClientResponse", "fetch"]

FETCH_BODY_BYTES_MAX = 16 * 1024 * 1024


@attrs.frozen
class ClientResponse:
    """A complete response.

    Attributes:
        status: HTTP status code.
        headers: Pairs of lower-case name and value, in bytes.
        body: The complete body.
    """

    status: int
    headers: list
    body: bytes

    def json(self):
        """Return the body decoded as JSON, or None if it is empty."""
        return json.loads(self.body) if self.body else None


class ClientConnection:
    """A connection to a server that carries one request and response at a time."""

    def __init__(self, reader, writer):
        self._stream = HttpStream(h11.CLIENT, reader, writer)

    @classmethod
    async def open(cls, address, tls=None):
        """Connect to ``address``, a pair of IP and port; see ``stream.connect``."""
        reader, writer = await connect(address, tls)
        return cls(reader, writer)

    @property
    def stream(self):
        """The HttpStream of the connection."""
        return self._stream

    @property
    def reusable(self):
        """Whether the last response was read completely and no bytes follow it."""
        state = self._stream.state
        complete = state.our_state is h11.DONE and state.their_state is h11.DONE
        return complete and not state.trailing_data[0]

    async def send_head(self, method, target, headers):
        """Send a request head."""
        await self._stream.send(
            h11.Request(method=method, target=target, headers=headers)
        )

    async def send_data(self, data):
        """Send a part of the request body."""
        await self._stream.send(h11.Data(data=data))

    async def send_end(self):
        """End the request body."""
        await self._stream.send(h11.EndOfMessage())

    async def send_whole(self, method, target, headers, body=b""):
        """Send a complete request in one write, with exactly these headers."""
        events = [h11.Request(method=method, target=target, headers=headers)]
        if body:
            events.append(h11.Data(data=body))
        await self._stream.send(*events, h11.EndOfMessage())

    async def receive_head(self):
        """Return the head of the final response and skip informational responses.

        Raises:
            h11.RemoteProtocolError: The response is malformed.
            ConnectionError: The connection failed or closed first.
        """
        while True:
            event = await self._stream.receive()
            if isinstance(event, h11.Response):
                _check_framing(event)
                return event
            if isinstance(event, h11.ConnectionClosed):
                raise ConnectionResetError("connection closed before the response")

    def has_delimited_body(self, method, head):
        """Whether a response's body is delimited by more than the connection's end.

        If it is not, a complete body looks the same as one cut short.

        Args:
            method: Method of the request.
            head: The h11 Response.
        """
        bodiless = method == "HEAD" or head.status_code in (204, 304)
        names = {name for name, _ in head.headers}
        return bodiless or b"content-length" in names or b"transfer-encoding" in names

    async def receive_body(self):
        """Yield the response body in parts, as they arrive.

        Raises:
            h11.RemoteProtocolError: The body is malformed or incomplete.
            ConnectionError: The connection failed or closed first.
        """
        while True:
            event = await self._stream.receive()
            if isinstance(event, h11.EndOfMessage):
                return
            if isinstance(event, h11.ConnectionClosed):
                raise ConnectionResetError("connection closed inside the response body")
            yield bytes(event.data)

    def next_cycle(self):
        """Prepare the connection for its next request."""
        self._stream.next_cycle()

    def close(self):
        """Close the connection at once and discard buffered data."""
        self._stream.abort()


def _check_framing(head):
    names = {name for name, _ in head.headers}
    if b"content-length" in names and b"transfer-encoding" in names:
        raise h11.RemoteProtocolError(
            "response has both Content-Length and Transfer-Encoding"
        )


async def _request(connection, method, target, headers, body):
    await connection.send_whole(method, target, headers, body)
    head = await connection.receive_head()
    chunks = []
    size = 0
    async for chunk in connection.receive_body():
        size += len(chunk)
        if size > FETCH_BODY_BYTES_MAX:
            raise ConnectionAbortedError("response body too large")
        chunks.append(chunk)
    return ClientResponse(head.status_code, list(head.headers), b"".join(chunks))


async def fetch(address, method, target, *, timeout_s, headers=(), body=b"", tls=None):
    """Send one request on a new connection and return the complete response.

    Args:
        address: Pair of IP and port.
        method: HTTP method.
        target: Request target, such as ``/table/head``.
        timeout_s: Timeout of connecting, request and response together, in seconds.
        headers: Headers besides Host, Content-Length and Connection, as pairs of text.
        body: Request body.
        tls: The ssl.SSLContext, or None for plain text.

    Returns:
        A ClientResponse.

    Raises:
        ExternalError: The request failed or timed out. Its kind is NOT_CONNECTED if
            nothing was sent, or CUT_OFF if the server may have handled the request.
    """
    host = f"{address[0]}:{address[1]}"
    all_headers = [
        ("Host", host),
        ("Content-Length", str(len(body))),
        ("Connection", "close"),
        *headers,
    ]
    connection = None
    try:
        async with asyncio.timeout(timeout_s):
            connection = await ClientConnection.open(address, tls)
            return await _request(connection, method, target, all_headers, body)
    except (OSError, TimeoutError, h11.ProtocolError) as error:
        kind = ErrorKind.CUT_OFF if connection else ErrorKind.NOT_CONNECTED
        raise ExternalError(kind, f"{host}: {error or type(error).__name__}") from error
    finally:
        if connection is not None:
            connection.close()
