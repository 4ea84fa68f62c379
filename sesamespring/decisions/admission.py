"""Let requests wait, or refuse at once those that cannot make their deadline."""

import math

from sesamespring.decisions.queueing import DispatchRate, WaitingQueue
from sesamespring.errors import ErrorKind

__all__ = ["Admission"]

RETRY_AFTER_MIN_S = 1
RETRY_AFTER_MAX_S = 30


class Admission:
    """The bounded queue of one service.

    Args:
        queue_length: How many requests wait at the most.
        pool: The TargetPool.
    """

    def __init__(self, queue_length, pool):
        self._queue_length = queue_length
        self._pool = pool
        self._queue = WaitingQueue()
        self._rate = DispatchRate()

    @property
    def waiting(self):
        """How many requests wait."""
        return len(self._queue.entries)

    @property
    def head_deadline_s(self):
        """Deadline of the most urgent request, or infinity where none waits."""
        entries = self._queue.entries
        return entries[0][0] if entries else math.inf

    @property
    def head_id(self):
        """Number of the most urgent request."""
        return self._queue.head[1]

    @property
    def next_s(self):
        """Time at which the most urgent request must be given up, or None."""
        head = self._queue.head
        return None if head is None else self.latest_start_s(head[0])

    def set_length(self, queue_length):
        """Take a changed bound on how many requests wait."""
        self._queue_length = queue_length

    def latest_start_s(self, deadline_s):
        """Return when a request must be sent to make its deadline, as usual."""
        return deadline_s - self._pool.average_s

    def refusal(self, deadline_s, now_s):
        """Return the ErrorKind for a new request that must not wait, or None."""
        if len(self._queue.entries) >= self._queue_length:
            return ErrorKind.QUEUE_FULL
        if deadline_s <= now_s:
            return ErrorKind.DEADLINE_UNREACHABLE
        ahead = self._queue.ahead_of(deadline_s)
        if not ahead:
            return None
        start_s = now_s + self._expected_wait_s(ahead, now_s)
        if start_s > self.latest_start_s(deadline_s):
            return ErrorKind.DEADLINE_UNREACHABLE
        return None

    def retry_after_s(self, now_s):
        """Return the whole seconds after which the queue will have gone."""
        wait_s = self._expected_wait_s(len(self._queue.entries), now_s)
        return min(RETRY_AFTER_MAX_S, max(RETRY_AFTER_MIN_S, math.ceil(wait_s)))

    def add(self, arrival):
        """Let a RequestArrived wait."""
        self._queue.add(arrival.deadline_s, arrival.request_id)

    def remove(self, arrival):
        """Remove a RequestArrived that waits."""
        self._queue.remove(arrival.deadline_s, arrival.request_id)

    def take_head(self, now_s):
        """Remove the most urgent request because it is sent now."""
        self._queue.pop()
        self._rate.dispatched(now_s, len(self._queue.entries) > 0)

    def drop_head(self):
        """Remove the most urgent request because it is given up."""
        self._queue.pop()

    def _expected_wait_s(self, ahead, now_s):
        initial_s = self._pool.average_s / max(1, self._pool.slots)
        return self._rate.expected_wait_s(ahead, initial_s, now_s)
