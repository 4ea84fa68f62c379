"""Run the daemon with an offset to the wall clock and with links that can be cut.

Usage: ``python -m soak.shifted MILLISECONDS IP CUT``. As on the platform, the
environment variable SESAMESPRING_SETTINGS holds the path of the settings file. The
monotonic clock is unchanged. Connections to targets come from the VM's address IP, so
that links know whose they are. While a file CUT exists, new ones fail: they hang if it
says ``silent``, and are refused otherwise.
"""

import asyncio
import sys
import time
from pathlib import Path

from soak.vm import INTERPRETER_STARTED, SILENT_LINKS, TARGET_PORT_MIN

NS_PER_MS = 1_000_000


def shift_wall_clock(offset_ms):
    """Add ``offset_ms`` to the wall clock in this process."""
    true_time, true_time_ns = time.time, time.time_ns
    time.time = lambda: true_time() + offset_ms / 1000
    time.time_ns = lambda: true_time_ns() + offset_ms * NS_PER_MS


def cut_links(ip, cut):
    """Make connections to targets from an IP address, and fail while a file exists."""
    from sesamespring.gateway.targets import connection_pool

    open_channel = connection_pool.open_channel

    async def open_unless_cut(address, timeout_s):
        if address[1] >= TARGET_PORT_MIN and cut.exists():
            if cut.read_text() != SILENT_LINKS:
                raise ConnectionRefusedError("refused by a cut link")
            async with asyncio.timeout(timeout_s):
                await asyncio.Event().wait()
        return await open_channel(address, timeout_s, ip)

    connection_pool.open_channel = open_unless_cut


def main():
    """Shift the wall clock and prepare the links, then run the daemon."""
    print(INTERPRETER_STARTED, flush=True)
    shift_wall_clock(int(sys.argv.pop(1)))
    cut_links(sys.argv.pop(1), Path(sys.argv.pop(1)))
    from sesamespring.gateway.__main__ import main as run_daemon

    run_daemon()


if __name__ == "__main__":
    main()
