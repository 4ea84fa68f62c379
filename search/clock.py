"""An event loop whose clock jumps to the next timer when nothing is to be done."""

import asyncio
import selectors

__all__ = ["Busy", "NothingLeft", "VirtualLoop", "raise_errors", "run"]

# Rounds of the loop in which no time passes, far more than any scenario needs.
ROUNDS_MAX = 200_000
# Rounds in which all tasks have ended after a scenario that has failed.
ROUNDS_OF_END_MAX = 1000


class NothingLeft(Exception):
    """The loop waits, and no timer will ever end this."""


class Busy(Exception):
    """The loop is always busy, so that its time no longer passes."""


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop in virtual time, without real sockets.

    Attributes:
        accepts: Dict by address of the functions that make a connection to it: each
            takes a protocol and returns its transport. Other addresses refuse.
    """

    def __init__(self):
        self._clock = _Clock()
        self.accepts = {}
        super().__init__(self._clock)

    async def create_connection(self, protocol_factory, *address, **options):
        """Return the transport and the protocol of a simulated connection.

        Raises:
            ConnectionRefusedError: Nobody accepts connections at the address.
        """
        if address not in self.accepts:
            raise ConnectionRefusedError(f"{address} refuses connections")
        protocol = protocol_factory()
        return self.accepts[address](protocol), protocol

    def time(self):
        """Return the virtual time in seconds."""
        return self._clock.now_s

    def spend(self, seconds):
        """Let time pass, as work of the present round takes it."""
        self._clock.now_s += seconds
        self._clock.spent_s += seconds

    @property
    def longest_round_s(self):
        """Time that the longest round of the loop has taken so far, in seconds."""
        return max(self._clock.longest_s, self._clock.spent_s)

    @property
    def timers(self):
        """List of the timers that are due later, as asyncio's handles."""
        return [handle for handle in self._scheduled if not handle.cancelled()]


class _Clock(selectors.SelectSelector):
    """A selector that lets time pass instead of waiting."""

    def __init__(self):
        super().__init__()
        self.now_s = 0.0
        # What the work of the present round has taken, and that of the longest one.
        self.spent_s = 0.0
        self.longest_s = 0.0
        self._rounds = 0

    def select(self, timeout=None):
        """Let the time of a timeout pass; no file becomes ready.

        Raises:
            NothingLeft: There is no timeout, so that it would be waited for ever.
            Busy: No time has passed for ``ROUNDS_MAX`` calls.
        """
        if timeout is None:
            raise NothingLeft
        self.longest_s = max(self.longest_s, self.spent_s)
        self.spent_s = 0.0
        self._rounds = 0 if timeout else self._rounds + 1
        if self._rounds > ROUNDS_MAX:
            raise Busy
        self.now_s += timeout
        return []


def run(scenario):
    """Run a coroutine on a new VirtualLoop, and return its result.

    Raises:
        NothingLeft: The coroutine waits for something that cannot happen any more.
        Busy: The loop is always busy.
    """
    loop = VirtualLoop()
    failures = []
    loop.set_exception_handler(lambda _, context: failures.append(context))
    try:
        result = loop.run_until_complete(scenario)
        assert not failures, f"an error that nobody handles: {failures}"
        return result
    finally:
        _cancel_tasks(loop)
        loop.close()


def _cancel_tasks(loop):
    """Cancel all tasks, also those that begin while others end."""
    for _ in range(ROUNDS_OF_END_MAX):
        tasks = asyncio.all_tasks(loop)
        if not tasks:
            return
        for task in tasks:
            task.cancel()
        loop.call_soon(loop.stop)
        loop.run_forever()


def raise_errors(tasks):
    """Raise the error of a task that has ended with one."""
    for task in tasks:
        if task.done() and not task.cancelled() and task.exception() is not None:
            raise task.exception()
