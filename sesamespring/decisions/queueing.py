"""Order waiting requests by deadline and estimate how long they will wait."""

import bisect

__all__ = ["DispatchRate", "WaitingQueue"]

INTERVAL_WEIGHT = 0.1


class WaitingQueue:
    """A queue of requests, earliest deadline first.

    >>> queue = WaitingQueue()
    >>> queue.add(2.0, 1)
    >>> queue.add(1.0, 2)
    >>> queue.head
    (1.0, 2)
    >>> queue.ahead_of(1.5)
    1
    """

    def __init__(self):
        self._entries = []

    @property
    def entries(self):
        """List of (deadline, request id) pairs in order."""
        return self._entries

    @property
    def head(self):
        """Pair of the earliest deadline and its request id, or None."""
        return self._entries[0] if self._entries else None

    def ahead_of(self, deadline_s):
        """Return how many requests would precede a new one with this deadline."""
        return bisect.bisect_right(self._entries, (deadline_s, float("inf")))

    def add(self, deadline_s, request_id):
        """Insert a request."""
        bisect.insort(self._entries, (deadline_s, request_id))

    def pop(self):
        """Remove the head."""
        del self._entries[0]

    def remove(self, deadline_s, request_id):
        """Remove a request if it is in the queue."""
        entry = (deadline_s, request_id)
        index = bisect.bisect_left(self._entries, entry)
        if index < len(self._entries) and self._entries[index] == entry:
            del self._entries[index]


class DispatchRate:
    """Average interval between dispatches, on held targets and on loans together."""

    def __init__(self):
        self._interval_s = None
        self._last_s = None

    def expected_wait_s(self, ahead, initial_interval_s, now_s):
        """Return the expected seconds until a request is sent.

        Args:
            ahead: Number of requests ahead of it.
            initial_interval_s: Interval to assume before the first measurement.
            now_s: The current time in seconds.
        """
        interval_s = self._interval_s
        if interval_s is None:
            interval_s = initial_interval_s
        if self._last_s is not None:
            stalled_s = now_s - self._last_s
            if stalled_s > interval_s:
                return ahead * interval_s + stalled_s
        return ahead * interval_s

    def record_dispatch(self, now_s, backlog):
        """Record that a request was sent.

        Args:
            now_s: The current time in seconds.
            backlog: Whether other requests still wait; intervals without a backlog
                are not measured, as they depend on arrivals.
        """
        if self._last_s is not None:
            interval_s = now_s - self._last_s
            if self._interval_s is None:
                self._interval_s = interval_s
            self._interval_s += INTERVAL_WEIGHT * (interval_s - self._interval_s)
        self._last_s = now_s if backlog else None
