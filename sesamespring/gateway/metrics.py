"""Render the daemon's counters in the Prometheus text format."""

__all__ = ["CONTENT_TYPE", "render"]

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
PREFIX = "sesamespring_"


def render(counters):
    """Return all values of a Counters in the Prometheus text format, as bytes."""
    # Imported here, so that only VMs whose metrics are requested pay for its memory.
    from prometheus_client import CollectorRegistry, generate_latest

    registry = CollectorRegistry(auto_describe=False)
    registry.register(_Collector(counters))
    return generate_latest(registry)


class _Collector:
    """A Prometheus collector that builds metric families from a Counters."""

    def __init__(self, counters):
        self._counters = counters

    def collect(self):
        """Yield the metric families."""
        yield from self._totals()
        yield from self._gauges()
        yield self._latencies()

    def _totals(self):
        from prometheus_client.core import CounterMetricFamily

        for name, values in sorted(self._counters.totals.items()):
            labels = [key for key, _ in next(iter(values), ())]
            family = CounterMetricFamily(
                PREFIX + name, f"Count of {name.replace('_', ' ')}.", labels=labels
            )
            for pairs, value in values.items():
                family.add_metric([text for _, text in pairs], value)
            yield family

    def _gauges(self):
        from prometheus_client.core import GaugeMetricFamily

        for name, value in sorted(self._counters.gauges.items()):
            text = f"Present {name.replace('_', ' ')}."
            yield GaugeMetricFamily(PREFIX + name, text, value=value)

    def _latencies(self):
        from prometheus_client.core import HistogramMetricFamily

        from sesamespring.gateway.counters import LATENCY_BOUNDS_S

        family = HistogramMetricFamily(
            PREFIX + "request_seconds",
            "Time from a request's head to the end of its answer.",
            labels=["service"],
        )
        bounds = [*map(str, LATENCY_BOUNDS_S), "+Inf"]
        for service, histogram in self._counters.latencies.items():
            total = 0
            buckets = []
            for bound, count in zip(bounds, histogram.counts, strict=True):
                total += count
                buckets.append((bound, total))
            family.add_metric([service], buckets, histogram.sum_s)
        return family
