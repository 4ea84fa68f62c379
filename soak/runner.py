"""Run one seed: load, faults, and the promises checked meanwhile and afterwards."""

import asyncio
import random
import time

import attrs

from soak.cluster import Cluster
from soak.faults import Faults
from soak.load import Load
from soak.promises import Breach, check_promises, check_recovery
from soak.schedule import make_schedule

__all__ = ["SoakResult", "run_soak"]

CHECK_INTERVAL_S = 1.0
SETTLE_S = 5.0
RECOVERED_S = 3.0
FAULTS_END_TIMEOUT_S = 40.0


@attrs.frozen
class SoakResult:
    """What one seed came to.

    Attributes:
        seed: The seed.
        calls: How many requests were sent.
        served: How many of them were answered with success.
        breaches: Tuple of Breach.
        history: Tuple of texts on the disturbances.
    """

    seed: int
    calls: int
    served: int
    breaches: tuple
    history: tuple


async def run_soak(seed, seconds, folder, vms=4, callers=8):
    """Run a seed and return its SoakResult.

    Args:
        seed: The seed.
        seconds: How long faults begin, in seconds.
        folder: Path of an empty folder for settings and logs.
        vms: How many entry VMs.
        callers: How many callers.
    """
    async with Cluster(vms, folder) as cluster:
        load = Load(cluster, seed)
        loop = asyncio.get_running_loop()
        sending = [loop.create_task(load.run_caller()) for _ in range(callers)]
        sending.append(loop.create_task(load.run_probes()))
        breaches = await _play(cluster, load, seed, seconds)
        settled_s = time.monotonic() + SETTLE_S
        await asyncio.sleep(SETTLE_S + RECOVERED_S)
        for task in sending:
            task.cancel()
        await asyncio.wait(sending)
        breaches += check_promises(cluster, load)
        breaches += check_recovery(load, settled_s, settled_s + RECOVERED_S)
        failed = [task for task in sending if not task.cancelled()]
        for task in failed:
            task.result()
        served = sum(call.status == 200 for call in load.calls)
        return SoakResult(
            seed,
            len(load.calls),
            served,
            tuple(dict.fromkeys(breaches)),
            tuple(cluster.disturbances.lines),
        )


async def _play(cluster, load, seed, seconds):
    """Bring the faults about and return the Breaches that showed meanwhile."""
    faults = Faults(cluster, random.Random(seed))
    started_s = time.monotonic()
    breaches = []
    try:
        async with (
            asyncio.timeout(seconds + FAULTS_END_TIMEOUT_S),
            asyncio.TaskGroup() as group,
        ):
            for planned in make_schedule(seed, seconds):
                while (left_s := started_s + planned.at_s - time.monotonic()) > 0:
                    await asyncio.sleep(min(left_s, CHECK_INTERVAL_S))
                    breaches += check_promises(cluster, load)
                group.create_task(getattr(faults, planned.name)(planned.for_s))
    except TimeoutError:
        ended = [vm.name for vm in cluster.vms if not vm.running]
        detail = f"a VM is not ready again; without a process: {ended}"
        breaches.append(Breach("comes-back", detail))
    return breaches
