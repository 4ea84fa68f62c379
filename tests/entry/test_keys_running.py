"""Test requests with idempotency keys on running processes under failure."""

import asyncio
import contextlib
import itertools
import signal

import attrs
import pytest

from sesamespring.http import fetch, header
from standins.caller import Caller, RequestKind, Tally
from standins.cluster import Cluster, fetch_json, wait_for

BASE_PORT = 25_300
SERVICE_MS = 150.0
SWAP = RequestKind("swap", "POST", 4000, keyed=True, body_bytes=20)
_tags = itertools.count(1)


@attrs.frozen
class CallerResult:
    """The response that a caller received."""

    status: int
    outcome: str | None
    replayed: bool
    body: bytes


@contextlib.asynccontextmanager
async def running_cluster(folder):
    """Yield a test cluster of three entry VMs and four targets of the swap service."""
    cluster = Cluster(
        "rota",
        folder,
        vm_count=3,
        base_port=BASE_PORT,
        service_ms={"swap": SERVICE_MS},
        services=["swap"],
        targets_max=4,
        settings={"entry": {"entries_ttl_ms": "500"}},
    )
    try:
        await cluster.start()
        _, answer = await cluster.apply(cluster.resource_text(), reason="test")
        await cluster.wait_in_force(answer["version"])
        await wait_for(lambda: all_entries(cluster))
        await cluster.wait_held()
        yield cluster
    finally:
        cluster.close()


async def all_entries(cluster):
    answers = [await entries(vm) for vm in cluster.vms.values()]
    return all(len(answer) == len(cluster.vms) for answer in answers)


async def entries(vm):
    path = "/.sesamespring/entries/swap"
    answer = await fetch_json(vm.callers_address, "GET", path)
    return {entry["name"]: entry for entry in answer.get("entries", ())}


async def swap(vm, key, tag, body=b"swap"):
    """Send a request with a key through a VM and return the CallerResult."""
    response = await fetch(
        vm.callers_address,
        "POST",
        f"/swap/{tag}",
        timeout_s=5.0,
        headers=[("Idempotency-Key", key), ("X-Demo-Request", tag)],
        body=body,
    )
    return CallerResult(
        response.status,
        header(response.headers, b"sesamespring-outcome"),
        header(response.headers, b"idempotent-replayed") == "true",
        response.body,
    )


async def runs(cluster):
    counts = {}
    for facts in (await cluster.target_stats()).values():
        for tag, count in facts["runs"].items():
            counts[tag] = counts.get(tag, 0) + count
    return counts


async def started(cluster, tag):
    await wait_for(lambda: tag_ran(cluster, tag), interval_s=0.01)


async def tag_ran(cluster, tag):
    return (await runs(cluster)).get(tag)


async def ticketed_key(vm, tag):
    return f"{(await entries(vm))[vm.name]['ticket']}.{tag}"


def new_tag():
    return f"tag-{next(_tags)}"


async def check_repeats(cluster):
    """Repeats of finished requests get the stored response through any VM."""
    first, second, _ = cluster.vms.values()
    for key_of in (ticketed_key, plain_key):
        tag = new_tag()
        key = await key_of(first, tag)
        result = await swap(first, key, tag)
        assert result.status == 200 and not result.replayed
        for vm in (first, second):
            repeated = await swap(vm, key, tag)
            assert repeated == attrs.evolve(result, replayed=True)
        assert (await swap(second, key, tag, b"swop")).status == 422
        assert (await runs(cluster))[tag] == 1


async def plain_key(vm, tag):
    return f"plain-{tag}"


async def check_crossed_copies(cluster):
    """Concurrent copies of a request through all VMs are executed once."""
    for key_of in (ticketed_key, plain_key):
        tag = new_tag()
        vms = list(cluster.vms.values())
        key = await key_of(vms[0], tag)
        results = await asyncio.gather(*(swap(vm, key, tag) for vm in vms * 2))
        ran = (await runs(cluster)).get(tag, 0)
        assert ran <= 1
        assert all(
            a.status == 200 or a.outcome in ("unknown", "not-run") for a in results
        )
        assert ran or not any(a.status == 200 for a in results)


