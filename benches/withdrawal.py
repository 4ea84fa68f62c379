"""Measure service while a data centre leaves and returns, for both deployments."""

import asyncio
import contextlib
import time

import attrs

from benches._faults import (
    VM_COUNT,
    PlatformRates,
    run_bench,
    say,
    send_stretch,
    share_in_time,
    wait_for_full_holds,
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
    """What was measured at one deployment.

    Attributes:
        kept: Answered in time, against the same load without the fault.
        no_new_work_s: Seconds from acceptance until the last new work there.
        overruns: Requests beyond the slots of their target.
        rates: The PlatformRates.
    """

    kept: float
    no_new_work_s: float
    overruns: int
    rates: PlatformRates

    @property
    def within(self):
        """Whether all bounds are kept."""
        in_time = self.kept >= KEPT_MIN and self.no_new_work_s <= NO_NEW_WORK_MAX_S
        return in_time and self.rates.within


async def withdraw(estate, data_centre):
    """Take a data centre out and back; return the seconds until no new work."""
    await asyncio.sleep(OUT_AT_S)
    content = f"[data-centre {data_centre}]\nstate = {{}}\n"
    await estate.apply(content.format("out"), reason="bench: out")
    accepted_s = time.time()
    await asyncio.sleep(BACK_AT_S - OUT_AT_S - 0.5)
    stats = await estate.target_stats()
    starts = [
        stats[target.name]["last_start"]
        for target in estate.targets
        if target.data_centre == data_centre
    ]
    await asyncio.sleep(0.5)
    await estate.apply(content.format("in"), reason="bench: back")
    return max(0.0, max(starts) - accepted_s)


async def measure(deployment, folder, seed):
    """Run one deployment with and without the fault; return the Outcome."""
    estate = Cluster(
        deployment.example,
        folder,
        vm_count=VM_COUNT,
        base_port=deployment.base_port,
        service_ms=deployment.service_ms,
    )
    with contextlib.closing(estate):
        await estate.start()
        _, answer = await estate.apply(estate.resource_text(), reason="bench")
        await estate.wait_in_force(answer["version"])
        await wait_for_full_holds(estate)
        await send_stretch(estate, deployment, LOAD, SETTLE_S, seed)
        whole = await send_stretch(estate, deployment, LOAD, STRETCH_S, seed + 1)
        say(f"  without the fault: {_words(whole)}")
        rates = PlatformRates()
        watch = asyncio.create_task(rates.watch(estate))
        out = asyncio.create_task(withdraw(estate, estate.data_centres[-1]))
        tally = await send_stretch(estate, deployment, LOAD, STRETCH_S, seed + 1)
        no_new_work_s = await out
        watch.cancel()
        say(f"  out and back:      {_words(tally)}")
        stats = await estate.target_stats()
        return Outcome(
            kept=share_in_time(tally) / share_in_time(whole),
            no_new_work_s=no_new_work_s,
            overruns=sum(facts["overruns"] for facts in stats.values()),
            rates=rates,
        )


def _words(tally):
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
    """Run the bench; exit code 1 says that a bound is broken."""
    return run_bench("withdrawal", __doc__, LOAD, measure, _figures, arguments)
