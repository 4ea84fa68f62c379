"""Forward a caller's request to a target and send the response."""

import asyncio
import functools

import attrs
import h11
from returns.result import Failure

from sesamespring.gateway.callers.attempt_history import AttemptHistory, LocalResponse
from sesamespring.gateway.callers.bodies import BodyTooSlow, read_body
from sesamespring.gateway.callers.caller_responses import (
    ResponseAborted,
    send_response,
    stream_response,
)
from sesamespring.gateway.callers.content_admission import ContentAdmission
from sesamespring.gateway.callers.request_accounts import KEY_UNKNOWN
from sesamespring.gateway.callers.request_checks import check_request
from sesamespring.gateway.callers.request_report import RequestReport
from sesamespring.gateway.targets.attempt import Attempt
from sesamespring.gateway.targets.attempt_data import (
    AttemptResult,
    OutgoingRequest,
    without_framing,
)
from sesamespring.http.headers import FRAMING_HEADERS, end_to_end_headers
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
    RefusalReason,
    ScheduledRequest,
)

__all__ = ["RequestForwarder"]

ATTEMPTS_TOTAL_MAX = 6
# Time that a caller which states none is taken to have, before its route is known.
TIMEOUT_UNSTATED_S = 1.0
RETRY_AFTER_NO_SLOT_S = 0.5
RETRY_AFTER_NO_ATTEMPT_S = 0.05
CALLER_DISCONNECTED = object()
DEADLINE_REACHED = object()
CONTENT_QUARANTINED = object()
PROCESS_ENDS = object()


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
        self._account = None
        self._service = None
        self._outgoing = None
        self._slot_request = None
        self._tasks = {}
        self._caller_gone = False
        self._admission = ContentAdmission(self._report, context)
        self._history = AttemptHistory()

    async def run(self):
        """Forward the request and respond, unless the caller disconnects."""
        try:
            self._report.request_id = read_request_id(self._incoming.headers)
            await self._wait_until_ready()
            checked = check_request(self._incoming, self._context)
            if isinstance(checked, Failure):
                self._respond_locally(checked.failure())
                return
            await self._forward(checked.unwrap())
        except CallerDisconnected:
            self._report.finished(0, "caller-gone")
        except BodyTooSlow:
            # Not sent to any target, as the body was not complete.
            self._respond_locally(LocalResponse(408, "body-too-slow"))
        except h11.ProtocolError:
            if self._incoming.response_started:
                self._incoming.abort()
            else:
                # The error's text may have a part of the next request's head.
                self._respond_locally(LocalResponse(400, "malformed-body"))

    async def _wait_until_ready(self):
        """Wait for the configuration and the targets if this VM has just started.

        Raises:
            CallerDisconnected: The caller has disconnected in the meantime.
        """
        cluster_state = self._context.cluster_state
        if cluster_state.ready:
            return
        timeout_s = read_timeout_s(self._incoming.headers)
        await cluster_state.wait_until_ready(
            TIMEOUT_UNSTATED_S if timeout_s is None else timeout_s
        )
        if self._incoming.disconnected:
            raise CallerDisconnected

    async def _forward(self, routed):
        incoming = self._incoming
        route = self._route = routed.route
        account = self._account = routed.account
        self._service = self._context.routes.choose_service(route)
        self._report.route = route.name
        self._report.service = self._service
        self._report.account = account.name
        arrived_s = incoming.arrived_s
        deadline_s = arrived_s + min(routed.timeout_s, route.timeout_s)
        limit = self._context.cluster_state.configuration.limits.body_bytes_max
        body = await read_body(incoming, deadline_s, limit)
        self._report.body_start = body.start
        if not self._admission.admit():
            self._reject_quarantined()
            return
        self._outgoing = self._make_outgoing(body)
        elapsed_s = self._elapsed_at_caller_s(routed.timeout_s)
        request = ScheduledRequest(
            number=0,
            route=route.name,
            goal_s=route.goal_s,
            priority=account.priority(route),
            due_s=arrived_s + route.goal_s - elapsed_s,
            deadline_s=deadline_s,
            # A body that is streamed cannot be sent to two targets at a time.
            idempotent=route.idempotent and not body.is_streamed,
            attempts_left=route.attempts_max,
            data_centre=self._context.data_centre,
            account=account.name,
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

    def _make_outgoing(self, body):
        """Return the OutgoingRequest with a body."""
        incoming = self._incoming
        headers = end_to_end_headers(incoming.headers)
        return OutgoingRequest(
            method=incoming.method,
            target=incoming.target,
            headers=without_framing(headers),
            request_id=self._report.request_id,
            body=body,
            framing=[pair for pair in incoming.headers if pair[0] in FRAMING_HEADERS],
            idempotent=self._route.idempotent,
            caller=incoming.caller_ip,
            account=self._account.name,
        )

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
                self._caller_gone = True
                if self._route.idempotent or not self._tasks:
                    self._report.finished(0, "caller-gone")
                    return
            elif message is CONTENT_QUARANTINED:
                if not self._tasks and not self._admission.is_permitted():
                    self._reject_quarantined()
                    return
            elif message is PROCESS_ENDS:
                if not self._tasks and not self._history.may_have_run:
                    self._respond_locally(
                        LocalResponse(503, "stopping", RETRY_AFTER_NO_ATTEMPT_S)
                    )
                    return
            elif message is DEADLINE_REACHED:
                self._handle_deadline()
                return

    def content_quarantined(self, content):
        """End the request if it has this content and waits for a target."""
        if self._admission.concerns(content):
            self._inbox.put_nowait(CONTENT_QUARANTINED)

    def process_ends(self):
        """Send the final response if the request waits for a target in vain."""
        self._inbox.put_nowait(PROCESS_ENDS)

    def _reject_quarantined(self):
        """Send the final response to a request that is kept from targets."""
        self._context.counters.add("quarantined_requests", service=self._service)
        self._respond_finally("quarantined", self._admission.retry_after_s)

    def _handle_dispatch(self, dispatch):
        """Start an attempt unless the content is kept back or the key has gone.

        Returns:
            Whether the request is done.
        """
        is_key_known = self._is_key_known()
        if is_key_known and self._admission.is_permitted():
            self._start_attempt(dispatch)
            return False
        self._give_back(dispatch)
        if self._tasks:
            return False
        if is_key_known:
            self._reject_quarantined()
        else:
            self._reject_unknown_key()
        return True

    def _is_key_known(self):
        """Check the key again, and return whether another attempt may start."""
        self._account.update(self._context.cluster_state.account_keys)
        if self._outgoing.account != self._account.name:
            # The key was moved to another account while the request waited.
            self._outgoing = attrs.evolve(self._outgoing, account=self._account.name)
            self._report.account = self._account.name
        return self._account.permitted

    def _reject_unknown_key(self):
        """Send the final response to a request whose key was taken away meanwhile."""
        if self._history.may_have_run:
            self._respond_finally(KEY_UNKNOWN.reason, None)
        else:
            self._respond_locally(KEY_UNKNOWN)

    def _start_attempt(self, dispatch):
        self._admission.attempt_started()
        attempt = Attempt(
            dispatch,
            self._outgoing,
            self._context.paths,
            self._context.availability,
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
        over_quota = refusal.reason is RefusalReason.OVER_QUOTA
        if not over_quota:
            self._report.slot_refused(refusal)
        status = 429 if over_quota else 503
        self._respond_finally(refusal.reason.value, refusal.retry_after_s, status)
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
        self._history.record(result)
        return self._retry(result)

    def _retry(self, result):
        """Request a slot for another attempt, or send the final response.

        Returns:
            Whether the request is done.
        """
        if self._tasks:
            return False
        if self._caller_gone:
            self._report.finished(0, "caller-gone")
            return True
        outcome = result.end.outcome
        request = self._slot_request.request
        if outcome in (Outcome.NOT_SENT, Outcome.REJECTED, Outcome.MISDIRECTED):
            request.attempts_left += 1
        may_retry = outcome.not_run or self._route.idempotent
        if outcome is Outcome.NOT_SENT and request.attempts_left > 0:
            request.extra = self._report.attempts > 1
        elif may_retry:
            may_retry = self._context.slot_client.may_retry(self._slot_request)
        if not self._admission.is_permitted():
            self._reject_quarantined()
            return True
        if not self._is_key_known():
            self._reject_unknown_key()
            return True
        may_retry = may_retry and self._outgoing.body.may_send_again
        if may_retry and self._report.attempts < ATTEMPTS_TOTAL_MAX:
            self._context.slot_client.resubmit(self._slot_request)
            return False
        # No attempt is left here, but another target may run it at once.
        self._respond_finally(self._history.last_reason, RETRY_AFTER_NO_ATTEMPT_S)
        return True

    def _respond_finally(self, reason, retry_after_s, status=503):
        """Send the final response; see ``AttemptHistory.final_response``."""
        response = self._history.final_response(reason, retry_after_s, status)
        if isinstance(response, LocalResponse):
            self._respond_locally(response)
            return
        send_response(self._incoming, response)
        self._report.finished(response.status, "failed-at-target")

    def _handle_deadline(self):
        if self._tasks or self._history.may_have_run:
            response = LocalResponse(504, "no answer in time")
        else:
            response = LocalResponse(503, "no slot in time", RETRY_AFTER_NO_SLOT_S)
        self._respond_locally(response)

    async def _stream_response(self, result):
        """Stream a response to the caller and return True, as it is the final one."""
        outcome = Outcome.BROKEN
        crashed = False
        self._cancel_others(result.end.attempt)
        channel = result.response.channel
        deadline_s = self._slot_request.request.deadline_s
        has_target_ended = functools.partial(self._has_target_ended, result)
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
                self._put_back(result)
            end = attrs.evolve(result.end, outcome=outcome)
            self._context.slot_client.finish_attempt(self._slot_request, end)
            self._admission.attempt_ended(result.entry, outcome, crashed)
        return True

    async def _has_target_ended(self, result):
        """Return whether the target that sends a response has ended, as far as known.

        A VM that made the attempt cuts its own response short in that case.
        """
        if result.relay is not None:
            return False
        return await self._context.target_connections.refuses(result.entry)

    def _put_back(self, result):
        """Keep the connection of a streamed response that is complete."""
        channel = result.response.channel
        if result.relay is not None:
            pool = self._context.paths.relay_connections
            pool.put_back(result.relay, channel, None)
        else:
            self._context.target_connections.put_back(result.entry, channel, None)

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
                self._give_back(message)

    def _give_back(self, dispatch):
        """Free the slot of a Dispatch that is not used."""
        unused = AttemptEnded(dispatch.attempt, Outcome.CANCELLED, 0.0)
        self._context.slot_client.finish_attempt(self._slot_request, unused)

    def _respond_locally(self, response):
        headers = local_response_headers(
            self._report.request_id, response.retry_after_s
        )
        self._incoming.send_whole(response.status, headers, b"")
        self._report.finished(response.status, response.reason)
