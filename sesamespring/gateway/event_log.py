"""Write a structured log line for each event, rate-limited and without blocking."""

import os
import time

import structlog

__all__ = ["EventLog"]

LINES_PER_S = 100.0
LINES_BURST = 400.0
# Part of the token bucket that routine lines, such as those on successful requests,
# leave to the other lines.
ROUTINE_RESERVE_FRACTION = 0.5
PENDING_BYTES_MAX = 256 * 1024
DROPPED_REPORT_INTERVAL_S = 1.0


class EventLog:
    """A logfmt writer to a file descriptor that it sets to non-blocking mode.

    A token bucket limits the rate of lines. Dropped lines are counted, and their number
    is logged at most once per ``DROPPED_REPORT_INTERVAL_S``.

    Args:
        vm: Name of the VM, part of each line.
        descriptor: File descriptor to write to; by default standard output.
        clock: Function that returns a monotonic time in seconds.
    """

    def __init__(self, vm, descriptor=1, clock=time.monotonic):
        self._vm = vm
        self._descriptor = descriptor
        self._clock = clock
        self._tokens = LINES_BURST
        self._refilled_s = clock()
        self._pending = bytearray()
        self._dropped = 0
        self._dropped_written_s = clock()
        self._render = structlog.processors.LogfmtRenderer(
            key_order=["at", "event", "vm"], drop_missing=True
        )
        os.set_blocking(descriptor, False)

    @property
    def dropped(self):
        """Number of lines dropped since their number was last logged."""
        return self._dropped

    def routine(self, event, **fields):
        """Write a line on a normal event, unless the token bucket is nearly used up.

        Args:
            event: Name of the event, words joined by dashes.
            fields: Further keys and values of the line.
        """
        self._write_limited(LINES_BURST * ROUTINE_RESERVE_FRACTION, event, fields)

    def event(self, event, **fields):
        """Write a line.

        Args:
            event: Name of the event, words joined by dashes.
            fields: Further keys and values of the line, such as the cause and outcome.
        """
        self._write_limited(0.0, event, fields)

    def _write_limited(self, reserved_tokens, event, fields):
        """Write a line, or drop it if only the reserved tokens are left."""
        now_s = self._clock()
        self._refill(now_s)
        if self._tokens < 1 + reserved_tokens:
            self._dropped += 1
            return
        self._tokens -= 1
        if (
            self._dropped
            and now_s - self._dropped_written_s > DROPPED_REPORT_INTERVAL_S
        ):
            dropped, self._dropped = self._dropped, 0
            self._dropped_written_s = now_s
            self._write("log-lines-dropped", {"lines": dropped})
        self._write(event, fields)

    def _refill(self, now_s):
        earned = (now_s - self._refilled_s) * LINES_PER_S
        self._tokens = min(LINES_BURST, self._tokens + earned)
        self._refilled_s = now_s

    def _write(self, event, fields):
        formatted = {key: _format_value(value) for key, value in fields.items()}
        entry = {
            "at": f"{time.time():.3f}",
            "event": event,
            "vm": self._vm,
            **formatted,
        }
        line = self._render(None, "info", entry)
        if len(self._pending) + len(line) > PENDING_BYTES_MAX:
            self._dropped += 1
            return
        self._pending += line.encode("utf-8", "replace") + b"\n"
        try:
            written = os.write(self._descriptor, self._pending)
        except OSError:
            # The reader of the log is slow or gone: the lines stay pending, up to
            # PENDING_BYTES_MAX.
            return
        del self._pending[:written]


def _format_value(value):
    if isinstance(value, float):
        return round(value, 4)
    return value
