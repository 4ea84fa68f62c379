"""Counters, gauges and histograms of a daemon, without the metrics library.

The metrics library takes megabytes of memory, so it is loaded only on VMs whose metrics
are requested.
"""

import bisect
import collections

__all__ = ["LATENCY_BOUNDS_S", "Counters", "LatencyHistogram"]

LATENCY_BOUNDS_S = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 5.0)


class LatencyHistogram:
    """A histogram of durations with the buckets of ``LATENCY_BOUNDS_S``.

    Attributes:
        counts: Number of durations in each bucket, not cumulative; the last bucket
            has no upper bound.
        sum_s: Sum of all durations, in seconds.
    """

    def __init__(self):
        self.counts = [0] * (len(LATENCY_BOUNDS_S) + 1)
        self.sum_s = 0.0

    def observe(self, seconds):
        """Add a duration, in seconds, to its bucket and to the sum."""
        self.counts[bisect.bisect_left(LATENCY_BOUNDS_S, seconds)] += 1
        self.sum_s += seconds


class Counters:
    """Counters by name and labels, latency histograms by service, and gauges.

    >>> counters = Counters()
    >>> counters.add("requests", service="s", result="answered")
    >>> counters.totals["requests"][("service", "s"), ("result", "answered")]
    1
    """

    def __init__(self):
        self.totals = collections.defaultdict(collections.Counter)
        self.latencies = collections.defaultdict(LatencyHistogram)
        self.gauges = {}

    def add(self, name, /, amount=1, **labels):
        """Increase the counter ``name`` with the given labels by an amount."""
        self.totals[name][tuple(labels.items())] += amount

    def observe(self, service, seconds):
        """Record the seconds that this VM took for a request to a service."""
        self.latencies[service].observe(seconds)

    def set(self, name, value):
        """Set the gauge ``name`` to a value."""
        self.gauges[name] = value
