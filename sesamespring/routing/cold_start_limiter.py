"""Limit how many requests a target in cold start gets in any second."""

import collections

__all__ = ["ColdStartLimiter"]

WINDOW_S = 1.0
# Network delay varies, so requests may arrive closer together than they were sent.
WINDOW_MARGIN_S = 0.1


class ColdStartLimiter:
    """Sliding-window counter of the requests sent to one target in the last second.

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
        self._drop_expired(now_s)

    def remaining(self, now_s, limit):
        """Return how many more requests may be sent now.

        Args:
            now_s: Current time.
            limit: Largest number of requests in any second; fractions are cut off.
        """
        self._drop_expired(now_s)
        return max(0, int(limit) - len(self._sent))

    def _drop_expired(self, now_s):
        oldest_s = now_s - WINDOW_S - WINDOW_MARGIN_S
        while self._sent and self._sent[0] <= oldest_s:
            self._sent.popleft()
