"""Read a request from its caller, send the answer, and notice that the caller left."""

import contextlib

import h11

from sesamespring.decisions.idempotency import KeptAnswer
from sesamespring.entry.headers import answer_headers
from sesamespring.errors import ErrorKind
from sesamespring.http import header

__all__ = ["CallerFailure", "CallerSide"]

REPEATABLE_BODY_BYTES_MAX = 64 * 1024
KEPT_BODY_BYTES_MAX = 16 * 1024
DEFAULT_CONTENT_TYPE = "application/octet-stream"


class CallerFailure(Exception):
    """Report that the caller's side of an exchange failed.

    Attributes:
        kind: The ErrorKind to answer, or None where the caller is gone.
    """

    def __init__(self, kind=None):
        super().__init__(kind.value if kind else "caller gone")
        self.kind = kind


class CallerSide:
    """The caller's side of one exchange.

    Args:
        exchange: The ServerExchange.
    """

    def __init__(self, exchange):
        self._exchange = exchange
        self._body = None
        self._outlives = False
        self._discarding = False
        self._kept = None

    @property
    def exchange(self):
        """The ServerExchange."""
        return self._exchange

    @property
    def body(self):
        """The whole body, or None where it is streamed."""
        return self._body

    @property
    def kept(self):
        """The whole answer that was passed on, as a KeptAnswer, or None."""
        return self._kept

    async def read_small_body(self, deadline_s):
        """Take in a body that is small, so that it can be sent again.

        Raises:
            CallerFailure: The body is malformed or too slow, or the caller left.
        """
        headers = self._exchange.headers
        if header(headers, b"transfer-encoding") is not None:
            return
        if int(header(headers, b"content-length", "0")) > REPEATABLE_BODY_BYTES_MAX:
            return
        with _failures_of_caller():
            self._body = await self._exchange.whole_body(
                REPEATABLE_BODY_BYTES_MAX, deadline_s
            )

    def start_watching(self, on_gone):
        """Call a function once the caller closes its connection."""
        self._exchange.stream.set_close_callback(on_gone)

    def stop_watching(self):
        """Notice it no longer."""
        self._exchange.stream.set_close_callback(None)

    def outlive(self):
        """Take in the rest of an answer also where the caller breaks off."""
        self._outlives = True

    async def pieces(self):
        """Yield the pieces of a streamed body.

        Raises:
            CallerFailure: The body is malformed or too slow, or the caller left.
        """
        with _failures_of_caller():
            async for piece in self._exchange.body():
                yield piece

    async def send_whole(self, head, body):
        """Send an answer that is at hand as a whole.

        Args:
            head: The h11 Response of the target.
            body: The whole body.

        Raises:
            CallerFailure: The caller left or broke the connection.
        """
        self._keep(head, body)
        await self._send(
            self._exchange.send_response(head.status_code, self._headers(head), body)
        )

    async def send_answer(self, head, pieces):
        """Send an answer as its pieces come in from a target.

        Args:
            head: The h11 Response of the target.
            pieces: Asynchronous iterator of the body; its errors pass through.

        Raises:
            CallerFailure: The caller left or broke the connection.
        """
        exchange = self._exchange
        await self._send(exchange.send_head(head.status_code, self._headers(head)))
        kept = bytearray()
        async for piece in pieces:
            if len(kept) <= KEPT_BODY_BYTES_MAX:
                kept += piece
            await self._send(exchange.send_data(piece))
        self._keep(head, kept)
        await self._send(exchange.send_end())

    def _headers(self, head):
        return answer_headers(head.headers, self._exchange.closing)

    def _keep(self, head, body):
        kept = bytes(body) if len(body) <= KEPT_BODY_BYTES_MAX else None
        content_type = header(head.headers, b"content-type", DEFAULT_CONTENT_TYPE)
        self._kept = KeptAnswer(head.status_code, content_type, kept)

    async def _send(self, sending):
        if self._discarding:
            sending.close()
            return
        try:
            with _failures_of_caller():
                await sending
        except CallerFailure:
            if not self._outlives:
                raise
            self._discarding = True


@contextlib.contextmanager
def _failures_of_caller():
    """Turn errors of the caller's connection into CallerFailure."""
    try:
        yield
    except ConnectionError as error:
        raise CallerFailure() from error
    except TimeoutError as error:
        raise CallerFailure(ErrorKind.BODY_TOO_SLOW) from error
    except h11.ProtocolError as error:
        raise CallerFailure(ErrorKind.MALFORMED) from error
