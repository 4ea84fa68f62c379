"""Bound the requests that a target in cold start gets in any second."""

import collections

__all__ = ["ColdStartLimiter"]

WINDOW_S = 1.0
# Requests on their way may arrive closer together than they were sent.
WINDOW_MARGIN_S = 0.1


class ColdStartLimiter:
    """Counts the requests that were sent to one target in the last second.

    >>> limiter = ColdStartLimiter()
    >>> limiter.record(0.0)
    >>> limiter.remaining(0.5, 1.5), limiter.remaining(1.2, 1.5)
    (0, 1)
    """

    def __init__(self):
        self._sent = collections.deque()

    def record(self, now_s):
        """Count a request that is sent now."""
        self._sent.append(now_s)
        self._forget(now_s)

    def remaining(self, now_s, most):
        """Return how many more requests may be sent now.

        Args:
            now_s: The time now.
            most: How many may be sent in any second.
        """
        self._forget(now_s)
        return max(0, int(most) - len(self._sent))

    def _forget(self, now_s):
        oldest_s = now_s - WINDOW_S - WINDOW_MARGIN_S
        while self._sent and self._sent[0] <= oldest_s:
            self._sent.popleft()
