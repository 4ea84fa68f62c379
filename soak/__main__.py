"""Run seeds of the soak: ``python -m soak --seed N [--count N] [--seconds S]``."""

import asyncio
import sys
import tempfile
import time
from pathlib import Path

import defopt

from soak.runner import run_soak

__all__ = ["soak"]


def soak(
    *,
    seed: int | None = None,
    count: int = 1,
    seconds: float = 15.0,
    vms: int = 4,
    logs: str | None = None,
):
    """Run seeds one after the other and end with 1 if a promise was broken.

    Args:
        seed: First seed; from the time of day unless given.
        count: How many seeds.
        seconds: How long faults begin in each, in seconds.
        vms: How many entry VMs.
        logs: Folder that keeps the logs of seeds that broke a promise.
    """
    first = int(time.time()) if seed is None else seed
    broken = 0
    for number in range(first, first + count):
        with tempfile.TemporaryDirectory() as folder:
            result = asyncio.run(run_soak(number, seconds, Path(folder), vms))
            _show(result)
            if result.breaches:
                broken += 1
                _keep_logs(Path(folder), logs, number)
    print(f"seeds={count} broken={broken}")
    if broken:
        sys.exit(1)


def _show(result):
    print(
        f"seed={result.seed} calls={result.calls} served={result.served} "
        f"breaches={len(result.breaches)}",
        flush=True,
    )
    if result.breaches:
        for line in result.history:
            print(f"  {line}")
    for breach in result.breaches[:20]:
        print(f"  {breach.promise}: {breach.detail}", flush=True)


def _keep_logs(folder, logs, seed):
    if logs is None:
        return
    kept = Path(logs) / f"seed-{seed}"
    kept.mkdir(parents=True, exist_ok=True)
    for path in folder.glob("*.log"):
        (kept / path.name).write_bytes(path.read_bytes())


if __name__ == "__main__":
    defopt.run(soak)
