"""Measure availability while the platform is down and entry VMs are replaced.

The outage is shorter than the hour that it represents: what matters is the number
of session TTLs and of VM replacements in it, so the session TTL is shortened and
every entry VM is replaced once.
"""

import asyncio
import contextlib
import time

import attrs

from benches._faults import (
    VM_COUNT,
    PlatformRates,
    count_held_targets,
    in_time_share,
    print_progress,
    run_bench,
    send_load,
    wait_until_all_held,
)
from standins.cluster import Cluster, wait_for

__all__ = ["main"]

LOAD = 0.5
TTL_MS = 3_000
BASELINE_S = 8.0
OUTAGE_S = 27.0
SETTLE_S = 4.0
KEPT_MIN = 0.99
SETTINGS = {
    "entry": {"entries_ttl_ms": "500"},
    "platform": {"session_ttl_ms": str(TTL_MS), "timeout_ms": "200"},
    "peers": {"heartbeat_interval_ms": "200", "heartbeat_timeout_ms": "1000"},
}


@attrs.frozen
class Outcome:
    """The results of one deployment.

    Attributes:
        kept: Share of requests answered in time during the outage, divided by the
            share under the same load without an outage.
        held: Number of targets held at the end of the outage.
        targets: Number of all targets.
        back_s: Seconds from the end of the outage until all targets are held.
        overruns: Number of requests beyond the slots of their target.
        run_twice: Number of idempotency keys whose request ran more than once.
        rates: The PlatformRates after the outage.
    """

    kept: float
    held: int
    targets: int
    back_s: float
    overruns: int
    run_twice: int
    rates: PlatformRates

    @property
    def within_bounds(self):
        """Whether all bounds are met."""
        kept = self.kept >= KEPT_MIN and self.held == self.targets
        return kept and not self.run_twice and self.rates.within_bounds


async def replace_all(cluster):
    """Stop and restart each entry VM, one after another."""
    await asyncio.sleep(2 * TTL_MS / 1000)
    for vm in cluster.vms.values():
        started_s = time.monotonic()
        await cluster.terminate(vm.name)
        await cluster.start_entry(vm)
        await wait_for(lambda vm=vm: cluster.metrics_text(vm))
        elapsed_s = time.monotonic() - started_s
        print_progress(
            f"  {vm.name} replaced in {elapsed_s:.1f} s, "
            f"held={await count_held_targets(cluster)}"
        )
        await asyncio.sleep(TTL_MS / 2000)


async def measure(deployment, folder, seed):
    """Load one deployment without and with the outage; return the Outcome."""
    cluster = Cluster(
        deployment.example,
        folder,
        vm_count=VM_COUNT,
        base_port=deployment.base_port,
        service_ms=deployment.service_ms,
        settings=SETTINGS,
    )
    with contextlib.closing(cluster):
        await cluster.start()
        _, result = await cluster.apply(cluster.resource_text(), reason="bench")
        await cluster.wait_in_force(result["version"])
        await wait_until_all_held(cluster)
        await asyncio.sleep(TTL_MS / 1000)
        # Targets start cold; both measurements are of warm ones.
        await send_load(cluster, deployment, LOAD, SETTLE_S, seed + 2)
        baseline = await send_load(cluster, deployment, LOAD, BASELINE_S, seed)
        print_progress(
            f"  with the platform: sent={baseline.sent} answered={baseline.answered}"
        )
        await cluster.set_faults(reset=True)
        replacing = asyncio.create_task(replace_all(cluster))
        tally = await send_load(cluster, deployment, LOAD, OUTAGE_S, seed + 1)
        await replacing
        held = await count_held_targets(cluster)
        print_progress(
            f"  without it: sent={tally.sent} answered={tally.answered} "
            f"late={tally.late} not_run={tally.not_run} unknown={tally.unknown} "
            f"held={held}"
        )
        await cluster.set_faults(reset=False, lost_answers=0)
        rates = PlatformRates()
        sampling = asyncio.create_task(rates.sample(cluster))
        back_s = await wait_until_all_held(cluster)
        await asyncio.sleep(2 * TTL_MS / 1000)
        sampling.cancel()
        stats = await cluster.target_stats()
        runs = [
            count for counters in stats.values() for count in counters["runs"].values()
        ]
        return Outcome(
            kept=in_time_share(tally) / in_time_share(baseline),
            held=held,
            targets=len(cluster.targets),
            back_s=back_s,
            overruns=sum(counters["overruns"] for counters in stats.values()),
            run_twice=sum(1 for count in runs if count > 1),
            rates=rates,
        )


def _figures(outcome):
    return {
        "kept": f"{outcome.kept:.4f}",
        "held": f"{outcome.held}/{outcome.targets}",
        "back_s": f"{outcome.back_s:.1f}",
        "overruns": outcome.overruns,
        "run_twice": outcome.run_twice,
        "reads_per_s": f"{outcome.rates.reads:.1f}",
        "writes_per_s": f"{outcome.rates.writes:.1f}",
    }


def main(arguments):
    """Run the bench; return 1 if a bound is exceeded."""
    return run_bench("outage", __doc__, LOAD, measure, _figures, arguments)
