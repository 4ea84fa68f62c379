"""Test behaviour during failures of VMs, the store and targets."""

import asyncio

from tests.gateway.cluster import (
    DIRECTORY_PORT,
    HOST,
    READY_PORT,
    configuration,
    route,
)
from tests.gateway.test_forwarding import run_scenario


async def wait_until(condition, timeout_s=5.0):
    """Wait until ``condition``, a coroutine function, returns true."""
    async with asyncio.timeout(timeout_s):
        while not await condition():
            await asyncio.sleep(0.05)


async def is_served(cluster, ip, path, request_id="probe"):
    response = await cluster.call(ip, request_id, path=path)
    return response.status == 200


def test_change_of_the_configuration_is_in_force_at_all_vms_within_two_seconds():
    async def scenario(cluster):
        routes = {"read": route("read"), "new": route("new")}
        await cluster.store.put("op", "config", configuration(2, routes))
        for ip in cluster.ips:
            await wait_until(lambda ip=ip: is_served(cluster, ip, "/new/1"), 2.0)

    run_scenario(scenario, vms=4)


def test_older_or_invalid_configuration_changes_nothing():
    async def scenario(cluster):
        routes = {"new": route("new")}
        await cluster.store.put("op", "config", configuration(5, routes))
        await wait_until(lambda: is_served(cluster, cluster.ips[0], "/new/1"))
        await cluster.store.put("op", "config", configuration(4))
        await cluster.store.put_bytes("op", "config", b'{"version": "zz"')
        await asyncio.sleep(0.5)
        assert await is_served(cluster, cluster.ips[0], "/new/1")
        assert not await is_served(cluster, cluster.ips[0], "/read/1")

    run_scenario(scenario)


def test_malformed_registrations_are_ignored():
    async def scenario(cluster):
        await cluster.store.put_bytes("servers", "bad-1", b"\xff\x00")
        await cluster.store.put("servers", "bad-2", {"service": 3, "state": "ready"})
        await cluster.store.put("servers", "bad-3", [1, 2])
        await asyncio.sleep(1.0)
        for number in range(6):
            assert await is_served(cluster, cluster.ips[0], "/read/1", f"r{number}")

    run_scenario(scenario)


def test_draining_target_gets_no_more_requests():
    async def scenario(cluster):
        await cluster.register(0, state="draining", sequence=2)
        await asyncio.sleep(1.5)
        before = len(cluster.targets[0].received)
        for number in range(10):
            assert await is_served(
                cluster, cluster.ips[number % 3], "/read/1", f"r{number}"
            )
        assert len(cluster.targets[0].received) == before

    run_scenario(scenario, vms=3)


def test_closed_data_centre_gets_no_requests_until_it_is_opened():
    async def scenario(cluster):
        await cluster.store.put("op", "evacuate/dc-a", {})
        await asyncio.sleep(0.5)
        for number in range(6):
            assert await is_served(cluster, cluster.ips[0], "/read/1", f"r{number}")
        assert cluster.targets[0].received == []
        await cluster.store.delete("op", "evacuate/dc-a")
        await asyncio.sleep(0.5)
        calls = [cluster.call(cluster.ips[0], f"s{number}") for number in range(4)]
        await asyncio.gather(*calls)
        assert cluster.targets[0].received

    run_scenario(scenario, work_s=0.1)


def test_vms_serve_during_a_store_outage_and_get_changes_afterwards():
    async def scenario(cluster):
        cluster.store.faults.away = True
        await asyncio.sleep(1.0)
        for ip in cluster.ips:
            assert await is_served(cluster, ip, "/read/1")
        routes = {"read": route("read"), "new": route("new")}
        await cluster.store.put("op", "config", configuration(2, routes))
        cluster.store.faults.away = False
        for ip in cluster.ips:
            await wait_until(lambda ip=ip: is_served(cluster, ip, "/new/1"), 4.0)

    run_scenario(scenario, vms=3)


def test_vm_that_the_store_refuses_gets_changes_from_other_vms():
    async def scenario(cluster):
        refused_host, _ = cluster.store_address(1)
        cluster.store.faults.turned_away.add(refused_host)
        await asyncio.sleep(0.5)
        routes = {"read": route("read"), "new": route("new")}
        await cluster.store.put("op", "config", configuration(2, routes))
        await wait_until(lambda: is_served(cluster, cluster.ips[1], "/new/1"), 3.0)

    run_scenario(scenario, vms=3)


