"""Send HTTP requests over connections that are reused only after a whole answer."""

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
    """A whole response.

    Attributes:
        status: HTTP status code.
        headers: Pairs of lower-case name and value, in bytes.
        body: The whole body.
    """

    status: int
    headers: list
    body: bytes

    def json(self):
        """Decode the body as JSON; an empty body is None."""
        return json.loads(self.body) if self.body else None


class ClientConnection:
    """A connection to one server that carries one exchange at a time."""

    def __init__(self, reader, writer):
        self._stream = HttpStream(h11.CLIENT, reader, writer)

    @classmethod
    async def open(cls, address, tls=None):
        """Connect to ``address``, a pair of IP and port; see stream.connect."""
        reader, writer = await connect(address, tls)
        return cls(reader, writer)

    @property
    def stream(self):
        """The HttpStream below."""
        return self._stream

    @property
    def reusable(self):
        """Whether the last exchange ended whole, so that another may follow."""
        state = self._stream.state
        whole = state.our_state is h11.DONE and state.their_state is h11.DONE
        return whole and not state.trailing_data[0]

    async def send_head(self, method, target, headers):
        """Send a request head."""
        await self._stream.send(
            h11.Request(method=method, target=target, headers=headers)
        )

    async def send_data(self, data):
        """Send a piece of the request body."""
        await self._stream.send(h11.Data(data=data))

    async def send_end(self):
        """End the request body."""
        await self._stream.send(h11.EndOfMessage())

    async def send_whole(self, method, target, headers, body=b""):
        """Send a request with a body that is at hand, in one write."""
        events = [h11.Request(method=method, target=target, headers=headers)]
        if body:
            events.append(h11.Data(data=body))
        await self._stream.send(*events, h11.EndOfMessage())

    async def receive_head(self):
        """Return the final response head, passing over informational ones."""
        while True:
            event = await self._stream.receive()
            if isinstance(event, h11.Response):
                _check_framing(event)
                return event
            if isinstance(event, h11.ConnectionClosed):
                raise ConnectionResetError("closed before the response")

    def declares_end(self, method, head):
        """Whether the end of a response's body can be told from a cut connection."""
        bodiless = method == "HEAD" or head.status_code in (204, 304)
        names = {name for name, _ in head.headers}
        return bodiless or b"content-length" in names or b"transfer-encoding" in names

    async def receive_body(self):
        """Yield the pieces of the response body until its end.

        Raises:
            h11.RemoteProtocolError: The body was cut short.
        """
        while True:
            event = await self._stream.receive()
            if isinstance(event, h11.EndOfMessage):
                return
            if isinstance(event, h11.ConnectionClosed):
                raise ConnectionResetError("closed inside the body")
            yield bytes(event.data)

    def next_cycle(self):
        """Get ready for the next exchange."""
        self._stream.next_cycle()

    def close(self):
        """Drop the connection at once."""
        self._stream.abort()


def _check_framing(head):
    names = {name for name, _ in head.headers}
    if b"content-length" in names and b"transfer-encoding" in names:
        raise h11.RemoteProtocolError("two ways of framing in one response")


async def _exchange(connection, method, target, headers, body):
    await connection.send_whole(method, target, headers, body)
    head = await connection.receive_head()
    pieces = []
    size = 0
    async for piece in connection.receive_body():
        size += len(piece)
        if size > FETCH_BODY_BYTES_MAX:
            raise ConnectionAbortedError("response body too large")
        pieces.append(piece)
    return ClientResponse(head.status_code, list(head.headers), b"".join(pieces))


async def fetch(address, method, target, *, timeout_s, headers=(), body=b"", tls=None):
    """Send one request on a new connection and return the whole response.

    Args:
        address: Pair of IP and port.
        method: HTTP method.
        target: Request target, such as ``/table/head``.
        timeout_s: Seconds for the whole exchange.
        headers: More headers, as pairs of text.
        body: Request body.
        tls: The ssl.SSLContext, or None for plain text.

    Returns:
        A ClientResponse.

    Raises:
        ExternalError: With NOT_CONNECTED where nothing was sent, CUT_OFF where the
            server may have acted.
    """
    host = f"{address[0]}:{address[1]}"
    whole_headers = [
        ("Host", host),
        ("Content-Length", str(len(body))),
        ("Connection", "close"),
        *headers,
    ]
    connection = None
    try:
        async with asyncio.timeout(timeout_s):
            connection = await ClientConnection.open(address, tls)
            return await _exchange(connection, method, target, whole_headers, body)
    except (OSError, TimeoutError, h11.ProtocolError) as error:
        kind = ErrorKind.CUT_OFF if connection else ErrorKind.NOT_CONNECTED
        raise ExternalError(kind, f"{host}: {error or type(error).__name__}") from error
    finally:
        if connection is not None:
            connection.close()
