"""Serve one request of a caller, from its head to its final answer."""

import asyncio

import attrs
import h11
from returns.result import Failure, Success

from sesamespring.gateway.attempt import (
    Attempt,
    AttemptDone,
    Outgoing,
    without_framing,
)
from sesamespring.gateway.bodies import read_body
from sesamespring.gateway.caller_answers import BrokenOff, send_answer, stream_answer
from sesamespring.gateway.reporting import RequestReport
from sesamespring.http.headers import FRAMING_HEADERS, end_to_end_headers, header
from sesamespring.http.incoming import CallerDisconnected
from sesamespring.platform.headers import (
    read_request_id,
    read_timeout_s,
    refusal_headers,
)
from sesamespring.routing.messages import (
    AttemptEnd,
    Dispatch,
    Outcome,
    Refusal,
    ScheduledRequest,
)

__all__ = ["Forwarding", "GatewayContext"]

ATTEMPTS_TOTAL_MAX = 6
RETRY_AFTER_S = 0.5
# A VM that starts knows its configuration soon.
RETRY_STARTING_S = 0.2
RETRY_ELSEWHERE_S = 0.05
# Statuses that promise that a request has not run; a target's own may not say so.
PROMISES = frozenset({408, 421, 429, 503})
GONE = object()
OUT_OF_TIME = object()


@attrs.define
class GatewayContext:
    """What all requests of a VM share.

    Attributes:
        estate: The Estate.
        routes: The RouteTable, or None before the first configuration.
        slots: The Slots.
        channels: The TargetChannels.
        counters: The Counters.
        log: The EventLog.
        data_centre: The data centre of this VM.
        longest_timeouts_s: Dict by route of the longest time that a caller gave.
    """

    estate: object
    routes: object
    slots: object
    channels: object
    counters: object
    log: object
    data_centre: str
    longest_timeouts_s: dict = attrs.field(factory=dict)


@attrs.frozen
class _Refused:
    status: int
    reason: str
    retry_after_s: float | None = None


