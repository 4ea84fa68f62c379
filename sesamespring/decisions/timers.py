"""Schedule actions without reading a clock."""

import heapq
import itertools

import attrs

__all__ = ["Timer", "Timers"]


@attrs.define(eq=False)
class Timer:
    """A scheduled action.

    Attributes:
        action: Function of the current time, or None once cancelled.
    """

    action: object

    def cancel(self):
        """Prevent the action from being run."""
        self.action = None


class Timers:
    """Scheduled actions, ordered by due time.

    >>> timers, seen = Timers(), []
    >>> _ = timers.at(2.0, seen.append)
    >>> timers.at(1.0, seen.append).cancel()
    >>> timers.run_due(3.0)
    >>> seen
    [3.0]
    """

    def __init__(self):
        self._heap = []
        self._numbers = itertools.count()

    @property
    def next_s(self):
        """Time at which the next action is due, or None."""
        return self._heap[0][0] if self._heap else None

    def at(self, when_s, action):
        """Schedule an action.

        Args:
            when_s: Time at which the action is due; it runs at the next ``run_due``.
            action: Function of the time passed to ``run_due``.

        Returns:
            The Timer, which may be cancelled.
        """
        timer = Timer(action)
        heapq.heappush(self._heap, (when_s, next(self._numbers), timer))
        return timer

    def run_due(self, now_s):
        """Run all due actions and remove cancelled ones from the head of the queue."""
        heap = self._heap
        while heap and (heap[0][0] <= now_s or heap[0][2].action is None):
            timer = heapq.heappop(heap)[2]
            if timer.action is not None:
                timer.action(now_s)
