"""Forward a caller's request to a target and send the response."""

import asyncio
import functools

import attrs
import h11
from returns.result import Failure, Success

from sesamespring.gateway.attempt import (
    Attempt,
    AttemptResult,
    OutgoingRequest,
    without_framing,
)
from sesamespring.gateway.bodies import read_body
from sesamespring.gateway.caller_responses import (
    ResponseAborted,
    send_response,
    stream_response,
)
from sesamespring.gateway.content_admission import ContentAdmission
from sesamespring.gateway.request_report import RequestReport
from sesamespring.http.headers import FRAMING_HEADERS, end_to_end_headers, header
from sesamespring.http.incoming import CallerDisconnected
from sesamespring.platform.headers import (
    local_response_headers,
    read_request_id,
    read_timeout_s,
)
from sesamespring.routing.messages import (
    AttemptEnded,
    Dispatch,
    Outcome,
    Refusal,
    ScheduledRequest,
)

__all__ = ["RequestForwarder", "GatewayContext"]

ATTEMPTS_TOTAL_MAX = 6
RETRY_AFTER_NO_SLOT_S = 0.5
# A VM that has just started receives its configuration soon.
RETRY_AFTER_STARTING_S = 0.2
RETRY_AFTER_NO_ATTEMPT_S = 0.05
# Statuses from which a caller concludes that its request has not run. A target's own
# failure with one of them is not passed on, as the target may have run the request.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
CALLER_DISCONNECTED = object()
DEADLINE_REACHED = object()
CONTENT_QUARANTINED = object()


@attrs.define
class GatewayContext:
    """State shared by all requests of a VM.

    Attributes:
        cluster_state: The ClusterState.
        routes: The RouteTable, or None before the first configuration.
        slot_client: The SlotClient.
        target_connections: The TargetConnectionPool.
        limits: The TargetLimits.
        quarantine: The RequestQuarantine.
        counters: The Counters.
        log: The EventLog.
        data_centre: Name of this VM's data centre.
        longest_timeouts_s: Dict by route name of the longest timeout that a caller has
            stated, in seconds.
        forwarders: Set of the RequestForwarders that wait for a target or a response.
    """

    cluster_state: object
    routes: object
    slot_client: object
    target_connections: object
    limits: object
    quarantine: object
    counters: object
    log: object
    data_centre: str
    longest_timeouts_s: dict = attrs.field(factory=dict)
    forwarders: set = attrs.field(factory=set)

    def content_quarantined(self, content):
        """End the requests with this content that wait for a target."""
        for forwarder in tuple(self.forwarders):
            forwarder.content_quarantined(content)


@attrs.frozen
class _LocalResponse:
    """A response without body that this VM generates; ``reason`` is logged."""

    status: int
    reason: str
    retry_after_s: float | None = None


