"""Measure the cost of idempotency keys and the unknown outcomes that remain."""

import asyncio
import random
import signal
import sys
import tempfile
import time

import attrs

from sesamespring.http import fetch
from standins.caller import Caller, RequestKind, Tally
from standins.cluster import Cluster, fetch_json, wait_for

__all__ = ["main"]

BASE_PORT = 25_600
VM_COUNT = 3
SERVICE_MS = 20.0
ROUNDS = 300
LOAD_S = 18.0
RATE_PER_S = 100.0
KILLS_AT_S = (2.0, 9.0)
DOWN_S = 2.0
PAUSES_AT_S = (5.5, 14.0)
PAUSE_S = 2.0
UNKNOWN_SHARE_MAX = 0.01
SWAP = RequestKind("swap", "POST", 4000, keyed=True, body_bytes=200)


@attrs.frozen
class Outcome:
    """The results of one load.

    Attributes:
        tally: The callers' Tally.
        run_twice: Number of requests that targets ran more than once.
        lost: Number of confirmed requests that no target ran.
        wrong_not_run: Number of requests that ran although their callers received
            the outcome not-run.
    """

    tally: Tally
    run_twice: int
    lost: int
    wrong_not_run: int

    @property
    def unknown_share(self):
        """Share of requests whose outcome stayed unknown to their callers."""
        return self.tally.unknown / self.tally.sent

    @property
    def correct(self):
        """Whether every request ran as its caller was informed, and at most once."""
        return not (self.run_twice or self.lost or self.wrong_not_run)


def print_progress(text):
    """Print a line of progress without buffering."""
    print(text, flush=True)


async def fetch_tickets(vm):
    """Return the tickets of the entry VMs that a VM lists for the service, by name."""
    path = "/.sesamespring/entries/swap"
    response = await fetch_json(vm.callers_address, "GET", path)
    return {entry["name"]: entry["ticket"] for entry in response.get("entries", ())}


async def time_swap(vm, key, number):
    """Send one swap request and return its latency in ms."""
    headers = [("Idempotency-Key", key)] if key else []
    started_s = time.perf_counter()
    response = await fetch(
        vm.callers_address,
        "POST",
        f"/swap/{number}",
        timeout_s=5.0,
        headers=headers,
        body=b"x" * 200,
    )
    assert response.status == 200, response
    return (time.perf_counter() - started_s) * 1000


async def measure_latency(cluster):
    """Return latencies without key, with ticketed and with plain keys, by kind."""
    vm = next(iter(cluster.vms.values()))
    ticket = (await fetch_tickets(vm))[vm.name]
    times = {"none": [], "ticketed": [], "plain": []}
    for number in range(ROUNDS):
        keys = {"none": None, "ticketed": f"{ticket}.{number}", "plain": f"p{number}"}
        for kind, key in keys.items():
            times[kind].append(await time_swap(vm, key, number))
    return times


def percentile(values, share):
    """Return the percentile of values at a share from 0 to 1."""
    return sorted(values)[min(len(values) - 1, int(share * len(values)))]


async def inject_faults(cluster, started_s):
    """Kill and restart entry VMs, and pause others for some time."""
    vms = list(cluster.vms.values())
    async with asyncio.TaskGroup() as group:
        for vm, delay_s in zip(vms, KILLS_AT_S, strict=False):
            group.create_task(kill_and_restart(cluster, vm, started_s + delay_s))
        for vm, delay_s in zip(reversed(vms), PAUSES_AT_S, strict=False):
            group.create_task(pause_and_resume(cluster, vm, started_s + delay_s))


async def kill_and_restart(cluster, vm, at_s):
    """Kill an entry VM at a time and restart it."""
    await asyncio.sleep(at_s - time.monotonic())
    await cluster.kill(vm.name)
    await asyncio.sleep(DOWN_S)
    await cluster.start_entry(vm)


async def pause_and_resume(cluster, vm, at_s):
    """Pause an entry VM at a time and resume it."""
    await asyncio.sleep(at_s - time.monotonic())
    cluster.signal(vm.name, signal.SIGSTOP)
    await asyncio.sleep(PAUSE_S)
    cluster.signal(vm.name, signal.SIGCONT)


