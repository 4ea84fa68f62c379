"""Test the check of a configuration before it is sent."""

import json

import pytest

from sesamespring.cli import main
from tests.gateway.cluster import configuration, route

SECRET = "qf75rjvz48wuakn2ftim"
TENANT = {"apiKeys": [SECRET], "ratePerS": 40, "burst": 40}
SPLIT = [{"service": "reader", "weight": 1}, {"service": "writer", "weight": 0}]


def body(version=2, **changes):
    found = configuration(version, services=("reader", "writer"))
    found["routes"]["write"]["service"] = "writer"
    found["tenants"] = {"anna": TENANT}
    found.update(changes)
    return found


def routes(**changes):
    return {
        "read": route("read", **changes),
        "write": route("write", "unsafe", service="writer"),
    }


def run(tmp_path, capsys, content, *arguments):
    """Return the exit code and the standard output of the command."""
    path = tmp_path / "new.json"
    path.write_text(content if isinstance(content, str) else json.dumps(content))
    code = 0
    try:
        main(["check", str(path), *arguments])
    except SystemExit as error:
        code = error.code
    printed = capsys.readouterr()
    assert SECRET not in printed.out + printed.err
    return code, printed.out


def test_configuration_without_findings_is_ok(tmp_path, capsys):
    code, output = run(tmp_path, capsys, body())
    assert (code, output.endswith("ok\n")) == (0, True)


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({"routes": routes(targetLatencyMs=3000)}, "route read: goal"),
        ({"routes": {**routes(), "again": route("read")}}, "route read: prefix"),
        ({"routes": routes(prefix="/read")}, "route read: prefix"),
        ({"routes": routes(service=None, trafficSplit=SPLIT)}, "part writer"),
        ({"routes": {"read": route("read")}}, "service writer: found no route"),
        ({"tenants": {"anna": {**TENANT, "burst": 3}}}, "account anna: burst"),
        ({"tenants": {"anna": {**TENANT, "ratePerS": 0}}}, "account anna: burst"),
        ({"tenants": {"anna": {**TENANT, "apiKeys": []}}}, "account anna: keys"),
        ({"tenants": {"anna": TENANT, "bert": TENANT}}, "accounts: keys: found 1 held"),
        ({"limits": {**body()["limits"], "idleTimeoutMs": 10}}, "limits: head timeout"),
    ],
)
def test_each_finding_is_one_line_and_ends_with_1(tmp_path, capsys, changes, expected):
    content = body(**changes)
    for item in content["routes"].values():
        if item["service"] is None:
            del item["service"]
    code, output = run(tmp_path, capsys, content)
    assert code == 1
    (line,) = [line for line in output.splitlines() if line.startswith(expected)] or [
        line for line in output.splitlines() if expected in line
    ]
    assert "found" in line and "expected" in line


@pytest.mark.parametrize("content", ["{", "[]", '{"version": 1}'])
def test_malformed_configuration_is_one_finding(tmp_path, capsys, content):
    code, output = run(tmp_path, capsys, content, "--json")
    assert code == 1
    (finding,) = json.loads(output)["findings"]
    assert finding["expected"] == "a valid configuration"


def test_changes_from_the_version_in_force_are_listed_without_keys(tmp_path, capsys):
    before = tmp_path / "old.json"
    before.write_text(json.dumps(body(1)))
    after = body(
        2, routes=routes(timeoutMs=2500), tenants={"anna": {**TENANT, "ratePerS": 20}}
    )
    after["tenants"]["anna"]["apiKeys"] = ["another-key"]
    code, output = run(tmp_path, capsys, after, "--in-force", str(before), "--json")
    assert code == 0
    assert json.loads(output)["changes"] == [
        "route read: timeout_s: 2 -> 2.5",
        "account anna: rate_per_s: 40 -> 20",
        "account anna: keys: 1 new, 1 taken away",
    ]
    code, output = run(tmp_path, capsys, body(1), "--in-force", str(before))
    assert code == 1
    assert output.startswith("version: found 00000001")
