"""Test with running processes that accepted configurations spread and never revert."""

import asyncio
import tempfile

from sesamespring.http import fetch, json_body
from standins.cluster import Cluster, wait_for

VM_COUNT = 4
BASE_PORT = 26_000
SERVICE_MS = {"roster": 5.0}
KEYS = "ana:ana-secret, ben:ben-secret, change-this-operators-key"
SETTINGS = {"timeout_ms": "4000"}
SLOW_POLLING = {"poll_interval_ms": "60000"}


def out(data_centre, state="out"):
    return f"[data-centre {data_centre}]\nstate = {state}\n"


def run(scenario, base_port, **platform):
    """Run a scenario on a small test cluster whose resources are in force."""

    async def run_in(folder):
        cluster = Cluster(
            "rota",
            folder,
            vm_count=VM_COUNT,
            base_port=base_port,
            service_ms=SERVICE_MS,
            services=["roster"],
            targets_max=3,
            settings={"operators": {"key": KEYS}, "platform": SETTINGS | platform},
        )
        try:
            await cluster.start()
            _, answer = await cluster.apply(cluster.resource_text(), reason="start")
            await cluster.wait_in_force(answer["version"])
            await scenario(cluster)
        finally:
            cluster.close()

    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(run_in(folder))


async def apply_as(vm, secret, content, identity="one"):
    """Apply a change with an operator's own key; return status and JSON response."""
    change = {
        "file": "r.ini",
        "content": content,
        "operator": "whoever",
        "identity": identity,
        "reason": "race",
        "base_version": 1,
    }
    response = await fetch(
        vm.callers_address,
        "POST",
        "/.sesamespring/changes",
        timeout_s=5.0,
        headers=[("Authorization", f"Bearer {secret}")],
        body=json_body(change),
    )
    return response.status, response.json()


async def own_entry(cluster, vm):
    _, answer = await cluster.operator_call(vm, "GET", "in-force")
    return answer["in_force"][0]


def test_vms_restarted_one_by_one_without_the_platform_get_the_version_from_peers():
    async def scenario(cluster):
        _, answer = await cluster.apply(out("tbilisi-c"), reason="out")
        version = answer["version"]
        await cluster.wait_in_force(version)
        await cluster.set_faults(reset=True)
        for vm in cluster.vms.values():
            await cluster.kill(vm.name)
            await restart_without_platform(cluster, vm)
            await cluster.wait_in_force(version, [vm])
        await cluster.set_faults(reset=False, lost_answers=0)
        entries = [await own_entry(cluster, vm) for vm in cluster.vms.values()]
        assert {entry["version"] for entry in entries} == {version}
        assert {entry["digest"] for entry in entries} == {answer["digest"]}

    run(scenario, BASE_PORT)


async def restart_without_platform(cluster, vm):
    await cluster.start_entry(vm)

    async def answers():
        return await own_entry(cluster, vm)

    await wait_for(answers)


def test_vm_without_configuration_refuses_requests_as_not_run():
    async def scenario(cluster):
        vm = next(iter(cluster.vms.values()))
        await cluster.kill(vm.name)
        for other in list(cluster.vms.values())[1:]:
            await cluster.kill(other.name)
        await cluster.set_faults(reset=True)
        await restart_without_platform(cluster, vm)
        for path in ("/roster/x", "/.sesamespring/entries/roster"):
            response = await fetch(vm.callers_address, "GET", path, timeout_s=5.0)
            headers = dict(response.headers)
            assert response.status == 503
            assert headers[b"sesamespring-outcome"] == b"not-run"
            assert headers[b"retry-after"]
        await cluster.set_faults(reset=False, lost_answers=0)
        await cluster.wait_in_force(1, [vm])
        response = await fetch(vm.callers_address, "GET", "/none/x", timeout_s=5.0)
        assert response.status == 404

    run(scenario, BASE_PORT + 80)


def test_removed_service_is_unknown_to_all_vms_and_its_targets_get_no_requests():
    async def scenario(cluster):
        names = [target.name for target in cluster.targets]
        content = "\n".join(f"[remove target {name}]" for name in names)
        content += "\n[remove service roster]\n"
        _, answer = await cluster.apply(content, reason="closed")
        await cluster.wait_in_force(answer["version"])
        for vm in cluster.vms.values():
            for path in ("/roster/x", "/.sesamespring/entries/roster"):
                response = await fetch(vm.callers_address, "GET", path, timeout_s=5.0)
                assert response.status == 404
        stats = await cluster.target_stats()
        assert sum(facts["requests"] for facts in stats.values()) == 0

    run(scenario, BASE_PORT + 100)


def test_change_reaches_all_vms_before_they_poll():
    async def scenario(cluster):
        vms = list(cluster.vms.values())
        for number, vm in enumerate(vms):
            state = ("out", "in")[number % 2]
            content = out("tbilisi-a", state)
            _, answer = await cluster.apply(content, reason="push", vm=vm)
            await cluster.wait_in_force(answer["version"])

    run(scenario, BASE_PORT + 20, **SLOW_POLLING)


def test_conflicting_changes_are_reported_and_both_are_in_the_audit_trail():
    async def scenario(cluster):
        vms = list(cluster.vms.values())
        await cluster.set_faults(lost_answers=1)
        results = await asyncio.gather(
            apply_as(vms[0], "ana-secret", out("kutaisi"), "ana-1"),
            apply_as(vms[1], "ben-secret", out("kutaisi", "in"), "ben-1"),
        )
        assert sorted(status for status, _ in results) == [200, 409]
        status, answer = max(results, key=lambda result: result[0])
        (shown,) = answer["changes"]
        assert shown["operator"] in ("ana", "ben") and shown["reason"] == "race"
        assert shown["version"] == 2 and "data-centre/kutaisi" in shown["after"]
        _, trail = await cluster.operator_call(vms[2], "GET", "changes")
        facts = [(r["outcome"], r["operator"]) for r in trail["changes"][1:]]
        assert sorted(outcome for outcome, _ in facts) == ["accepted", "conflict"]
        assert sorted(operator for _, operator in facts) == ["ana", "ben"]

    run(scenario, BASE_PORT + 40)


def test_killed_vm_stays_in_the_in_force_list_and_wrong_keys_are_rejected():
    async def scenario(cluster):
        vms = list(cluster.vms.values())

        async def seen(live):
            _, answer = await cluster.operator_call(vms[0], "GET", "in-force")
            entry = {e["vm"]: e for e in answer["in_force"]}[vms[-1].name]
            return entry["live"] == live and entry["version"] == 1

        await wait_for(lambda: seen(live=True))
        await cluster.kill(vms[-1].name)
        await wait_for(lambda: seen(live=False))
        for secret in ("none", "wrong", "ana"):
            status, answer = await apply_as(vms[0], secret, out("tbilisi-a"))
            assert status == 401 and set(answer) == {"error", "detail"}

    run(scenario, BASE_PORT + 60)
