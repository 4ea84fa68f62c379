"""A token bucket whose limits may change at any time."""

import math

__all__ = ["TokenBucket"]


class TokenBucket:
    """Counts the requests that may be sent, at a steady rate and after a pause at once.

    In any ``t`` seconds it gives at most ``capacity + t * rate`` tokens.

    Args:
        tokens: Tokens that it holds at first.
        now_s: Current time.

    >>> bucket = TokenBucket(0.0, 0.0)
    >>> bucket.update(1.5, 2.0, 1.0)
    >>> bucket.take(5), bucket.take(1), bucket.due_in_s(2.0)
    (1, 0, 0.25)
    """

    def __init__(self, tokens, now_s):
        self._tokens = tokens
        self._updated_s = now_s

    @property
    def available(self):
        """Number of whole tokens."""
        return int(self._tokens)

    @property
    def updated_s(self):
        """Time of the last update."""
        return self._updated_s

    def update(self, added, capacity, now_s):
        """Add tokens that were earned since the last update.

        Args:
            added: Their number, which may be fractional.
            capacity: Tokens that the bucket may hold from now on.
            now_s: Current time.
        """
        self._tokens = min(capacity, self._tokens + added)
        self._updated_s = max(now_s, self._updated_s)

    def take(self, count):
        """Take up to ``count`` tokens and return their number."""
        taken = max(0, min(count, self.available))
        self._tokens -= taken
        return taken

    def give_back(self, count):
        """Put back tokens that nobody spends; the next update applies the capacity."""
        self._tokens += count

    def due_in_s(self, rate_per_s):
        """Return the seconds until there is a whole token; infinite without a rate."""
        if self._tokens >= 1:
            return 0.0
        return (1 - self._tokens) / rate_per_s if rate_per_s > 0 else math.inf
