"""Measure the cost of control in an idle entry daemon as the system grows."""

import asyncio
import random
import re
import tempfile
import time

import attrs

from benches._process import read_usage
from standins.cluster import HOST, Cluster

__all__ = ["main"]

BASE_PORT = 26_000
TARGET_PORT = 40_000
SETTLE_S = 6.0
WINDOW_S = 8.0
CPU_SHARE_MAX = 0.017
MEMORY_MB_MAX = 128.0
CONTROL_BYTES_PER_S_MAX = 7_000.0
DATA_CENTRES = ("tbilisi-a", "tbilisi-b", "tbilisi-c")


@attrs.frozen
class Point:
    """A size and a rate of changes of the system to measure.

    Attributes:
        services: Number of services.
        targets: Number of targets of all services.
        vms: Number of entry VMs.
        changes_per_min: Configuration changes per minute.
        replaced_per_min: Entry VMs killed and restarted per minute.
    """

    services: int
    targets: int
    vms: int
    changes_per_min: int = 0
    replaced_per_min: int = 0


POINTS = (
    Point(4, 40, 6),
    Point(40, 400, 6),
    Point(440, 6_100, 6),
    Point(4, 40, 12),
    Point(4, 40, 24),
    Point(4, 40, 48),
    Point(4, 40, 6, changes_per_min=60),
    Point(440, 6_100, 6, changes_per_min=60),
    Point(4, 40, 12, replaced_per_min=15),
)


@attrs.frozen
class Cost:
    """The cost of control at a point, on average over the measured daemons.

    Attributes:
        cpu_share: Processor time as a share of one core.
        memory_mb: Highest resident memory of a daemon, in MB.
        peer_bytes_per_s: Bytes exchanged with other entry VMs per second.
        peer_frames_per_s: Frames exchanged with other entry VMs per second.
        platform_calls_per_s: Calls to the platform by the whole system per second.
    """

    cpu_share: float
    memory_mb: float
    peer_bytes_per_s: float
    peer_frames_per_s: float
    platform_calls_per_s: float


def resource_text(point):
    """Return the text of a resource file of a point's size."""
    lines = [f"[data-centre {name}]\nstate = in" for name in DATA_CENTRES]
    for number in range(point.services):
        lines.append(f"[service s{number}]\ngroup_size = 3\ndeadline_ms = 2000")
    for number in range(point.targets):
        lines.append(
            f"[target t{number}]\nservice = s{number % point.services}\n"
            f"data_centre = {DATA_CENTRES[number % 3]}\n"
            f"address = {HOST}:{TARGET_PORT + number}"
        )
    return "\n".join(lines) + "\n"


def _metric_sum(text, metric):
    pattern = rf"^{metric}(?:{{[^}}]*}})? ([0-9.e+]+)$"
    return sum(float(value) for value in re.findall(pattern, text, re.MULTILINE))


async def _sample(cluster, vms):
    samples = {}
    for vm in vms:
        text = await cluster.metrics_text(vm)
        samples[vm.name] = (
            read_usage(cluster.pid(vm.name)),
            _metric_sum(text, "sesamespring_peer_bytes_total"),
            _metric_sum(text, "sesamespring_peer_frames_total"),
        )
    stats = await cluster.platform_stats()
    return samples, stats["reads"] + stats["writes"]


async def _apply_changes(cluster, point, end_s):
    """Apply configuration changes at the point's rate until the end."""
    number = 0
    while point.changes_per_min and time.monotonic() < end_s:
        number += 1
        content = f"[service s0]\ndeadline_ms = {2_000 + number % 100}\n"
        await cluster.apply(content, reason="growth")
        await asyncio.sleep(60 / point.changes_per_min)


async def _replace_vms(cluster, point, replaceable, end_s):
    """Kill and restart random entry VMs at the point's rate until the end."""
    rng = random.Random(1)
    while point.replaced_per_min and time.monotonic() < end_s:
        vm = rng.choice(replaceable)
        await cluster.kill(vm.name)
        await cluster.start_entry(vm)
        await asyncio.sleep(60 / point.replaced_per_min)


async def measure(point):
    """Return the Cost at a point."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(
            "rota",
            folder,
            vm_count=point.vms,
            base_port=BASE_PORT,
            service_ms={},
            target_module=None,
        )
        try:
            await cluster.start()
            text = resource_text(point)
            status, result = await cluster.apply_in_parts(text, reason="growth")
            if status != 200:
                raise RuntimeError(f"resources refused: {result}")
            await cluster.wait_in_force(result["version"])
            await asyncio.sleep(SETTLE_S)
            return await _measure_window(cluster, point)
        finally:
            cluster.close()


async def _measure_window(cluster, point):
    vms = list(cluster.vms.values())
    measured, replaceable = vms[: max(3, len(vms) // 2)], vms[max(3, len(vms) // 2) :]
    before, calls_before = await _sample(cluster, measured)
    started_s = time.monotonic()
    end_s = started_s + WINDOW_S
    await asyncio.gather(
        _apply_changes(cluster, point, end_s),
        _replace_vms(cluster, point, replaceable, end_s),
        asyncio.sleep(WINDOW_S),
    )
    after, calls_after = await _sample(cluster, measured)
    seconds = time.monotonic() - started_s
    count = len(measured) * seconds
    pairs = [(before[vm.name], after[vm.name]) for vm in measured]
    return Cost(
        cpu_share=sum(b[0].cpu_s - a[0].cpu_s for a, b in pairs) / count,
        memory_mb=max(b[0].memory_mb for _, b in pairs),
        peer_bytes_per_s=sum(b[1] - a[1] for a, b in pairs) / count,
        peer_frames_per_s=sum(b[2] - a[2] for a, b in pairs) / count,
        platform_calls_per_s=(calls_after - calls_before) / seconds,
    )


async def run():
    """Measure all points and print their costs; return the exit code."""
    over = 0
    print(
        "services targets vms changes/min replaced/min | cpu% MB B/s frames/s calls/s"
    )
    for point in POINTS:
        cost = await measure(point)
        within_bounds = (
            cost.cpu_share <= CPU_SHARE_MAX
            and cost.memory_mb <= MEMORY_MB_MAX
            and cost.peer_bytes_per_s <= CONTROL_BYTES_PER_S_MAX
        )
        over += not within_bounds
        print(
            f"{point.services:8} {point.targets:7} {point.vms:3} "
            f"{point.changes_per_min:11} {point.replaced_per_min:12} | "
            f"{100 * cost.cpu_share:.2f} {cost.memory_mb:.0f} "
            f"{cost.peer_bytes_per_s:.0f} {cost.peer_frames_per_s:.1f} "
            f"{cost.platform_calls_per_s:.1f}{'' if within_bounds else '  over'}",
            flush=True,
        )
    print(f"points={len(POINTS)} over={over}")
    return 1 if over else 0


def main(arguments):
    """Run the bench; return 1 if a point exceeds a bound."""
    return asyncio.run(run())
