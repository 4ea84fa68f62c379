"""Test that requests run only with a key in force, and as their own account."""

import asyncio

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from sesamespring.gateway.callers.account_series import AccountSeries
from sesamespring.gateway.event_log import EventLog
from sesamespring.gateway.members.datagrams import DatagramSocket
from sesamespring.gateway.metrics import render
from tests.gateway.cluster import (
    CALLERS_PORT,
    HOST,
    SERVICE,
    configuration,
    read_response,
    route,
)
from tests.gateway.test_faults import wait_until
from tests.gateway.test_forwarding import run_scenario

KEY = "k-3fd9a1c07be2"
OTHER_KEY = "k-77aa10be92cd"
ACCOUNTS = {
    "anna": {"apiKeys": [KEY], "priority": 1},
    "bert": {"apiKeys": [OTHER_KEY, "k-spare"], "ratePerS": 43, "burst": 43},
}
ROUTES = {
    "read": route("read"),
    "write": route("write", "unsafe"),
    "open": route("open", public=True),
}
NAMES = {"sesamespring-credential", "sesamespring-tenant"}


def with_key(key, **headers):
    return {"headers": {"Sesamespring-Credential": key, **headers}}


async def set_accounts(cluster, accounts, version=2):
    """Write a configuration and wait until it is in force at all VMs."""
    written = configuration(version, ROUTES, tenants=accounts)
    await cluster.store.put("op", "config", written)
    await wait_until(lambda: in_force(cluster, version))


async def in_force(cluster, version):
    states = [daemon._cluster_state for daemon in cluster.daemons]
    return all(s.configuration and s.configuration.version >= version for s in states)


def account_fields(cluster):
    """Return the list of the names of account that targets got, by request."""
    found = {}
    for target in cluster.targets:
        for run in target.received:
            fields = [pair for pair in run.fields if pair[0].replace("_", "-") in NAMES]
            found[run.request_id] = fields
    return found


def as_account(name):
    return [("sesamespring-tenant", name)]


@pytest.mark.parametrize("vms", [1, 3])
def test_requests_run_as_the_account_of_their_key(vms):
    async def scenario(cluster):
        await set_accounts(cluster, ACCOUNTS)
        forged = {"SESAMESPRING-tenant": "bert", "Sesamespring_Tenant": "bert"}
        for number, ip in enumerate(cluster.ips):
            calls = {
                f"a{number}": with_key(KEY, **forged),
                f"b{number}": with_key(OTHER_KEY),
                f"p{number}": {"path": "/open/1", **with_key(KEY)},
                f"q{number}": {"path": "/open/1", **with_key("wrong", **forged)},
                f"r{number}": {"path": "/open/1", "headers": forged},
                f"u{number}": {
                    "path": "/write/1",
                    "method": "POST",
                    "body": b"x" * 1_000_000,
                    **with_key(KEY, **forged),
                },
            }
            for name, options in calls.items():
                assert (await cluster.call(ip, name, **options)).status == 200
            for options in ({}, with_key("k-3fd9a1c07be"), with_key("")):
                refused = await cluster.call(ip, f"x{number}", **options)
                assert refused.status == 401
                assert refused.headers["content-length"] == "0"
        expected = {"a": "anna", "b": "bert", "p": "anna", "u": "anna"}
        for name, fields in account_fields(cluster).items():
            account = expected.get(name[0])
            assert fields == (as_account(account) if account else [])
        assert not [name for name in cluster.runs if name.startswith("x")]

    run_scenario(scenario, vms=vms)


def test_relayed_attempts_keep_the_account_and_lose_the_key():
    async def scenario(cluster):
        await set_accounts(cluster, ACCOUNTS)
        cluster.cut_from_targets(cluster.ips[0], "refused")
        await wait_until(lambda: served(cluster, "/read/1"), 6.0)
        before = len(cluster.runs)
        upload = {"path": "/write/1", "method": "POST", "body": b"x" * 1_000_000}
        forged = {"Sesamespring-Tenant": "bert", "Relay-Account": "bert"}
        public = {"path": "/open/1", "headers": forged}
        assert (await cluster.call(cluster.ips[0], "p", **public)).status == 200
        for options in ({}, upload):
            name = f"r{len(options)}"
            options = {**options, **with_key(KEY, **forged)}
            response = await cluster.call(cluster.ips[0], name, **options)
            assert response.status == 200
        assert len(cluster.runs) == before + 3
        fields = account_fields(cluster)
        assert fields["p"] == []
        assert fields["r0"] == fields["r3"] == as_account("anna")

    async def served(cluster, path):
        response = await cluster.call(cluster.ips[0], "w", path=path, **with_key(KEY))
        return response.status == 200

    run_scenario(scenario, vms=3)


