"""Test the output and the exit codes of operators' commands."""

import pytest

from sesamespring.cli import main
from sesamespring.cli.audit_page import render_audit_page
from sesamespring.cli.capacity import CapacityStep, capacity_steps

DAY_S = 86_400.0
TARGET = {"state": "joining", "data_centre": "a", "slots": 2}
IN, OUT = {"state": "in"}, {"state": "out"}


def record(version, at_s, before, after, outcome="accepted", reason="why"):
    return {
        "outcome": outcome,
        "version": version,
        "at_s": at_s,
        "operator": "ana",
        "identity": f"id-{version}",
        "file": "f.ini",
        "reason": reason,
        "before": before,
        "after": after,
        "lines": ["because"] if outcome != "accepted" else [],
    }


def test_capacity_is_computed_backwards_from_the_current_resources():
    key = "data-centre/a"
    records = [
        record(1, 10.0, {key: None, "target/t": None}, {key: IN, "target/t": TARGET}),
        record(2, 20.0, {key: IN}, {key: OUT}),
        record(3, 25.0, {}, {key: IN}, outcome="conflict"),
    ]
    later_records = [record(4, 40.0, {key: OUT}, {key: IN})]
    declared = {key: IN, "target/t": TARGET}
    steps = capacity_steps(declared, records, later_records, 0.0, 30.0)
    assert steps == [
        CapacityStep(0.0, 0),
        CapacityStep(10.0, 2),
        CapacityStep(20.0, 0),
        CapacityStep(30.0, 0),
    ]
    page = render_audit_page(records, steps, 0.0, 30.0)
    assert "2 accepted, 1 refused." in page and "<polyline" in page


def test_page_escapes_text_from_operators():
    records = [record(1, 1.0, {}, {}, reason="<script>alert(1)</script>")]
    page = render_audit_page(records, [CapacityStep(0.0, 1)], 0.0, 2.0)
    assert "<script>" not in page and "&lt;script&gt;" in page


def entry(vm, version, digest, live=True):
    return {
        "vm": vm,
        "data_centre": "a",
        "version": version,
        "digest": digest,
        "since_s": 0.0,
        "platform_reachable": True,
        "silent_s": 0.1,
        "live": live,
    }


@pytest.mark.parametrize(
    ("entries", "arguments", "differing"),
    [
        ([entry("x", 3, "d")], [], 0),
        ([entry("x", 3, "d"), entry("y", 2, "c")], [], 1),
        ([entry("x", 3, "d"), entry("y", 3, "d", live=False)], [], 1),
        ([entry("x", 3, "d"), entry("z", 1, "a", live=False)], [], 0),
        ([entry("x", 3, "d")], ["--digest", "d"], 0),
        ([entry("x", 3, "d")], ["--version", "2"], 1),
    ],
)
def test_in_force_exits_with_1_if_a_vm_differs(
    entries, arguments, differing, monkeypatch, capsys
):
    result = {
        "declared": {"version": 3, "digest": "d"},
        "listed": ["x", "y"],
        "in_force": entries,
    }
    module = __import__("sesamespring.cli.in_force", fromlist=["query_entry"])
    monkeypatch.setattr(module, "query_entry", lambda entry, path: result)
    code = 0
    try:
        main(["in-force", "--entry", "127.0.0.1:1", *arguments])
    except SystemExit as error:
        code = error.code
    assert code == (1 if differing else 0)
    assert f"differing={differing}" in capsys.readouterr().out


def test_conflict_shows_the_other_change_and_exits_with_2(
    monkeypatch, capsys, tmp_path
):
    path = tmp_path / "r.ini"
    path.write_text("[data-centre a]\n", encoding="utf-8")
    other_change = record(7, 0.0, {"data-centre/a": IN}, {"data-centre/a": OUT})
    result = {
        "error": "conflict",
        "lines": ["version 7 ..."],
        "changes": [other_change],
    }
    module = __import__("sesamespring.cli.apply", fromlist=["call_entry"])
    monkeypatch.setattr(module, "call_entry", lambda *arguments: (409, result))
    with pytest.raises(SystemExit) as exit_info:
        main(["apply", str(path), "--entry", "127.0.0.1:1", "--reason", "r"])
    assert exit_info.value.code == 2
    output = capsys.readouterr().err
    assert "~ data-centre/a state: in -> out" in output
    assert "--base-version 7" in output


@pytest.mark.parametrize("command", ["check-settings", "check-resources"])
def test_bad_file_prints_one_line_per_mistake_and_exits_with_2(
    command, tmp_path, capsys
):
    path = tmp_path / "bad.ini"
    path.write_text("[service a]\ndeadline_ms = x\nslots = 1\n", encoding="utf-8")
    with pytest.raises(SystemExit) as exit_info:
        main([command, str(path)])
    assert exit_info.value.code == 2
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) >= 2
    assert all(line.startswith(f"{path}: [") and "expected" in line for line in lines)


def test_audit_queries_one_day_per_call_without_gaps(monkeypatch, capsys):
    spans = []

    def query(entry, path):
        since, until = path.removeprefix("changes?since=").split("&until=")
        spans.append((float(since), float(until)))
        return {"changes": [record(len(spans), float(since), {}, {"service/a": None})]}

    module = __import__("sesamespring.cli.audit", fromlist=["query_entry"])
    monkeypatch.setattr(module, "query_entry", query)
    span = ["--since", "1970-01-01T06:00", "--until", "1970-01-04"]
    main(["audit", "--entry", "127.0.0.1:1", *span])
    assert spans[0][0] == DAY_S / 4 and spans[-1][1] == 3 * DAY_S
    assert all(until - since <= DAY_S for since, until in spans)
    assert [until for _, until in spans[:-1]] == [since for since, _ in spans[1:]]
    assert capsys.readouterr().out.count("outcome=accepted") == 3
