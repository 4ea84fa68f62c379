"""Log each event as one line of key=value pairs."""

import sys

import structlog

__all__ = ["configure_logs", "get_logger"]


def configure_logs(vm_name, stream=None):
    """Write all log events of the process to a stream.

    Args:
        vm_name: Name of the VM, added to every line as ``vm``.
        stream: A text stream; standard error by default.
    """
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.LogfmtRenderer(
                key_order=["timestamp", "level", "event"], drop_missing=True
            ),
        ],
        logger_factory=structlog.WriteLoggerFactory(stream or sys.stderr),
        cache_logger_on_first_use=False,
    )
    structlog.contextvars.bind_contextvars(vm=vm_name)


def get_logger(name):
    """Return the logger of a module; its lines carry the name as ``module``."""
    return structlog.get_logger(module=name.removeprefix("sesamespring."))
