"""Send steady load to both example deployments while benches inject faults."""

import argparse
import asyncio
import random
import tempfile
import time

import attrs

from standins.caller import Caller, RequestKind, Tally

__all__ = [
    "DEPLOYMENTS",
    "Deployment",
    "PlatformRates",
    "in_time_share",
    "print_progress",
    "run_bench",
    "send_load",
    "wait_until_all_held",
]

# Ratio of mean to median of the lognormal service times of standins.target.
MEAN_TO_MEDIAN = 1.063
PLATFORM_READS_PER_S = 2_000
PLATFORM_WRITES_PER_S = 300
PLATFORM_SHARE_MAX = 0.05
VM_COUNT = 6


@attrs.frozen
class Deployment:
    """An example deployment, scaled down to run on one machine.

    Attributes:
        example: Name of the folder in ``examples``.
        base_port: First of the ports that its processes listen on.
        service_ms: Median service time of targets by service, in ms.
        kinds: Tuple of the RequestKinds to send.
    """

    example: str
    base_port: int
    service_ms: dict
    kinds: tuple


DEPLOYMENTS = (
    Deployment(
        "rota",
        23_000,
        {"roster": 160.0, "feeding": 160.0, "swap": 240.0, "inspection-video": 400.0},
        (
            RequestKind("roster", "GET", 2000),
            RequestKind("feeding", "GET", 2000),
            RequestKind("swap", "POST", 4000, keyed=True, body_bytes=200),
            RequestKind("inspection-video", "POST", 20_000, body_bytes=100_000),
        ),
    ),
    Deployment(
        "companeros",
        24_000,
        {"profile": 160.0, "pairing": 240.0, "browsing": 320.0, "intake": 400.0},
        (
            RequestKind("profile", "GET", 1000),
            RequestKind("pairing", "POST", 4000, keyed=True, body_bytes=200),
            RequestKind("browsing", "GET", 5000),
            RequestKind("intake", "POST", 20_000, body_bytes=100_000),
        ),
    ),
)


def print_progress(text):
    """Print a line of progress without buffering."""
    print(text, flush=True)


def in_time_share(tally):
    """Return the share of requests that got a complete response in time."""
    return tally.answered / max(1, tally.sent)


def _request_rate(cluster, deployment, service, load):
    slots = sum(t.slots for t in cluster.targets if t.service == service)
    mean_s = deployment.service_ms[service] * MEAN_TO_MEDIAN / 1000
    return load * slots / mean_s


async def send_load(cluster, deployment, load, seconds, seed):
    """Send load for some time and wait for all responses.

    Args:
        cluster: The Cluster.
        deployment: The Deployment.
        load: Share of the capacity of all targets.
        seconds: Duration of the load.
        seed: Seed of the callers and of the times at which they send requests.

    Returns:
        The Tally of the requests.
    """
    tally = Tally()
    vms = list(cluster.vms.values())
    callers = [
        Caller(vms, data_centre, seed + number)
        for number, data_centre in enumerate(cluster.data_centres)
    ]
    end_s = time.monotonic() + seconds
    async with asyncio.TaskGroup() as group:
        for number, kind in enumerate(deployment.kinds):
            rate = _request_rate(cluster, deployment, kind.service, load)
            rng = random.Random(seed * 100 + number)
            group.create_task(_send_kind(callers, kind, rate, end_s, tally, rng))
    return tally


async def _send_kind(callers, kind, rate, end_s, tally, rng):
    next_s = time.monotonic()
    async with asyncio.TaskGroup() as group:
        while next_s < end_s:
            await asyncio.sleep(max(0.0, next_s - time.monotonic()))
            group.create_task(rng.choice(callers).request(kind, tally))
            next_s += rng.expovariate(rate)


@attrs.define
class PlatformRates:
    """The highest rates of reads and writes at the platform, sampled every second.

    Attributes:
        reads: Highest number of reads per second.
        writes: Highest number of writes per second.
    """

    reads: float = 0.0
    writes: float = 0.0

    @property
    def within_bounds(self):
        """Whether both are within their share of the platform's capacity."""
        reads_max = PLATFORM_SHARE_MAX * PLATFORM_READS_PER_S
        writes_max = PLATFORM_SHARE_MAX * PLATFORM_WRITES_PER_S
        return self.reads <= reads_max and self.writes <= writes_max

    async def sample(self, cluster):
        """Sample the platform's counters once a second until cancelled."""
        before, before_s = await cluster.platform_stats(), time.monotonic()
        while True:
            await asyncio.sleep(1.0)
            now, now_s = await cluster.platform_stats(), time.monotonic()
            elapsed_s = now_s - before_s
            self.reads = max(self.reads, (now["reads"] - before["reads"]) / elapsed_s)
            self.writes = max(
                self.writes, (now["writes"] - before["writes"]) / elapsed_s
            )
            before, before_s = now, now_s


async def wait_until_all_held(cluster, timeout_s=30.0):
    """Wait until every target is held by a VM; return the seconds that it took."""
    started_s = time.monotonic()
    async with asyncio.timeout(timeout_s):
        while await count_held_targets(cluster) != len(cluster.targets):
            await asyncio.sleep(0.1)
    return time.monotonic() - started_s


async def count_held_targets(cluster):
    """Return how many targets all entry VMs together hold by valid leases."""
    total = 0
    for vm in cluster.vms.values():
        for line in (await cluster.metrics_text(vm)).splitlines():
            if line.startswith("sesamespring_holds "):
                total += int(float(line.split()[1]))
    return total


def run_bench(name, description, load, measure, figures_of, arguments):
    """Measure both deployments and print the figures.

    Args:
        name: Name of the bench.
        description: Text for its help.
        load: Share of the capacity of all targets, for the progress line.
        measure: Coroutine function of a Deployment, a folder and a seed that returns
            an outcome with a property ``within_bounds``.
        figures_of: Function that returns the figures of an outcome as a dict.
        arguments: Command line arguments of the bench.

    Returns:
        The exit code: 0, or 1 if a bound is exceeded.
    """
    parser = argparse.ArgumentParser(prog=f"bin/bench {name}", description=description)
    parser.add_argument("--seed", type=int, default=1)
    seed = parser.parse_args(arguments).seed
    figures = []
    within_bounds = True
    for deployment in DEPLOYMENTS:
        print_progress(
            f"{deployment.example}: {VM_COUNT} entry VMs, load {load}, seed {seed}"
        )
        with tempfile.TemporaryDirectory() as folder:
            outcome = asyncio.run(measure(deployment, folder, seed))
        within_bounds = within_bounds and outcome.within_bounds
        for key, value in figures_of(outcome).items():
            figures.append(f"{deployment.example}_{key}={value}")
    print(*figures, f"within={str(within_bounds).lower()}", flush=True)
    return 0 if within_bounds else 1
