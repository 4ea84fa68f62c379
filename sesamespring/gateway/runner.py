"""Run one service's scheduler on the event loop and pass its commands on."""

import asyncio
import itertools

from sesamespring.routing.messages import AttemptEnded, Dispatch, Outcome

__all__ = ["ServiceRunner"]

TICK_S = 0.025
USED_FOR_S = 3.0


class ServiceRunner:
    """A service at this VM.

    Args:
        scheduler: The ServiceScheduler.
    """

    def __init__(self, scheduler):
        self._scheduler = scheduler
        self._loop = asyncio.get_running_loop()
        self._receivers = {}
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
        return (
            self._used_s is not None and self._loop.time() - self._used_s < USED_FOR_S
        )

    def next_number(self):
        """Return a number for a ScheduledRequest."""
        return next(self._numbers)

    def submit(self, request, receive):
        """Let a request wait for a slot.

        Args:
            request: The ScheduledRequest.
            receive: Function called with each Dispatch and Refusal for it.
        """
        self._used_s = self._loop.time()
        self._receivers[request.number] = receive
        self._deliver(self._scheduler.submit(request, self._used_s))

    def withdraw(self, request):
        """Forget a request that wants no slot any more."""
        self._receivers.pop(request.number, None)
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
            receive = self._receivers.get(command.request.number)
            if receive is not None:
                receive(command)
            elif isinstance(command, Dispatch):
                cancelled = AttemptEnded(command.attempt, Outcome.CANCELLED, 0.0)
                self._loop.call_soon(self.end, cancelled)
        if self._timer is None and self._scheduler.needs_replanning:
            self._timer = self._loop.call_later(TICK_S, self._tick)

    def _tick(self):
        self._timer = None
        self.advance()
