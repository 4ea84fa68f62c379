"""Run one soak test: generate load, inject faults and check the promises."""

import asyncio
import random
import time

import attrs

from soak.builds import PRESENT_BUILD, extract_build
from soak.cluster import Cluster
from soak.faults import FAULTS, Faults
from soak.load import LoadGenerator
from soak.promises import Breach, check_promises, check_recovery
from soak.schedule import PlannedFault, make_schedule

__all__ = ["SoakResult", "run_soak"]

CHECK_INTERVAL_S = 1.0
# After the faults, the system has SETTLE_S to recover. Requests that are sent in the
# RECOVERY_WINDOW_S after that have to succeed.
SETTLE_S = 5.0
RECOVERY_WINDOW_S = 3.0
# Interval at which VMs are replaced where there are two builds.
RESTART_INTERVAL_S = 3.0
FINAL_DOWN_S = 1.0
# Time after the schedule within which all faults have to end and VMs to be ready.
FAULTS_END_TIMEOUT_S = 40.0


@attrs.frozen
class SoakResult:
    """The result of one soak test.

    Attributes:
        seed: The seed.
        calls: Number of requests sent.
        served: Number of requests with status 200.
        breaches: Tuple of Breach, without duplicates.
        history: Tuple of lines of text, one for each disturbance.
    """

    seed: int
    calls: int
    served: int
    breaches: tuple
    history: tuple


async def run_soak(
    seed,
    seconds,
    folder,
    vms=4,
    callers=8,
    faults=FAULTS,
    production=None,
    final_fault=False,
):
    """Run one soak test and return its SoakResult.

    With an earlier build, all VMs run that one at first, and either build after each
    restart.

    Args:
        seed: Seed of the faults and of the callers' choices.
        seconds: Period in which faults start, in seconds.
        folder: Path of an empty folder for settings and logs.
        vms: Number of entry VMs.
        callers: Number of concurrent callers.
        faults: Names of the faults to choose from.
        production: Commit of the earlier build, or None to run the present one only.
        final_fault: Whether to kill all VMs at the end of the schedule.
    """
    builds = (PRESENT_BUILD,)
    if production is not None:
        builds = (extract_build(production, folder), PRESENT_BUILD)
    async with Cluster(vms, folder, builds) as cluster:
        load = LoadGenerator(cluster, seed)
        loop = asyncio.get_running_loop()
        load_tasks = [loop.create_task(load.run_caller()) for _ in range(callers)]
        load_tasks.append(loop.create_task(load.run_probes()))
        schedule = make_schedule(seed, seconds, faults)
        if production is not None:
            schedule = sorted(schedule + _plan_restarts(seconds), key=_start_s)
        if final_fault:
            schedule.append(PlannedFault(seconds, "kill_all_vms", FINAL_DOWN_S))
        breaches = await _run_schedule(cluster, load, seed, seconds, schedule)
        settled_s = time.monotonic() + SETTLE_S
        await asyncio.sleep(SETTLE_S + RECOVERY_WINDOW_S)
        load.stopping = True
        await asyncio.wait(load_tasks)
        breaches += check_promises(cluster, load)
        breaches += check_recovery(load, settled_s, settled_s + RECOVERY_WINDOW_S)
        for task in load_tasks:
            task.result()
        served = sum(call.status == 200 for call in load.calls)
        return SoakResult(
            seed,
            len(load.calls),
            served,
            tuple(dict.fromkeys(breaches)),
            tuple(cluster.disturbances.lines),
        )


def _plan_restarts(seconds):
    """Return PlannedFaults that replace VMs all the while."""
    times_s = range(int(RESTART_INTERVAL_S), int(seconds), int(RESTART_INTERVAL_S))
    return [PlannedFault(float(at_s), "stop_vms", 0.0) for at_s in times_s]


def _start_s(planned):
    return planned.at_s


async def _run_schedule(cluster, load, seed, seconds, schedule):
    """Inject the scheduled faults; return the Breaches found in the meantime."""
    faults = Faults(cluster, random.Random(seed))
    started_s = time.monotonic()
    breaches = []
    try:
        async with (
            asyncio.timeout(seconds + FAULTS_END_TIMEOUT_S),
            asyncio.TaskGroup() as group,
        ):
            for planned in schedule:
                while (remaining_s := started_s + planned.at_s - time.monotonic()) > 0:
                    await asyncio.sleep(min(remaining_s, CHECK_INTERVAL_S))
                    breaches += check_promises(cluster, load)
                group.create_task(getattr(faults, planned.name)(planned.for_s))
    except TimeoutError:
        ended = [f"{vm.name} {vm.exit_code}" for vm in cluster.vms if not vm.running]
        detail = f"a VM is not ready again; ended, with exit codes: {ended}"
        breaches.append(Breach("comes-back", detail))
    return breaches
