"""Test attempts that another VM makes for one that does not reach the target."""

import asyncio
from unittest import mock

import pytest

from sesamespring.gateway.targets.relay_messages import relay_request_headers
from sesamespring.gateway.targets.target_paths import TargetPaths
from tests.gateway.cluster import INTERNAL_PORT
from tests.gateway.test_faults import wait_until
from tests.gateway.test_forwarding import run_scenario
from tests.gateway.test_quarantine import late_arrivals, restarts, send_at_rate

MEGABYTE = 1_000_000
OPTIONS = {"vms": 3, "targets": 3, "work_s": 0.03}


async def cut_and_settle(cluster, how="refused"):
    """Cut the first VM off from all targets, and wait until it knows of it."""
    ip = cluster.ips[0]
    cluster.cut_from_targets(ip, how)
    for target in cluster.targets:
        target.reset_connections(ip)
    for number in range(20):
        await cluster.call(ip, f"settle{number}")
    return ip


@pytest.mark.parametrize("framing", [{}, {"Transfer-Encoding": "chunked"}])
def test_long_bodies_in_both_directions_arrive_whole(framing):
    async def scenario(cluster):
        ip = await cut_and_settle(cluster)
        padding = b"p" * MEGABYTE
        for target in cluster.targets:
            target.padding = padding
        body = b"b" * MEGABYTE
        sent = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body) if framing else body
        response = await cluster.call(
            ip, "r1", path="/write/1", method="POST", headers=framing, body=sent
        )
        assert response.status == 200
        assert response.body.endswith(b"answer to r1" + padding)
        (received,) = [
            r for t in cluster.targets for r in t.received if r.request_id == "r1"
        ]
        assert received.body == body

    run_scenario(scenario, **OPTIONS)


def test_failure_of_the_target_reaches_the_caller_as_it_is():
    async def scenario(cluster):
        ip = await cut_and_settle(cluster)
        for target in cluster.targets:
            target.choose_fault = lambda received: "fail"
        response = await cluster.call(ip, "r1", path="/write/1")
        assert response.status == 500
        assert "sesamespring-server-stamp" in response.headers
        assert cluster.runs.count("r1") == 1

    run_scenario(scenario, **OPTIONS)


def test_broken_attempt_of_a_non_idempotent_request_is_not_called_unsent():
    async def scenario(cluster):
        ip = await cut_and_settle(cluster)
        for target in cluster.targets:
            target.choose_fault = lambda received: "reset"
        response = await cluster.call(ip, "r1", path="/write/1")
        assert response.status == 502
        assert cluster.runs.count("r1") == 1

    run_scenario(scenario, **OPTIONS)


def test_request_that_all_targets_reject_is_called_unsent():
    async def scenario(cluster):
        ip = await cut_and_settle(cluster)
        for target in cluster.targets:
            target.busy_s = 1
        response = await cluster.call(ip, "r1", path="/write/1")
        assert response.status == 503
        assert "r1" not in cluster.runs

    run_scenario(scenario, **OPTIONS)


def test_target_stops_when_the_caller_of_the_cut_off_vm_leaves():
    async def scenario(cluster):
        ip = await cut_and_settle(cluster)
        for target in cluster.targets:
            target.service_time_s = 3.0
        call = asyncio.create_task(cluster.call(ip, "r1", timeout_ms=4000))

        async def runs():
            return "r1" in cluster.runs

        await wait_until(runs)
        call.cancel()

        async def is_cancelled():
            return sum(target.cancelled for target in cluster.targets) > 0

        await wait_until(is_cancelled, 0.5)

    run_scenario(scenario, **OPTIONS)


def test_vm_makes_no_attempt_at_a_target_that_is_leaving():
    async def scenario(cluster):
        await cluster.register(0, state="draining", sequence=2)
        await asyncio.sleep(1.5)
        headers = {
            "Sesamespring-Request-Id": "r1",
            "Sesamespring-Deadline-Ms": "500",
        }
        pairs = [(k.encode(), v.encode()) for k, v in headers.items()]
        relayed = relay_request_headers(pairs, ("t0", 1), idempotent=True)
        headers = {name.decode(): value.decode() for name, value in relayed}
        address = (cluster.ips[1], INTERNAL_PORT)
        response = await cluster.request(address, "/read/1", headers=headers)
        assert response.status == 503
        assert response.headers["relay-outcome"] == "not-sent"
        assert cluster.runs == []

    run_scenario(scenario, **OPTIONS)


def test_request_that_ends_targets_is_quarantined_when_another_vm_sends_it():
    async def scenario(cluster):
        ip = await cut_and_settle(cluster)
        for target in cluster.targets:
            target.ends_on = lambda received: received.target == "/read/fatal"
        cluster.ips.remove(ip)
        others = cluster.ips
        cluster.ips = [ip]
        async with restarts(cluster):
            await send_at_rate(cluster, "fatal", lambda _: "/read/fatal", 20, 5.0)
        cluster.ips = [ip, *others]
        assert late_arrivals(cluster) <= 3

    run_scenario(scenario, vms=3, targets=6, work_s=0.03)


def test_reset_links_do_not_look_like_ended_targets():
    async def scenario(cluster):
        ip = cluster.ips[0]
        for target in cluster.targets:
            target.service_time_s = 0.3
        calls = [
            asyncio.create_task(cluster.call(ip, f"r{number}", path="/write/same"))
            for number in range(6)
        ]
        await asyncio.sleep(0.1)
        cluster.cut_from_targets(ip, "reset")
        await asyncio.gather(*calls)
        response = await cluster.call(cluster.ips[1], "other", path="/write/same")
        assert response.status == 200

    run_scenario(scenario, **OPTIONS)


def test_long_body_is_not_sent_again_after_a_part_of_it_was_passed_on():
    async def scenario(cluster):
        ip = await cut_and_settle(cluster)
        # The second VM, which is asked first, does not reach them either.
        cluster.cut_from_targets(cluster.ips[1], "refused")

        def relays(paths, entry, subject):
            members = paths._peers.alive
            return [members[name] for name in ("vm-1", "vm-2") if name in members]

        body = b"".join(b"%07d;" % number for number in range(MEGABYTE // 8))
        chunks = b"".join(
            b"%x\r\n%s\r\n" % (len(part), part)
            for part in (body[i : i + 65536] for i in range(0, len(body), 65536))
        )
        with mock.patch.object(TargetPaths, "relays", relays):
            for number in range(4):
                await cluster.call(
                    ip,
                    f"r{number}",
                    path="/write/1",
                    method="POST",
                    headers={"Transfer-Encoding": "chunked"},
                    body=chunks + b"0\r\n\r\n",
                )
        received = [r.body for t in cluster.targets for r in t.received if r.body]
        assert all(got == body for got in received)

    run_scenario(scenario, **OPTIONS)


def test_request_with_the_longest_head_that_callers_may_send_is_served():
    async def scenario(cluster):
        ip = await cut_and_settle(cluster)
        headers = {"X-Long": "x" * 16_000}
        response = await cluster.call(ip, "r1", headers=headers)
        assert response.status == 200

    run_scenario(scenario, **OPTIONS)
