"""Run the daemon with a wall clock that is off by some milliseconds.

Usage: ``python -m soak.shifted MILLISECONDS``; the settings file is named as on the
platform. The monotonic clock stays as it is.
"""

import sys
import time

NS_PER_MS = 1_000_000


def shift_wall_clock(offset_ms):
    """Let the time of day be off by ``offset_ms`` in this process."""
    true_time, true_time_ns = time.time, time.time_ns
    time.time = lambda: true_time() + offset_ms / 1000
    time.time_ns = lambda: true_time_ns() + offset_ms * NS_PER_MS


def main():
    """Shift the clock, then run the daemon."""
    shift_wall_clock(int(sys.argv.pop(1)))
    from sesamespring.gateway.__main__ import main as run_daemon

    run_daemon()


if __name__ == "__main__":
    main()
