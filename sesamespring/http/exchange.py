"""Answer one HTTP request on a connection, early where its body goes on."""

import asyncio
import math

import h11

from sesamespring.errors import ANSWERS, Outcome
from sesamespring.http.headers import json_body

__all__ = ["OUTCOME_HEADER", "ServerExchange", "refusal_headers"]

BODY_PIECE_TIMEOUT_S = 5.0
OUTCOME_HEADER = "Sesamespring-Outcome"


class ServerExchange:
    """One request on a connection and the response to it.

    Args:
        stream: The HttpStream.
        request: The h11 Request.
        is_stopping: Function that says whether the connection ends after this exchange.
    """

    def __init__(self, stream, request, is_stopping=lambda: False):
        self._stream = stream
        self._request = request
        self._is_stopping = is_stopping
        self._response_started = False

    @property
    def method(self):
        """The HTTP method as text."""
        return self._request.method.decode("ascii")

    @property
    def http_version(self):
        """The caller's version of HTTP as text, such as ``1.1``."""
        return self._request.http_version.decode("ascii")

    @property
    def target(self):
        """The request target as text."""
        return self._request.target.decode("ascii")

    @property
    def headers(self):
        """Pairs of lower-case name and value, in bytes."""
        return self._request.headers

    @property
    def stream(self):
        """The HttpStream below."""
        return self._stream

    @property
    def response_started(self):
        """Whether a response head was sent."""
        return self._response_started

    @property
    def body_ended(self):
        """Whether the whole request body was received."""
        return self._stream.state.their_state not in (h11.SEND_BODY, h11.ERROR)

    @property
    def closing(self):
        """Whether the response must say that the connection ends after it."""
        return self._is_stopping() or not self.body_ended

    async def body(self, deadline_s=math.inf):
        """Yield the pieces of the request body, asking for it where it waits.

        Args:
            deadline_s: Time on the event loop's clock at which reading ends.

        Raises:
            TimeoutError: The next piece did not come in BODY_PIECE_TIMEOUT_S.
            ConnectionError: The connection failed or ended.
            h11.RemoteProtocolError: The body is malformed or was cut short.
        """
        if self._stream.state.they_are_waiting_for_100_continue:
            await self._stream.send(
                h11.InformationalResponse(status_code=100, headers=[])
            )
        while not self.body_ended:
            event = self._stream.next_buffered_event()
            if event is None:
                event = await self._receive_piece(deadline_s)
            if isinstance(event, h11.EndOfMessage):
                return
            if isinstance(event, h11.ConnectionClosed):
                raise ConnectionResetError("closed inside the body")
            yield bytes(event.data)

    async def _receive_piece(self, deadline_s):
        latest_s = asyncio.get_running_loop().time() + BODY_PIECE_TIMEOUT_S
        async with asyncio.timeout_at(min(deadline_s, latest_s)):
            return await self._stream.receive()

    async def whole_body(self, limit, deadline_s=math.inf):
        """Return the whole request body, or None where it is over ``limit`` bytes."""
        pieces = []
        size = 0
        async for piece in self.body(deadline_s):
            size += len(piece)
            if size > limit:
                return None
            pieces.append(piece)
        return b"".join(pieces)

    async def send_response(self, status, headers, body):
        """Send a whole response as it is, in one write."""
        self._response_started = True
        events = [h11.Response(status_code=status, headers=headers)]
        if body:
            events.append(h11.Data(data=body))
        await self._stream.send(*events, h11.EndOfMessage())

    async def send_head(self, status, headers):
        """Send the response head."""
        self._response_started = True
        await self._stream.send(h11.Response(status_code=status, headers=headers))

    async def send_data(self, data):
        """Send a piece of the response body."""
        await self._stream.send(h11.Data(data=data))

    async def send_end(self):
        """End the response."""
        await self._stream.send(h11.EndOfMessage())

    async def send_whole(
        self, status, body=b"", headers=(), content_type="application/json"
    ):
        """Send a response with a body that is at hand, in one write."""
        head = [
            ("Content-Length", str(len(body))),
            ("Content-Type", content_type),
            *headers,
        ]
        if self.closing:
            head.append(("Connection", "close"))
        sent = b"" if self.method == "HEAD" else body
        await self.send_response(int(status), head, sent)

    async def send_json(self, value, status=200):
        """Send a JSON value."""
        await self.send_whole(status, json_body(value))

    async def refuse(self, kind, detail="", retry_after_s=None, may_have_run=False):
        """Send the final answer of an error kind.

        Args:
            kind: The ErrorKind.
            detail: More for the reader of the answer.
            retry_after_s: Whole seconds, or None for the default of the kind.
            may_have_run: Whether the promise of a ``not-run`` kind must be withheld.
        """
        await self.send_whole(
            ANSWERS[kind].status,
            json_body({"error": kind.value, "detail": detail}),
            refusal_headers(kind, retry_after_s, may_have_run),
        )


def refusal_headers(kind, retry_after_s=None, may_have_run=False):
    """Return the headers of the final answer of an error kind; see ``refuse``."""
    answer = ANSWERS[kind]
    headers = []
    outcome = answer.outcome
    if may_have_run and outcome is Outcome.NOT_RUN:
        outcome = Outcome.UNKNOWN
    if outcome is not None:
        headers.append((OUTCOME_HEADER, outcome.value))
    wait_s = retry_after_s if retry_after_s is not None else answer.retry_after_s
    if wait_s is not None:
        headers.append(("Retry-After", str(wait_s)))
    return headers