def test_hedges_and_retries_keep_the_account():
    async def scenario(cluster):
        await set_accounts(cluster, ACCOUNTS)
        for number in range(30):
            await cluster.call(cluster.ips[0], f"w{number}", **with_key(KEY))
        cluster.targets[0].choose_fault = lambda received: "fail"
        cluster.targets[1].service_time_s = 0.3
        for number in range(6):
            await cluster.call(cluster.ips[0], f"h{number}", **with_key(KEY))
        runs = cluster.runs
        assert any(runs.count(name) > 1 for name in set(runs))
        everyone = [r for target in cluster.targets for r in target.received]
        for run in everyone:
            assert ("sesamespring-tenant", "anna") in run.fields
            assert "sesamespring-credential" not in dict(run.fields)

    run_scenario(scenario)


async def open_connection(cluster):
    return await asyncio.open_connection(cluster.ips[0], CALLERS_PORT)


def raw_request(name, path="/read/1", headers=(), body=b""):
    lines = [f"{'POST' if body else 'GET'} {path} HTTP/1.1".encode()]
    lines += [b"Host: " + HOST.encode(), b"Sesamespring-Request-Id: " + name.encode()]
    lines += [b"Content-Length: %d" % len(body)] if body else []
    return b"\r\n".join([*lines, *headers]) + b"\r\n\r\n" + body


def credential(key, name=b"Sesamespring-Credential"):
    return name + b": " + key.encode()


def test_accounts_compete_and_are_counted_only_while_there_are_some():
    async def scenario(cluster):
        (daemon,) = cluster.daemons
        shares = daemon._services.runner(SERVICE).scheduler.shares
        assert not shares.active
        await set_accounts(cluster, ACCOUNTS)
        assert shares.active
        await cluster.call(cluster.ips[0], "r", **with_key(KEY))
        await set_accounts(cluster, None, 3)
        assert not shares.active
        await cluster.call(cluster.ips[0], "s", **with_key(KEY))
        counted = daemon._counters.totals["account_requests"]
        assert counted == {(("account", "anna"), ("outcome", "served")): 1}

    run_scenario(scenario)


def test_only_the_largest_of_many_accounts_have_series():
    series = AccountSeries()
    rare = [f"a{number}" for number in range(5000)]
    labels = {series.label(name, 5000) for name in rare}
    for number in range(20_000):
        labels.add(series.label(f"large{number % 150}", 5000))
    assert len(labels) == 101
    assert sum(label.startswith("large") for label in labels) == 100


def test_refused_and_pipelined_requests_keep_their_connection():
    async def scenario(cluster):
        await set_accounts(cluster, ACCOUNTS)
        reader, writer = await open_connection(cluster)
        keys = [KEY, "wrong", OTHER_KEY, None, KEY]
        for number, key in enumerate(keys):
            headers = [credential(key)] if key else []
            writer.write(raw_request(f"r{number}", "/write/1", headers, b"body"))
        statuses = [(await read_response(reader)).status for _ in keys]
        assert statuses == [200, 401, 200, 401, 200]
        fields = account_fields(cluster)
        names = {"r0": "anna", "r2": "bert", "r4": "anna"}
        assert fields == {run: as_account(name) for run, name in names.items()}
        writer.close()

    run_scenario(scenario)


def test_without_a_configuration_no_request_gets_401():
    async def scenario(cluster):
        await cluster.kill_vm(cluster.ips[0])
        await cluster.store.delete("op", "config")
        cluster.start_vm(cluster.ips[0])
        await asyncio.sleep(1.5)
        response = await cluster.call(cluster.ips[0], "r", **with_key("wrong"))
        assert response.status == 503

    run_scenario(scenario)


async def statuses(cluster, key, count=4):
    """Return the statuses of some requests with a key at each VM."""
    calls = [
        cluster.call(ip, f"s{number}", **with_key(key))
        for ip in cluster.ips
        for number in range(count)
    ]
    return {response.status for response in await asyncio.gather(*calls)}


