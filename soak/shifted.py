"""Run the daemon with an offset to the wall clock.

Usage: ``python -m soak.shifted MILLISECONDS``. As on the platform, the environment
variable SESAMESPRING_SETTINGS holds the path of the settings file. The monotonic clock
is unchanged.
"""

import sys
import time

from soak.vm import INTERPRETER_STARTED

NS_PER_MS = 1_000_000


def shift_wall_clock(offset_ms):
    """Add ``offset_ms`` to the wall clock in this process."""
    true_time, true_time_ns = time.time, time.time_ns
    time.time = lambda: true_time() + offset_ms / 1000
    time.time_ns = lambda: true_time_ns() + offset_ms * NS_PER_MS


def main():
    """Shift the wall clock, then run the daemon."""
    print(INTERPRETER_STARTED, flush=True)
    shift_wall_clock(int(sys.argv.pop(1)))
    from sesamespring.gateway.__main__ import main as run_daemon

    run_daemon()


if __name__ == "__main__":
    main()
