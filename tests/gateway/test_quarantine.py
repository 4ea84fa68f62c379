"""Test that a request that ends the targets that run it is kept from the others."""

import asyncio
import itertools
import time

from tests.gateway.test_forwarding import run_scenario

# After the third end of a target, VMs have this time until they must know of it.
SPREAD_S = 3.0
# How often such a request may reach targets after that.
ARRIVALS_MAX = 3
RESTART_S = 0.6
FATAL_PATH = "/read/fatal"
FATAL_PER_S = 20
OTHERS_PER_S = 40


def end_at_fatal_path(received):
    return "crash" if received.target == FATAL_PATH else None


async def restart_ended_targets(cluster, restart_s=RESTART_S):
    """Start each target that has ended again, under a new id, until cancelled."""
    lifetimes = itertools.count(1)
    restarted = [0 for _ in cluster.targets]
    while True:
        for number, target in enumerate(cluster.targets):
            ends = len(target.crashes)
            if ends > restarted[number] and is_past(target.crashes[-1], restart_s):
                restarted[number] = ends
                await cluster.store.delete("servers", target.id)
                target.id = f"{target.id.partition('-')[0]}-{next(lifetimes)}"
                await cluster.start_target(number)
        await asyncio.sleep(0.02)


def is_past(since_s, seconds):
    return time.monotonic() - since_s > seconds


async def send_at_rate(cluster, prefix, path, per_s, seconds):
    """Send requests to all VMs in turn, and return the Responses.

    Args:
        cluster: The Cluster.
        prefix: Start of the request ids.
        path: Function of the number of the request that returns its path.
        per_s: Requests per second.
        seconds: Period in which requests are sent, in seconds.
    """
    calls = []
    for number in range(int(seconds * per_s)):
        ip = cluster.ips[number % len(cluster.ips)]
        request_id = f"{prefix}{time.monotonic_ns()}"
        call = cluster.call(ip, request_id, path=path(number), timeout_ms=500)
        calls.append(asyncio.create_task(call))
        await asyncio.sleep(1 / per_s)
    return await asyncio.gather(*calls)


def send_fatal(cluster, seconds):
    return send_at_rate(cluster, "fatal", lambda _: FATAL_PATH, FATAL_PER_S, seconds)


def send_others(cluster, seconds):
    return send_at_rate(cluster, "o", lambda n: f"/read/{n}", OTHERS_PER_S, seconds)


def late_arrivals(cluster):
    """Return how often fatal requests reached targets when all VMs had to know."""
    ends = sorted(at_s for target in cluster.targets for at_s in target.crashes)
    if len(ends) < 3:
        return 0
    return sum(
        arrival.at_s > ends[2] + SPREAD_S
        for target in cluster.targets
        for arrival in target.arrivals
        if arrival.request_id.startswith("fatal")
    )


async def run_with_restarts(cluster, scenario):
    """Run ``scenario(cluster)`` while targets that end are started again."""
    for target in cluster.targets:
        target.choose_fault = end_at_fatal_path
    restarts = asyncio.create_task(restart_ended_targets(cluster))
    try:
        await scenario(cluster)
    finally:
        restarts.cancel()


def test_request_that_has_ended_three_targets_is_not_sent_on_by_any_vm():
    async def scenario(cluster):
        await send_fatal(cluster, 7.0)
        assert late_arrivals(cluster) <= ARRIVALS_MAX

    run_scenario(lambda cluster: run_with_restarts(cluster, scenario), vms=4, targets=6)
