"""Test that a request that ends the targets that run it is kept from the others."""

import asyncio
import contextlib
import itertools
import time

import pytest

from sesamespring.gateway.store.quarantine_rows import QUARANTINE_TABLE
from tests.gateway.test_faults import wait_until
from tests.gateway.test_forwarding import run_scenario
from tests.gateway.test_store_restored import restart

# After the third end of a target, VMs have this time until they must know of it.
SPREAD_S = 3.0
# How often such a request may reach targets after that.
ARRIVALS_MAX = 3
RESTART_S = 0.6
FATAL_PATH = "/read/fatal"
FATAL_BODY = b"fatal"
FATAL_PER_S = 20
OTHERS_PER_S = 40
# A content that ended targets by coincidence only must be served again by then.
COINCIDENCE_S = 6.0


def is_fatal(received):
    return received.target == FATAL_PATH or received.body.startswith(FATAL_BODY)


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
    """Send reads to all VMs in turn, and return the Responses.

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


async def send_orders(cluster, body, count):
    """Send non-idempotent requests to all VMs in turn, and return the Responses."""
    return [
        await cluster.call(
            cluster.ips[number % len(cluster.ips)],
            f"o{time.monotonic_ns()}",
            path="/write/1",
            method="POST",
            body=body,
        )
        for number in range(count)
    ]


def ends(cluster):
    """Return the times at which targets ended, in order."""
    return sorted(at_s for target in cluster.targets for at_s in target.crashes)


async def open_idle_connections(cluster):
    """Let each VM have idle connections to all targets."""
    for ip in cluster.ips:
        calls = [cluster.call(ip, f"i{time.monotonic_ns()}") for _ in range(12)]
        await asyncio.gather(*calls)


def late_arrivals(cluster):
    """Return how often fatal requests reached targets when all VMs had to know."""
    third_s = ends(cluster)[2]
    return sum(
        arrival.at_s > third_s + SPREAD_S
        for target in cluster.targets
        for arrival in target.arrivals
        if arrival.request_id.startswith("fatal")
    )


@contextlib.asynccontextmanager
async def restarts(cluster):
    """Let fatal requests end targets, which are started again, inside the context."""
    for target in cluster.targets:
        target.ends_on = is_fatal
    task = asyncio.create_task(restart_ended_targets(cluster))
    try:
        yield
    finally:
        task.cancel()


def run_with_restarts(scenario, **options):
    async def inside(cluster):
        async with restarts(cluster):
            await scenario(cluster)

    run_scenario(inside, **options)


def test_request_that_ends_targets_on_idle_connections_is_quarantined():
    async def scenario(cluster):
        for target in cluster.targets:
            target.ends_on = is_fatal
        await open_idle_connections(cluster)
        fatal = [
            await cluster.call(
                cluster.ips[number % 3], f"fatal{number}", path=FATAL_PATH
            )
            for number in range(4)
        ]
        assert len(ends(cluster)) == 3
        assert fatal[-1].status == 503
        assert "retry-after" in fatal[-1].headers

    run_scenario(scenario, vms=3, targets=6, work_s=0.03)


def test_request_that_has_ended_three_targets_is_not_sent_on_by_any_vm():
    async def scenario(cluster):
        await send_fatal(cluster, 7.0)
        assert late_arrivals(cluster) <= ARRIVALS_MAX

    run_with_restarts(scenario, vms=4, targets=6)


def test_other_requests_are_served_beside_one_that_ends_targets():
    async def scenario(cluster):
        fatal = asyncio.create_task(send_fatal(cluster, 6.0))
        await asyncio.sleep(3.5)
        responses = await send_others(cluster, 2.0)
        assert [r.status for r in responses] == [200] * len(responses)
        assert {r.status for r in (await fatal)[-20:]} == {503}

    run_with_restarts(scenario, vms=4, targets=6)


def test_quarantined_request_is_refused_at_once_with_the_time_to_come_back():
    async def scenario(cluster):
        await send_fatal(cluster, 1.0)
        before = len(ends(cluster))
        started_s = time.monotonic()
        response = await cluster.call(cluster.ips[0], "last", path=FATAL_PATH)
        assert response.status == 503
        assert 0 < float(response.headers["retry-after"]) <= 2.0
        assert time.monotonic() - started_s < 0.1
        assert len(ends(cluster)) == before

    run_with_restarts(scenario, vms=2, targets=6)


@pytest.mark.parametrize("size", [100, 1_500_000])
def test_non_idempotent_request_that_ends_targets_is_kept_back(size):
    async def scenario(cluster):
        body = FATAL_BODY + b"x" * size
        responses = await send_orders(cluster, body, 5)
        assert [r.status for r in responses] == [502] * 3 + [503] * 2
        others = await send_orders(cluster, b"order " + body, 4)
        assert [r.status for r in others] == [200] * 4

    run_with_restarts(scenario, vms=3, targets=6)


def test_vm_that_has_started_again_knows_the_quarantined_request():
    async def scenario(cluster):
        await send_fatal(cluster, 1.0)
        await cluster.kill_vm(cluster.ips[0])
        await asyncio.sleep(6.0)
        await restart(cluster, cluster.ips[:1])
        # The trials that became due meanwhile.
        await send_fatal(cluster, 0.5)
        before = len(ends(cluster))
        for number in range(6):
            await cluster.call(cluster.ips[0], f"again{number}", path=FATAL_PATH)
        assert len(ends(cluster)) == before

    run_with_restarts(scenario, vms=3, targets=6)


def test_vms_that_have_all_started_again_know_the_quarantined_request():
    async def scenario(cluster):
        await send_fatal(cluster, 1.0)
        before = len(ends(cluster))
        for ip in cluster.ips:
            await cluster.kill_vm(ip)
        await restart(cluster, cluster.ips)
        await send_fatal(cluster, 4.0)
        # One trial became due.
        assert len(ends(cluster)) <= before + 1

    run_with_restarts(scenario, vms=3, targets=6)


def test_served_request_is_not_quarantined_when_all_vms_start_again():
    async def scenario(cluster):
        await send_fatal(cluster, 1.0)
        for target in cluster.targets:
            target.ends_on = lambda received: False

        async def is_served():
            response = await cluster.call(cluster.ips[0], "probe", path=FATAL_PATH)
            return response.status == 200

        await wait_until(is_served)
        await asyncio.sleep(0.5)
        assert not cluster.store.rows(QUARANTINE_TABLE)
        for ip in cluster.ips:
            await cluster.kill_vm(ip)
        await restart(cluster, cluster.ips)
        assert await is_served()

    run_with_restarts(scenario, vms=3, targets=6)


def test_request_that_ran_where_targets_ended_by_coincidence_is_served_again():
    async def scenario(cluster):
        calls = [
            cluster.call(cluster.ips[n % 2], f"r{n}", path="/read/often")
            for n in range(12)
        ]
        waiting = [asyncio.create_task(call) for call in calls]
        await asyncio.sleep(0.1)
        for target in cluster.targets:
            target.end()
        await asyncio.gather(*waiting)
        ended_s = time.monotonic()

        async def is_served():
            response = await cluster.call(cluster.ips[0], "probe", path="/read/often")
            return response.status == 200

        await wait_until(is_served, COINCIDENCE_S)
        assert time.monotonic() - ended_s < COINCIDENCE_S
        assert await is_served()

    run_with_restarts(scenario, vms=2, targets=6, work_s=0.3)


def test_trial_that_no_target_has_run_is_made_again_soon():
    async def scenario(cluster):
        await send_fatal(cluster, 1.0)
        for target in cluster.targets:
            target.ends_on = lambda received: False
        await asyncio.sleep(RESTART_S + 0.3)
        # VMs do not learn that other targets are at the addresses.
        cluster.store.faults.away = True
        for number, target in enumerate(cluster.targets):
            target.close()
            await cluster.store.delete("servers", target.id)
            target.id += "-new"
            await target.start(*cluster.target_address(number))
        await asyncio.sleep(0.5)
        response = await cluster.call(cluster.ips[0], "trial", path=FATAL_PATH)
        assert response.status == 503
        cluster.store.faults.away = False
        for number in range(len(cluster.targets)):
            await cluster.register(number)

        async def is_served():
            response = await cluster.call(cluster.ips[0], "probe", path=FATAL_PATH)
            return response.status == 200

        await wait_until(is_served, COINCIDENCE_S)

    run_with_restarts(scenario, vms=2, targets=6)


def test_request_whose_connections_are_reset_by_live_targets_is_sent_on():
    async def scenario(cluster):
        for target in cluster.targets:
            target.choose_fault = lambda received: "reset"
        for number in range(6):
            ip = cluster.ips[number % 2]
            assert (await cluster.call(ip, f"r{number}")).status == 502
        assert len(cluster.runs) > 6

    run_scenario(scenario, vms=2, targets=4)


def test_ends_of_leaving_targets_do_not_count():
    async def scenario(cluster):
        calls = [
            asyncio.create_task(cluster.call(cluster.ips[0], f"r{n}", timeout_ms=3000))
            for n in range(4)
        ]
        await asyncio.sleep(0.1)
        for number in range(4):
            await cluster.register(number, state="draining", sequence=2)
        await asyncio.sleep(1.0)
        for target in cluster.targets:
            target.end()
        responses = await asyncio.gather(*calls)
        assert {r.status for r in responses} == {502}

        async def is_served():
            return (await cluster.call(cluster.ips[0], "new")).status == 200

        for target in cluster.targets:
            target.service_time_s = 0.01
        await wait_until(is_served, 1.9)

    run_with_restarts(scenario, targets=4, slots=1, work_s=1.5)
