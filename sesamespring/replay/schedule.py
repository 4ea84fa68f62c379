"""Run actions in order of virtual time."""

import heapq
import itertools

__all__ = ["Schedule"]


class Schedule:
    """A virtual clock and the queue of actions that are due at its times.

    Attributes:
        now_s: The virtual time in seconds.

    >>> schedule = Schedule()
    >>> schedule.at(2.0, print, "second")
    >>> schedule.at(1.0, print, "first")
    >>> schedule.run(until_s=3.0)
    first
    second
    """

    def __init__(self):
        self.now_s = 0.0
        self._actions = []
        self._order = itertools.count()

    def at(self, time_s, action, *arguments):
        """Schedule an action, after those already due at the same time.

        Args:
            time_s: Virtual time; one in the past means now.
            action: Function to call.
            arguments: Its arguments.
        """
        due_s = max(time_s, self.now_s)
        entry = (due_s, next(self._order), action, arguments)
        heapq.heappush(self._actions, entry)

    def after(self, delay_s, action, *arguments):
        """Schedule an action after a delay in seconds."""
        self.at(self.now_s + delay_s, action, *arguments)

    def run(self, until_s):
        """Run all actions due up to a virtual time, and advance the clock to it."""
        actions = self._actions
        while actions and actions[0][0] <= until_s:
            self.now_s, _, action, arguments = heapq.heappop(actions)
            action(*arguments)
        self.now_s = until_s
