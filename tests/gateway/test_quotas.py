"""Test that accounts keep to their quotas over all VMs, with real VMs."""

import asyncio
import functools
import socket

import attrs
import pytest

from sesamespring.gateway.generated.ttypes import (
    SlotRefused,
    TokenAsk,
    TokenGift,
    TokensGiven,
    TokensWanted,
)
from sesamespring.gateway.members.datagrams import _codec
from sesamespring.gateway.slots.slot_messages import decode_refused, encode_reply
from sesamespring.routing.messages import Refusal, RefusalReason
from tests.gateway import cluster as clusters
from tests.gateway.cluster import INTERNAL_PORT, SERVICE, configuration, route
from tests.gateway.message_examples import example
from tests.gateway.test_faults import wait_until
from tests.gateway.test_forwarding import run_scenario

WINDOW_S = 2.0
BOUNDS = attrs.evolve(
    clusters.BOUNDS, quota_window_s=WINDOW_S, quota_overage=0.1, quota_slack=20.0
)
KEY = "key-of-anna"
CALL = {"headers": {"Sesamespring-Credential": KEY}}
OTHER = {"headers": {"Sesamespring-Credential": "key-of-bert"}}
OTHER_SERVICE = "writer"


@pytest.fixture(autouse=True)
def quotas_in_settings(monkeypatch):
    monkeypatch.setattr(clusters, "BOUNDS", BOUNDS)


async def limit(cluster, rate_per_s, burst, version=2, services=(SERVICE,)):
    """Give the account a quota and wait until lenders hold their burst."""
    accounts = {
        "anna": {"apiKeys": [KEY], "ratePerS": rate_per_s, "burst": burst},
        "bert": {"apiKeys": ["key-of-bert"]},
    }
    routes = {
        "read": route("read"),
        "write": route("write", "unsafe", service=services[-1]),
    }
    written = configuration(version, routes, services, tenants=accounts)
    await cluster.store.put("op", "config", written)
    await wait_until(functools.partial(in_force, cluster, version))
    await asyncio.sleep(WINDOW_S + 3.0)


async def in_force(cluster, version):
    states = [daemon._cluster_state for daemon in cluster.daemons]
    return all(s.configuration and s.configuration.version >= version for s in states)


async def call_many(cluster, count, prefix="r", call=CALL, **options):
    """Send requests to all VMs in turn and return the Responses."""
    calls = [
        cluster.call(
            cluster.ips[n % len(cluster.ips)], f"{prefix}{n}", **call, **options
        )
        for n in range(count)
    ]
    return await asyncio.gather(*calls)


def statuses(responses):
    found = [response.status for response in responses]
    return {status: found.count(status) for status in sorted(set(found))}


def test_burst_is_served_and_the_rest_refused_at_once():
    async def scenario(cluster):
        await limit(cluster, 5, 12)
        responses = await call_many(cluster, 60)
        counted = statuses(responses)
        assert counted.keys() == {200, 429}
        assert 12 <= counted[200] <= (5 * WINDOW_S + 12) * 1.1 + 20
        assert len(set(cluster.runs)) == len(cluster.runs) == counted[200]
        waits = [float(r.headers["retry-after"]) for r in responses if r.status == 429]
        assert all(0 < wait <= WINDOW_S for wait in waits)
        # They do not return at the same time.
        assert len(set(waits)) > 5
        assert statuses(await call_many(cluster, 30, "o", OTHER)) == {200: 30}

    run_scenario(scenario, vms=3, targets=4, slots=20)


def test_account_within_its_quota_is_never_refused():
    async def scenario(cluster):
        await limit(cluster, 20, 10, services=(SERVICE, OTHER_SERVICE))
        for number in range(5):
            assert statuses(await call_many(cluster, 3, f"a{number}-")) == {200: 3}
            await asyncio.sleep(0.25)

    run_scenario(scenario, vms=3, targets=4, slots=20)