async def check_unseen_key_is_refused_for_good(cluster):
    """After another VM responded not-run, a late copy at the issuer is refused."""
    first, second, _ = cluster.vms.values()
    tag = new_tag()
    key = await ticketed_key(first, tag)
    assert (await swap(second, key, tag)).outcome == "not-run"
    late = await swap(first, key, tag)
    assert late.outcome == "not-run" and b"key-refused" in late.body
    assert tag not in await runs(cluster)


async def check_broken_caller(cluster):
    """A request with a key continues without its caller; a repeat gets the response."""
    first, second, _ = cluster.vms.values()
    tag = new_tag()
    key = await ticketed_key(first, tag)
    sending = asyncio.ensure_future(swap(first, key, tag))
    await started(cluster, tag)
    sending.cancel()
    while (result := await swap(second, key, tag)).outcome == "unknown":
        await asyncio.sleep(0.05)
    assert result.status == 200 and result.replayed
    assert (await runs(cluster))[tag] == 1


async def check_cut_answers(cluster):
    """A response cut off by the target makes the key unknown; it is not sent again."""
    first, second, _ = cluster.vms.values()
    for target in cluster.targets:
        await cluster.control_target(target, cut_answers=True)
    tag = new_tag()
    key = await ticketed_key(first, tag)
    with contextlib.suppress(Exception):
        await swap(first, key, tag)
    for vm in (first, second):
        result = await swap(vm, key, tag)
        assert result.outcome == "unknown" and b"key-unknown" in result.body
    for target in cluster.targets:
        await cluster.control_target(target, cut_answers=False)
    assert (await runs(cluster))[tag] == 1


async def check_platform_away(cluster):
    """While the platform is unreachable, ticketed keys are sent and plain ones not."""
    first, second, _ = cluster.vms.values()
    await cluster.set_faults(reset=True)
    tag, plain_tag = new_tag(), new_tag()
    result = await swap(first, await plain_key(first, plain_tag), plain_tag)
    assert result.outcome == "unknown" and b"key-store-away" in result.body
    key = await ticketed_key(first, tag)
    assert (await swap(first, key, tag)).status == 200
    assert (await swap(second, key, tag)).replayed
    await cluster.set_faults(reset=False, lost_answers=0)
    assert plain_tag not in await runs(cluster)


async def check_lost_answers(cluster):
    """A lost response of the platform is resolved by reading the row."""
    first, second, _ = cluster.vms.values()
    tag = new_tag()
    key = await plain_key(first, tag)
    await asyncio.sleep(1.1)
    await cluster.set_faults(lost_answers=1)
    assert (await swap(first, key, tag)).status == 200
    await cluster.set_faults(reset=False, lost_answers=0)
    assert (await swap(second, key, tag)).replayed
    assert (await runs(cluster))[tag] == 1


async def check_paused_issuer(cluster):
    """Keys are unknown while their issuer is paused, and known afterwards."""
    first, second, third = cluster.vms.values()
    for key_of in (ticketed_key, plain_key):
        tag = new_tag()
        key = await key_of(second, tag)
        sending = asyncio.ensure_future(swap(second, key, tag))
        await started(cluster, tag)
        cluster.signal(second.name, signal.SIGSTOP)
        for vm in (first, third):
            assert (await swap(vm, key, tag)).outcome == "unknown"
        cluster.signal(second.name, signal.SIGCONT)
        assert (await sending).status == 200
        await wait_for(lambda key=key, tag=tag: replayed(first, key, tag))
        assert (await runs(cluster))[tag] == 1


async def replayed(vm, key, tag):
    return (await swap(vm, key, tag)).replayed