def test_keys_that_are_taken_away_or_moved_are_in_force_at_once():
    async def scenario(cluster):
        await set_accounts(cluster, ACCOUNTS)
        assert await statuses(cluster, "k-spare") == {200}
        reader, writer = await open_connection(cluster)
        moved = {"anna": {"apiKeys": [OTHER_KEY]}, "bert": {"apiKeys": ["k-spare"]}}
        await set_accounts(cluster, moved, 3)
        writer.write(raw_request("kept", headers=[credential(KEY)]))
        writer.write(raw_request("moved", headers=[credential(OTHER_KEY)]))
        answers = [(await read_response(reader)).status for _ in range(2)]
        assert answers == [401, 200]
        assert account_fields(cluster)["moved"] == as_account("anna")
        writer.close()
        await set_accounts(cluster, {"anna": {"apiKeys": []}}, 4)
        for key in (KEY, OTHER_KEY, "k-spare"):
            assert await statuses(cluster, key) == {401}
        await set_accounts(cluster, {}, 5)
        assert await statuses(cluster, KEY) == {401}
        shared = {"anna": {"apiKeys": [KEY]}, "bert": {"apiKeys": [KEY, "k-spare"]}}
        await set_accounts(cluster, shared, 6)
        assert await statuses(cluster, KEY) == {401}
        assert await statuses(cluster, "k-spare") == {200}
        await set_accounts(cluster, None, 7)
        assert await statuses(cluster, KEY) == {200}

    run_scenario(scenario, vms=3)


@pytest.mark.parametrize("decider", [0, 1])
def test_request_that_waits_for_a_slot_is_refused_once_its_key_has_gone(decider):
    async def scenario(cluster):
        await set_accounts(cluster, ACCOUNTS)
        target = cluster.targets[0]
        target.service_time_s = 1.0
        ip = cluster.ips[decider]
        options = {"timeout_ms": 6000}
        running = [
            asyncio.create_task(cluster.call(ip, "run", **options, **with_key(KEY)))
        ]
        await wait_until(lambda: has_arrived(target))
        waits = asyncio.create_task(cluster.call(ip, "w", **options, **with_key(KEY)))
        moved = cluster.call(ip, "m", **options, **with_key("k-spare"))
        running.append(asyncio.create_task(moved))
        await asyncio.sleep(0.1)
        left = {"anna": {"apiKeys": ["k-spare"]}}
        await set_accounts(cluster, left, 3)
        assert (await waits).status == 401
        assert [r.status for r in await asyncio.gather(*running)] == [200, 200]
        assert account_fields(cluster)["m"] == as_account("anna")
        assert "w" not in cluster.runs

    async def has_arrived(target):
        return target.arrivals

    run_scenario(scenario, vms=2, targets=1, slots=1)


def test_a_storm_of_versions_ends_with_the_keys_of_the_newest():
    async def scenario(cluster):
        many = [f"k-{number:05}" for number in range(3000)]
        for version in range(2, 30):
            keys = [*many, f"k-of-{version}", *([KEY] if version % 2 else [])]
            written = configuration(
                version, ROUTES, tenants={"anna": {"apiKeys": keys}}
            )
            await cluster.store.put("op", "config", written)
            await asyncio.sleep(0.01)
        await wait_until(lambda: in_force(cluster, 29))
        assert await statuses(cluster, KEY, 1) == {200}
        assert await statuses(cluster, "k-of-29", 1) == {200}
        assert await statuses(cluster, "k-of-28", 1) == {401}

    run_scenario(scenario, vms=2)


def test_keys_do_not_come_back_with_a_restored_store_or_an_older_copy():
    async def scenario(cluster):
        await set_accounts(cluster, ACCOUNTS)
        copy = cluster.store.copy()
        await set_accounts(cluster, {"bert": {"apiKeys": [OTHER_KEY]}}, 3)
        await cluster.store.restore(copy)
        for _ in range(8):
            assert await statuses(cluster, KEY, 1) == {401}
            await asyncio.sleep(0.25)
        # A VM that starts anew learns the keys in force from the others too.
        await set_accounts(cluster, {"bert": {"apiKeys": [OTHER_KEY]}}, 4)
        late = cluster.ips[2]
        await cluster.kill_vm(late)
        cluster.start_vm(late)
        await cluster.until_ready(late)
        assert await statuses(cluster, KEY, 1) == {401}
        assert await statuses(cluster, OTHER_KEY, 1) == {200}

    run_scenario(scenario, vms=3)


@pytest.fixture
def output(monkeypatch):
    """List of the bytes of all datagrams and log lines, also those over the limit."""
    received = DatagramSocket.datagram_received
    write = EventLog._write_limited
    found = []

    def record_datagram(sock, data, address):
        found.append(bytes(data))
        received(sock, data, address)

    def record_line(log, reserved, event, fields):
        found.append(f"{event} {fields}".encode())
        write(log, reserved, event, fields)

    monkeypatch.setattr(DatagramSocket, "datagram_received", record_datagram)
    monkeypatch.setattr(EventLog, "_write_limited", record_line)
    return found


