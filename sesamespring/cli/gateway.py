"""Run the daemon of an entry VM on the platform."""

from sesamespring.gateway.daemon import run_gateway

__all__ = ["gateway"]


def gateway(*, settings: str, metrics_port: int | None = None):
    """Run the daemon of an entry VM on the platform.

    Args:
        settings: Path of the platform's settings file.
        metrics_port: Additional port on which metrics are served; none by default.
    """
    run_gateway(settings, metrics_port)
