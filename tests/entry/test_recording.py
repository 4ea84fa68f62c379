"""Test that a running entry VM records a trace that can be replayed."""

import asyncio
import contextlib
import io
import tempfile

from sesamespring.cli.main import main
from sesamespring.http import fetch
from sesamespring.replay import POLICIES, measure, parse_trace, replay
from standins.cluster import HOST, Cluster

BASE_PORT = 26_900
CALLS = 20


def recorded_lines(vm, monkeypatch):
    monkeypatch.setenv("SESAMESPRING_KEY", "change-this-operators-key")
    output = io.StringIO()
    address = f"{HOST}:{vm.callers_address[1]}"
    with contextlib.redirect_stdout(output):
        main(["record", "--entry", address, "--name", "board"])
    return output.getvalue().splitlines()


async def send_calls(vm):
    for number in range(CALLS):
        method = "POST" if number % 4 == 0 else "GET"
        response = await fetch(vm.callers_address, method, "/roster/x", timeout_s=5.0)
        assert response.status == 200


def test_recorded_trace_can_be_replayed_with_every_policy(monkeypatch):
    async def run_in(folder):
        cluster = Cluster(
            "rota",
            folder,
            vm_count=1,
            base_port=BASE_PORT,
            service_ms={"roster": 5.0},
            services=["roster"],
            targets_max=3,
        )
        try:
            await cluster.start()
            _, answer = await cluster.apply(cluster.resource_text(), reason="start")
            await cluster.wait_in_force(answer["version"])
            await cluster.wait_held()
            (vm,) = cluster.vms.values()
            await send_calls(vm)
            return await asyncio.to_thread(recorded_lines, vm, monkeypatch)
        finally:
            cluster.close()

    with tempfile.TemporaryDirectory() as folder:
        lines = asyncio.run(run_in(folder))
    trace = parse_trace("recorded", lines).unwrap()
    assert len(trace.calls) == CALLS
    assert sum(not call.idempotent for call in trace.calls) == CALLS / 4
    assert all(call.service_ms > 0 for call in trace.calls)
    for policy in POLICIES:
        assert measure(replay(trace, policy))["answered"] == CALLS
