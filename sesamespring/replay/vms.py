"""Simulate entry VMs, which execute the commands of the routers."""

import enum
import itertools

from sesamespring.decisions.messages import (
    AttemptEnded,
    AttemptResult,
    CancelAttempt,
    FailRequest,
    PeerMessage,
    RequestArrived,
    RequestWithdrawn,
    SendAttempt,
    SendToPeer,
    Tick,
)
from sesamespring.errors import ERROR_RESPONSES, ErrorKind, Outcome
from sesamespring.replay.exchanges import (
    NOT_RUN_RESULTS,
    TARGET_RESPONSES,
    Attempt,
    CallerResponse,
    Exchange,
    ResponseKind,
    ServiceRunner,
)
from sesamespring.replay.tally import Count
from sesamespring.replay.targets import Job

__all__ = ["SimulatedVm", "VmState"]

# A request with a larger body is sent once, as its body is not kept for a retry.
REPEATABLE_BODY_BYTES_MAX = 64 * 1024


class VmState(enum.Enum):
    """State of the process of an entry VM."""

    RUNNING = "running"
    PAUSED = "paused"
    DEAD = "dead"


class SimulatedVm:
    """A simulated entry VM, with one router for each service that it has used.

    Args:
        record: Its VmRecord.
        simulation: The Simulation; its schedule, links, targets, tally, VMs and
            make_router are used.

    Attributes:
        state: The VmState.
        on_runner_created: Function that takes this VM and the name of a service when
            the router of that service was created, or None.
    """

    def __init__(self, record, simulation):
        self._record = record
        self._simulation = simulation
        self._schedule = simulation.schedule
        self._runners = {}
        self._exchanges = {}
        self._deferred = []
        self._request_ids = itertools.count(1)
        self._incarnation = 0
        self.state = VmState.RUNNING if record.running else VmState.DEAD
        self.on_runner_created = None

    @property
    def record(self):
        """The VmRecord of this VM."""
        return self._record

    @property
    def incarnation(self):
        """Number of this run of the VM; it grows by one when the VM dies."""
        return self._incarnation

    @property
    def running(self):
        """Whether the VM is running: neither paused nor dead."""
        return self.state is VmState.RUNNING

    def handle_message(self, service, message):
        """Pass a message to the router of a service and execute its commands."""
        runner = self._runner(service)
        commands = runner.router.handle(message, self._schedule.now_s)
        self.execute(service, commands)
        self._schedule_wake(service, runner)

    def run_or_defer(self, incarnation, action, *arguments):
        """Run an action, or defer it until this VM resumes.

        The action is dropped if the VM is dead, or has died since the incarnation.
        """
        if self.state is VmState.DEAD or incarnation != self._incarnation:
            return
        if self.state is VmState.PAUSED:
            self._deferred.append((incarnation, action, arguments))
            return
        action(*arguments)

    def receive_peer_message(self, service, message):
        """Handle a PeerMessage that arrives from another entry VM."""
        self.run_or_defer(self._incarnation, self.handle_message, service, message)

    def receive_call(self, call, reply):
        """Handle a caller's request.

        Args:
            call: The Call.
            reply: Function that takes the CallerResponse.
        """
        if self.state is VmState.DEAD:
            reply(CallerResponse(ResponseKind.REFUSED))
            return
        request_id = next(self._request_ids)
        record = call.record
        self._exchanges[request_id] = Exchange(record.service, call, reply)
        arrived = RequestArrived(
            request_id,
            call.deadline_s - self._simulation.links.caller_delay_s,
            record.idempotent,
            record.bytes <= REPEATABLE_BODY_BYTES_MAX,
        )
        self.run_or_defer(
            self._incarnation, self.handle_message, record.service, arrived
        )

    def die(self):
        """Crash: lose all state and reset the connections of callers and targets."""
        self.state = VmState.DEAD
        self._incarnation += 1
        for runner in self._runners.values():
            for attempt in runner.attempts.values():
                self._cancel_at_target(attempt)
        self._runners.clear()
        self._deferred.clear()
        exchanges = tuple(self._exchanges.values())
        self._exchanges.clear()
        for exchange in exchanges:
            exchange.reply(CallerResponse(ResponseKind.RESET))

    def start(self):
        """Start without any state."""
        self.state = VmState.RUNNING

    def pause(self):
        """Suspend the VM; actions for it are deferred."""
        self.state = VmState.PAUSED

    def resume(self):
        """Resume, and run the deferred actions in order."""
        self.state = VmState.RUNNING
        deferred, self._deferred = self._deferred, []
        for incarnation, action, arguments in deferred:
            self.run_or_defer(incarnation, action, *arguments)

    def execute(self, service, commands):
        """Execute commands of the router of a service."""
        for command in commands:
            if isinstance(command, SendAttempt):
                self._send(service, command)
            elif isinstance(command, SendToPeer):
                self._send_to_peer(service, command)
            elif isinstance(command, CancelAttempt):
                self._cancel_attempt(service, command.attempt_id)
            elif isinstance(command, FailRequest):
                self._fail_request(command)

    def _runner(self, service):
        runner = self._runners.get(service)
        if runner is None:
            router = self._simulation.make_router(self._record, service)
            runner = self._runners[service] = ServiceRunner(router)
            if self.on_runner_created is not None:
                self.on_runner_created(self, service)
        return runner

    def _schedule_wake(self, service, runner):
        wake_s = runner.router.next_wake_s
        if wake_s is None:
            return
        wake_s = max(wake_s, self._schedule.now_s)
        if runner.wake_s is None or wake_s < runner.wake_s:
            runner.wake_s = wake_s
            self._schedule.at(
                wake_s,
                self.run_or_defer,
                self._incarnation,
                self._wake,
                service,
                wake_s,
            )

    def _wake(self, service, wake_s):
        runner = self._runner(service)
        if runner.wake_s == wake_s:
            runner.wake_s = None
            self.handle_message(service, Tick())

    def _send(self, service, command):
        simulation = self._simulation
        exchange = self._exchanges.get(command.request_id)
        if exchange is None:
            self._handle_end_later(service, command.attempt_id, AttemptResult.NOT_SENT)
            return
        target = simulation.targets[command.target]
        attempt = Attempt(command.attempt_id, command.request_id, target)
        attempt.job = Job(
            exchange.call,
            exchange.call.record.service_ms / 1000,
            self._make_reply(service, attempt),
        )
        self._runner(service).attempts[command.attempt_id] = attempt
        exchange.attempts[command.attempt_id] = attempt
        exchange.send_count += 1
        now_s = self._schedule.now_s
        simulation.tally.add(
            Count.EXTRA if exchange.send_count > 1 else Count.SENT, now_s
        )
        action = (self._attempt_timed_out, service, attempt)
        self._schedule.at(
            command.deadline_s, self.run_or_defer, self._incarnation, *action
        )
        delay_s = self._delay_to_s(target)
        if delay_s is not None:
            target.in_transit += 1
            self._schedule.after(delay_s, target.receive, attempt.job)

    def _delay_to_s(self, target):
        return self._simulation.links.delay_s(
            self._record.data_centre, target.record.data_centre
        )

    def _make_reply(self, service, attempt):
        incarnation = self._incarnation

        def reply(result):
            delay_s = self._delay_to_s(attempt.target)
            if delay_s is not None:
                action = (self._attempt_replied, service, attempt, result)
                self._schedule.after(delay_s, self.run_or_defer, incarnation, *action)

        return reply

    def _attempt_replied(self, service, attempt, result):
        if self._runner(service).attempts.pop(attempt.attempt_id, None) is None:
            return
        self._record_end(attempt, result)
        self.handle_message(service, AttemptEnded(attempt.attempt_id, result))
        response_kind = TARGET_RESPONSES.get(result)
        if response_kind is not None:
            self._respond(attempt.request_id, CallerResponse(response_kind))

    def _record_end(self, attempt, result):
        exchange = self._exchanges.get(attempt.request_id)
        if exchange is not None:
            exchange.attempts.pop(attempt.attempt_id, None)
            exchange.may_have_run |= result not in NOT_RUN_RESULTS

    def _cancel_attempt(self, service, attempt_id):
        attempt = self._runner(service).attempts.pop(attempt_id, None)
        if attempt is None:
            return
        self._record_end(attempt, AttemptResult.CANCELLED)
        self._cancel_at_target(attempt)
        self._handle_end_later(service, attempt_id, AttemptResult.CANCELLED)

    def _cancel_at_target(self, attempt):
        """Close the connection to the target, which cancels the request there."""
        delay_s = self._delay_to_s(attempt.target)
        if delay_s is not None:
            self._schedule.after(delay_s, attempt.target.cancel, attempt.job)

    def _handle_end_later(self, service, attempt_id, result):
        """Report the end of an attempt after the message that the router handles."""
        action = (self.handle_message, service, AttemptEnded(attempt_id, result))
        self._schedule.after(0.0, self.run_or_defer, self._incarnation, *action)

    def _attempt_timed_out(self, service, attempt):
        if attempt.attempt_id not in self._runner(service).attempts:
            return
        self._cancel_attempt(service, attempt.attempt_id)
        self._send_error(attempt.request_id, ErrorKind.DEADLINE_PASSED)

    def _fail_request(self, command):
        self._send_error(command.request_id, command.kind, command.retry_after_s)

    def _send_error(self, request_id, kind, retry_after_s=None):
        exchange = self._exchanges.get(request_id)
        if exchange is None:
            return
        response = ERROR_RESPONSES[kind]
        may_have_run = exchange.may_have_run or exchange.attempts
        not_run = response.outcome is Outcome.NOT_RUN and not may_have_run
        if retry_after_s is None:
            retry_after_s = response.retry_after_s
        response_kind = ResponseKind.NOT_RUN if not_run else ResponseKind.UNKNOWN
        self._respond(request_id, CallerResponse(response_kind, retry_after_s))

    def _respond(self, request_id, response):
        exchange = self._exchanges.pop(request_id, None)
        if exchange is None:
            return
        exchange.reply(response)
        # The router may be handling a message; the withdrawal must come after it.
        action = (self._withdraw, request_id, exchange)
        self._schedule.after(0.0, self.run_or_defer, self._incarnation, *action)

    def _withdraw(self, request_id, exchange):
        self.handle_message(exchange.service, RequestWithdrawn(request_id))
        for attempt_id in tuple(exchange.attempts):
            self._cancel_attempt(exchange.service, attempt_id)

    def _send_to_peer(self, service, command):
        peer = self._simulation.vms[command.peer]
        delay_s = self._simulation.links.delay_s(
            self._record.data_centre, peer.record.data_centre
        )
        if delay_s is not None:
            message = PeerMessage(self._record.name, command.body)
            self._schedule.after(delay_s, peer.receive_peer_message, service, message)
