"""Test roll-outs with running VMs, targets of two versions and faults of the store."""

import asyncio
import contextlib
import itertools

import attrs
import pytest

from tests.gateway.cluster import BOUNDS, SERVICE, configuration, route
from tests.gateway.test_faults import wait_until
from tests.gateway.test_forwarding import run_scenario

OLD, NEW = "v1", "v2"
KEY = f"rollout/{SERVICE}"
DURATION_S = 5.0
INTERVAL_S = 0.02
TABLE_DELAY_S = 1.5
TARGETS = 6
VMS = 3
EXPOSURE_BOUNDS = attrs.evolve(
    BOUNDS, exposure_share=0.1, exposure_slack=50.0, rollback_s=5.0
)
OPTIONS = {"vms": VMS, "targets": TARGETS, "bounds": EXPOSURE_BOUNDS, "work_s": 0.02}


def rollout_scenario(scenario):
    async def prepared(cluster):
        for number in range(TARGETS // 2, TARGETS):
            await cluster.register(number, version=NEW)
        # All VMs have to know which version these targets are.
        await asyncio.sleep(TABLE_DELAY_S)
        async with callers(cluster):
            await scenario(cluster)

    run_scenario(prepared, **OPTIONS)


@contextlib.asynccontextmanager
async def callers(cluster):
    """Let callers send requests at a steady rate to VMs in turn."""

    async def call_often():
        async with asyncio.TaskGroup() as group:
            for number in itertools.count():
                ips = list(cluster._tasks)
                group.create_task(cluster.call(ips[number % len(ips)], f"c{number}"))
                await asyncio.sleep(INTERVAL_S)

    task = asyncio.create_task(call_often())
    try:
        yield
    finally:
        task.cancel()
        await asyncio.wait((task,))


async def order(cluster, to=NEW, **changes):
    await cluster.store.put(
        "op",
        KEY,
        {"service": SERVICE, "to": to, "durationS": DURATION_S, **changes},
    )


def state(cluster):
    """Return the pair of state and version in the status row, or None."""
    row = cluster.store.rows("status").get(KEY)
    return row and (row["state"], row["to"])


async def until_state(cluster, name, to=NEW, timeout_s=DURATION_S + 2.0):
    async def reached():
        return state(cluster) == (name, to)

    await wait_until(reached, timeout_s)


def new_targets(cluster):
    return cluster.targets[TARGETS // 2 :]


def received(targets):
    return sum(len(target.received) for target in targets)


def fail_some(cluster):
    """Let the new version fail every third request."""
    numbers = itertools.count()

    def choose_fault(_):
        return "fail" if next(numbers) % 3 == 0 else None

    for target in new_targets(cluster):
        target.choose_fault = choose_fault


def in_progress(targets):
    """Return the number of requests that targets run; their VMs end some of them."""
    ended = sum(len(target.finished) + target.cancelled for target in targets)
    return received(targets) - ended


def test_good_version_is_complete_in_time_with_nothing_in_progress_at_old_targets():
    async def scenario(cluster):
        await order(cluster)
        await until_state(cluster, "running", timeout_s=2.0)
        await until_state(cluster, "complete", timeout_s=DURATION_S)
        old = cluster.targets[: TARGETS // 2]
        assert in_progress(old) == 0
        before = received(old)
        await asyncio.sleep(0.5)
        assert received(old) == before

    rollout_scenario(scenario)


def test_bad_version_is_rolled_back_before_its_fiftieth_bad_answer():
    async def scenario(cluster):
        fail_some(cluster)
        await order(cluster)
        before = received(new_targets(cluster))
        await until_state(cluster, "rolled_back")
        sent = received(new_targets(cluster))
        assert (sent - before) / 3 < 50
        await asyncio.sleep(0.5)
        assert received(new_targets(cluster)) == sent

    rollout_scenario(scenario)


def test_version_that_is_several_times_slower_is_rolled_back():
    async def scenario(cluster):
        for target in new_targets(cluster):
            target.service_time_s *= 5
        await order(cluster)
        await until_state(cluster, "rolled_back")

    rollout_scenario(scenario)


def decider_ip(cluster):
    """Return the address of the VM that wrote the record last."""
    writer = cluster.store.rows("rollouts")[SERVICE]["writer"]
    return cluster.ips[int(writer.split("/")[0].removeprefix("vm-"))]


@pytest.mark.parametrize("after_s", [0.5, DURATION_S - 1.2])
def test_another_vm_goes_on_when_the_deciding_one_is_killed(after_s):
    async def scenario(cluster):
        await order(cluster)
        await until_state(cluster, "running", timeout_s=2.0)
        await asyncio.sleep(after_s)
        killed = decider_ip(cluster)
        await cluster.kill_vm(killed)
        await until_state(cluster, "complete", timeout_s=DURATION_S + 4.0)
        assert decider_ip(cluster) != killed

    rollout_scenario(scenario)


def test_status_is_written_although_the_store_was_away_and_loses_answers():
    async def scenario(cluster):
        fail_some(cluster)
        await order(cluster)
        await until_state(cluster, "running", timeout_s=2.0)
        cluster.store.faults.lost_answers = 3
        await asyncio.sleep(0.3)
        cluster.store.faults.away = True
        await asyncio.sleep(1.5)
        cluster.store.faults.away = False
        cluster.store.faults.lost_answers = 2
        await until_state(cluster, "rolled_back", timeout_s=DURATION_S + 4.0)

    rollout_scenario(scenario)


def test_status_is_written_again_after_the_store_was_restored():
    async def scenario(cluster):
        fail_some(cluster)
        await order(cluster)
        await until_state(cluster, "running", timeout_s=2.0)
        copy = cluster.store.copy()
        await until_state(cluster, "rolled_back")
        await cluster.store.restore(copy)
        assert state(cluster) == ("running", NEW)
        await until_state(cluster, "rolled_back", timeout_s=4.0)

    rollout_scenario(scenario)


def test_same_order_again_changes_nothing_and_another_one_begins_anew():
    async def scenario(cluster):
        fail_some(cluster)
        await order(cluster)
        await until_state(cluster, "rolled_back")
        await order(cluster)
        await asyncio.sleep(0.5)
        assert state(cluster) == ("rolled_back", NEW)
        # Nothing has to move to the version in force.
        await order(cluster, to=OLD)
        await until_state(cluster, "complete", to=OLD, timeout_s=DURATION_S + 1.0)

    rollout_scenario(scenario)


def test_order_that_is_taken_back_leaves_versions_without_meaning():
    async def scenario(cluster):
        await order(cluster)
        await until_state(cluster, "running", timeout_s=2.0)
        await cluster.store.delete("op", KEY)

        async def is_removed():
            return SERVICE not in cluster.store.rows("rollouts")

        await wait_until(is_removed)
        before = received(new_targets(cluster))
        await asyncio.sleep(1.0)
        # Half of all targets get about half of all requests.
        assert received(new_targets(cluster)) - before > 0.2 / INTERVAL_S

    rollout_scenario(scenario)


def test_vm_that_decides_alone_sends_nothing_to_the_new_version():
    async def scenario(cluster):
        await order(cluster)
        await until_state(cluster, "running", timeout_s=2.0)
        alone = next(ip for ip in cluster.ips if ip != decider_ip(cluster))
        cluster.cut_datagrams(alone)
        await asyncio.sleep(0.2)
        calls = [cluster.call(alone, f"alone-{n}") for n in range(20)]
        responses = await asyncio.gather(*calls)
        assert {response.status for response in responses} == {200}
        sent = [r.request_id for t in new_targets(cluster) for r in t.received]
        assert not [name for name in sent if name.startswith("alone")]

    rollout_scenario(scenario)


@pytest.mark.parametrize(
    "changes",
    [{"to": ""}, {"to": 3}, {"durationS": -1}, {"durationS": "5"}, {"service": "x"}],
)
def test_malformed_order_is_refused(changes):
    async def scenario(cluster):
        await order(cluster, **changes)
        await cluster.store.put("op", "config", configuration(2, {"new": route("new")}))
        await asyncio.sleep(0.5)
        assert state(cluster) is None
        assert (await cluster.call(cluster.ips[0], "n", path="/new/1")).status == 200

    run_scenario(scenario, **{**OPTIONS, "vms": 1})
