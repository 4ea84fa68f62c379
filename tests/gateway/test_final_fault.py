"""Test that service comes back after all VMs were killed amid other faults."""

import asyncio
import random

import pytest

from tests.gateway.test_faults import wait_until
from tests.gateway.test_forwarding import run_scenario
from tests.gateway.test_store_restored import is_recovered, replace_targets

SEEDS = (1, 2, 3, 21)
VMS = 4
TARGETS = 4
HEARTBEAT_INTERVAL_S = 0.02
FAULTS_S = 6.0
# Above the 15 s that the platform allows after VMs are back, less the rest of the play.
RECOVERY_S = 10.0


async def _write_heartbeats(cluster):
    sequence = 100
    while True:
        sequence += 1
        await cluster.register(sequence % TARGETS, sequence=sequence)
        await asyncio.sleep(HEARTBEAT_INTERVAL_S)


async def _restore_store(cluster, rng):
    copy = cluster.store.copy()
    await asyncio.sleep(rng.uniform(1.0, 4.0))
    cluster.store.faults.away = True
    await cluster.store.restore(copy)
    await asyncio.sleep(rng.uniform(0.0, 0.8))
    cluster.store.faults.away = False
    if rng.random() < 0.7:
        await replace_targets(cluster, f"r{rng.randrange(1000)}-")


async def _forget_history(cluster, rng):
    await asyncio.sleep(rng.uniform(0.0, 2.0))
    cluster.store.forget_history()


async def _turn_away(cluster, rng):
    host, _ = cluster.store_address(rng.randrange(VMS))
    cluster.store.faults.turned_away.add(host)
    await asyncio.sleep(rng.uniform(0.5, 3.0))
    cluster.store.faults.turned_away.discard(host)


async def _replace_targets(cluster, rng):
    await asyncio.sleep(rng.uniform(0.0, 2.5))
    await replace_targets(cluster, f"n{rng.randrange(1000)}-")


async def _lapse(cluster, rng):
    await asyncio.sleep(rng.uniform(0.0, 2.0))
    for target in cluster.targets:
        await cluster.store.delete("servers", target.id)


async def _reject(cluster, rng):
    for target in cluster.targets:
        target.busy_s = 1
    await asyncio.sleep(rng.uniform(0.5, 3.0))
    for target in cluster.targets:
        target.busy_s = None


async def _limit(cluster, rng):
    for target in cluster.targets[1:]:
        target.limit_per_s = "1.5"
    await asyncio.sleep(rng.uniform(0.5, 3.0))
    for target in cluster.targets[1:]:
        target.limit_per_s = None


async def _respond_endlessly(cluster, rng):
    fault = rng.choice(["endless-head", "endless-body", "silent"])
    for target in cluster.targets:
        target.choose_fault = lambda received: fault
        target.endless = True
    await asyncio.sleep(rng.uniform(0.5, 3.0))
    for target in cluster.targets:
        target.choose_fault = lambda received: None
        target.endless = False


async def _kill_all(cluster, rng):
    await asyncio.sleep(rng.uniform(0.0, 2.5))
    for ip in cluster.ips:
        await cluster.kill_vm(ip)
    for ip in rng.sample(cluster.ips, VMS):
        cluster.start_vm(ip)
        await asyncio.sleep(rng.choice([0.0, 0.3, 1.0]))


FAULTS = [
    _restore_store,
    _forget_history,
    _turn_away,
    _replace_targets,
    _lapse,
    _reject,
    _limit,
    _respond_endlessly,
]


async def _send_load(cluster):
    for number in range(1_000_000):
        ip = cluster.ips[number % VMS]
        call = asyncio.create_task(cluster.call(ip, f"load-{number}", timeout_ms=800))
        call.add_done_callback(lambda ended: ended.cancelled() or ended.exception())
        await asyncio.sleep(0.03)


@pytest.mark.parametrize("seed", SEEDS)
def test_service_comes_back_after_a_final_fault_amid_others(seed):
    async def scenario(cluster):
        rng = random.Random(seed)
        background = [
            asyncio.create_task(_write_heartbeats(cluster)),
            asyncio.create_task(_send_load(cluster)),
        ]
        faults = [_kill_all, _restore_store, *rng.sample(FAULTS, 3)]
        try:
            async with asyncio.timeout(FAULTS_S + RECOVERY_S):
                await asyncio.gather(*[fault(cluster, rng) for fault in faults])
            await wait_until(lambda: is_recovered(cluster), RECOVERY_S)
        finally:
            for task in background:
                task.cancel()

    run_scenario(scenario, vms=VMS, targets=TARGETS)
