"""Test holds with running processes: kills, pauses, outages and replacements."""

import asyncio
import signal
import tempfile

from sesamespring.http import fetch
from standins.caller import Caller, RequestKind, Tally
from standins.cluster import Cluster, wait_for

TTL_S = 2.0
# With shorter times, load on the test machine can pause a daemon for longer than its
# lease, and a hold lost during an outage of the platform stays lost until its end.
OUTAGE_TTL_S = 4.0
TARGETS = 4
ROSTER = RequestKind("roster", "GET", 2000)


def settings_with(ttl_s):
    """Return settings with heartbeat and stop timeouts in proportion to the lease."""
    return {
        "entry": {"entries_ttl_ms": "300", "stop_timeout_s": str(int(4 * ttl_s))},
        "platform": {"timeout_ms": "150", "session_ttl_ms": str(int(1000 * ttl_s))},
        "peers": {
            "heartbeat_interval_ms": "100",
            "heartbeat_timeout_ms": str(int(250 * ttl_s)),
        },
    }


def run(scenario, base_port, ttl_s=TTL_S):
    """Run a scenario on a test cluster with one service and three entry VMs."""

    async def run_in(folder):
        cluster = Cluster(
            "rota",
            folder,
            vm_count=3,
            base_port=base_port,
            service_ms={"roster": 5.0},
            services=["roster"],
            targets_max=TARGETS,
            settings=settings_with(ttl_s),
        )
        try:
            await cluster.start()
            _, answer = await cluster.apply(cluster.resource_text(), reason="test")
            await cluster.wait_in_force(answer["version"])
            await wait_for_holds(cluster)
            await scenario(cluster)
        finally:
            cluster.close()

    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(run_in(folder))


async def count_holds(cluster, vm):
    text = await cluster.metrics_text(vm)
    lines = [n for n in text.splitlines() if n.startswith("sesamespring_holds ")]
    return int(float(lines[0].split()[1]))


async def wait_for_holds(cluster, vms=None, count=TARGETS):
    vms = list(vms or cluster.vms.values())

    async def reached():
        return sum([await count_holds(cluster, vm) for vm in vms]) == count

    await wait_for(reached)


async def send_read(vm, deadline_ms=2000):
    """Send a GET request through one entry VM and return the response status."""
    response = await fetch(
        vm.callers_address,
        "GET",
        "/roster/x",
        timeout_s=20.0,
        headers=[("Request-Timeout-Ms", str(deadline_ms))],
    )
    return response.status


async def send_load(cluster, tally, stop):
    caller = Caller(list(cluster.vms.values()), cluster.data_centres[0], 1)
    async with asyncio.TaskGroup() as group:
        while not stop.is_set():
            group.create_task(caller.request(ROSTER, tally))
            await asyncio.sleep(0.02)


async def assert_no_overrun(cluster):
    for name, stats in (await cluster.target_stats()).items():
        assert stats["overruns"] == 0, (name, stats["most_in_progress"])


def test_paused_holder_sends_no_request_after_its_lease_expired():
    async def scenario(cluster):
        paused, *others = cluster.vms.values()
        cluster.signal(paused.name, signal.SIGSTOP)
        waiting = asyncio.create_task(send_read(paused, deadline_ms=300))
        await wait_for_holds(cluster, others)
        # The new holders are paused as well, so that none can lend a slot.
        for other in others:
            cluster.signal(other.name, signal.SIGSTOP)
        before = await cluster.target_stats()
        cluster.signal(paused.name, signal.SIGCONT)
        assert await waiting == 503
        after = await cluster.target_stats()
        assert _requests(after) == _requests(before)

    run(scenario, 23_200)


def _requests(stats):
    return sum(facts["requests"] for facts in stats.values())


def test_holds_of_a_killed_vm_are_taken_over_and_returned():
    async def scenario(cluster):
        killed, *others = cluster.vms.values()
        tally, stop = Tally(), asyncio.Event()
        load = asyncio.create_task(send_load(cluster, tally, stop))
        await cluster.kill(killed.name)
        await wait_for_holds(cluster, others)
        await cluster.set_faults(lost_answers=20)
        await cluster.start_entry(killed)

        async def has_holds():
            return await count_holds(cluster, killed) > 0

        await wait_for(has_holds)
        await wait_for_holds(cluster)
        stop.set()
        await load
        await assert_no_overrun(cluster)

    run(scenario, 23_300)


def test_service_goes_on_while_all_vms_are_replaced_without_the_platform():
    async def scenario(cluster):
        await asyncio.sleep(OUTAGE_TTL_S / 2)
        await cluster.set_faults(reset=True)
        await asyncio.sleep(1.5 * OUTAGE_TTL_S)
        for vm in cluster.vms.values():
            assert await cluster.terminate(vm.name) == 0
            others = [other for other in cluster.vms.values() if other is not vm]
            await wait_for_holds(cluster, others)
            await cluster.start_entry(vm)
            await wait_for(lambda vm=vm: fetch_ok(vm))
            await asyncio.sleep(OUTAGE_TTL_S / 2)
        assert 200 in [await send_read(vm) for vm in cluster.vms.values()]
        await wait_for_holds(cluster)
        await cluster.set_faults(reset=False, lost_answers=0)

        await wait_for(lambda: table_is_current(cluster))
        await assert_no_overrun(cluster)

    run(scenario, 23_400, OUTAGE_TTL_S)


async def fetch_ok(vm):
    return await fetch(vm.metrics_address, "GET", "/metrics", timeout_s=1.0)


async def table_is_current(cluster):
    """Return whether all sessions in the hold rows belong to the running daemons."""
    sessions = set((await cluster.platform_stats())["holds"])
    live = set()
    for vm in cluster.vms.values():
        log = (cluster.folder / f"{vm.name}.log").read_text()
        live.add(log.rpartition("incarnation=")[2].split()[0])
    return bool(sessions) and all(s.split(".")[1] in live for s in sessions)
