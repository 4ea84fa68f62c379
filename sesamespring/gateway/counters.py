"""Count what a daemon does; the metrics are made from it only when they are asked for.

The metrics library takes megabytes, which a VM that nobody looks at need not spend.
"""

import bisect
import collections

__all__ = ["LATENCY_BOUNDS_S", "Counters", "LatencyHistogram"]

LATENCY_BOUNDS_S = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 5.0)


class LatencyHistogram:
    """Counts durations by upper bound.

    Attributes:
        counts: How many fell under each bound; the last one counts the rest.
        sum_s: Sum of all durations, in seconds.
    """

    def __init__(self):
        self.counts = [0] * (len(LATENCY_BOUNDS_S) + 1)
        self.sum_s = 0.0

    def observe(self, seconds):
        """Count a duration."""
        self.counts[bisect.bisect_left(LATENCY_BOUNDS_S, seconds)] += 1
        self.sum_s += seconds


class Counters:
    """Numbers by name and labels, latencies by service, and gauges.

    >>> counters = Counters()
    >>> counters.add("requests", service="s", result="answered")
    >>> counters.totals["requests"][("service", "s"), ("result", "answered")]
    1
    """

    def __init__(self):
        self.totals = collections.defaultdict(collections.Counter)
        self.latencies = collections.defaultdict(LatencyHistogram)
        self.gauges = {}

    def add(self, name, **labels):
        """Count one more of ``name``."""
        self.totals[name][tuple(labels.items())] += 1

    def observe(self, service, seconds):
        """Count the time that a service's request took here."""
        self.latencies[service].observe(seconds)

    def set(self, name, value):
        """Set a gauge."""
        self.gauges[name] = value
