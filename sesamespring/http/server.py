"""HTTP server connections with limits on their number, head size and idle time."""

import asyncio

import h11

from sesamespring.errors import ERROR_RESPONSES, ErrorKind
from sesamespring.http.exchange import ServerExchange, refusal_headers
from sesamespring.http.headers import json_body
from sesamespring.http.stream import HttpStream

__all__ = ["ServerConnections"]

HEAD_TIMEOUT_S = 5.0
IDLE_TIMEOUT_S = 60.0
CONNECTIONS_MAX = 2048


class ServerConnections:
    """The open connections of one listening socket.

    Args:
        connections_max: Largest number of open connections. A new connection beyond it
            replaces the one that has been idle longest; if none is idle, the new one is
            aborted.
    """

    def __init__(self, connections_max=CONNECTIONS_MAX):
        self._connections_max = connections_max
        self._open = set()
        self._idle = {}
        self._stopping = False

    @property
    def stopping(self):
        """Whether connections close after the exchange in progress."""
        return self._stopping

    @property
    def count(self):
        """Number of open connections."""
        return len(self._open)

    def stop(self):
        """Close idle connections now and the others after their exchange."""
        self._stopping = True
        for stream in tuple(self._idle):
            stream.abort()

    def abort(self):
        """Close all connections at once."""
        self._stopping = True
        for stream in tuple(self._open):
            stream.abort()

    async def serve(self, reader, writer, handle):
        """Serve requests on one connection until it closes.

        Args:
            reader: The asyncio StreamReader.
            writer: The asyncio StreamWriter.
            handle: Coroutine function that responds to one ServerExchange.
        """
        stream = HttpStream(h11.SERVER, reader, writer)
        if not self._make_room():
            stream.abort()
            return
        self._open.add(stream)
        try:
            while not self._stopping and await self._serve_one(stream, handle):
                stream.next_cycle()
            if stream.state.their_state in (h11.SEND_BODY, h11.ERROR):
                await stream.linger()
        except (ConnectionError, h11.ProtocolError, TimeoutError):
            stream.abort()
        finally:
            self._open.discard(stream)
            stream.close()

    def _make_room(self):
        """Return whether another connection fits, if needed by closing an idle one.

        The one that has been idle longest is closed.
        """
        if len(self._open) < self._connections_max:
            return True
        if not self._idle:
            return False
        longest_idle = next(iter(self._idle))
        del self._idle[longest_idle]
        self._open.discard(longest_idle)
        longest_idle.abort()
        return True

    async def _serve_one(self, stream, handle):
        request = await self._receive_request(stream)
        if request is None:
            return False
        exchange = ServerExchange(stream, request, lambda: self._stopping)
        await _handle(exchange, handle)
        state = stream.state
        if state.our_state not in (h11.DONE, h11.MUST_CLOSE):
            stream.abort()
            return False
        return state.our_state is h11.DONE and state.their_state is h11.DONE

    async def _receive_request(self, stream):
        self._idle[stream] = None
        try:
            event = await self._receive_head(stream)
        except TimeoutError:
            await _reject_head(stream, ErrorKind.HEAD_TOO_SLOW)
            return None
        except h11.RemoteProtocolError as error:
            too_large = error.error_status_hint == 431
            kind = ErrorKind.HEAD_TOO_LARGE if too_large else ErrorKind.MALFORMED
            await _reject_head(stream, kind)
            return None
        finally:
            self._idle.pop(stream, None)
        if not isinstance(event, h11.Request):
            return None
        if _has_ambiguous_length(event):
            await _reject_head(stream, ErrorKind.MALFORMED)
            return None
        return event

    async def _receive_head(self, stream):
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(IDLE_TIMEOUT_S) as timer:

            def on_first_bytes():
                self._idle.pop(stream, None)
                timer.reschedule(loop.time() + HEAD_TIMEOUT_S)

            return await stream.receive(on_first_bytes)


async def _handle(exchange, handle):
    """Call the handler; send 408 or 400 if it could not read the request body."""
    try:
        await handle(exchange)
    except (TimeoutError, h11.RemoteProtocolError) as error:
        if exchange.response_started:
            raise
        slow = isinstance(error, TimeoutError)
        await exchange.refuse(ErrorKind.BODY_TOO_SLOW if slow else ErrorKind.MALFORMED)


def _has_ambiguous_length(request):
    """Return whether a request has both headers that delimit its body.

    Two hops could disagree on where such a body ends (request smuggling).
    """
    names = {name for name, _ in request.headers}
    return b"content-length" in names and b"transfer-encoding" in names


async def _reject_head(stream, kind):
    if stream.state.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
        return
    body = json_body({"error": kind.value})
    head = [
        ("Content-Length", str(len(body))),
        ("Connection", "close"),
        *refusal_headers(kind),
    ]
    await stream.send(
        h11.Response(status_code=int(ERROR_RESPONSES[kind].status), headers=head),
        h11.Data(data=body),
        h11.EndOfMessage(),
    )
