"""Send one request to one target and forward the response if it is the first."""

import asyncio

import attrs
import h11

from sesamespring.decisions.messages import AttemptResult
from sesamespring.entry.caller_side import CallerFailure
from sesamespring.entry.headers import request_headers
from sesamespring.http import header

__all__ = ["Attempt", "AttemptDone"]

BUFFERED_RESPONSE_BYTES_MAX = 64 * 1024
TARGET_STATE_HEADER = b"target-state"
NOT_RUN_STATES = frozenset({"shedding", "draining"})


@attrs.frozen
class AttemptDone:
    """Message that an attempt has ended and no longer uses its connection.

    Attributes:
        attempt_id: Number of the attempt.
        result: The AttemptResult.
        caller_failure: The CallerFailure that ended it, or None.
        taken_s: Duration of the attempt in seconds.
    """

    attempt_id: int
    result: AttemptResult
    caller_failure: CallerFailure | None = None
    taken_s: float = 0.0


class Attempt:
    """One attempt to have a target execute a request.

    It owns the connection to the target while it runs.

    Args:
        command: The SendAttempt.
        target: The declared Target.
        caller: The CallerSide.
        connections: The TargetConnectionPool.
        idempotent: Whether the request may be sent more than once.
        claim_response: Function called with the attempt's number before its response is
            forwarded; returns False if another attempt's response came first.
    """

    def __init__(
        self, command, target, caller, connections, idempotent, claim_response
    ):
        self._command = command
        self._target = target
        self._caller = caller
        self._connections = connections
        self._idempotent = idempotent
        self._claim_response = claim_response
        self._started = False
        self._response_started = False

    @property
    def started(self):
        """Whether any byte of the request may have been sent."""
        return self._started

    @property
    def response_started(self):
        """Whether forwarding the response to the caller has begun."""
        return self._response_started

    async def run(self):
        """Run the attempt and return its AttemptDone."""
        failure = None
        clock = asyncio.get_running_loop().time
        started_s = clock()
        try:
            async with asyncio.timeout_at(self._command.deadline_s):
                result = await self._send()
        except (TimeoutError, asyncio.CancelledError):
            result = AttemptResult.CANCELLED
        except CallerFailure as error:
            failure = error
            result = AttemptResult.CANCELLED
        except (OSError, h11.ProtocolError):
            result = AttemptResult.NOT_SENT
            if self._started:
                result = AttemptResult.CUT_OFF
        taken_s = clock() - started_s
        return AttemptDone(self._command.attempt_id, result, failure, taken_s)

    async def _send(self):
        address = self._target.address
        idle = self._connections.take_idle(address) if self._idempotent else None
        if idle is not None:
            try:
                return await self._send_over(idle)
            except (OSError, h11.ProtocolError):
                # The target may have closed the idle connection while the request was
                # being sent, so one retry on a new connection follows.
                if self._response_started or self._caller.body is None:
                    raise
        return await self._send_over(await self._connections.open(address))

    async def _send_over(self, connection):
        complete = False
        try:
            result = await self._exchange_messages(connection)
            complete = True
            return result
        finally:
            if complete:
                self._connections.put_back(self._target, connection)
            else:
                connection.close()

    async def _exchange_messages(self, connection):
        """Send the request, receive the response and forward it."""
        left_s = self._command.deadline_s - asyncio.get_running_loop().time()
        exchange = self._caller.exchange
        headers = request_headers(exchange.headers, self._target.address, left_s)
        if asyncio.get_running_loop().time() >= self._command.send_by_s:
            raise ConnectionAbortedError("hold expired before the request was sent")
        self._started = True
        if self._caller.body is not None:
            await connection.send_whole(
                exchange.method, exchange.target, headers, self._caller.body
            )
            head = await connection.receive_head()
        else:
            head = await self._upload(connection, headers)
        if not connection.has_delimited_body(exchange.method, head):
            raise ConnectionAbortedError("response body has no defined length")
        if _reports_not_run(head):
            async for _ in connection.receive_body():
                pass
            return AttemptResult.SHED
        return await self._forward_response(connection, head)

    async def _upload(self, connection, headers):
        """Stream the request body until it ends or the target responds.

        Returns:
            The head of the response.
        """
        exchange = self._caller.exchange
        await connection.send_head(exchange.method, exchange.target, headers)
        sending = asyncio.ensure_future(self._send_chunks(connection))
        head = asyncio.ensure_future(connection.receive_head())
        try:
            await asyncio.wait((sending, head), return_when=asyncio.FIRST_COMPLETED)
            if not head.done():
                _raise_caller_failure(sending)
            return await head
        finally:
            sending.cancel()
            head.cancel()
            await asyncio.wait((sending, head))
            # Retrieve the exception, or asyncio logs that it was never retrieved.
            _ = sending.cancelled() or sending.exception()

    async def _send_chunks(self, connection):
        chunks = self._caller.body_chunks()
        try:
            async for chunk in chunks:
                await connection.send_data(chunk)
        finally:
            await chunks.aclose()
        await connection.send_end()

    async def _forward_response(self, connection, head):
        body = None
        if _is_small(head):
            # Buffered, so that the router can still retry the request if the response
            # is cut off.
            body = b"".join([chunk async for chunk in connection.receive_body()])
        if not self._claim_response(self._command.attempt_id):
            raise asyncio.CancelledError
        self._response_started = True
        if body is None:
            await self._caller.stream_response(head, connection.receive_body())
        else:
            await self._caller.send_response(head, body)
        failed = head.status_code >= 500
        return AttemptResult.FAILED if failed else AttemptResult.ANSWERED


def _is_small(head):
    length = header(head.headers, b"content-length")
    return length is not None and int(length) <= BUFFERED_RESPONSE_BYTES_MAX


def _reports_not_run(head):
    """Return whether the target reports that it did not execute the request."""
    state = header(head.headers, TARGET_STATE_HEADER)
    return head.status_code == 503 and state in NOT_RUN_STATES


def _raise_caller_failure(sending):
    """Raise the CallerFailure of a finished upload, if any.

    Other errors are ignored, as a target that stopped reading may still respond.
    """
    error = sending.exception()
    if isinstance(error, CallerFailure):
        raise error
