"""Send steady load to both deployments while benches bring about faults."""

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
    "run_bench",
    "say",
    "send_stretch",
    "share_in_time",
    "wait_for_full_holds",
]

# A lognormal service time of this sigma has a mean above its median.
MEAN_OF_MEDIAN = 1.063
READS_GIVEN_PER_S = 2_000
WRITES_GIVEN_PER_S = 300
PLATFORM_SHARE_MAX = 0.05
VM_COUNT = 6


@attrs.frozen
class Deployment:
    """One user's example, sized to one machine.

    Attributes:
        example: Name of the folder in ``examples``.
        base_port: First port of its estate.
        service_ms: Service time of targets by service.
        kinds: The Kinds of request.
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


def say(text):
    """Print a line of progress at once."""
    print(text, flush=True)


def share_in_time(tally):
    """Return the share of requests that got their whole answer in time."""
    return tally.answered / max(1, tally.sent)


def _rate(estate, deployment, service, load):
    slots = sum(t.slots for t in estate.targets if t.service == service)
    mean_s = deployment.service_ms[service] * MEAN_OF_MEDIAN / 1000
    return load * slots / mean_s


async def send_stretch(estate, deployment, load, seconds, seed):
    """Send load for a while and wait for all answers.

    Args:
        estate: The Cluster.
        deployment: The Deployment.
        load: Share of all targets' capacity.
        seconds: How long.
        seed: Seed of the moments.

    Returns:
        The Tally.
    """
    tally = Tally()
    vms = list(estate.vms.values())
    callers = [
        Caller(vms, data_centre, seed + number)
        for number, data_centre in enumerate(estate.data_centres)
    ]
    end_s = time.monotonic() + seconds
    async with asyncio.TaskGroup() as group:
        for number, kind in enumerate(deployment.kinds):
            rate = _rate(estate, deployment, kind.service, load)
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
    """The platform's greatest reads and writes in any second of a stretch.

    Attributes:
        reads: Reads a second.
        writes: Writes a second.
    """

    reads: float = 0.0
    writes: float = 0.0

    @property
    def within(self):
        """Whether both are within their share of what the platform gives."""
        reads_max = PLATFORM_SHARE_MAX * READS_GIVEN_PER_S
        writes_max = PLATFORM_SHARE_MAX * WRITES_GIVEN_PER_S
        return self.reads <= reads_max and self.writes <= writes_max

    async def watch(self, estate):
        """Sample the platform once a second until cancelled."""
        before, before_s = await estate.platform_stats(), time.monotonic()
        while True:
            await asyncio.sleep(1.0)
            now, now_s = await estate.platform_stats(), time.monotonic()
            taken_s = now_s - before_s
            self.reads = max(self.reads, (now["reads"] - before["reads"]) / taken_s)
            self.writes = max(self.writes, (now["writes"] - before["writes"]) / taken_s)
            before, before_s = now, now_s


async def wait_for_full_holds(estate, timeout_s=30.0):
    """Wait until every target is held; return the seconds that it took."""
    started_s = time.monotonic()
    async with asyncio.timeout(timeout_s):
        while await count_holds(estate) != len(estate.targets):
            await asyncio.sleep(0.1)
    return time.monotonic() - started_s


async def count_holds(estate):
    """Return how many targets are held by valid leases, over all entry VMs."""
    total = 0
    for vm in estate.vms.values():
        for line in (await estate.metrics_text(vm)).splitlines():
            if line.startswith("sesamespring_holds "):
                total += int(float(line.split()[1]))
    return total


def run_bench(name, description, load, measure, figures_of, arguments):
    """Measure both deployments and print the figures.

    Args:
        name: Name of the bench.
        description: Text for its help.
        load: Share of all targets' capacity, for the progress line.
        measure: Coroutine function of deployment, folder and seed that returns an
            outcome with ``within``.
        figures_of: Function from an outcome to a dict of figures.
        arguments: The bench's arguments.

    Returns:
        The exit code; 1 says that a bound is broken.
    """
    parser = argparse.ArgumentParser(prog=f"bin/bench {name}", description=description)
    parser.add_argument("--seed", type=int, default=1)
    seed = parser.parse_args(arguments).seed
    figures = []
    within = True
    for deployment in DEPLOYMENTS:
        say(f"{deployment.example}: {VM_COUNT} entry VMs, load {load}, seed {seed}")
        with tempfile.TemporaryDirectory() as folder:
            outcome = asyncio.run(measure(deployment, folder, seed))
        within = within and outcome.within
        for key, value in figures_of(outcome).items():
            figures.append(f"{deployment.example}_{key}={value}")
    print(*figures, f"within={str(within).lower()}", flush=True)
    return 0 if within else 1
