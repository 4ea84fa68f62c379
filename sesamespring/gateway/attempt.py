"""Send a request to one target and receive the response."""

import asyncio

import attrs
import h11

from sesamespring.http.channel import ChannelClosed
from sesamespring.http.headers import FRAMING_HEADERS
from sesamespring.platform.headers import parse_response_headers, target_request_headers
from sesamespring.routing.messages import AttemptEnded, Outcome

__all__ = [
    "Attempt",
    "AttemptResult",
    "OutgoingRequest",
    "TargetResponse",
    "without_framing",
]

BUFFERED_BYTES_MAX = 256 * 1024
STRAY_RESPONSES_MAX = 3


@attrs.define
class OutgoingRequest:
    """A request in the form in which it is sent to targets.

    Attributes:
        method: HTTP method.
        target: Request target (path and query).
        headers: End-to-end headers of the caller, without framing.
        request_id: The caller's request id in bytes.
        body: The complete body in bytes, or None if it is streamed.
        framing: The caller's headers that frame the body.
        pieces: Function that returns an asynchronous iterator over a streamed body,
            or None if ``body`` is set.
        idempotent: Whether it may run more than once.
    """

    method: str
    target: str
    headers: list
    request_id: bytes
    body: bytes | None
    framing: list
    pieces: object
    idempotent: bool


@attrs.define
class TargetResponse:
    """A target's response.

    Attributes:
        status: HTTP status.
        headers: Pairs of lower-case name and value, in bytes.
        body: The complete body, or None if it must be read from ``channel``.
        channel: The Channel that still delivers the body, or None.
    """

    status: int
    headers: list
    body: bytes | None
    channel: object = None


@attrs.frozen
class AttemptResult:
    """The result of one attempt.

    Attributes:
        end: The AttemptEnded for the scheduler.
        entry: The TargetEntry that the request was sent to.
        response: The TargetResponse, or None if there is none to pass on.
        reason: Cause of a failure, for the log.
        target_crashed: Whether the target's process ended while it had the request.
    """

    end: AttemptEnded
    entry: object
    response: TargetResponse | None
    reason: str = ""
    target_crashed: bool = False

    @property
    def is_streamed(self):
        """Whether the response has a body that is still being received."""
        return self.response is not None and self.response.body is None