async def check_killed_issuer(cluster):
    """Keys in progress at a killed VM are unknown and are never executed again."""
    first, second, third = cluster.vms.values()
    tags = {}
    for key_of in (ticketed_key, plain_key):
        tag = new_tag()
        tags[tag] = await key_of(second, tag)
    sending = [asyncio.ensure_future(swap(second, k, t)) for t, k in tags.items()]
    for tag in tags:
        await started(cluster, tag)
    await cluster.kill(second.name)
    await asyncio.gather(*sending, return_exceptions=True)
    for tag, key in tags.items():
        for vm in (first, third):
            assert (await swap(vm, key, tag)).outcome == "unknown"
    counted = await runs(cluster)
    assert all(counted[tag] == 1 for tag in tags)
    await cluster.start_entry(second)
    await wait_for(lambda: all_entries(cluster))
    await cluster.wait_held()


async def check_callers_repeat(cluster):
    """Callers that repeat requests after a VM was killed get consistent outcomes."""
    victim = list(cluster.vms.values())[-1]
    vms = [vm for vm in cluster.vms.values() if vm != victim]
    tally = Tally()
    callers = [Caller(vms, vm.data_centre, 7) for vm in vms]
    async with asyncio.TaskGroup() as group:
        for number in range(60):
            group.create_task(callers[number % 2].request(SWAP, tally))
            if number == 30:
                await cluster.kill(victim.name)
            await asyncio.sleep(0.02)
    counted = await runs(cluster)
    assert tally.crossed == 0
    assert all(counted[tag] == 1 for tag in tally.keys_answered)
    assert not any(counted.get(tag) for tag in tally.keys_not_run)
    assert max(counted.values()) == 1


async def check_bad_input(cluster):
    """Bytes that are not a message are dropped at both ports and logged."""
    first = next(iter(cluster.vms.values()))
    for address in (first.callers_address, first.peers_address):
        for payload in (b"\xff" * 200, b"\0\0\0\x40" + b"x" * 64, b"\0"):
            _, writer = await asyncio.open_connection(*address)
            writer.write(payload)
            writer.write_eof()
            writer.close()
    tag = new_tag()
    assert (await swap(first, await ticketed_key(first, tag), tag)).status == 200
    log = cluster.folder / f"{first.name}.log"
    assert "frame-dropped" in log.read_text(encoding="utf-8")


async def check_planned_stop(cluster):
    """The outcome of a plain key is known after its VM has shut down."""
    first, second, _ = cluster.vms.values()
    tags = [new_tag() for _ in range(5)]
    keys = {tag: await plain_key(second, tag) for tag in tags}
    sending = [swap(second, key, tag) for tag, key in keys.items()]
    results = await asyncio.gather(*sending)
    assert await cluster.terminate(second.name) == 0
    for tag, first_result in zip(tags, results, strict=True):
        repeated = await swap(first, keys[tag], tag)
        assert repeated.outcome == "ran" or first_result.status != 200


WITH_ALL_VMS = (
    check_repeats,
    check_crossed_copies,
    check_unseen_key_is_refused_for_good,
    check_broken_caller,
    check_cut_answers,
    check_platform_away,
    check_lost_answers,
    check_paused_issuer,
    check_bad_input,
    check_killed_issuer,
    check_callers_repeat,
    check_planned_stop,
)


@pytest.fixture(scope="module")
def outcomes(tmp_path_factory):
    """Run every check on one cluster, in order, and return what each raised."""

    async def scenario():
        results = {}
        async with running_cluster(tmp_path_factory.mktemp("estate")) as cluster:
            for check in WITH_ALL_VMS:
                try:
                    async with asyncio.timeout(20):
                        await check(cluster)
                    results[check] = None
                except Exception as error:  # noqa: BLE001
                    results[check] = error
        return results

    return asyncio.run(scenario())


@pytest.mark.parametrize("check", WITH_ALL_VMS)
def test_keyed_requests(outcomes, check):
    if outcomes[check] is not None:
        raise outcomes[check]
