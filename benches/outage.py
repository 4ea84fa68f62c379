"""Measure service while the platform is away and entry VMs are replaced.

The stretch stands for an hour: what counts are ttls and replacements, so the
session's ttl is shortened and every entry VM is replaced once.
"""

import asyncio
import contextlib
import time

import attrs

from benches._faults import (
    VM_COUNT,
    PlatformRates,
    count_holds,
    run_bench,
    say,
    send_stretch,
    share_in_time,
    wait_for_full_holds,
)
from standins.cluster import Cluster, wait_for

__all__ = ["main"]

LOAD = 0.5
TTL_MS = 3_000
WHOLE_S = 8.0
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
    """What was measured at one deployment.

    Attributes:
        kept: Answered in time, against the same load with the platform.
        held: Targets held at the end of the outage.
        targets: All targets.
        back_s: Seconds after the outage until all are held.
        overruns: Requests beyond the slots of their target.
        run_twice: Idempotency keys that ran more than once.
        rates: The PlatformRates while the platform was back.
    """

    kept: float
    held: int
    targets: int
    back_s: float
    overruns: int
    run_twice: int
    rates: PlatformRates

    @property
    def within(self):
        """Whether all bounds are kept."""
        kept = self.kept >= KEPT_MIN and self.held == self.targets
        return kept and not self.run_twice and self.rates.within


async def replace_all(estate):
    """Stop and start each entry VM in turn."""
    await asyncio.sleep(2 * TTL_MS / 1000)
    for vm in estate.vms.values():
        started_s = time.monotonic()
        await estate.terminate(vm.name)
        await estate.start_entry(vm)
        await wait_for(lambda vm=vm: estate.metrics_text(vm))
        taken_s = time.monotonic() - started_s
        say(
            f"  {vm.name} replaced in {taken_s:.1f} s, held={await count_holds(estate)}"
        )
        await asyncio.sleep(TTL_MS / 2000)


async def measure(deployment, folder, seed):
    """Run one deployment with and without the outage; return the Outcome."""
    estate = Cluster(
        deployment.example,
        folder,
        vm_count=VM_COUNT,
        base_port=deployment.base_port,
        service_ms=deployment.service_ms,
        settings=SETTINGS,
    )
    with contextlib.closing(estate):
        await estate.start()
        _, answer = await estate.apply(estate.resource_text(), reason="bench")
        await estate.wait_in_force(answer["version"])
        await wait_for_full_holds(estate)
        await asyncio.sleep(TTL_MS / 1000)
        # Targets start cold; the stretches compare warm ones.
        await send_stretch(estate, deployment, LOAD, SETTLE_S, seed + 2)
        whole = await send_stretch(estate, deployment, LOAD, WHOLE_S, seed)
        say(f"  with the platform: sent={whole.sent} answered={whole.answered}")
        await estate.set_faults(reset=True)
        replacing = asyncio.create_task(replace_all(estate))
        tally = await send_stretch(estate, deployment, LOAD, OUTAGE_S, seed + 1)
        await replacing
        held = await count_holds(estate)
        say(
            f"  without it: sent={tally.sent} answered={tally.answered} "
            f"late={tally.late} not_run={tally.not_run} unknown={tally.unknown} "
            f"held={held}"
        )
        await estate.set_faults(reset=False, lost_answers=0)
        rates = PlatformRates()
        watch = asyncio.create_task(rates.watch(estate))
        back_s = await wait_for_full_holds(estate)
        await asyncio.sleep(2 * TTL_MS / 1000)
        watch.cancel()
        stats = await estate.target_stats()
        runs = [count for facts in stats.values() for count in facts["runs"].values()]
        return Outcome(
            kept=share_in_time(tally) / share_in_time(whole),
            held=held,
            targets=len(estate.targets),
            back_s=back_s,
            overruns=sum(facts["overruns"] for facts in stats.values()),
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
    """Run the bench; exit code 1 says that a bound is broken."""
    return run_bench("outage", __doc__, LOAD, measure, _figures, arguments)
