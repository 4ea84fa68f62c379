"""Estimate how long a target takes for a request, from our own answers only."""

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
        recent_s: Average of the last few answers, raised by overdue work.
        average_s: Average of many answers, or None before the first.

    >>> time = ServiceTime()
    >>> time.observe(0.02)
    >>> time.observe(0.04)
    >>> time.recent_s
    0.03
    """

    recent_s: float = INITIAL_SERVICE_TIME_S
    average_s: float | None = None

    def observe(self, taken_s):
        """Take in the seconds from sending to the end of an answer."""
        taken_s = max(taken_s, SERVICE_TIME_MIN_S)
        if self.average_s is None:
            self.recent_s = self.average_s = taken_s
            return
        self.recent_s += RECENT_WEIGHT * (taken_s - self.recent_s)
        self.average_s += AVERAGE_WEIGHT * (taken_s - self.average_s)

    def observe_recent(self, taken_s):
        """Take in an answer that says nothing about the usual service time."""
        self.recent_s += RECENT_WEIGHT * (taken_s - self.recent_s)

    def raise_to(self, elapsed_s):
        """Take in that work has been in progress for this long already."""
        self.recent_s = max(self.recent_s, elapsed_s)

    def forget_slowness(self, average_s):
        """Move a slow estimate half way back towards the usual service time."""
        if self.recent_s > average_s:
            self.recent_s = (self.recent_s + average_s) / 2