class Forwarding:
    """One request on its way to a target and back.

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
        self._ticket = None
        self._tasks = {}
        self._may_have_run = False
        self._failure = None
        self._last = ""

    async def run(self):
        """Answer the request."""
        try:
            checked = self._check()
            if isinstance(checked, Failure):
                self._refuse(checked.failure())
                return
            await self._forward(*checked.unwrap())
        except CallerDisconnected:
            self._report.finished(0, "caller-gone")
        except h11.ProtocolError as error:
            if self._incoming.response_started:
                self._incoming.abort()
            else:
                self._refuse(_Refused(400, f"malformed body: {error}"))

    def _check(self):
        """Return Success of Route and timeout in seconds, or Failure of _Refused."""
        context, incoming = self._context, self._incoming
        configuration = context.estate.configuration
        if configuration is None or not context.estate.ready:
            return Failure(_Refused(503, "no-configuration", RETRY_STARTING_S))
        headers = incoming.headers
        self._report.request_id = read_request_id(headers)
        host = header(headers, b"host", "").lower()
        route = context.routes.select(host, incoming.target)
        if route is None:
            return Failure(_Refused(404, "no-route"))
        if self._report.request_id is None:
            return Failure(_Refused(400, "no request id"))
        length = header(headers, b"content-length", "0")
        if int(length) > configuration.limits.body_bytes_max:
            return Failure(_Refused(413, "body-too-large"))
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
        limit = self._context.estate.configuration.limits.body_bytes_max
        body, pieces = await read_body(incoming, deadline_s, limit)
        headers = end_to_end_headers(incoming.headers)
        self._outgoing = Outgoing(
            method=incoming.method,
            target=incoming.target,
            headers=without_framing(headers),
            request_id=self._report.request_id,
            body=body,
            framing=[pair for pair in incoming.headers if pair[0] in FRAMING_HEADERS],
            pieces=pieces,
            idempotent=route.idempotent,
        )
        request = ScheduledRequest(
            number=0,
            route=route.name,
            goal_s=route.goal_s,
            priority=route.priority,
            due_s=arrived_s + route.goal_s - self._spent_s(timeout_s),
            deadline_s=deadline_s,
            idempotent=route.idempotent,
            attempts_left=route.attempts_max,
            data_centre=self._context.data_centre,
        )
        incoming.on_disconnect = lambda: self._inbox.put_nowait(GONE)
        timer = self._loop.call_at(deadline_s, self._inbox.put_nowait, OUT_OF_TIME)
        slots = self._context.slots
        self._ticket = slots.submit(self._service, request, self._inbox.put_nowait)
        try:
            await self._follow()
        finally:
            timer.cancel()
            slots.withdraw(self._ticket)
            await self._stop_attempts()

    def _spent_s(self, timeout_s):
        """Return how long the caller has tried before, from the time it has left."""
        longest = self._context.longest_timeouts_s
        longest_s = max(timeout_s, longest.get(self._route.name, 0.0))
        longest[self._route.name] = longest_s
        return longest_s - timeout_s

    async def _follow(self):
        while True:
            message = await self._inbox.get()
            if isinstance(message, Dispatch):
                self._start(message)
            elif isinstance(message, Refusal):
                if self._refused(message):
                    return
            elif isinstance(message, AttemptDone):
                if await self._attempt_done(message):
                    return
            elif message is GONE:
                # One that may run once only goes on, as its caller may learn of it.
                if self._route.idempotent or not self._tasks:
                    self._report.finished(0, "caller-gone")
                    return
            elif message is OUT_OF_TIME:
                self._out_of_time()
                return

    def _start(self, dispatch):
        attempt = Attempt(
            dispatch,
            self._outgoing,
            self._context.channels,
            dispatch.request.deadline_s,
        )
        task = self._loop.create_task(attempt.run())
        self._tasks[dispatch.attempt] = task
        task.add_done_callback(lambda done: self._take_end(dispatch, done))
        self._report.decider = self._decider
        self._report.attempt_started(dispatch)

    @property
    def _decider(self):
        """Name of the VM that decided about the request last, for the log."""
        decider = self._ticket.decider if self._ticket else None
        return decider.name if decider else "here"

    def _take_end(self, dispatch, task):
        if task.cancelled():
            end = AttemptEnd(dispatch.attempt, Outcome.CANCELLED, 0.0)
            self._inbox.put_nowait(AttemptDone(end, dispatch.entry, None))
        else:
            self._inbox.put_nowait(task.result())

    def _refused(self, refusal):
        """Give the final answer, unless an attempt is still in progress."""
        if self._tasks:
            return False
        self._report.decider = self._decider
        self._report.slot_refused(refusal)
        if self._failure is not None:
            self._pass_failure()
        elif self._may_have_run:
            self._refuse(_Refused(502, self._last))
        else:
            retry_after_s = refusal.retry_after_s
            self._refuse(_Refused(503, refusal.reason.value, retry_after_s))
        return True

    async def _attempt_done(self, done):
        """Take in the end of an attempt and return whether the request is done."""
        self._tasks.pop(done.end.attempt, None)
        outcome = done.end.outcome
        self._report.attempt_ended(done, failed=outcome is not Outcome.ANSWERED)
        if done.answer is not None and done.answer.body is None:
            return await self._stream(done)
        self._context.slots.end(self._ticket, done.end)
        if outcome is Outcome.ANSWERED:
            send_answer(self._incoming, done.answer)
            self._report.finished(done.answer.status, "answered")
            return True
        self._last = done.reason or outcome.value
        if not outcome.not_run:
            self._may_have_run = True
        if outcome is Outcome.FAILED:
            self._failure = done.answer
        return self._retry(done)

    def _retry(self, done):
        if self._tasks:
            return False
        outcome = done.end.outcome
        request = self._ticket.request
        if outcome in (Outcome.NOT_SENT, Outcome.REJECTED, Outcome.MISDIRECTED):
            request.attempts_left += 1
        again = outcome.not_run or self._route.idempotent
        if outcome is Outcome.NOT_SENT and request.attempts_left > 0:
            request.extra = self._report.attempts > 1
        elif again:
            again = self._context.slots.may_retry(self._ticket)
        body_at_hand = self._outgoing.body is not None
        if again and body_at_hand and self._report.attempts < ATTEMPTS_TOTAL_MAX:
            self._context.slots.resubmit(self._ticket)
            return False
        if self._failure is not None:
            self._pass_failure()
        elif self._may_have_run:
            self._refuse(_Refused(502, self._last))
        else:
            # Another target may take it at once, but no attempt is left here.
            self._refuse(_Refused(503, self._last, RETRY_ELSEWHERE_S))
        return True

    def _out_of_time(self):
        running = bool(self._tasks) or self._may_have_run
        if running:
            self._refuse(_Refused(504, "no answer in time"))
        else:
            self._refuse(_Refused(503, "no slot in time", RETRY_AFTER_S))

    def _pass_failure(self):
        """Pass on a target's own failure."""
        if self._failure.status in PROMISES:
            self._refuse(_Refused(502, f"target answered {self._failure.status}"))
            return
        send_answer(self._incoming, self._failure)
        self._report.finished(self._failure.status, "failed-at-target")

    async def _stream(self, done):
        """Pass a long answer on as it comes in."""
        outcome = Outcome.BROKEN
        self._stop_others(done.end.attempt)
        channel = done.answer.channel
        deadline_s = self._ticket.request.deadline_s
        try:
            await stream_answer(self._incoming, done.answer, deadline_s)
            outcome = done.end.outcome
            self._report.finished(done.answer.status, "answered")
        except BrokenOff as error:
            self._report.finished(0, str(error))
        finally:
            if outcome is Outcome.BROKEN:
                channel.abort()
            else:
                self._context.channels.put_back(done.entry, channel, None)
            end = attrs.evolve(done.end, outcome=outcome)
            self._context.slots.end(self._ticket, end)
        return True

    def _stop_others(self, attempt):
        for number, task in self._tasks.items():
            if number != attempt:
                task.cancel()

    async def _stop_attempts(self):
        """Cancel what is in progress and report how it ended."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks)
        while not self._inbox.empty():
            message = self._inbox.get_nowait()
            if isinstance(message, AttemptDone):
                if message.answer is not None and message.answer.channel is not None:
                    message.answer.channel.abort()
                self._context.slots.end(self._ticket, message.end)
            elif isinstance(message, Dispatch):
                unused = AttemptEnd(message.attempt, Outcome.CANCELLED, 0.0)
                self._context.slots.end(self._ticket, unused)

    def _refuse(self, refused):
        headers = refusal_headers(self._report.request_id, refused.retry_after_s)
        self._incoming.send_whole(refused.status, headers, b"")
        self._report.finished(refused.status, refused.reason)
