"""Run both examples under load and faults, and check the guarantees to callers."""

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
LOAD_DURATION_S = 18.0
DATA_CENTRE_OUT_AT_S = 4.0
VM_KILL_AT_S = 8.0
DATA_CENTRE_BACK_AT_S = 11.0


def print_progress(text):
    """Print a line and flush the output."""
    print(text, flush=True)


async def send_load(callers, kind, rate, end_s, tally, seed):
    """Send requests of a kind as a Poisson process until ``end_s``.

    Args:
        callers: The Callers to choose from at random.
        kind: The RequestKind.
        rate: Mean rate, in requests a second.
        end_s: Time of the end, on the monotonic clock.
        tally: The Tally that counts the outcomes.
        seed: Seed of the random choices.
    """
    rng = random.Random(seed)
    async with asyncio.TaskGroup() as group:
        while time.monotonic() < end_s:
            caller = rng.choice(callers)
            group.create_task(caller.request(kind, tally))
            await asyncio.sleep(rng.expovariate(rate))


async def inject_faults(cluster, started_s):
    """Take a data centre out of service, kill an entry VM, and restore the former.

    The times of the three steps count from ``started_s``.
    """
    data_centre = cluster.data_centres[-1]
    vms = list(cluster.vms.values())
    await asyncio.sleep(started_s + DATA_CENTRE_OUT_AT_S - time.monotonic())
    content = f"[data-centre {data_centre}]\nstate = out\n"
    status, body = await cluster.apply(content, reason="demo: out")
    print_progress(f"  data centre {data_centre} out: {status} {body}")
    await asyncio.sleep(started_s + VM_KILL_AT_S - time.monotonic())
    await cluster.kill(vms[1].name)
    print_progress(f"  entry VM {vms[1].name} killed")
    await asyncio.sleep(started_s + DATA_CENTRE_BACK_AT_S - time.monotonic())
    content = f"[data-centre {data_centre}]\nstate = in\n"
    status, body = await cluster.apply(content, reason="demo: back")
    print_progress(f"  data centre {data_centre} back: {status} {body}")


async def run_example(example, folder, tally, program):
    """Run one example, count outcomes in ``tally``, and return a dict of its checks."""
    cluster = Cluster(
        example,
        folder,
        vm_count=VM_COUNT,
        base_port=BASE_PORTS[example],
        service_ms=SERVICE_MS,
        program=program,
    )
    try:
        print_progress(
            f"{example}: starting {len(cluster.targets)} targets, {VM_COUNT} entry VMs"
        )
        await cluster.start()
        status, body = await cluster.apply(cluster.resource_text(), reason="demo")
        print_progress(f"  resources applied: {status} {body}")
        await cluster.wait_in_force(body["version"])
        await cluster.wait_held()
        print_progress("  in force at every entry VM; sending load")
        await send_traffic(cluster, example, tally)
        return await collect_checks(cluster, tally)
    finally:
        cluster.close()


async def send_traffic(cluster, example, tally):
    """Send the example's traffic while faults are injected."""
    vms = list(cluster.vms.values())
    callers = [
        Caller(vms, data_centre, seed)
        for seed, data_centre in enumerate(cluster.data_centres)
    ]
    started_s = time.monotonic()
    async with asyncio.TaskGroup() as group:
        for seed, (kind, rate) in enumerate(TRAFFIC[example]):
            load = send_load(
                callers, kind, rate, started_s + LOAD_DURATION_S, tally, seed
            )
            group.create_task(load)
        group.create_task(inject_faults(cluster, started_s))


async def collect_checks(cluster, tally):
    """Compare the outcomes at callers with the runs that targets counted.

    Returns:
        A dict of counts: requests confirmed to the caller that no target ran
        (``lost``), run more than once, run in spite of a "not run" outcome, started
        above a target's slots, started above a cold target's slots, requests at
        targets, and calls for measurement (store calls and load probes).
    """
    stats = await cluster.target_stats()
    runs = {}
    for counts in stats.values():
        for key, count in counts["runs"].items():
            runs[key] = runs.get(key, 0) + count
    platform = await cluster.platform_stats()
    requests = sum(counts["requests"] for counts in stats.values())
    measuring = platform["reads"] + platform["writes"]
    measuring += sum(counts["probes"] for counts in stats.values())
    return {
        "lost": sum(1 for key in tally.keys_answered if not runs.get(key)),
        "run_twice": sum(1 for count in runs.values() if count > 1),
        "told_not_run_but_ran": sum(1 for key in tally.keys_not_run if runs.get(key)),
        "overrun": sum(counts["overruns"] for counts in stats.values()),
        "cold_overrun": sum(counts["cold_overruns"] for counts in stats.values()),
        "requests": requests,
        "measuring": measuring,
    }


def percentile(values, share):
    """Return the value that a ``share`` of the values lie below, from 0 to 1."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


async def run(program):
    """Run both examples and print the figures.

    Returns:
        The exit code: 1 if a guarantee was broken, 0 otherwise.
    """
    tallies = []
    totals = {}
    for example in TRAFFIC:
        tally = Tally()
        with tempfile.TemporaryDirectory() as folder:
            checks = await run_example(example, folder, tally, program)
        print_progress(f"  {example}: {checks}")
        tallies.append(tally)
        for key, value in checks.items():
            totals[key] = totals.get(key, 0) + value
    latencies = [ms for tally in tallies for ms in tally.latencies_ms]
    share = totals["measuring"] / max(1, totals["requests"])
    figures = {
        "answered": sum(t.answered for t in tallies),
        "late": sum(t.late for t in tallies),
        "not_run": sum(t.not_run for t in tallies),
        "unknown": sum(t.unknown for t in tallies),
        "crossed": sum(t.crossed for t in tallies),
        "lost": totals["lost"],
        "run_twice": totals["run_twice"],
        "told_not_run_but_ran": totals["told_not_run_but_ran"],
        "overrun": totals["overrun"],
        "cold_overrun": totals["cold_overrun"],
        "p99_ms": f"{percentile(latencies, 0.99):.1f}",
        "measuring_share": f"{share:.4f}",
    }
    print(" ".join(f"{key}={value}" for key, value in figures.items()), flush=True)
    broken = ("crossed", "lost", "run_twice", "told_not_run_but_ran")
    return 1 if any(figures[key] for key in broken) else 0


def main():
    """Run the demo."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--program", nargs="+", help="command that starts the product")
    sys.exit(asyncio.run(run(parser.parse_args().program)))


if __name__ == "__main__":
    main()
