"""Measure availability while a data centre is taken out of service and returned."""

import asyncio
import contextlib
import time

import attrs

from benches._faults import (
    VM_COUNT,
    PlatformRates,
    in_time_share,
    print_progress,
    run_bench,
    send_load,
    wait_until_all_held,
)
from standins.cluster import Cluster

__all__ = ["main"]

LOAD = 0.6
STRETCH_S = 16.0
OUT_AT_S = 3.0
BACK_AT_S = 10.0
KEPT_MIN = 0.99
NO_NEW_WORK_MAX_S = 3.0
SETTLE_S = 4.0


@attrs.frozen
class Outcome:
    """The results of one deployment.

    Attributes:
        kept: Share of requests answered in time during the withdrawal, divided by the
            share under the same load without it.
        no_new_work_s: Seconds from the acceptance of the change until the last start
            of a request in the data centre.
        overruns: Number of requests beyond the slots of their target.
        rates: The PlatformRates during the withdrawal.
    """

    kept: float
    no_new_work_s: float
    overruns: int
    rates: PlatformRates

    @property
    def within_bounds(self):
        """Whether all bounds are met."""
        in_time = self.kept >= KEPT_MIN and self.no_new_work_s <= NO_NEW_WORK_MAX_S
        return in_time and self.rates.within_bounds


async def withdraw(cluster, data_centre):
    """Take a data centre out of service and return it.

    Returns:
        The seconds from acceptance until the last start of a request in it.
    """
    await asyncio.sleep(OUT_AT_S)
    content = f"[data-centre {data_centre}]\nstate = {{}}\n"
    await cluster.apply(content.format("out"), reason="bench: out")
    accepted_s = time.time()
    await asyncio.sleep(BACK_AT_S - OUT_AT_S - 0.5)
    stats = await cluster.target_stats()
    starts = [
        stats[target.name]["last_start"]
        for target in cluster.targets
        if target.data_centre == data_centre
    ]
    await asyncio.sleep(0.5)
    await cluster.apply(content.format("in"), reason="bench: back")
    return max(0.0, max(starts) - accepted_s)


async def measure(deployment, folder, seed):
    """Load one deployment without and with the withdrawal; return the Outcome."""
    cluster = Cluster(
        deployment.example,
        folder,
        vm_count=VM_COUNT,
        base_port=deployment.base_port,
        service_ms=deployment.service_ms,
    )
    with contextlib.closing(cluster):
        await cluster.start()
        _, result = await cluster.apply(cluster.resource_text(), reason="bench")
        await cluster.wait_in_force(result["version"])
        await wait_until_all_held(cluster)
        await send_load(cluster, deployment, LOAD, SETTLE_S, seed)
        baseline = await send_load(cluster, deployment, LOAD, STRETCH_S, seed + 1)
        print_progress(f"  without the fault: {_summary(baseline)}")
        rates = PlatformRates()
        sampling = asyncio.create_task(rates.sample(cluster))
        withdrawal = asyncio.create_task(withdraw(cluster, cluster.data_centres[-1]))
        tally = await send_load(cluster, deployment, LOAD, STRETCH_S, seed + 1)
        no_new_work_s = await withdrawal
        sampling.cancel()
        print_progress(f"  out and back:      {_summary(tally)}")
        stats = await cluster.target_stats()
        return Outcome(
            kept=in_time_share(tally) / in_time_share(baseline),
            no_new_work_s=no_new_work_s,
            overruns=sum(counters["overruns"] for counters in stats.values()),
            rates=rates,
        )


def _summary(tally):
    ordered = sorted(tally.latencies_ms)
    p99 = ordered[int(0.99 * (len(ordered) - 1))] if ordered else 0.0
    return (
        f"sent={tally.sent} answered={tally.answered} late={tally.late} "
        f"not_run={tally.not_run} unknown={tally.unknown} p99_ms={p99:.0f}"
    )


def _figures(outcome):
    return {
        "kept": f"{outcome.kept:.4f}",
        "no_new_work_s": f"{outcome.no_new_work_s:.2f}",
        "overruns": outcome.overruns,
        "reads_per_s": f"{outcome.rates.reads:.1f}",
        "writes_per_s": f"{outcome.rates.writes:.1f}",
    }


def main(arguments):
    """Run the bench; return 1 if a bound is exceeded."""
    return run_bench("withdrawal", __doc__, LOAD, measure, _figures, arguments)
