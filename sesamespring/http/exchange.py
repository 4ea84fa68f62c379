"""One HTTP request on a server connection and the response to it."""

import asyncio
import math

import h11

from sesamespring.errors import ERROR_RESPONSES, Outcome
from sesamespring.http.headers import json_body

__all__ = ["OUTCOME_HEADER", "ServerExchange", "refusal_headers"]

BODY_CHUNK_TIMEOUT_S = 5.0
OUTCOME_HEADER = "Sesamespring-Outcome"


class ServerExchange:
    """A request on a server connection and the response to it.

    The response may be sent before the request body has been read.

    Args:
        stream: The HttpStream.
        request: The h11 Request.
        is_stopping: Function that returns whether the connection closes afterwards.
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
        """The caller's HTTP version as text, such as ``1.1``."""
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
        """The HttpStream of the connection."""
        return self._stream

    @property
    def response_started(self):
        """Whether the response head has been sent."""
        return self._response_started

    @property
    def body_ended(self):
        """Whether the whole request body has been received."""
        return self._stream.state.their_state not in (h11.SEND_BODY, h11.ERROR)

    @property
    def closing(self):
        """Whether the response must carry ``Connection: close``."""
        return self._is_stopping() or not self.body_ended

    async def body(self, deadline_s=math.inf):
        """Yield the request body in parts, as they arrive.

        A caller that waits for ``100 Continue`` gets it first.

        Args:
            deadline_s: Time on the event loop's clock at which reading ends.

        Raises:
            TimeoutError: No data arrived for BODY_CHUNK_TIMEOUT_S seconds, or the
                deadline passed.
            ConnectionError: The connection failed or ended.
            h11.RemoteProtocolError: The body is malformed or incomplete.
        """
        if self._stream.state.they_are_waiting_for_100_continue:
            await self._stream.send(
                h11.InformationalResponse(status_code=100, headers=[])
            )
        while not self.body_ended:
            event = self._stream.next_buffered_event()
            if event is None:
                event = await self._receive_chunk(deadline_s)
            if isinstance(event, h11.EndOfMessage):
                return
            if isinstance(event, h11.ConnectionClosed):
                raise ConnectionResetError("connection closed inside the request body")
            yield bytes(event.data)

    async def _receive_chunk(self, deadline_s):
        chunk_deadline_s = asyncio.get_running_loop().time() + BODY_CHUNK_TIMEOUT_S
        async with asyncio.timeout_at(min(deadline_s, chunk_deadline_s)):
            return await self._stream.receive()

    async def whole_body(self, limit, deadline_s=math.inf):
        """Return the whole request body, or None if it is longer than ``limit`` bytes.

        Errors and ``deadline_s`` are those of ``body``.
        """
        chunks = []
        size = 0
        async for chunk in self.body(deadline_s):
            size += len(chunk)
            if size > limit:
                return None
            chunks.append(chunk)
        return b"".join(chunks)

    async def send_response(self, status, headers, body):
        """Send a complete response in one write, with exactly these headers."""
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
        """Send a part of the response body."""
        await self._stream.send(h11.Data(data=data))

    async def send_end(self):
        """End the response."""
        await self._stream.send(h11.EndOfMessage())

    async def send_whole(
        self, status, body=b"", headers=(), content_type="application/json"
    ):
        """Send a complete response in one write, and add the headers it needs.

        Content-Length, Content-Type and, if needed, ``Connection: close`` are added. A
        response to HEAD is sent without its body.
        """
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
        """Send a complete response with a JSON body."""
        await self.send_whole(status, json_body(value))

    async def refuse(self, kind, detail="", retry_after_s=None, may_have_run=False):
        """Send the error response of an error kind.

        Args:
            kind: The ErrorKind.
            detail: Text for the ``detail`` field of the JSON body.
            retry_after_s: Retry-After in whole seconds, or None for the kind's default.
            may_have_run: Whether the request may have run, so that the outcome
                ``not-run`` is replaced by ``unknown``.
        """
        await self.send_whole(
            ERROR_RESPONSES[kind].status,
            json_body({"error": kind.value, "detail": detail}),
            refusal_headers(kind, retry_after_s, may_have_run),
        )


def refusal_headers(kind, retry_after_s=None, may_have_run=False):
    """Return the headers of an error kind's response; see ServerExchange.refuse."""
    response = ERROR_RESPONSES[kind]
    headers = []
    outcome = response.outcome
    if may_have_run and outcome is Outcome.NOT_RUN:
        outcome = Outcome.UNKNOWN
    if outcome is not None:
        headers.append((OUTCOME_HEADER, outcome.value))
    wait_s = retry_after_s if retry_after_s is not None else response.retry_after_s
    if wait_s is not None:
        headers.append(("Retry-After", str(wait_s)))
    return headers
