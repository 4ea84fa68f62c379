"""Call a function at most once in an interval, however often it is asked for."""

import asyncio

__all__ = ["CoalescedCall"]


class CoalescedCall:
    """Calls a function at once, and again after the interval if asked for meanwhile.

    Load it answers: many changes in a row, such as the first heartbeats of all VMs,
    where the function's work grows with the number of VMs.

    Args:
        function: Function without arguments.
        interval_s: Shortest time between two calls, in seconds.
    """

    def __init__(self, function, interval_s):
        self._function = function
        self._interval_s = interval_s
        self._loop = asyncio.get_running_loop()
        self._timer = None
        self._asked_again = False

    def __call__(self):
        """Ask for a call."""
        if self._timer is not None:
            self._asked_again = True
            return
        self._timer = self._loop.call_later(self._interval_s, self._end_interval)
        self._function()

    def close(self):
        """Drop the call that was asked for last, if it has not been made."""
        if self._timer is not None:
            self._timer.cancel()

    def _end_interval(self):
        self._timer = None
        if self._asked_again:
            self._asked_again = False
            self()
