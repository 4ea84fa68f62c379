"""Forward one caller's request to targets and send the final response.

The router decides on attempts. The RequestForwarder receives its commands, the ends
of attempts and events of the caller through one inbox.
"""

import asyncio
import time

import attrs
from returns.result import Failure

from sesamespring.decisions.idempotency import StoredResponse
from sesamespring.decisions.messages import (
    AttemptResult,
    CancelAttempt,
    FailRequest,
    SendAttempt,
)
from sesamespring.entry.attempt import AttemptDone
from sesamespring.entry.attempt_group import AttemptGroup
from sesamespring.entry.caller_side import CallerFailure, CallerSide
from sesamespring.entry.headers import (
    IDEMPOTENCY_KEY_HEADER,
    request_timeout_s,
)
from sesamespring.entry.recording import RecordedCall
from sesamespring.errors import ErrorKind
from sesamespring.http import header

__all__ = ["RequestForwarder"]

SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
IDEMPOTENT_METHODS = SAFE_METHODS | {"PUT", "DELETE"}
HTTP_VERSION = "1.1"
# Refusals of a key after which another VM may still have executed the request.
OUTCOME_UNKNOWN_KINDS = frozenset({ErrorKind.KEY_STORE_AWAY, ErrorKind.QUEUE_FULL})
CALLER_DISCONNECTED = "caller-gone"
CUT = "cut"
REPLAYED = "replayed"


@attrs.frozen
class _CallerDisconnected:
    """The caller closed its connection."""


@attrs.frozen
class _DeadlinePassed:
    """The caller's deadline has passed."""


@attrs.frozen
class _Ending:
    """How a request ended.

    Attributes:
        label: Value of the metrics' ``outcome`` label.
        kind: The ErrorKind still to be sent as a response, or None.
        retry_after_s: Value of Retry-After in whole seconds, or None for the default of
            the kind.
    """

    label: str
    kind: ErrorKind | None = None
    retry_after_s: int | None = None


def _refusal(kind, retry_after_s=None):
    return _Ending(kind.value, kind, retry_after_s)