def test_table_is_read_again_after_lost_history():
    async def scenario(cluster):
        routes = {"read": route("read"), "new": route("new")}
        cluster.store.forget_history()
        await cluster.store.put("op", "config", configuration(2, routes))
        cluster.store.forget_history()
        await wait_until(lambda: is_served(cluster, cluster.ips[0], "/new/1"), 3.0)

    run_scenario(scenario)


def test_removed_target_gets_no_more_requests_without_a_store_outage():
    async def scenario(cluster):
        # In a pause without changes, VMs that poll a reader get only empty responses.
        # That must not count as a gap, after which removed targets are kept longer.
        await asyncio.sleep(4.0)
        await cluster.store.delete("servers", cluster.targets[0].id)
        await asyncio.sleep(1.5)
        before = len(cluster.targets[0].received)
        for number in range(12):
            ip = cluster.ips[number % 4]
            assert await is_served(cluster, ip, "/read/1", f"r{number}")
        assert len(cluster.targets[0].received) == before

    run_scenario(scenario, vms=4)


def test_registrations_expired_in_a_store_outage_are_kept_until_renewed():
    async def scenario(cluster):
        cluster.store.faults.away = True
        await asyncio.sleep(3.5)
        for target in cluster.targets:
            await cluster.store.delete("servers", target.id)
        cluster.store.faults.away = False
        await asyncio.sleep(1.2)
        assert await is_served(cluster, cluster.ips[0], "/read/1", "r1")
        await cluster.register(0)
        await asyncio.sleep(3.0)
        responses = [
            await cluster.call(cluster.ips[0], f"s{number}") for number in range(4)
        ]
        assert [response.status for response in responses] == [200] * 4
        assert [
            r.request_id for r in cluster.targets[1].received if r.request_id[0] == "s"
        ] == []

    run_scenario(scenario)


def test_dead_vm_leaves_the_directory_and_another_vm_schedules_its_service():
    async def scenario(cluster):
        await cluster.kill_vm(cluster.ips[0])
        await asyncio.sleep(1.5)
        for ip in cluster.ips[1:]:
            response = await cluster.request(
                (ip, DIRECTORY_PORT), f"/-/resolve?name={HOST}&zone=dc-a"
            )
            assert cluster.ips[0].encode() + b":" not in response.body
            assert await is_served(cluster, ip, "/read/1", f"r-{ip}")

    run_scenario(scenario, vms=3)


def test_requests_are_served_right_after_the_decider_died():
    async def scenario(cluster):
        await cluster.kill_vm(cluster.ips[0])
        responses = await asyncio.gather(
            *[cluster.call(ip, f"r-{ip}") for ip in cluster.ips[1:]]
        )
        assert [response.status for response in responses] == [200, 200]

    run_scenario(scenario, vms=3)


def test_stopping_vm_is_not_ready_and_finishes_its_requests():
    async def scenario(cluster):
        ip = cluster.ips[0]
        call = asyncio.create_task(cluster.call(ip, "r1", timeout_ms=2000))
        await asyncio.sleep(0.1)
        stopped = cluster.stop_vm(ip)
        await asyncio.sleep(0.1)
        assert (await cluster.request((ip, READY_PORT), "/-/ready")).status == 503
        directory = (cluster.ips[1], DIRECTORY_PORT)
        response = await cluster.request(directory, f"/-/resolve?name={HOST}&zone=dc-a")
        assert ip.encode() + b":" not in response.body
        late = await cluster.call(ip, "r2")
        assert late.status == 200
        assert late.headers["connection"] == "close"
        assert (await call).status == 200
        async with asyncio.timeout(6.0):
            await stopped

    run_scenario(scenario, vms=2, work_s=0.5)


def test_vm_without_configuration_responds_503():
    async def scenario(cluster):
        cluster.ips.append(cluster.ips[0].rsplit(".", 1)[0] + ".9")
        cluster.store.faults.away = True
        await cluster.kill_vm(cluster.ips[0])
        cluster.start_vm(cluster.ips[1])
        await asyncio.sleep(0.5)
        response = await cluster.call(cluster.ips[1], "r1")
        assert response.status == 503
        assert "retry-after" in response.headers
        cluster.store.faults.away = False
        await cluster.until_ready(cluster.ips[1], 4.0)

    run_scenario(scenario)
