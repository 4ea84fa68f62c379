"""Run one service's scheduler on the event loop and deliver its commands."""

import asyncio
import itertools

from sesamespring.routing.messages import AttemptEnded, Dispatch, Outcome

__all__ = ["ServiceRunner"]

REPLAN_INTERVAL_S = 0.025
IN_USE_S = 3.0


class ServiceRunner:
    """Runs the ServiceScheduler of one service.

    Args:
        scheduler: The ServiceScheduler.
        quotas: The QuotaGate, or None without quotas.
    """

    def __init__(self, scheduler, quotas=None):
        self._scheduler = scheduler
        self._quotas = quotas
        # By number of an attempt that a token was spent on: its account.
        self._paid_attempts = {}
        self._loop = asyncio.get_running_loop()
        self._command_handlers = {}
        self._numbers = itertools.count(1)
        self._timer = None
        self._used_s = None

    @property
    def scheduler(self):
        """The ServiceScheduler."""
        return self._scheduler

    @property
    def in_use(self):
        """Whether a request was submitted within the last ``IN_USE_S`` seconds."""
        return self._used_s is not None and self._loop.time() - self._used_s < IN_USE_S

    def next_number(self):
        """Return a number for a ScheduledRequest, unique at this runner."""
        return next(self._numbers)

    def submit(self, request, on_command):
        """Queue a request for a slot.

        Args:
            request: The ScheduledRequest.
            on_command: Function called with each Dispatch and Refusal for it, possibly
                before this method returns.
        """
        self._used_s = self._loop.time()
        self._command_handlers[request.number] = on_command
        if self._quotas is None or not request.account:
            self._enter(request)
        else:
            self._quotas.submit(request, self._enter, self._refuse)

    def withdraw(self, request):
        """Remove a request that needs no further slot."""
        self._command_handlers.pop(request.number, None)
        self._scheduler.withdraw(request)
        if request.account and self._quotas is not None:
            self._quotas.withdraw(request)

    def finish_attempt(self, end):
        """Report an AttemptEnded to the scheduler, which may free a slot."""
        account = self._paid_attempts.pop(end.attempt, None)
        if account is not None and end.outcome.not_run:
            self._quotas.not_run(account)
        self._deliver(self._scheduler.finish_attempt(end, self._loop.time()))

    def advance(self):
        """Run the scheduler after a change of time, targets, VMs or configuration."""
        self._deliver(self._scheduler.advance(self._loop.time()))

    def close(self):
        """Cancel the timer."""
        if self._timer is not None:
            self._timer.cancel()

    def _enter(self, request):
        self._deliver(self._scheduler.submit(request, self._loop.time()))

    def _refuse(self, refusal):
        self._deliver([refusal])

    def _deliver(self, commands):
        for command in commands:
            if command.request.account and self._quotas is not None:
                self._record_tokens(command)
            on_command = self._command_handlers.get(command.request.number)
            if on_command is not None:
                on_command(command)
            elif isinstance(command, Dispatch):
                cancelled = AttemptEnded(command.attempt, Outcome.CANCELLED, 0.0)
                self._loop.call_soon(self.finish_attempt, cancelled)
        if self._timer is None and self._scheduler.needs_replanning:
            self._timer = self._loop.call_later(REPLAN_INTERVAL_S, self._replan)

    def _record_tokens(self, command):
        if isinstance(command, Dispatch) and (command.request.tokens or command.hedge):
            self._paid_attempts[command.attempt] = command.request.account
        self._quotas.record_command(command)

    def _replan(self):
        self._timer = None
        self.advance()
