"""Test that VMs do what targets ask for in their responses, on each way to them."""

import asyncio
import time

import pytest

from tests.gateway.test_cut_off_vms import by_duty, send_load, served_share
from tests.gateway.test_faults import wait_until
from tests.gateway.test_forwarding import run_scenario

BACKOFF_S = 2
# What a target may get during the backoff that it asked for, after the start.
BACKOFF_START_S = 0.5
BACKOFF_REQUESTS_MAX = 2
# Time after a response that says that its target is leaving, from which the VM that
# received it has to send nothing there.
LEAVING_S = 2.0
# The load needs three of the four targets.
OPTIONS = {"vms": 4, "targets": 4, "work_s": 0.13}


def most_during_backoff(cluster):
    """Return the most requests that a target got from a VM during a backoff."""
    most = 0
    for target in cluster.targets:
        sent = [(a.at_s, a.client_ip) for a in target.arrivals]
        sent += zip(target.health_checks, target.checked_by, strict=True)
        for rejected in (a for a in target.arrivals if a.backoff_s is not None):
            start_s = rejected.at_s
            during = [
                at_s
                for at_s, ip in sent
                if ip == rejected.client_ip
                and start_s + BACKOFF_START_S < at_s < start_s + BACKOFF_S
            ]
            most = max(most, len(during))
    return most


async def reject_for(targets, seconds):
    """Let targets reject all requests and ask for a backoff, for a time."""
    for target in targets:
        target.busy_s = BACKOFF_S
    await asyncio.sleep(seconds)
    for target in targets:
        target.busy_s = None


def rejections(cluster):
    """Return how often targets have rejected a request and asked for a backoff."""
    return sum(
        arrival.backoff_s is not None
        for target in cluster.targets
        for arrival in target.arrivals
    )


def test_vm_keeps_to_the_backoff_that_a_target_asks_for():
    async def scenario(cluster):
        load = asyncio.create_task(send_load(cluster, 5.0))
        await asyncio.sleep(0.5)
        await reject_for(cluster.targets[:2], 0.6)
        await load
        assert rejections(cluster) > 0
        assert most_during_backoff(cluster) <= BACKOFF_REQUESTS_MAX

    run_scenario(scenario, **OPTIONS)


def test_backoff_holds_when_each_vm_is_replaced_as_decider_or_decides_alone():
    async def scenario(cluster):
        decider, second, *_ = by_duty(cluster)
        load = asyncio.create_task(send_load(cluster, 5.0))
        await asyncio.sleep(0.5)
        rejecting = asyncio.create_task(reject_for(cluster.targets[:2], 0.6))
        await asyncio.sleep(0.7)
        await cluster.kill_vm(decider)
        cluster.cut_datagrams(second)
        await load
        await rejecting
        assert most_during_backoff(cluster) <= BACKOFF_REQUESTS_MAX

    run_scenario(scenario, **OPTIONS)


def test_backoff_holds_for_attempts_that_a_vm_makes_for_a_cut_off_one():
    async def scenario(cluster):
        for ip in by_duty(cluster)[2:]:
            cluster.cut_from_targets(ip, "refused")
        load = asyncio.create_task(send_load(cluster, 6.0))
        await asyncio.sleep(2.0)
        await reject_for(cluster.targets[:2], 0.6)
        await load
        assert most_during_backoff(cluster) <= BACKOFF_REQUESTS_MAX

    run_scenario(scenario, **OPTIONS)


def test_request_is_refused_at_once_while_all_targets_ask_for_a_backoff():
    async def scenario(cluster):
        await send_load(cluster, 1.0)
        for target in cluster.targets:
            target.busy_s = BACKOFF_S
        await send_load(cluster, 0.7)
        for target in cluster.targets:
            target.busy_s = None
        started_s = time.monotonic()
        response = await cluster.call(cluster.ips[0], "late", timeout_ms=1000)
        assert response.status == 503
        assert 0 < float(response.headers["retry-after"]) <= BACKOFF_S
        assert time.monotonic() - started_s < 0.3

    run_scenario(scenario, vms=1, targets=2, work_s=0.03)


def test_targets_are_used_again_after_the_backoff():
    async def scenario(cluster):
        load = asyncio.create_task(send_load(cluster, 1.5))
        await reject_for(cluster.targets[:1], 0.6)
        await load
        await asyncio.sleep(BACKOFF_S)
        before = len(cluster.targets[0].received)
        tries = await send_load(cluster, 1.0)
        assert served_share(tries, cluster.ips) == 1.0
        assert len(cluster.targets[0].received) > before

    run_scenario(scenario, vms=2, targets=2, work_s=0.08)


def arrivals_after(target, since_s):
    return sum(arrival.at_s > since_s for arrival in target.arrivals)


@pytest.mark.parametrize("disturb", ["nothing", "decider killed", "cut off"])
def test_target_that_says_it_is_leaving_gets_nothing_new(disturb):
    async def scenario(cluster):
        decider, second, *_ = by_duty(cluster)
        leaving = cluster.targets[0]
        load = asyncio.create_task(send_load(cluster, 5.0))
        await asyncio.sleep(0.5)
        leaving.leaving = True
        said_s = time.monotonic()
        await asyncio.sleep(0.5)
        if disturb == "decider killed":
            await cluster.kill_vm(decider)
        elif disturb == "cut off":
            cluster.cut_datagrams(second)
            cluster.cut_from_targets(decider, "refused")
        await load
        assert leaving.arrivals
        assert arrivals_after(leaving, said_s + LEAVING_S) == 0

    run_scenario(scenario, **OPTIONS)


def test_next_lifetime_of_a_target_that_left_is_used():
    async def scenario(cluster):
        leaving = cluster.targets[0]
        leaving.leaving = True
        await send_load(cluster, 1.0)
        leaving.leaving = False
        await cluster.register(0, born=2)
        registered_s = time.monotonic()

        async def is_used():
            await send_load(cluster, 0.5)
            return arrivals_after(leaving, registered_s) > 0

        await wait_until(is_used, 2.0)
        tries = await send_load(cluster, 1.0)
        assert served_share(tries, cluster.ips) == 1.0

    # The load needs both targets: one with a free slot is enough for a lighter one.
    run_scenario(scenario, vms=2, targets=2, work_s=0.08)