async def measure_faults(cluster, repeats, seed):
    """Send swap requests during faults and return the Outcome."""
    tally = Tally()
    vms = list(cluster.vms.values())
    callers = [
        Caller(vms, data_centre, seed + number, repeats)
        for number, data_centre in enumerate(cluster.data_centres)
    ]
    rng = random.Random(seed)
    before = await run_counts(cluster)
    started_s = time.monotonic()
    async with asyncio.TaskGroup() as group:
        group.create_task(inject_faults(cluster, started_s))
        while time.monotonic() < started_s + LOAD_S:
            group.create_task(rng.choice(callers).request(SWAP, tally))
            await asyncio.sleep(rng.expovariate(RATE_PER_S))
    counts = {
        tag: count
        for tag, count in (await run_counts(cluster)).items()
        if tag not in before
    }
    return Outcome(
        tally,
        sum(count > 1 for count in counts.values()),
        sum(not counts.get(tag) for tag in tally.keys_answered),
        sum(bool(counts.get(tag)) for tag in tally.keys_not_run),
    )


async def run_counts(cluster):
    """Return how often targets ran each request, by its tag."""
    counts = {}
    for stats in (await cluster.target_stats()).values():
        for tag, count in stats["runs"].items():
            counts[tag] = counts.get(tag, 0) + count
    return counts


async def run(folder):
    """Run all measurements and print them; return the exit code."""
    cluster = Cluster(
        "rota",
        folder,
        vm_count=VM_COUNT,
        base_port=BASE_PORT,
        service_ms={"swap": SERVICE_MS},
        services=["swap"],
    )
    try:
        print_progress(
            f"starting {VM_COUNT} entry VMs and {len(cluster.targets)} targets"
        )
        await cluster.start()
        _, result = await cluster.apply(cluster.resource_text(), reason="bench")
        await cluster.wait_in_force(result["version"])
        await wait_for(lambda: all_grouped(cluster))
        await cluster.wait_held()
        print_progress(f"latency: {ROUNDS} rounds of each kind of key, one at a time")
        times = await measure_latency(cluster)
        print_progress(f"{'key':10} {'p50_ms':>8} {'p99_ms':>8}")
        for kind, values in times.items():
            p50, p99 = percentile(values, 0.5), percentile(values, 0.99)
            print_progress(f"{kind:10} {p50:8.2f} {p99:8.2f}")
        outcomes = {}
        for name, repeats, seed in (("once", False, 100), ("repeated", True, 200)):
            print_progress(f"faults: two kills, two pauses; callers ask {name}")
            outcomes[name] = outcome = await measure_faults(cluster, repeats, seed)
            print_progress(
                f"  {attrs.evolve(outcome.tally, latencies_ms=[], keys_answered=[])}"
            )
        return report(times, outcomes)
    finally:
        cluster.close()


async def all_grouped(cluster):
    """Return whether every entry VM lists all VMs for the service."""
    tickets = [await fetch_tickets(vm) for vm in cluster.vms.values()]
    return all(len(by_name) == VM_COUNT for by_name in tickets)


def report(times, outcomes):
    """Print the figures in one line and return the exit code."""
    without_key_ms = percentile(times["none"], 0.5)
    figures = {
        f"{kind}_added_p50_ms": f"{percentile(times[kind], 0.5) - without_key_ms:.2f}"
        for kind in ("ticketed", "plain")
    }
    for name, outcome in outcomes.items():
        figures[f"sent_{name}"] = outcome.tally.sent
        figures[f"unknown_{name}"] = outcome.tally.unknown
        figures[f"run_twice_{name}"] = outcome.run_twice
        figures[f"lost_{name}"] = outcome.lost
        figures[f"told_not_run_but_ran_{name}"] = outcome.wrong_not_run
    figures["unknown_share"] = f"{outcomes['repeated'].unknown_share:.5f}"
    print(" ".join(f"{key}={value}" for key, value in figures.items()), flush=True)
    correct = all(outcome.correct for outcome in outcomes.values())
    rare = outcomes["repeated"].unknown_share <= UNKNOWN_SHARE_MAX
    return 0 if correct and rare else 1


def main(arguments):
    """Run the bench; return its exit code."""
    if arguments:
        print("usage: bin/bench keys", file=sys.stderr)
        return 2
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(run(folder))
