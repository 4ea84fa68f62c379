"""Tell how many extra attempts more urgent requests have wanted lately.

Load it answers: targets that reject most attempts for seconds. More extra attempts
are wanted then than the retry budget has; those that it has go to the most urgent
requests.
"""

import math

import attrs

__all__ = ["WantedAttempts"]

# For about so long a wanted attempt counts.
MEMORY_S = 1.0


@attrs.define
class _Wanted:
    """A number of wanted attempts that decays from a time on."""

    count: float = 0.0
    updated_s: float = 0.0

    def at(self, now_s):
        return self.count * math.exp(-max(0.0, now_s - self.updated_s) / MEMORY_S)


class WantedAttempts:
    """The extra attempts that requests have wanted, by priority.

    >>> wanted = WantedAttempts()
    >>> wanted.record(0, 5.0)
    >>> wanted.more_urgent(1, 5.0), wanted.more_urgent(0, 5.0)
    (1.0, 0.0)
    """

    def __init__(self):
        self._by_priority = {}

    def record(self, priority, now_s):
        """Record that a request with a priority wants an extra attempt."""
        wanted = self._by_priority.setdefault(priority, _Wanted())
        wanted.count = wanted.at(now_s) + 1
        wanted.updated_s = now_s

    def more_urgent(self, priority, now_s):
        """Return how many attempts more urgent requests have wanted lately."""
        return sum(
            (
                wanted.at(now_s)
                for other, wanted in self._by_priority.items()
                if other < priority
            ),
            0.0,
        )