class RequestForwarder:
    """Forwards one request of a caller.

    Commands of the scheduler, results of attempts, the deadline and the caller's
    disconnect are put into one queue and handled in order.

    Args:
        incoming: The IncomingRequest.
        context: The GatewayContext.
    """

    def __init__(self, incoming, context):
        self._incoming = incoming
        self._context = context
        self._loop = asyncio.get_running_loop()
        self._inbox = asyncio.Queue()
        self._report = RequestReport(incoming, context)
        self._route = None
        self._service = None
        self._outgoing = None
        self._slot_request = None
        self._tasks = {}
        self._admission = ContentAdmission(self._report, context)
        self._may_have_run = False
        self._failed_response = None
        self._last_reason = ""

    async def run(self):
        """Forward the request and respond, unless the caller disconnects."""
        try:
            validated = self._validate()
            if isinstance(validated, Failure):
                self._respond_locally(validated.failure())
                return
            await self._forward(*validated.unwrap())
        except CallerDisconnected:
            self._report.finished(0, "caller-gone")
        except h11.ProtocolError as error:
            if self._incoming.response_started:
                self._incoming.abort()
            else:
                self._respond_locally(_LocalResponse(400, f"malformed body: {error}"))

    def _validate(self):
        """Check the request's head.

        Returns:
            Success of the pair of Route and timeout in seconds, or Failure of a
            _LocalResponse.
        """
        context, incoming = self._context, self._incoming
        configuration = context.cluster_state.configuration
        if configuration is None or not context.cluster_state.ready:
            return Failure(
                _LocalResponse(503, "no-configuration", RETRY_AFTER_STARTING_S)
            )
        headers = incoming.headers
        self._report.request_id = read_request_id(headers)
        host = header(headers, b"host", "").lower()
        route = context.routes.select(host, incoming.target)
        if route is None:
            return Failure(_LocalResponse(404, "no-route"))
        if self._report.request_id is None:
            return Failure(_LocalResponse(400, "no request id"))
        length = header(headers, b"content-length", "0")
        if int(length) > configuration.limits.body_bytes_max:
            return Failure(_LocalResponse(413, "body-too-large"))
        timeout_s = read_timeout_s(headers)
        return Success((route, route.timeout_s if timeout_s is None else timeout_s))

    async def _forward(self, route, timeout_s):
        incoming = self._incoming
        self._route = route
        self._service = self._context.routes.choose_service(route)
        self._report.route = route.name
        self._report.service = self._service
        arrived_s = incoming.arrived_s
        deadline_s = arrived_s + min(timeout_s, route.timeout_s)
        limit = self._context.cluster_state.configuration.limits.body_bytes_max
        body = await read_body(incoming, deadline_s, limit)
        self._report.body_start = body.start
        if not self._admission.admit():
            self._reject_quarantined()
            return
        headers = end_to_end_headers(incoming.headers)
        self._outgoing = OutgoingRequest(
            method=incoming.method,
            target=incoming.target,
            headers=without_framing(headers),
            request_id=self._report.request_id,
            body=body.buffered,
            framing=[pair for pair in incoming.headers if pair[0] in FRAMING_HEADERS],
            pieces=body.pieces,
            idempotent=route.idempotent,
        )
        request = ScheduledRequest(
            number=0,
            route=route.name,
            goal_s=route.goal_s,
            priority=route.priority,
            due_s=arrived_s + route.goal_s - self._elapsed_at_caller_s(timeout_s),
            deadline_s=deadline_s,
            idempotent=route.idempotent,
            attempts_left=route.attempts_max,
            data_centre=self._context.data_centre,
        )
        incoming.on_disconnect = lambda: self._inbox.put_nowait(CALLER_DISCONNECTED)
        timer = self._loop.call_at(deadline_s, self._inbox.put_nowait, DEADLINE_REACHED)
        slot_client = self._context.slot_client
        self._slot_request = slot_client.submit(
            self._service, request, self._inbox.put_nowait
        )
        self._context.forwarders.add(self)
        try:
            await self._process_messages()
        finally:
            self._context.forwarders.discard(self)
            timer.cancel()
            slot_client.withdraw(self._slot_request)
            await self._cancel_attempts()

    def _elapsed_at_caller_s(self, timeout_s):
        """Estimate how long the caller has been trying already, in seconds.

        The longest timeout seen on the route is taken for the timeout of a first try; a
        caller that retries states what is left of it.
        """
        timeouts_s = self._context.longest_timeouts_s
        longest_s = max(timeout_s, timeouts_s.get(self._route.name, 0.0))
        timeouts_s[self._route.name] = longest_s
        return longest_s - timeout_s

    async def _process_messages(self):
        while True:
            message = await self._inbox.get()
            if isinstance(message, Dispatch):
                if self._handle_dispatch(message):
                    return
            elif isinstance(message, Refusal):
                if self._handle_refusal(message):
                    return
            elif isinstance(message, AttemptResult):
                if await self._handle_result(message):
                    return
            elif message is CALLER_DISCONNECTED:
                # A non-idempotent request that is in progress is completed: the caller
                # may still find out its outcome.
                if self._route.idempotent or not self._tasks:
                    self._report.finished(0, "caller-gone")
                    return
            elif message is CONTENT_QUARANTINED:
                if not self._tasks and not self._admission.is_permitted():
                    self._reject_quarantined()
                    return
            elif message is DEADLINE_REACHED:
                self._handle_deadline()
                return

    def content_quarantined(self, content):
        """End the request if it has this content and waits for a target."""
        if self._report.content_id == content:
            self._inbox.put_nowait(CONTENT_QUARANTINED)

    def _reject_quarantined(self):
        """Send the final response to a request that is kept from targets."""
        self._context.counters.add("quarantined_requests", service=self._service)
        self._respond_finally("quarantined", self._admission.retry_after_s)

    def _handle_dispatch(self, dispatch):
        """Start an attempt unless the content is kept back.

        Returns:
            Whether the request is done.
        """
        if self._admission.is_permitted():
            self._start_attempt(dispatch)
            return False
        unused = AttemptEnded(dispatch.attempt, Outcome.CANCELLED, 0.0)
        self._context.slot_client.finish_attempt(self._slot_request, unused)
        if self._tasks:
            return False
        self._reject_quarantined()
        return True

    def _start_attempt(self, dispatch):
        self._admission.attempt_started()
        attempt = Attempt(
            dispatch,
            self._outgoing,
            self._context.target_connections,
            dispatch.request.deadline_s,
        )
        task = self._loop.create_task(attempt.run())
        self._tasks[dispatch.attempt] = task
        task.add_done_callback(lambda ended: self._post_result(dispatch, ended))
        self._report.decider = self._decider
        self._report.attempt_started(dispatch)

    @property
    def _decider(self):
        """Name of the VM that scheduled the request last, for the log."""
        decider = self._slot_request.decider if self._slot_request else None
        return decider.name if decider else "here"

    def _post_result(self, dispatch, task):
        if task.cancelled():
            end = AttemptEnded(dispatch.attempt, Outcome.CANCELLED, 0.0)
            self._inbox.put_nowait(AttemptResult(end, dispatch.entry, None))
            return
        result = task.result()
        self._context.limits.record_response(result.entry.key, result.end.limit_per_s)
        if not result.is_streamed:
            outcome = result.end.outcome
            self._admission.attempt_ended(result.entry, outcome, result.target_crashed)
        self._inbox.put_nowait(result)

    def _handle_refusal(self, refusal):
        """Send the final response, unless an attempt is still in progress.

        Returns:
            Whether the request is done.
        """
        if self._tasks:
            return False
        self._report.decider = self._decider
        self._report.slot_refused(refusal)
        self._respond_finally(refusal.reason.value, refusal.retry_after_s)
        return True

    async def _handle_result(self, result):
        """Handle the end of an attempt and return whether the request is done."""
        self._tasks.pop(result.end.attempt, None)
        outcome = result.end.outcome
        self._report.attempt_ended(result, failed=outcome is not Outcome.ANSWERED)
        if result.is_streamed:
            return await self._stream_response(result)
        self._context.slot_client.finish_attempt(self._slot_request, result.end)
        if outcome is Outcome.ANSWERED:
            send_response(self._incoming, result.response)
            self._report.finished(result.response.status, "answered")
            return True
        self._last_reason = result.reason or outcome.value
        if not outcome.not_run:
            self._may_have_run = True
        if outcome is Outcome.FAILED:
            self._failed_response = result.response
        return self._retry(result)

    def _retry(self, result):
        """Request a slot for another attempt, or send the final response.

        Returns:
            Whether the request is done.
        """
        if self._tasks:
            return False
        outcome = result.end.outcome
        request = self._slot_request.request
        if outcome in (Outcome.NOT_SENT, Outcome.REJECTED, Outcome.MISDIRECTED):
            request.attempts_left += 1
        may_retry = outcome.not_run or self._route.idempotent
        if outcome is Outcome.NOT_SENT and request.attempts_left > 0:
            request.extra = self._report.attempts > 1
        elif may_retry:
            may_retry = self._context.slot_client.may_retry(self._slot_request)
        body_buffered = self._outgoing.body is not None
        if not self._admission.is_permitted():
            self._reject_quarantined()
            return True
        if may_retry and body_buffered and self._report.attempts < ATTEMPTS_TOTAL_MAX:
            self._context.slot_client.resubmit(self._slot_request)
            return False
        # No attempt is left here, but another target may run it at once.
        self._respond_finally(self._last_reason, RETRY_AFTER_NO_ATTEMPT_S)
        return True

    def _respond_finally(self, reason, retry_after_s):
        """Send the final response to a request that is not sent to a target again.

        Args:
            reason: Why not, for the log.
            retry_after_s: Seconds after which the caller may try again, told only if
                the request has not run.
        """
        if self._failed_response is not None:
            self._send_failed_response()
        elif self._may_have_run:
            self._respond_locally(_LocalResponse(502, self._last_reason))
        else:
            self._respond_locally(_LocalResponse(503, reason, retry_after_s))

    def _handle_deadline(self):
        running = bool(self._tasks) or self._may_have_run
        if running:
            self._respond_locally(_LocalResponse(504, "no answer in time"))
        else:
            self._respond_locally(
                _LocalResponse(503, "no slot in time", RETRY_AFTER_NO_SLOT_S)
            )

    def _send_failed_response(self):
        """Send the failure response of a target to the caller."""
        if self._failed_response.status in NOT_RUN_STATUSES:
            self._respond_locally(
                _LocalResponse(502, f"target answered {self._failed_response.status}")
            )
            return
        send_response(self._incoming, self._failed_response)
        self._report.finished(self._failed_response.status, "failed-at-target")

    async def _stream_response(self, result):
        """Stream a response to the caller and return True, as it is the final one."""
        outcome = Outcome.BROKEN
        crashed = False
        self._cancel_others(result.end.attempt)
        channel = result.response.channel
        deadline_s = self._slot_request.request.deadline_s
        connections = self._context.target_connections
        has_target_ended = functools.partial(connections.refuses, result.entry)
        try:
            await stream_response(
                self._incoming, result.response, deadline_s, has_target_ended
            )
            outcome = result.end.outcome
            self._report.finished(result.response.status, "answered")
        except ResponseAborted as error:
            self._report.finished(0, str(error))
            if channel.failed:
                crashed = await has_target_ended()
        finally:
            if outcome is Outcome.BROKEN:
                channel.abort()
            else:
                connections.put_back(result.entry, channel, None)
            end = attrs.evolve(result.end, outcome=outcome)
            self._context.slot_client.finish_attempt(self._slot_request, end)
            self._admission.attempt_ended(result.entry, outcome, crashed)
        return True

    def _cancel_others(self, attempt):
        for number, task in self._tasks.items():
            if number != attempt:
                task.cancel()

    async def _cancel_attempts(self):
        """Cancel the attempts in progress and report how each ended."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks)
        while not self._inbox.empty():
            message = self._inbox.get_nowait()
            if isinstance(message, AttemptResult):
                if message.is_streamed:
                    message.response.channel.abort()
                self._context.slot_client.finish_attempt(
                    self._slot_request, message.end
                )
            elif isinstance(message, Dispatch):
                unused = AttemptEnded(message.attempt, Outcome.CANCELLED, 0.0)
                self._context.slot_client.finish_attempt(self._slot_request, unused)

    def _respond_locally(self, response):
        headers = local_response_headers(
            self._report.request_id, response.retry_after_s
        )
        self._incoming.send_whole(response.status, headers, b"")
        self._report.finished(response.status, response.reason)
