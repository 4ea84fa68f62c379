"""Read a request from its caller, send the response and detect disconnects."""

import contextlib

import h11

from sesamespring.decisions.idempotency import StoredResponse
from sesamespring.entry.headers import response_headers
from sesamespring.errors import ErrorKind
from sesamespring.http import header

__all__ = ["CallerFailure", "CallerSide"]

REPEATABLE_BODY_BYTES_MAX = 64 * 1024
STORED_BODY_BYTES_MAX = 16 * 1024
DEFAULT_CONTENT_TYPE = "application/octet-stream"


class CallerFailure(Exception):
    """The caller disconnected or sent a bad request body.

    Attributes:
        kind: The ErrorKind to respond with, or None if the caller has disconnected.
    """

    def __init__(self, kind=None):
        super().__init__(kind.value if kind else "caller disconnected")
        self.kind = kind


class CallerSide:
    """The caller's side of one exchange.

    Args:
        exchange: The ServerExchange.
    """

    def __init__(self, exchange):
        self._exchange = exchange
        self._body = None
        self._continues_without_caller = False
        self._discarding = False
        self._stored_response = None

    @property
    def exchange(self):
        """The ServerExchange."""
        return self._exchange

    @property
    def body(self):
        """The whole body, or None if it is streamed."""
        return self._body

    @property
    def stored_response(self):
        """The complete response that was forwarded, as a StoredResponse, or None."""
        return self._stored_response

    async def read_small_body(self, deadline_s):
        """Read the body if it is small, so that it can be sent more than once.

        Args:
            deadline_s: Deadline on the event loop's clock, in seconds.

        Raises:
            CallerFailure: The body is malformed or late, or the caller disconnected.
        """
        headers = self._exchange.headers
        if header(headers, b"transfer-encoding") is not None:
            return
        if int(header(headers, b"content-length", "0")) > REPEATABLE_BODY_BYTES_MAX:
            return
        with _convert_errors():
            self._body = await self._exchange.whole_body(
                REPEATABLE_BODY_BYTES_MAX, deadline_s
            )

    def watch_disconnect(self, on_disconnect):
        """Call a function without arguments once the caller closes its connection."""
        self._exchange.stream.set_close_callback(on_disconnect)

    def unwatch_disconnect(self):
        """Remove the function set by watch_disconnect."""
        self._exchange.stream.set_close_callback(None)

    def continue_without_caller(self):
        """Read responses to the end even if the caller has disconnected."""
        self._continues_without_caller = True

    async def body_chunks(self):
        """Yield the chunks of a streamed body.

        Raises:
            CallerFailure: The body is malformed or late, or the caller disconnected.
        """
        with _convert_errors():
            async for chunk in self._exchange.body():
                yield chunk

    async def send_response(self, head, body):
        """Send a complete response.

        Args:
            head: The h11 Response of the target.
            body: The whole body.

        Raises:
            CallerFailure: The caller disconnected.
        """
        self._store_response(head, body)
        await self._send(
            self._exchange.send_response(head.status_code, self._headers(head), body)
        )

    async def stream_response(self, head, chunks):
        """Send a response while its body is received from a target.

        Args:
            head: The h11 Response of the target.
            chunks: Asynchronous iterator of the body; its errors are not converted.

        Raises:
            CallerFailure: The caller disconnected.
        """
        exchange = self._exchange
        await self._send(exchange.send_head(head.status_code, self._headers(head)))
        stored = bytearray()
        async for chunk in chunks:
            if len(stored) <= STORED_BODY_BYTES_MAX:
                stored += chunk
            await self._send(exchange.send_data(chunk))
        self._store_response(head, stored)
        await self._send(exchange.send_end())

    def _headers(self, head):
        return response_headers(head.headers, self._exchange.closing)

    def _store_response(self, head, body):
        stored = bytes(body) if len(body) <= STORED_BODY_BYTES_MAX else None
        content_type = header(head.headers, b"content-type", DEFAULT_CONTENT_TYPE)
        self._stored_response = StoredResponse(head.status_code, content_type, stored)

    async def _send(self, sending):
        if self._discarding:
            sending.close()
            return
        try:
            with _convert_errors():
                await sending
        except CallerFailure:
            if not self._continues_without_caller:
                raise
            self._discarding = True


@contextlib.contextmanager
def _convert_errors():
    """Convert errors of the caller's connection to CallerFailure."""
    try:
        yield
    except ConnectionError as error:
        raise CallerFailure() from error
    except TimeoutError as error:
        raise CallerFailure(ErrorKind.BODY_TOO_SLOW) from error
    except h11.ProtocolError as error:
        raise CallerFailure(ErrorKind.MALFORMED) from error
