"""Write one structured line for each event, bounded, without ever blocking."""

import os
import time

import structlog

__all__ = ["EventLog"]

LINES_PER_S = 100.0
LINES_BURST = 400.0
# Lines on requests that went well give way to the others.
ROUTINE_RESERVE_FRACTION = 0.5
PENDING_BYTES_MAX = 256 * 1024
DROPPED_REPORT_INTERVAL_S = 1.0


class EventLog:
    """Structured lines of one daemon on a descriptor that does not block.

    A token bucket bounds the lines; what it drops is counted, and the count is
    written once a second.

    Args:
        vm: Name of the VM.
        descriptor: Where to write; standard output unless given.
        clock: Function that returns the time in seconds.
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
        """How many lines were dropped since that was last written."""
        return self._dropped

    def routine(self, event, **fields):
        """Write a line on something that went well, if there is ample room."""
        self._write_limited(LINES_BURST * ROUTINE_RESERVE_FRACTION, event, fields)

    def event(self, event, **fields):
        """Write a line.

        Args:
            event: Name of the event, words joined by dashes.
            fields: What decided it, and its outcome.
        """
        self._write_limited(0.0, event, fields)

    def _write_limited(self, reserved_tokens, event, fields):
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
            # The reader is slow or gone; the lines wait, up to the bound above.
            return
        del self._pending[:written]


def _format_value(value):
    if isinstance(value, float):
        return round(value, 4)
    return value