def test_lower_quota_binds_and_a_higher_one_serves():
    async def scenario(cluster):
        await limit(cluster, 50, 50)
        assert statuses(await call_many(cluster, 40, "a")) == {200: 40}
        await limit(cluster, 1, 1, version=3)
        assert statuses(await call_many(cluster, 40, "b"))[200] <= 3 * 1.1 + 20
        await limit(cluster, 50, 50, version=4)
        assert statuses(await call_many(cluster, 40, "c")) == {200: 40}

    run_scenario(scenario, vms=2, targets=4, slots=20)


def test_token_of_a_request_that_did_not_run_is_given_back():
    async def scenario(cluster):
        await limit(cluster, 0.01, 4)
        for target in cluster.targets:
            target.close()
        failed = await call_many(cluster, 4, "a")
        assert 200 not in statuses(failed)
        assert cluster.runs == []
        for number in range(len(cluster.targets)):
            await cluster.start_target(number)
        await asyncio.sleep(2.0)
        assert statuses(await call_many(cluster, 4, "b", timeout_ms=2000)) == {200: 4}

    run_scenario(scenario, vms=1, targets=2, slots=20)


@pytest.mark.parametrize("fault", ["killed", "silent"])
def test_lender_that_fails_is_followed_and_the_quota_kept(fault):
    async def scenario(cluster):
        await limit(cluster, 10, 10)
        services = cluster.daemons[0]._services
        lender = services.decider(SERVICE)
        ip = cluster.ips[int(lender.removeprefix("vm-"))]
        assert statuses(await call_many(cluster, 30, "a"))[200] >= 10
        if fault == "killed":
            await cluster.kill_vm(ip)
        else:
            cluster.cut_datagrams(ip)
        for number in range(20):
            await call_many(cluster, 9, f"b{number}-")
            await asyncio.sleep(0.2)
        # About 4.2 s, of which any two lie within the bound.
        assert len(cluster.runs) <= 3 * ((10 * WINDOW_S + 10) * 1.1 + 20)
        await asyncio.sleep(2.0)
        others = [other for other in cluster.ips if other != ip]
        served = [await cluster.call(other, f"c{other}", **CALL) for other in others]
        assert statuses(served) == {200: len(others)}

    run_scenario(scenario, vms=3, targets=4, slots=20)


def send(cluster, message, source=None):
    """Send a datagram to the first VM, from an unknown address by default."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        if source is not None:
            sender.bind(source)
        sender.sendto(_codec.encode(message), (cluster.ips[0], INTERNAL_PORT))


def test_forged_and_odd_messages_about_tokens_bind_nothing():
    async def scenario(cluster):
        await limit(cluster, 0.01, 3)
        huge = 1_000_000_000
        for number in (1, 2**62):
            gifts = [TokenGift("anna", huge, 0.0), TokenGift("nobody", -huge, -1.0)]
            send(cluster, TokensGiven(number, number, gifts))
            for needed, returned in ((huge, 0), (-huge, huge), (0, -huge)):
                asks = [TokenAsk("anna", needed, needed, returned)]
                send(cluster, TokensWanted(number, number, 0, asks))
        await asyncio.sleep(0.2)
        assert statuses(await call_many(cluster, 20)) == {200: 3, 429: 17}

    run_scenario(scenario, vms=1, targets=2, slots=20)


def test_refusal_is_one_that_earlier_builds_know():
    reason = RefusalReason.OVER_QUOTA
    message = encode_reply(1, 1, Refusal(None, reason, 0.5))
    assert message.reason == RefusalReason.TOO_LATE.value
    assert decode_refused(message, None) == Refusal(None, reason, 0.5)
    later = example(SlotRefused)
    later.reason, later.newer_reason = RefusalReason.TOO_LATE.value, "of a later build"
    assert decode_refused(later, None).reason is RefusalReason.TOO_LATE
