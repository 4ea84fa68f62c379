"""Estimate service times from the responses that this VM received."""

import attrs

__all__ = ["ServiceTime"]

RECENT_WEIGHT = 0.5
AVERAGE_WEIGHT = 0.05
INITIAL_SERVICE_TIME_S = 0.01
SERVICE_TIME_MIN_S = 0.0001


@attrs.define
class ServiceTime:
    """The service time of a target, or of all targets together.

    Attributes:
        recent_s: Moving average over the last few responses in seconds, raised while
            a request is overdue.
        average_s: Moving average over many responses in seconds, or None before the
            first one.

    >>> time = ServiceTime()
    >>> time.observe(0.02)
    >>> time.observe(0.04)
    >>> time.recent_s
    0.03
    """

    recent_s: float = INITIAL_SERVICE_TIME_S
    average_s: float | None = None

    def observe(self, taken_s):
        """Add the time of one response, in seconds, to both averages."""
        taken_s = max(taken_s, SERVICE_TIME_MIN_S)
        if self.average_s is None:
            self.recent_s = self.average_s = taken_s
            return
        self.recent_s += RECENT_WEIGHT * (taken_s - self.recent_s)
        self.average_s += AVERAGE_WEIGHT * (taken_s - self.average_s)

    def observe_recent(self, taken_s):
        """Add the time of a cold target's response, to the recent average only."""
        self.recent_s += RECENT_WEIGHT * (taken_s - self.recent_s)

    def raise_to(self, elapsed_s):
        """Raise the recent average to the age of a request in progress."""
        self.recent_s = max(self.recent_s, elapsed_s)

    def decay_towards(self, average_s):
        """Move a slow recent average half way towards a given average."""
        if self.recent_s > average_s:
            self.recent_s = (self.recent_s + average_s) / 2
