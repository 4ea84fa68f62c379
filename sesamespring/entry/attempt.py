"""Send one request to one target and pass the answer on if it is the first."""

import asyncio

import attrs
import h11

from sesamespring.decisions.messages import AttemptResult
from sesamespring.entry.caller_side import CallerFailure
from sesamespring.entry.headers import request_headers
from sesamespring.http import header

__all__ = ["Attempt", "AttemptDone"]

WHOLE_ANSWER_BYTES_MAX = 64 * 1024
TARGET_STATE_HEADER = b"target-state"
NOT_RUN_STATES = frozenset({"shedding", "draining"})


@attrs.frozen
class AttemptDone:
    """Say that an attempt has ended and its connection is given up.

    Attributes:
        attempt_id: Number of the attempt.
        result: The AttemptResult.
        caller_failure: The CallerFailure that ended it, or None.
        taken_s: Seconds that the attempt took.
    """

    attempt_id: int
    result: AttemptResult
    caller_failure: CallerFailure | None = None
    taken_s: float = 0.0


class Attempt:
    """One attempt at a target; it owns the connection while it runs.

    Args:
        command: The SendAttempt.
        target: The declared Target.
        caller: The CallerSide.
        connections: The TargetConnectionPool.
        idempotent: Whether the request may be sent more than once.
        claim_response: Function that says whether this attempt's answer is the first.
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
        """Whether a byte of the request may have left."""
        return self._started

    @property
    def response_started(self):
        """Whether the answer's head was passed on to the caller."""
        return self._response_started

    async def run(self):
        """Make the attempt and return its AttemptDone."""
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
                # The target may have closed the idle connection as the request left.
                if self._response_started or self._caller.body is None:
                    raise
        return await self._send_over(await self._connections.open(address))

    async def _send_over(self, connection):
        whole = False
        try:
            result = await self._converse(connection)
            whole = True
            return result
        finally:
            if whole:
                self._connections.put_back(self._target, connection)
            else:
                connection.close()

    async def _converse(self, connection):
        left_s = self._command.deadline_s - asyncio.get_running_loop().time()
        exchange = self._caller.exchange
        headers = request_headers(exchange.headers, self._target.address, left_s)
        if asyncio.get_running_loop().time() >= self._command.send_by_s:
            raise ConnectionAbortedError("the hold lapsed before the request was sent")
        self._started = True
        if self._caller.body is not None:
            await connection.send_whole(
                exchange.method, exchange.target, headers, self._caller.body
            )
            head = await connection.receive_head()
        else:
            head = await self._upload(connection, headers)
        if not connection.has_delimited_body(exchange.method, head):
            raise ConnectionAbortedError("the answer does not say where it ends")
        if _reports_not_run(head):
            async for _ in connection.receive_body():
                pass
            return AttemptResult.SHED
        return await self._pass_response(connection, head)

    async def _upload(self, connection, headers):
        """Stream the request body until it ends or the target answers."""
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
            # Read, so that asyncio does not report it as never retrieved.
            _ = sending.cancelled() or sending.exception()

    async def _send_chunks(self, connection):
        pieces = self._caller.body_chunks()
        try:
            async for piece in pieces:
                await connection.send_data(piece)
        finally:
            await pieces.aclose()
        await connection.send_end()

    async def _pass_response(self, connection, head):
        body = None
        if _is_small(head):
            # A small answer that is cut leaves the router free to do something else.
            body = b"".join([piece async for piece in connection.receive_body()])
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
    return length is not None and int(length) <= WHOLE_ANSWER_BYTES_MAX


def _reports_not_run(head):
    state = header(head.headers, TARGET_STATE_HEADER)
    return head.status_code == 503 and state in NOT_RUN_STATES


def _raise_caller_failure(sending):
    """Raise what the caller did; a target that stopped reading may still answer."""
    error = sending.exception()
    if isinstance(error, CallerFailure):
        raise error
