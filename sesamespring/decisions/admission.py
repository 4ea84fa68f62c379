"""Queue requests, or reject those that cannot meet their deadline."""

import math

from sesamespring.decisions.queueing import DispatchRate, WaitingQueue
from sesamespring.errors import ErrorKind

__all__ = ["Admission"]

RETRY_AFTER_MIN_S = 1
RETRY_AFTER_MAX_S = 30


class Admission:
    """The bounded waiting queue of one service.

    Args:
        queue_length: Maximum number of waiting requests.
        pool: The TargetPool.
    """

    def __init__(self, queue_length, pool):
        self._queue_length = queue_length
        self._pool = pool
        self._queue = WaitingQueue()
        self._rate = DispatchRate()

    @property
    def waiting(self):
        """Number of waiting requests."""
        return len(self._queue.entries)

    @property
    def head_deadline_s(self):
        """Deadline of the most urgent request, or infinity if the queue is empty."""
        entries = self._queue.entries
        return entries[0][0] if entries else math.inf

    @property
    def head_id(self):
        """Id of the most urgent request."""
        return self._queue.head[1]

    @property
    def next_s(self):
        """Time at which the most urgent request fails unless it is sent, or None."""
        head = self._queue.head
        return None if head is None else self.latest_start_s(head[0])

    def set_length(self, queue_length):
        """Change the maximum number of waiting requests."""
        self._queue_length = queue_length

    def latest_start_s(self, deadline_s):
        """Return the latest time to send a request of average service time."""
        return deadline_s - self._pool.average_s

    def rejection(self, deadline_s, now_s):
        """Return the ErrorKind to reject a new request with, or None to queue it."""
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
        """Return the expected time to empty the queue, in whole seconds."""
        wait_s = self._expected_wait_s(len(self._queue.entries), now_s)
        return min(RETRY_AFTER_MAX_S, max(RETRY_AFTER_MIN_S, math.ceil(wait_s)))

    def add(self, arrival):
        """Queue a RequestArrived."""
        self._queue.add(arrival.deadline_s, arrival.request_id)

    def remove(self, arrival):
        """Remove a queued RequestArrived."""
        self._queue.remove(arrival.deadline_s, arrival.request_id)

    def take_head(self, now_s):
        """Remove the most urgent request because it is being sent."""
        self._queue.pop()
        self._rate.record_dispatch(now_s, len(self._queue.entries) > 0)

    def drop_head(self):
        """Remove the most urgent request because it failed."""
        self._queue.pop()

    def _expected_wait_s(self, ahead, now_s):
        initial_s = self._pool.average_s / max(1, self._pool.slots)
        return self._rate.expected_wait_s(ahead, initial_s, now_s)