class RequestForwarder:
    """Forwards one request of a caller to the targets of a service.

    Args:
        exchange: The ServerExchange.
        runner: The ServiceRunner of the service.
        connections: The TargetConnectionPool.
        metrics: The Metrics.
        keys: The KeyAdmission.
        recorder: The CallRecorder.
    """

    def __init__(self, exchange, runner, connections, metrics, keys, recorder):
        self._exchange = exchange
        self._runner = runner
        self._connections = connections
        self._metrics = metrics
        self._keys = keys
        self._recorder = recorder
        self._loop = asyncio.get_running_loop()
        self._caller = CallerSide(exchange)
        self._arrived_s = self._loop.time()
        self._deadline_s = 0.0
        self._inbox = None
        self._attempts = None
        self._key_claim = None
        key = header(exchange.headers, IDEMPOTENCY_KEY_HEADER)
        self._key = None if exchange.method in SAFE_METHODS else key
        # With a key, another VM may have executed an earlier copy of the request.
        self._outcome_known = self._key is None
        self._idempotent = self._key is None and exchange.method in IDEMPOTENT_METHODS

    async def run(self):
        """Forward the request, send the response and update the metrics."""
        started_s = time.monotonic()
        label = CUT
        try:
            label = await self._run()
        finally:
            service = self._runner.service.name
            self._metrics.requests.labels(service, label).inc()
            taken_s = time.monotonic() - started_s
            self._metrics.request_seconds.labels(service).observe(taken_s)

    async def _run(self):
        timeout_s = request_timeout_s(
            self._exchange.headers, self._runner.service.deadline_ms
        )
        if timeout_s is None:
            return await self._refuse(ErrorKind.MALFORMED, "Request-Timeout-Ms")
        if self._exchange.http_version != HTTP_VERSION:
            return await self._refuse(ErrorKind.MALFORMED, "HTTP/1.1 is needed")
        self._deadline_s = self._loop.time() + timeout_s
        try:
            await self._caller.read_small_body(self._deadline_s)
        except CallerFailure as failure:
            return await self._end_with_failure(failure)
        if self._key is None:
            return await self._forward()
        return await self._forward_with_key()

    async def _refuse(self, kind, detail="", retry_after_s=None):
        may_have_run = not self._outcome_known
        if self._attempts is not None:
            may_have_run = may_have_run or self._attempts.may_have_run
        await self._exchange.refuse(kind, detail, retry_after_s, may_have_run)
        return kind.value

    async def _end_with_failure(self, failure):
        if failure.kind is None:
            self._exchange.stream.abort()
            return CALLER_DISCONNECTED
        return await self._refuse(failure.kind)

    async def _forward_with_key(self):
        try:
            async with asyncio.timeout_at(self._deadline_s):
                admission = await self._keys.admit(
                    self._runner.service.name,
                    self._key,
                    self._exchange,
                    self._caller.body,
                )
        except TimeoutError:
            return await self._refuse(ErrorKind.DEADLINE_UNREACHABLE)
        if isinstance(admission, Failure):
            return await self._respond_without_sending(admission.failure())
        self._key_claim = admission.unwrap()
        self._outcome_known = True
        self._caller.continue_without_caller()
        return await self._forward()

    async def _respond_without_sending(self, reason):
        """Send the response for a key that was not admitted.

        Args:
            reason: The StoredResponse to replay, or a KeyRefusal.
        """
        if isinstance(reason, StoredResponse):
            await self._replay(reason)
            return REPLAYED
        self._outcome_known = reason.kind not in OUTCOME_UNKNOWN_KINDS
        return await self._refuse(reason.kind, reason.detail, reason.retry_after_s)

    async def _replay(self, response):
        await self._exchange.send_whole(
            response.status,
            response.body,
            [("Idempotent-Replayed", "true")],
            content_type=response.content_type,
        )

    async def _forward(self):
        ending = _Ending(CUT)
        try:
            ending = await self._run_attempts()
        finally:
            self._end_key_claim()
        if ending.kind is not None:
            return await self._refuse(ending.kind, retry_after_s=ending.retry_after_s)
        if ending.label in (CUT, CALLER_DISCONNECTED):
            self._exchange.stream.abort()
        return ending.label

    async def _run_attempts(self):
        """Submit the request to the router and run attempts until the request ends.

        Returns:
            The _Ending.
        """
        request_id, self._inbox = self._runner.submit(
            self._deadline_s, self._idempotent, self._caller.body is not None
        )
        self._attempts = AttemptGroup(
            self._caller, self._connections, self._idempotent, self._inbox
        )
        timer = self._loop.call_at(
            self._deadline_s, self._inbox.put_nowait, _DeadlinePassed()
        )
        self._caller.watch_disconnect(self._post_caller_disconnected)
        try:
            return await self._process_inbox()
        finally:
            timer.cancel()
            # Withdrawn before the attempts are ended, so that the router starts no
            # further attempt when their ends are reported.
            self._runner.withdraw(request_id)
            await self._end_attempts()
            self._caller.unwatch_disconnect()

    async def _process_inbox(self):
        """Handle messages until one ends the request; return the _Ending."""
        handlers = {
            SendAttempt: self._on_send_attempt,
            CancelAttempt: self._on_cancel_attempt,
            FailRequest: self._on_fail_request,
            AttemptDone: self._on_attempt_done,
            _CallerDisconnected: self._on_caller_disconnected,
            _DeadlinePassed: self._on_deadline_passed,
        }
        while True:
            message = await self._inbox.get()
            ending = handlers[type(message)](message)
            if ending is not None:
                return ending

    def _on_send_attempt(self, command):
        self._attempts.start(command, self._runner.target(command.target))

    def _on_cancel_attempt(self, command):
        self._attempts.cancel(command.attempt_id)

    def _on_fail_request(self, command):
        if self._attempts.has_winner:
            return None
        return _refusal(command.kind, command.retry_after_s)

    def _on_attempt_done(self, done):
        attempt = self._attempts.finish(done)
        if attempt is None:
            return None
        self._runner.finish_attempt(done.attempt_id, done.result)
        if done.result in (AttemptResult.ANSWERED, AttemptResult.FAILED):
            self._record(done)
            return _Ending(done.result.value)
        if done.caller_failure is not None:
            return self._ending_of_failure(done.caller_failure)
        return _Ending(CUT) if attempt.response_started else None

    def _record(self, done):
        headers = self._exchange.headers
        self._recorder.record(
            RecordedCall(
                self._arrived_s,
                self._runner.service.name,
                self._idempotent,
                self._deadline_s - self._arrived_s,
                int(header(headers, b"content-length", "0")),
                done.taken_s,
            )
        )

    def _ending_of_failure(self, failure):
        if failure.kind is None or self._attempts.has_winner:
            return _Ending(CALLER_DISCONNECTED)
        return _refusal(failure.kind)

    def _on_caller_disconnected(self, _):
        if self._key_claim is not None and self._attempts.in_progress:
            # The caller may repeat a request with a key to get its response.
            return None
        return _Ending(CALLER_DISCONNECTED)

    def _on_deadline_passed(self, _):
        if self._attempts.has_winner:
            return None
        if self._attempts.may_have_run:
            return _refusal(ErrorKind.DEADLINE_PASSED)
        return _refusal(ErrorKind.DEADLINE_UNREACHABLE)

    async def _end_attempts(self):
        for done in await self._attempts.stop():
            self._runner.finish_attempt(done.attempt_id, done.result)
        while not self._inbox.empty():
            message = self._inbox.get_nowait()
            if isinstance(message, SendAttempt):
                self._runner.finish_attempt(message.attempt_id, AttemptResult.CANCELLED)

    def _end_key_claim(self):
        if self._key_claim is None:
            return
        if self._caller.stored_response is not None:
            self._key_claim.finish(self._caller.stored_response)
        elif self._attempts.may_have_run:
            self._key_claim.mark_lost()
        else:
            self._key_claim.release()

    def _post_caller_disconnected(self):
        self._inbox.put_nowait(_CallerDisconnected())