def test_no_key_reaches_a_log_a_metric_or_a_datagram(output, capfd):
    keys = {name: f"k-secret-{name}-5d1f" for name in ("good", "wrong", "gone")}

    async def scenario(cluster):
        accounts = {"anna": {"apiKeys": [keys["good"], keys["gone"]]}}
        await set_accounts(cluster, accounts)
        cluster.cut_from_targets(cluster.ips[1], "refused")
        cluster.targets[0].choose_fault = lambda received: "reset"
        calls = [
            cluster.call(ip, f"r{number}", path=path, **with_key(key))
            for number in range(12)
            for ip in cluster.ips
            for key in keys.values()
            for path in ("/read/1", "/write/1", "/none/1")
        ]
        await asyncio.gather(*calls)
        reader, writer = await open_connection(cluster)
        broken = credential(keys["good"])
        chunked = b"Transfer-Encoding: chunked"
        writer.write(raw_request("t", "/write/1", [broken, chunked]))
        writer.write(b"3\r\nabc\r\n0\r\n" + broken.replace(b":", b"") + b"\r\n\r\n")
        await read_response(reader)
        malformed = {"anna": {"apiKeys": [keys["good"], f"{keys['gone']}\n"]}}
        await cluster.store.put(
            "op", "config", configuration(3, ROUTES, tenants=malformed)
        )
        await asyncio.sleep(0.5)
        assert await statuses(cluster, keys["good"], 1) <= {200, 502}
        await set_accounts(cluster, {"anna": {"apiKeys": [keys["good"]]}}, 4)
        assert await statuses(cluster, keys["gone"], 1) == {401}
        for daemon in cluster.daemons:
            output.append(render(daemon._counters))
            output.append(repr(vars(daemon._cluster_state)).encode())
            output.append(repr(daemon._cluster_state.operator.rows).encode())
        writer.close()

    run_scenario(scenario, vms=3)
    assert {line.split(b" ", 1)[0] for line in output} >= {
        b"request",
        b"attempt",
        b"attempt-failed",
        b"configuration-invalid",
        b"relayed",
    }
    output += map(str.encode, capfd.readouterr())
    assert not [line for line in output if b"k-secret" in line]


SPELLINGS = (
    "Sesamespring-Credential",
    "SESAMESPRING-CREDENTIAL",
    "sesamespring_credential",
)
NOT_KEYS = (
    st.sampled_from(["", " ", KEY[:-1], KEY + "x", KEY.upper(), f"{KEY} x", f"{KEY},x"])
    | st.text("abk-0 \t", max_size=20)
    | st.text(st.characters(min_codepoint=0xA1, max_codepoint=0xFF), max_size=12)
    | st.builds(lambda n: KEY * n, st.integers(2, 400))
)


@st.composite
def credentials(draw):
    """Lines of headers, of which at most one names a key, and that key or None."""
    wrong = draw(NOT_KEYS)
    name = draw(st.sampled_from(SPELLINGS[:2]))
    right = f"{name}: {draw(st.sampled_from(['', ' ', '   ']))}{KEY}  "
    lines, holder = draw(
        st.sampled_from(
            [
                ([right], "anna"),
                ([right, f"Connection: {name}"], "anna"),
                ([right, f"{SPELLINGS[2]}: {wrong}"], "anna"),
                ([], None),
                ([f"{name}: {wrong}"], None),
                ([right, f"{name}: {wrong}"], None),
                ([f"{name}: {wrong}", right], None),
                ([right, right], None),
                ([f"{SPELLINGS[2]}: {KEY}"], None),
                ([f"X-{name}: {KEY}"], None),
                ([f"{name}: {KEY[:4]}", f" {KEY[4:]}"], None),
                ([f"{name}: {KEY}", "\t" + "x"], None),
                ([f"Cookie: {name}={KEY}"], None),
            ]
        )
    )
    return [line.encode("latin-1") for line in lines], holder


def test_nothing_passes_without_exactly_one_key_in_force():
    async def scenario(cluster):
        await set_accounts(cluster, ACCOUNTS)
        runner = asyncio.get_running_loop()
        numbers = iter(range(10**6))

        @settings(
            max_examples=120, deadline=None, suppress_health_check=list(HealthCheck)
        )
        @given(
            credentials(),
            st.sampled_from(["Sesamespring-Tenant", "sesamespring_Tenant"]),
        )
        def search(drawn, spelling):
            lines, holder = drawn
            name = f"r{next(numbers)}"
            forged = [f"{spelling}: bert".encode()] * 2
            call = one_call(name, [*lines, *forged], holder)
            asyncio.run_coroutine_threadsafe(call, runner).result(10)

        async def one_call(name, lines, holder):
            reader, writer = await open_connection(cluster)
            writer.write(raw_request(name, headers=lines))
            response = await read_response(reader)
            writer.close()
            assert response.status == (200 if holder else 401), lines
            runs = account_fields(cluster)
            assert runs.get(name) == (as_account(holder) if holder else None)

        await asyncio.to_thread(search)

    run_scenario(scenario)
