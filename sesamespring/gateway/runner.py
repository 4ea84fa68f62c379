"""Run one service's scheduler on the event loop and pass its commands on."""

import asyncio
import itertools

from sesamespring.routing.messages import AttemptEnded, Dispatch, Outcome

__all__ = ["ServiceRunner"]

REPLAN_INTERVAL_S = 0.025
IN_USE_S = 3.0


class ServiceRunner:
    """A service at this VM.

    Args:
        scheduler: The ServiceScheduler.
    """

    def __init__(self, scheduler):
        self._scheduler = scheduler
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
        """Whether it had requests of late."""
        return self._used_s is not None and self._loop.time() - self._used_s < IN_USE_S

    def next_number(self):
        """Return a number for a ScheduledRequest."""
        return next(self._numbers)

    def submit(self, request, on_command):
        """Let a request wait for a slot.

        Args:
            request: The ScheduledRequest.
            on_command: Function called with each Dispatch and Refusal for it.
        """
        self._used_s = self._loop.time()
        self._command_handlers[request.number] = on_command
        self._deliver(self._scheduler.submit(request, self._used_s))

    def withdraw(self, request):
        """Forget a request that wants no slot any more."""
        self._command_handlers.pop(request.number, None)
        self._scheduler.withdraw(request)

    def end(self, end):
        """Take in an AttemptEnded."""
        self._deliver(self._scheduler.finish_attempt(end, self._loop.time()))

    def advance(self):
        """Serve what other circumstances now let be served."""
        self._deliver(self._scheduler.advance(self._loop.time()))

    def close(self):
        """Stop the timer."""
        if self._timer is not None:
            self._timer.cancel()

    def _deliver(self, commands):
        for command in commands:
            on_command = self._command_handlers.get(command.request.number)
            if on_command is not None:
                on_command(command)
            elif isinstance(command, Dispatch):
                cancelled = AttemptEnded(command.attempt, Outcome.CANCELLED, 0.0)
                self._loop.call_soon(self.end, cancelled)
        if self._timer is None and self._scheduler.needs_replanning:
            self._timer = self._loop.call_later(REPLAN_INTERVAL_S, self._replan)

    def _replan(self):
        self._timer = None
        self.advance()
