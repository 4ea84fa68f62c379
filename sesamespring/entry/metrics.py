"""Prometheus metrics of the entry daemon."""

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

__all__ = ["METRICS_CONTENT_TYPE", "Metrics"]

METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
LATENCY_BUCKETS_S = (
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
)


class Metrics:
    """The metrics of one daemon, in a registry of their own."""

    def __init__(self):
        registry = CollectorRegistry()
        self._registry = registry
        self.requests = Counter(
            "sesamespring_requests",
            "Requests by service and how they ended.",
            ["service", "outcome"],
            registry=registry,
        )
        self.request_seconds = Histogram(
            "sesamespring_request_seconds",
            "Time from a request's head to the end of its answer.",
            ["service"],
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.attempts = Counter(
            "sesamespring_attempts",
            "Attempts at targets by service and result.",
            ["service", "result"],
            registry=registry,
        )
        self.measuring = Counter(
            "sesamespring_measuring",
            "Calls that measure or coordinate, by what was called.",
            ["called"],
            registry=registry,
        )
        self.peer_frames = Counter(
            "sesamespring_peer_frames",
            "Frames between entry VMs by direction.",
            ["direction"],
            registry=registry,
        )
        self.peer_bytes = Counter(
            "sesamespring_peer_bytes",
            "Bytes of frames between entry VMs by direction.",
            ["direction"],
            registry=registry,
        )
        self.dropped_frames = Counter(
            "sesamespring_dropped_frames",
            "Frames that were not acceptable, by reason.",
            ["reason"],
            registry=registry,
        )
        self.configuration_version = Gauge(
            "sesamespring_configuration_version",
            "Version of the configuration in force here.",
            registry=registry,
        )
        self.holds = Gauge(
            "sesamespring_holds",
            "Targets that this VM holds by a valid lease.",
            registry=registry,
        )
        self.platform_failures = Counter(
            "sesamespring_platform_failures",
            "Calls that the platform did not answer.",
            registry=registry,
        )

    def render(self):
        """Return all metrics in the text format, as bytes."""
        return generate_latest(self._registry)
