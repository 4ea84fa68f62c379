"""Print changes of the configuration in force at entry VMs, and of their status."""

import time

from sesamespring.cli.calls import query_entry
from sesamespring.cli.formatting import key_values

__all__ = ["watch"]


def watch(*, entry: str, seconds: int = 60):
    """Show each change of the configuration in force at entry VMs and of their status.

    Uses long polling: the entry VM delays each response until something has changed
    or some seconds have passed.

    Args:
        entry: IP:PORT of any entry VM.
        seconds: How long to watch, in seconds.
    """
    end_s = time.monotonic() + seconds
    shown = {}
    state = ""
    while time.monotonic() < end_s:
        result = query_entry(entry, f"watch?state={state}")
        state = result["state"]
        for item in result["in_force"]:
            fields = {
                key: item[key]
                for key in ("vm", "version", "digest", "live", "platform_reachable")
            }
            if shown.get(item["vm"]) != fields:
                shown[item["vm"]] = fields
                print(key_values(fields), flush=True)
