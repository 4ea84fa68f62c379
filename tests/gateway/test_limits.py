"""Test that all VMs together keep to the limit that a target names."""

import asyncio
import time

import pytest

from tests.gateway.test_faults import wait_until
from tests.gateway.test_forwarding import run_scenario
from tests.gateway.test_store_restored import restart

WINDOW_S = 4.0
# Time after a limit is first named from which it binds.
SETTLE_S = 3.0
RATIO = 1.5
SLACK = 5
LOAD_PER_S = 60


async def send_load(cluster, seconds, disturb=None):
    """Send reads to all VMs in turn; call ``disturb`` in the middle."""
    calls = []
    for number in range(int(seconds * LOAD_PER_S)):
        if disturb is not None and number == int(seconds * LOAD_PER_S / 2):
            calls.append(asyncio.create_task(disturb()))
        ip = cluster.ips[number % len(cluster.ips)]
        call = cluster.call(ip, f"r{time.monotonic_ns()}", timeout_ms=500)
        calls.append(asyncio.create_task(call))
        await asyncio.sleep(1 / LOAD_PER_S)
    await asyncio.gather(*calls)


def most_in_a_window(target, from_s):
    """Return the largest number of arrivals in a window that ends after a time."""
    times = sorted([a.at_s for a in target.arrivals] + target.health_checks)
    times = [at_s for at_s in times if at_s >= from_s - WINDOW_S]
    return max(
        (
            sum(end_s - WINDOW_S < at_s <= end_s for at_s in times)
            for end_s in times
            if end_s >= from_s
        ),
        default=0,
    )


def allowed(per_s):
    return RATIO * per_s * WINDOW_S + SLACK


async def run_limited(cluster, limit, disturb=None, seconds=9.0):
    """Let the first target name a limit under load, and check that it is kept."""
    await send_load(cluster, 1.0)
    cluster.targets[0].limit_per_s = limit
    named_s = time.monotonic()
    await send_load(cluster, seconds, disturb)
    most = most_in_a_window(cluster.targets[0], named_s + SETTLE_S + WINDOW_S / 2)
    assert 0 < most <= allowed(float(limit))


@pytest.mark.parametrize("limit", ["1", "3.8"])
def test_limit_is_kept_by_all_vms_and_their_health_checks(limit):
    async def scenario(cluster):
        await run_limited(cluster, limit)

    run_scenario(scenario, vms=4, targets=4, work_s=0.03)


def test_limit_is_kept_when_each_vm_is_replaced_as_decider():
    async def scenario(cluster):
        async def replace_vms():
            for ip in cluster.ips:
                await cluster.kill_vm(ip)
                await asyncio.sleep(0.5)
                await restart(cluster, [ip])

        await run_limited(cluster, "1.5", replace_vms)

    run_scenario(scenario, vms=4, targets=4, work_s=0.03)


def test_limit_is_kept_by_vms_that_do_not_hear_each_other():
    async def scenario(cluster):
        async def cut():
            cluster.cut_datagrams(cluster.ips[0])
            await asyncio.sleep(2.0)
            cluster.cut_datagrams(cluster.ips[1])

        await run_limited(cluster, "2", cut)

    run_scenario(scenario, vms=4, targets=4, work_s=0.03)


def test_limit_of_all_targets_leads_to_early_refusals():
    async def scenario(cluster):
        for target in cluster.targets:
            target.limit_per_s = "2"
        await send_load(cluster, 2.0)
        started_s = time.monotonic()
        calls = [
            cluster.call(cluster.ips[n % 3], f"s{n}", timeout_ms=1500)
            for n in range(60)
        ]
        responses = await asyncio.gather(*calls)
        refused = [r for r in responses if r.status == 503]
        assert len(refused) > 40
        assert all(float(r.headers["retry-after"]) > 0 for r in refused)
        assert time.monotonic() - started_s < 1.4

    run_scenario(scenario, vms=3, targets=3, work_s=0.03)


def test_target_that_names_no_limit_any_more_gets_its_full_share():
    async def scenario(cluster):
        target = cluster.targets[0]
        target.limit_per_s = "1"
        await send_load(cluster, 3.0)
        target.limit_per_s = None

        async def is_used():
            before = len(target.arrivals)
            await send_load(cluster, 0.5)
            return len(target.arrivals) - before >= 5

        await wait_until(is_used, 6.0)

    run_scenario(scenario, vms=3, targets=2, work_s=0.03)
