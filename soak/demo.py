"""Show the daemon at work: ``python -m soak.demo [--program PATH]``.

A store, targets and six entry VMs run in three data centres under load. A data centre
is taken out of service, a VM is killed and started again, and the data centre returns.
"""

import asyncio
import sys
import tempfile
import time
from pathlib import Path

import defopt

from soak.cluster import Cluster
from soak.load import LoadGenerator
from soak.promises import check_promises

__all__ = ["demo", "run_demo"]

VMS = 6
CALLERS = 16
SEED = 1
OK = 200
# Times of the steps, in seconds after the start of the load.
DATA_CENTRE_OUT_AT_S = 3.0
VM_KILLED_AT_S = 6.0
VM_STARTED_AT_S = 7.0
DATA_CENTRE_BACK_AT_S = 11.0
END_AT_S = 14.0


class _Timeline:
    """Prints what happens at which time after the start of the load."""

    def __init__(self):
        self._started_s = time.monotonic()

    async def wait_until(self, at_s):
        """Wait until a time after the start."""
        await asyncio.sleep(self._started_s + at_s - time.monotonic())

    def tell(self, text):
        """Print a line with the present time."""
        print(f"{time.monotonic() - self._started_s:6.1f} s  {text}", flush=True)


async def run_demo(folder, program=None):
    """Run the demo and print what happens.

    Args:
        folder: Path of an empty folder for settings and logs.
        program: Path of the one binary, or None to run the packages of this checkout.

    Returns:
        The list of Breaches.
    """
    async with Cluster(VMS, folder, program=program) as cluster:
        timeline = _Timeline()
        timeline.tell(
            f"{VMS} VMs are ready, {len(cluster.targets)} targets; load begins"
        )
        load = LoadGenerator(cluster, SEED)
        async with asyncio.TaskGroup() as group:
            for _ in range(CALLERS):
                group.create_task(load.run_caller())
            group.create_task(load.run_probes())
            await _inject_faults(cluster, timeline)
            load.stopping = True
        timeline.tell(_figures(cluster, load))
        return check_promises(cluster, load)


async def _inject_faults(cluster, timeline):
    data_centre = cluster.targets[-1].data_centre
    await timeline.wait_until(DATA_CENTRE_OUT_AT_S)
    evacuation = await cluster.evacuate_data_centre(data_centre)
    timeline.tell(f"data centre {data_centre} is taken out of service")
    vm = cluster.vms[1]
    await timeline.wait_until(VM_KILLED_AT_S)
    with cluster.record_disturbance(vm.name, "killed"):
        vm.kill()
        timeline.tell(f"{vm.name} is killed")
        await timeline.wait_until(VM_STARTED_AT_S)
        vm.start()
        await cluster.wait_ready(vm)
    timeline.tell(f"{vm.name} is ready again")
    await timeline.wait_until(DATA_CENTRE_BACK_AT_S)
    await cluster.restore_data_centre(evacuation)
    timeline.tell(f"data centre {data_centre} is back in service")
    await timeline.wait_until(END_AT_S)


def _figures(cluster, load):
    sent = [call for call in load.calls if call.path.startswith(("/lookup", "/order"))]
    served = [call for call in sent if call.status == OK]
    taken_ms = sorted(1000 * (call.ended_s - call.sent_s) for call in served)
    p99_ms = taken_ms[int(0.99 * len(taken_ms))]
    overrun = sum(target.server.overrun for target in cluster.targets)
    return (
        f"requests={len(sent)} served={len(served)} p99_ms={p99_ms:.1f} "
        f"rejected_by_targets={overrun}"
    )


def demo(*, program: str | None = None):
    """Run the demo; exit with 1 if a promise was broken.

    Args:
        program: Path of the one binary; the packages of this checkout unless given.
    """
    with tempfile.TemporaryDirectory() as folder:
        breaches = asyncio.run(run_demo(Path(folder), program))
    for breach in breaches:
        print(f"{breach.promise}: {breach.detail}")
    print(f"broken promises: {len(breaches)}")
    if breaches:
        sys.exit(1)


if __name__ == "__main__":
    defopt.run(demo)
