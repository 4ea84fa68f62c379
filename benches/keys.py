"""Measure what idempotency keys cost, and how rare they make unknown ends."""

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
    """What became of one load.

    Attributes:
        tally: The callers' Tally.
        run_twice: Requests that targets ran more than once.
        lost: Confirmed requests that no target ran.
        broken_promises: Requests that ran though their callers were told not-run.
    """

    tally: Tally
    run_twice: int
    lost: int
    broken_promises: int

    @property
    def unknown_share(self):
        """Share of requests whose callers never learned their end."""
        return self.tally.unknown / self.tally.sent

    @property
    def holds(self):
        """Whether no promise was broken."""
        return not (self.run_twice or self.lost or self.broken_promises)


def say(text):
    """Print a line of progress at once."""
    print(text, flush=True)


async def entries_of(vm):
    """Return the names of the entry VMs that a VM answers with, with tickets."""
    path = "/.sesamespring/entries/swap"
    answer = await fetch_json(vm.callers_address, "GET", path)
    return {entry["name"]: entry["ticket"] for entry in answer.get("entries", ())}


async def time_swap(vm, key, number):
    """Send one confirmation and return its milliseconds."""
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


async def measure_latency(estate):
    """Send requests without key, with ticketed and with plain keys in turn."""
    vm = next(iter(estate.vms.values()))
    ticket = (await entries_of(vm))[vm.name]
    times = {"none": [], "ticketed": [], "plain": []}
    for number in range(ROUNDS):
        keys = {"none": None, "ticketed": f"{ticket}.{number}", "plain": f"p{number}"}
        for kind, key in keys.items():
            times[kind].append(await time_swap(vm, key, number))
    return times


def percentile(values, share):
    """Return the value at a share of the ordered values."""
    return sorted(values)[min(len(values) - 1, int(share * len(values)))]


async def disturb(estate, started_s):
    """Kill and start entry VMs, and pause others for a while."""
    vms = list(estate.vms.values())
    async with asyncio.TaskGroup() as group:
        for victim, moment_s in zip(vms, KILLS_AT_S, strict=False):
            group.create_task(kill_and_start(estate, victim, started_s + moment_s))
        for paused, moment_s in zip(reversed(vms), PAUSES_AT_S, strict=False):
            group.create_task(pause_and_resume(estate, paused, started_s + moment_s))


async def kill_and_start(estate, vm, at_s):
    """Kill an entry VM and start it again."""
    await asyncio.sleep(at_s - time.monotonic())
    await estate.kill(vm.name)
    await asyncio.sleep(DOWN_S)
    await estate.start_entry(vm)


async def pause_and_resume(estate, vm, at_s):
    """Pause an entry VM for a while."""
    await asyncio.sleep(at_s - time.monotonic())
    estate.signal(vm.name, signal.SIGSTOP)
    await asyncio.sleep(PAUSE_S)
    estate.signal(vm.name, signal.SIGCONT)


async def measure_faults(estate, repeats, seed):
    """Send confirmations through faults and return the Outcome."""
    tally = Tally()
    vms = list(estate.vms.values())
    callers = [
        Caller(vms, data_centre, seed + number, repeats)
        for number, data_centre in enumerate(estate.data_centres)
    ]
    rng = random.Random(seed)
    before = await runs(estate)
    started_s = time.monotonic()
    async with asyncio.TaskGroup() as group:
        group.create_task(disturb(estate, started_s))
        while time.monotonic() < started_s + LOAD_S:
            group.create_task(rng.choice(callers).request(SWAP, tally))
            await asyncio.sleep(rng.expovariate(RATE_PER_S))
    counts = {
        tag: count for tag, count in (await runs(estate)).items() if tag not in before
    }
    return Outcome(
        tally,
        sum(count > 1 for count in counts.values()),
        sum(not counts.get(tag) for tag in tally.keys_answered),
        sum(bool(counts.get(tag)) for tag in tally.keys_not_run),
    )


async def runs(estate):
    """Return how often targets ran each request."""
    counts = {}
    for facts in (await estate.target_stats()).values():
        for tag, count in facts["runs"].items():
            counts[tag] = counts.get(tag, 0) + count
    return counts


async def run(folder):
    """Run all measurements and print them; return the exit code."""
    estate = Cluster(
        "rota",
        folder,
        vm_count=VM_COUNT,
        base_port=BASE_PORT,
        service_ms={"swap": SERVICE_MS},
        services=["swap"],
    )
    try:
        say(f"starting {VM_COUNT} entry VMs and {len(estate.targets)} targets")
        await estate.start()
        _, answer = await estate.apply(estate.resource_text(), reason="bench")
        await estate.wait_in_force(answer["version"])
        await wait_for(lambda: grouped(estate))
        await estate.wait_held()
        say(f"latency: {ROUNDS} rounds of each kind of key, one at a time")
        times = await measure_latency(estate)
        say(f"{'key':10} {'p50_ms':>8} {'p99_ms':>8}")
        for kind, values in times.items():
            p50, p99 = percentile(values, 0.5), percentile(values, 0.99)
            say(f"{kind:10} {p50:8.2f} {p99:8.2f}")
        outcomes = {}
        for name, repeats, seed in (("once", False, 100), ("repeated", True, 200)):
            say(f"faults: two kills, two pauses; callers ask {name}")
            outcomes[name] = outcome = await measure_faults(estate, repeats, seed)
            say(f"  {attrs.evolve(outcome.tally, latencies_ms=[], keys_answered=[])}")
        return report(times, outcomes)
    finally:
        estate.close()


async def grouped(estate):
    """Whether every entry VM answers with the whole group."""
    answers = [await entries_of(vm) for vm in estate.vms.values()]
    return all(len(answer) == VM_COUNT for answer in answers)


def report(times, outcomes):
    """Print the last line and return the exit code."""
    plain_ms = percentile(times["none"], 0.5)
    figures = {
        f"{kind}_added_p50_ms": f"{percentile(times[kind], 0.5) - plain_ms:.2f}"
        for kind in ("ticketed", "plain")
    }
    for name, outcome in outcomes.items():
        figures[f"sent_{name}"] = outcome.tally.sent
        figures[f"unknown_{name}"] = outcome.tally.unknown
        figures[f"run_twice_{name}"] = outcome.run_twice
        figures[f"lost_{name}"] = outcome.lost
        figures[f"told_not_run_but_ran_{name}"] = outcome.broken_promises
    figures["unknown_share"] = f"{outcomes['repeated'].unknown_share:.5f}"
    print(" ".join(f"{key}={value}" for key, value in figures.items()), flush=True)
    held = all(outcome.holds for outcome in outcomes.values())
    rare = outcomes["repeated"].unknown_share <= UNKNOWN_SHARE_MAX
    return 0 if held and rare else 1


def main(arguments):
    """Run the bench; return its exit code."""
    if arguments:
        print("usage: bin/bench keys", file=sys.stderr)
        return 2
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(run(folder))
