"""The record that a script writes, and how it ends."""

import asyncio
import os
import sys
import time

from review.harness_3.deployment import can_run

__all__ = ["BROKEN", "HELD", "NOT_RUN", "Record", "run_case"]

HELD = 0
BROKEN = 1
NOT_RUN = 2
RUN_TIMEOUT_S = 110.0


class Record:
    """Lines with times, written to ``record.txt`` beside the script."""

    def __init__(self, folder):
        self._path = folder / "record.txt"
        self._started_s = time.monotonic()
        self._lines = []

    @property
    def now_s(self):
        """Seconds since the start."""
        return time.monotonic() - self._started_s

    def line(self, text):
        """Add a line."""
        text = f"{self.now_s:8.3f} {text}"
        self._lines.append(text)
        print(text, flush=True)

    def write(self):
        """Write the file."""
        self._path.write_text("\n".join(self._lines) + "\n", encoding="utf-8")


def run_case(folder, play):
    """Run ``play(record, trouble)``, a coroutine function, and exit with its result."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    record.line(f"disruption: {'yes' if trouble else 'no'}")
    result = NOT_RUN
    try:
        if can_run():
            result = asyncio.run(_limited(play(record, trouble)))
        else:
            record.line("target/deps is missing: run the build first")
    except (OSError, TimeoutError) as error:
        record.line(f"could not run: {error!r}")
    record.line({HELD: "rule held", BROKEN: "rule broken"}.get(result, "not run"))
    record.write()
    sys.exit(result)


async def _limited(play):
    async with asyncio.timeout(RUN_TIMEOUT_S):
        return await play
