"""Run soak tests: ``python -m soak --seed N [--count N] [--seconds S]``."""

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
    production: str | None = None,
    final_fault: bool = False,
):
    """Run one soak test for each seed; exit with 1 if a promise was broken.

    Args:
        seed: First seed; the current Unix time unless given.
        count: Number of consecutive seeds.
        seconds: Period in which faults start in each run, in seconds.
        vms: Number of entry VMs.
        logs: Folder for the logs of runs that broke a promise; not kept unless given.
        production: Commit of an earlier build, which all VMs run at first; restarted
            ones run either build.
        final_fault: Whether to kill all VMs at the same moment at the end.
    """
    first = int(time.time()) if seed is None else seed
    broken = 0
    for number in range(first, first + count):
        with tempfile.TemporaryDirectory() as folder:
            result = asyncio.run(
                run_soak(
                    number,
                    seconds,
                    Path(folder),
                    vms,
                    production=production,
                    final_fault=final_fault,
                )
            )
            _print_result(result)
            if result.breaches:
                broken += 1
                _keep_logs(Path(folder), logs, number)
    print(f"seeds={count} broken={broken}")
    if broken:
        sys.exit(1)


def _print_result(result):
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