class Attempt:
    """One attempt to run a request at a target; it owns its connection meanwhile.

    Args:
        dispatch: The Dispatch of the scheduler.
        outgoing: The OutgoingRequest.
        connections: The TargetConnectionPool.
        deadline_s: Time on the loop's clock at which the caller stops waiting.
    """

    def __init__(self, dispatch, outgoing, connections, deadline_s):
        self._dispatch = dispatch
        self._entry = dispatch.entry
        self._outgoing = outgoing
        self._connections = connections
        self._deadline_s = deadline_s
        self._clock = asyncio.get_running_loop().time
        self._started_s = self._clock()
        self._sent = False
        self._channel = None
        self._metadata = None

    async def run(self):
        """Make the attempt and return its AttemptResult.

        Timeouts, cancellation and connection errors are reported in the result.
        """
        try:
            async with asyncio.timeout_at(self._deadline_s):
                return await self._send()
        except TimeoutError:
            outcome = Outcome.TIMED_OUT if self._sent else Outcome.NOT_SENT
            return self._result(outcome, reason="no answer in time")
        except asyncio.CancelledError:
            return self._result(Outcome.CANCELLED, reason="cancelled")
        except (OSError, h11.ProtocolError) as error:
            return await self._failed_result(error)
        finally:
            if self._channel is not None:
                self._channel.abort()

    async def _failed_result(self, error):
        """Return the AttemptResult after an error of the connection."""
        reason = str(error) or type(error).__name__
        if not self._sent:
            return self._result(Outcome.NOT_SENT, reason=reason)
        refused = isinstance(error, ConnectionRefusedError)
        crashed = refused or await self._connections.refuses(self._entry)
        result = self._result(Outcome.BROKEN, reason=reason)
        return attrs.evolve(result, target_crashed=crashed)

    async def _send(self):
        idempotent = self._outgoing.idempotent
        channel = self._connections.take_idle(self._entry.key, idempotent)
        if channel is not None:
            try:
                return await self._exchange(channel)
            except (ChannelClosed, h11.ProtocolError):
                # The target may have closed the idle connection while the request was
                # being sent, so an idempotent one is sent again on a new connection.
                if not idempotent or self._metadata is not None:
                    raise
                self._connections.drop(self._entry.key)
                self._abort_channel()
        return await self._exchange(await self._connections.open(self._entry.address))

    async def _exchange(self, channel):
        self._channel = channel
        is_first = channel.exchange_count == 0
        outgoing = self._outgoing
        headers = target_request_headers(
            outgoing.headers, self._entry.id, self._deadline_s - self._clock()
        )
        sending = None
        if outgoing.body is None:
            headers += outgoing.framing
            channel.send_head(outgoing.method, outgoing.target, headers)
            sending = asyncio.ensure_future(self._send_body(channel))
        else:
            if outgoing.body or outgoing.framing:
                headers.append((b"content-length", b"%d" % len(outgoing.body)))
            channel.send_head(outgoing.method, outgoing.target, headers)
            if outgoing.body:
                channel.send_data(outgoing.body)
            channel.send_end()
        self._sent = True
        try:
            return await self._receive(channel, is_first)
        finally:
            if sending is not None:
                sending.cancel()

    async def _send_body(self, channel):
        """Send a streamed body; abort the connection if the caller fails meanwhile."""
        try:
            async for piece in self._outgoing.pieces():
                channel.send_data(piece)
                await channel.drain()
            channel.send_end()
        except (ConnectionError, h11.ProtocolError):
            channel.abort()

    async def _receive(self, channel, is_first):
        """Receive the response to the request and return the AttemptResult.

        Args:
            channel: The Channel.
            is_first: Whether the request is the first one on the connection.

        Raises:
            h11.RemoteProtocolError: The responses received belong to other requests.
            ConnectionRefusedError: The target's process ended inside a response that
                does not say where its body ends.
        """
        for _ in range(STRAY_RESPONSES_MAX):
            head = await channel.receive_head()
            metadata = parse_response_headers(head.status_code, head.headers)
            body = await channel.read_body(BUFFERED_BYTES_MAX)
            if self._matches_request(metadata, is_first):
                if body is not None and not channel.is_framed:
                    await self._check_target_runs()
                self._metadata = metadata
                return self._classify(channel, head, metadata, body)
            if body is None:
                break
            # A late response to an earlier request: read on for ours.
            channel.discard_response()
        raise h11.RemoteProtocolError("target sent responses to other requests only")

    async def _check_target_runs(self):
        """Check that the connection ended with the response, and not with the target.

        Raises:
            ConnectionRefusedError: The target's process has ended.
        """
        if await self._connections.refuses(self._entry):
            raise ConnectionRefusedError("target ended inside its response")

    def _matches_request(self, metadata, is_first):
        if metadata.request_id == self._outgoing.request_id:
            return True
        # A target need not state the request id when it rejects a request. Such a
        # response is unambiguous only on a connection that carried no other request.
        return metadata.request_id is None and metadata.not_run and is_first

    def _classify(self, channel, head, metadata, body):
        """Return the AttemptResult of a response that belongs to the request.

        A response with neither a target's signature nor the statement that the request
        has not run was not made by a target, and an encoded body is not the target's
        own: the outcome is unknown, hence BROKEN.
        """
        if metadata.not_run and not metadata.signed:
            self._put_back(channel, metadata)
            outcome = Outcome.REJECTED
            if metadata.misdirected:
                outcome = Outcome.MISDIRECTED
            return self._result(outcome, reason=f"status {head.status_code}")
        succeeded = 200 <= head.status_code < 300
        if not metadata.signed or metadata.encoded:
            reason = f"status {head.status_code} without a target's signature"
            return self._result(Outcome.BROKEN, reason=reason)
        outcome = Outcome.ANSWERED if succeeded else Outcome.FAILED
        response = TargetResponse(head.status_code, list(head.headers), body)
        if body is None:
            response.channel = channel
            self._channel = None
        else:
            self._put_back(channel, metadata)
        return self._result(outcome, response)

    def _put_back(self, channel, metadata):
        self._channel = None
        self._connections.put_back(self._entry, channel, metadata.idle_s)

    def _abort_channel(self):
        self._channel.abort()
        self._channel = None

    def _result(self, outcome, response=None, reason=""):
        metadata = self._metadata
        end = AttemptEnded(
            attempt=self._dispatch.attempt,
            outcome=outcome,
            taken_s=self._clock() - self._started_s,
            load=metadata.load if metadata else None,
            cold_left_s=metadata.cold_left_s if metadata else None,
            limit_per_s=self._stated_limit(),
        )
        return AttemptResult(end, self._entry, response, reason)

    def _stated_limit(self):
        """Return the limit in the response if its sender is the expected target."""
        metadata = self._metadata
        if metadata is None or metadata.misdirected:
            return None
        return metadata.limit_per_s if metadata.signed or metadata.not_run else None


def without_framing(headers):
    """Return headers without those that frame a body."""
    return [pair for pair in headers if pair[0] not in FRAMING_HEADERS]
