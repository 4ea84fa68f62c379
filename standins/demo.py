"""Show the whole system at work for both users, and check its promises."""

import argparse
import asyncio
import random
import sys
import tempfile
import time

from standins.caller import Caller, RequestKind, Tally
from standins.cluster import Cluster

SERVICE_MS = {
    "roster": 30.0,
    "feeding": 30.0,
    "swap": 40.0,
    "inspection-video": 200.0,
    "profile": 30.0,
    "pairing": 40.0,
    "browsing": 80.0,
    "intake": 200.0,
}
TRAFFIC = {
    "rota": (
        (RequestKind("roster", "GET", 2000), 100),
        (RequestKind("feeding", "GET", 2000), 100),
        (RequestKind("swap", "POST", 4000, keyed=True, body_bytes=200), 30),
        (RequestKind("inspection-video", "POST", 30_000, body_bytes=2_000_000), 3),
    ),
    "companeros": (
        (RequestKind("profile", "GET", 1000), 150),
        (RequestKind("pairing", "POST", 4000, keyed=True, body_bytes=200), 40),
        (RequestKind("browsing", "GET", 5000), 50),
        (RequestKind("intake", "POST", 30_000, body_bytes=1_000_000), 3),
    ),
}
BASE_PORTS = {"rota": 23_000, "companeros": 24_000}
VM_COUNT = 6
LOAD_S = 18.0
OUT_AT_S = 4.0
KILL_AT_S = 8.0
BACK_AT_S = 11.0


def say(text):
    """Print a line of progress at once."""
    print(text, flush=True)


async def send_load(callers, kind, rate, end_s, tally, seed):
    """Send requests of a kind at random moments until the end."""
    rng = random.Random(seed)
    async with asyncio.TaskGroup() as group:
        while time.monotonic() < end_s:
            caller = rng.choice(callers)
            group.create_task(caller.request(kind, tally))
            await asyncio.sleep(rng.expovariate(rate))


async def disturb(cluster, started_s):
    """Take a data centre out, kill an entry VM, and bring the data centre back."""
    data_centre = cluster.data_centres[-1]
    vms = list(cluster.vms.values())
    await asyncio.sleep(started_s + OUT_AT_S - time.monotonic())
    content = f"[data-centre {data_centre}]\nstate = out\n"
    status, answer = await cluster.apply(content, reason="demo: out")
    say(f"  data centre {data_centre} out: {status} {answer}")
    await asyncio.sleep(started_s + KILL_AT_S - time.monotonic())
    await cluster.kill(vms[1].name)
    say(f"  entry VM {vms[1].name} killed")
    await asyncio.sleep(started_s + BACK_AT_S - time.monotonic())
    content = f"[data-centre {data_centre}]\nstate = in\n"
    status, answer = await cluster.apply(content, reason="demo: back")
    say(f"  data centre {data_centre} back: {status} {answer}")


async def run_example(example, folder, tally, program):
    """Run one user's example; return its checks."""
    cluster = Cluster(
        example,
        folder,
        vm_count=VM_COUNT,
        base_port=BASE_PORTS[example],
        service_ms=SERVICE_MS,
        program=program,
    )
    try:
        say(f"{example}: starting {len(cluster.targets)} targets, {VM_COUNT} entry VMs")
        await cluster.start()
        status, answer = await cluster.apply(cluster.resource_text(), reason="demo")
        say(f"  resources applied: {status} {answer}")
        await cluster.wait_in_force(answer["version"])
        await cluster.wait_held()
        say("  in force at every entry VM; sending load")
        await drive(cluster, example, tally)
        return await check(cluster, tally)
    finally:
        cluster.close()


async def drive(cluster, example, tally):
    """Send the example's traffic while things go wrong."""
    vms = list(cluster.vms.values())
    callers = [
        Caller(vms, data_centre, seed)
        for seed, data_centre in enumerate(cluster.data_centres)
    ]
    started_s = time.monotonic()
    async with asyncio.TaskGroup() as group:
        for seed, (kind, rate) in enumerate(TRAFFIC[example]):
            load = send_load(callers, kind, rate, started_s + LOAD_S, tally, seed)
            group.create_task(load)
        group.create_task(disturb(cluster, started_s))


async def check(cluster, tally):
    """Compare what callers were told with what targets did."""
    stats = await cluster.target_stats()
    runs = {}
    for facts in stats.values():
        for key, count in facts["runs"].items():
            runs[key] = runs.get(key, 0) + count
    platform = await cluster.platform_stats()
    requests = sum(facts["requests"] for facts in stats.values())
    measuring = platform["reads"] + platform["writes"]
    measuring += sum(facts["probes"] for facts in stats.values())
    return {
        "lost": sum(1 for key in tally.keys_answered if not runs.get(key)),
        "run_twice": sum(1 for count in runs.values() if count > 1),
        "told_not_run_but_ran": sum(1 for key in tally.keys_not_run if runs.get(key)),
        "overrun": sum(facts["overruns"] for facts in stats.values()),
        "cold_overrun": sum(facts["cold_overruns"] for facts in stats.values()),
        "requests": requests,
        "measuring": measuring,
    }


def percentile(values, share):
    """Return the value at a share of the ordered values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


async def run(program):
    """Run both examples and print the figures; return the exit code."""
    tallies = []
    sums = {}
    for example in TRAFFIC:
        tally = Tally()
        with tempfile.TemporaryDirectory() as folder:
            checks = await run_example(example, folder, tally, program)
        say(f"  {example}: {checks}")
        tallies.append(tally)
        for key, value in checks.items():
            sums[key] = sums.get(key, 0) + value
    latencies = [ms for tally in tallies for ms in tally.latencies_ms]
    share = sums["measuring"] / max(1, sums["requests"])
    figures = {
        "answered": sum(t.answered for t in tallies),
        "late": sum(t.late for t in tallies),
        "not_run": sum(t.not_run for t in tallies),
        "unknown": sum(t.unknown for t in tallies),
        "crossed": sum(t.crossed for t in tallies),
        "lost": sums["lost"],
        "run_twice": sums["run_twice"],
        "told_not_run_but_ran": sums["told_not_run_but_ran"],
        "overrun": sums["overrun"],
        "cold_overrun": sums["cold_overrun"],
        "p99_ms": f"{percentile(latencies, 0.99):.1f}",
        "measuring_share": f"{share:.4f}",
    }
    print(" ".join(f"{key}={value}" for key, value in figures.items()), flush=True)
    broken = ("crossed", "lost", "run_twice", "told_not_run_but_ran")
    return 1 if any(figures[key] for key in broken) else 0


def main():
    """Run the demo."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--program", nargs="+", help="words that start the product")
    sys.exit(asyncio.run(run(parser.parse_args().program)))


if __name__ == "__main__":
    main()
