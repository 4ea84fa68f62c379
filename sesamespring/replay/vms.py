"""Stand in for entry VMs in virtual time: they carry out the routers' commands."""

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
    TARGET_REPLIES,
    Attempt,
    CallerAnswer,
    Exchange,
    Reply,
    Runner,
)
from sesamespring.replay.tally import Count
from sesamespring.replay.targets import Job

__all__ = ["FakeVm", "VmState"]

REPEATABLE_BODY_BYTES_MAX = 64 * 1024


class VmState(enum.Enum):
    """Whether an entry VM runs."""

    RUNNING = "running"
    PAUSED = "paused"
    DEAD = "dead"


class FakeVm:
    """One entry VM.

    Args:
        record: Its VmRecord.
        estate: The Estate: schedule, links, targets, tally, VMs and make_router.
    """

    def __init__(self, record, estate):
        self._record = record
        self._estate = estate
        self._schedule = estate.schedule
        self._runners = {}
        self._exchanges = {}
        self._held_back = []
        self._request_ids = itertools.count(1)
        self._incarnation = 0
        self.state = VmState.RUNNING if record.running else VmState.DEAD
        self.runner_made = None

    @property
    def record(self):
        """The VmRecord."""
        return self._record

    @property
    def incarnation(self):
        """Number of its run; grows as it dies."""
        return self._incarnation

    @property
    def running(self):
        """Whether it runs now."""
        return self.state is VmState.RUNNING

    def post(self, service, message):
        """Hand a message to a service's router and carry out its commands."""
        runner = self._runner(service)
        commands = runner.router.handle(message, self._schedule.now_s)
        self.execute(service, commands)
        self._plan_wake(service, runner)

    def take(self, incarnation, action, *arguments):
        """Run an action as soon as this VM runs, unless it died since."""
        if self.state is VmState.DEAD or incarnation != self._incarnation:
            return
        if self.state is VmState.PAUSED:
            self._held_back.append((incarnation, action, arguments))
            return
        action(*arguments)

    def receive_peer_message(self, service, message):
        """Take in a PeerMessage that arrives now."""
        self.take(self._incarnation, self.post, service, message)

    def receive_call(self, call, reply):
        """Take in a caller's request; ``reply`` takes the CallerAnswer."""
        if self.state is VmState.DEAD:
            reply(CallerAnswer(Reply.REFUSED))
            return
        request_id = next(self._request_ids)
        record = call.record
        self._exchanges[request_id] = Exchange(record.service, call, reply)
        arrived = RequestArrived(
            request_id,
            call.deadline_s - self._estate.links.callers_s,
            record.idempotent,
            record.bytes <= REPEATABLE_BODY_BYTES_MAX,
        )
        self.take(self._incarnation, self.post, record.service, arrived)

    def die(self):
        """End at once; callers see their connections reset."""
        self.state = VmState.DEAD
        self._incarnation += 1
        for runner in self._runners.values():
            for attempt in runner.attempts.values():
                self._cancel_at_target(attempt)
        self._runners.clear()
        self._held_back.clear()
        exchanges = tuple(self._exchanges.values())
        self._exchanges.clear()
        for exchange in exchanges:
            exchange.reply(CallerAnswer(Reply.RESET))

    def start(self):
        """Start with nothing known."""
        self.state = VmState.RUNNING

    def pause(self):
        """Stop running without noticing."""
        self.state = VmState.PAUSED

    def resume(self):
        """Run on, with all that came meanwhile."""
        self.state = VmState.RUNNING
        held_back, self._held_back = self._held_back, []
        for incarnation, action, arguments in held_back:
            self.take(incarnation, action, *arguments)

    def execute(self, service, commands):
        """Carry out commands of a service's router."""
        for command in commands:
            if isinstance(command, SendAttempt):
                self._send(service, command)
            elif isinstance(command, SendToPeer):
                self._send_to_peer(service, command)
            elif isinstance(command, CancelAttempt):
                self._cancel(service, command.attempt_id)
            elif isinstance(command, FailRequest):
                self._give_up(command)

    def _runner(self, service):
        runner = self._runners.get(service)
        if runner is None:
            router = self._estate.make_router(self._record, service)
            runner = self._runners[service] = Runner(router)
            if self.runner_made is not None:
                self.runner_made(self, service)
        return runner

    def _plan_wake(self, service, runner):
        wake_s = runner.router.next_wake_s
        if wake_s is None:
            return
        wake_s = max(wake_s, self._schedule.now_s)
        if runner.wake_s is None or wake_s < runner.wake_s:
            runner.wake_s = wake_s
            self._schedule.at(
                wake_s, self.take, self._incarnation, self._wake, service, wake_s
            )

    def _wake(self, service, wake_s):
        runner = self._runner(service)
        if runner.wake_s == wake_s:
            runner.wake_s = None
            self.post(service, Tick())

    def _send(self, service, command):
        estate = self._estate
        exchange = self._exchanges.get(command.request_id)
        if exchange is None:
            self._end_later(service, command.attempt_id, AttemptResult.NOT_SENT)
            return
        target = estate.targets[command.target]
        attempt = Attempt(command.attempt_id, command.request_id, target)
        attempt.job = Job(
            exchange.call,
            exchange.call.record.service_ms / 1000,
            self._reply_of(service, attempt),
        )
        self._runner(service).attempts[command.attempt_id] = attempt
        exchange.attempts[command.attempt_id] = attempt
        exchange.sends += 1
        now_s = self._schedule.now_s
        estate.tally.add(Count.EXTRA if exchange.sends > 1 else Count.SENT, now_s)
        timed_out = (self._timed_out, service, attempt)
        self._schedule.at(command.deadline_s, self.take, self._incarnation, *timed_out)
        delay_s = self._delay_s(target)
        if delay_s is not None:
            target.on_the_way += 1
            self._schedule.after(delay_s, target.receive, attempt.job)

    def _delay_s(self, target):
        return self._estate.links.delay_s(
            self._record.data_centre, target.record.data_centre
        )

    def _reply_of(self, service, attempt):
        incarnation = self._incarnation

        def reply(result):
            delay_s = self._delay_s(attempt.target)
            if delay_s is not None:
                ended = (self._replied, service, attempt, result)
                self._schedule.after(delay_s, self.take, incarnation, *ended)

        return reply

    def _replied(self, service, attempt, result):
        if self._runner(service).attempts.pop(attempt.attempt_id, None) is None:
            return
        self._note_end(attempt, result)
        self.post(service, AttemptEnded(attempt.attempt_id, result))
        reply = TARGET_REPLIES.get(result)
        if reply is not None:
            self._answer(attempt.request_id, CallerAnswer(reply))

    def _note_end(self, attempt, result):
        exchange = self._exchanges.get(attempt.request_id)
        if exchange is not None:
            exchange.attempts.pop(attempt.attempt_id, None)
            exchange.may_have_run |= result not in NOT_RUN_RESULTS

    def _cancel(self, service, attempt_id):
        attempt = self._runner(service).attempts.pop(attempt_id, None)
        if attempt is None:
            return
        self._note_end(attempt, AttemptResult.CANCELLED)
        self._cancel_at_target(attempt)
        self._end_later(service, attempt_id, AttemptResult.CANCELLED)

    def _cancel_at_target(self, attempt):
        """Close the connection, by which the target notices."""
        delay_s = self._delay_s(attempt.target)
        if delay_s is not None:
            self._schedule.after(delay_s, attempt.target.cancel, attempt.job)

    def _end_later(self, service, attempt_id, result):
        """Tell the router after the message that it handles now."""
        ended = (self.post, service, AttemptEnded(attempt_id, result))
        self._schedule.after(0.0, self.take, self._incarnation, *ended)

    def _timed_out(self, service, attempt):
        if attempt.attempt_id not in self._runner(service).attempts:
            return
        self._cancel(service, attempt.attempt_id)
        self._refuse(attempt.request_id, ErrorKind.DEADLINE_PASSED)

    def _give_up(self, command):
        self._refuse(command.request_id, command.kind, command.retry_after_s)

    def _refuse(self, request_id, kind, retry_after_s=None):
        exchange = self._exchanges.get(request_id)
        if exchange is None:
            return
        answer = ERROR_RESPONSES[kind]
        may_have_run = exchange.may_have_run or exchange.attempts
        not_run = answer.outcome is Outcome.NOT_RUN and not may_have_run
        if retry_after_s is None:
            retry_after_s = answer.retry_after_s
        reply = Reply.NOT_RUN if not_run else Reply.UNKNOWN
        self._answer(request_id, CallerAnswer(reply, retry_after_s))

    def _answer(self, request_id, answer):
        exchange = self._exchanges.pop(request_id, None)
        if exchange is None:
            return
        exchange.reply(answer)
        # The router may be in the middle of a message, so it hears of it afterwards.
        ended = (self._withdraw, request_id, exchange)
        self._schedule.after(0.0, self.take, self._incarnation, *ended)

    def _withdraw(self, request_id, exchange):
        self.post(exchange.service, RequestWithdrawn(request_id))
        for attempt_id in tuple(exchange.attempts):
            self._cancel(exchange.service, attempt_id)

    def _send_to_peer(self, service, command):
        peer = self._estate.vms[command.peer]
        delay_s = self._estate.links.delay_s(
            self._record.data_centre, peer.record.data_centre
        )
        if delay_s is not None:
            message = PeerMessage(self._record.name, command.body)
            self._schedule.after(delay_s, peer.receive_peer_message, service, message)
