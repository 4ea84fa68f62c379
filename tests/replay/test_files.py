"""Test that the parser of traces reports every mistake, with line and field."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.pipeline import is_successful

from sesamespring.cli.main import main
from sesamespring.replay import parse_trace, read_trace, write_trace
from sesamespring.replay.event_records import (
    TargetSlows,
)
from sesamespring.replay.records import ComparisonRecord, OutcomeRecord
from tests.replay.support import small_trace

OUTCOME = OutcomeRecord(
    "read_p99_ms", at_most=1.1, to_ms=50.0, times=ComparisonRecord("one-queue")
)


def lines_of(tmp_path, trace=None):
    path = tmp_path / "trace.jsonl"
    write_trace(str(path), trace or small_trace(calls=2))
    return path.read_text().splitlines()


@pytest.mark.parametrize("suffix", ["jsonl", "jsonl.gz"])
def test_written_trace_reads_back_equal(tmp_path, suffix):
    trace = small_trace([TargetSlows(3.0, "t1", 2.0)], [OUTCOME], calls=3)
    path = str(tmp_path / f"trace.{suffix}")
    write_trace(path, trace)
    assert read_trace(path).unwrap() == trace


def test_reports_every_mistake_with_its_line_and_field(tmp_path):
    header, *calls = lines_of(tmp_path)
    call = json.loads(calls[0])
    lines = [
        header,
        json.dumps({**call, "service": "other", "priority": 3}),
        json.dumps({**call, "deadline_ms": "soon", "idempotent": 1}),
        json.dumps({"record": "event", "kind": "target-melts", "at_ms": 1}),
        json.dumps({"record": "event", "kind": "vm-dies", "at_ms": 1, "vm": "t1"}),
        json.dumps({"record": "outcome", "figure": "joy", "at_most": 1}),
        json.dumps({"record": "outcome", "figure": "late", "times": {"policy": "x"}}),
        json.dumps({"record": "note"}),
        "{",
        header,
        json.dumps({**call, "at_ms": 10**400, "bytes": -1}),
    ]
    found = [(p.line, p.field) for p in parse_trace("f", lines).failure()]
    assert found == [
        (2, "priority"),
        (2, "service"),
        (3, "idempotent"),
        (3, "deadline_ms"),
        (4, "kind"),
        (5, "vm"),
        (6, "figure"),
        (7, "at_most"),
        (7, "times.policy"),
        (8, "record"),
        (9, ""),
        (10, "record"),
        (11, "at_ms"),
        (11, "bytes"),
    ]


def test_command_exits_with_2_on_an_invalid_trace(tmp_path, capsys):
    path = tmp_path / "bad.jsonl"
    path.write_text("nothing\n")
    with pytest.raises(SystemExit) as exited:
        main(["replay", str(path)])
    assert exited.value.code == 2
    assert f"{path}:1: -: found nothing; expected a JSON object" in str(
        capsys.readouterr().err
    )


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=6,
)


@given(st.data())
def test_any_changed_value_is_parsed_or_reported(tmp_path_factory, data):
    trace = small_trace([TargetSlows(3.0, "t1", 2.0)], [OUTCOME], calls=1)
    lines = lines_of(tmp_path_factory.mktemp("trace"), trace)
    number = data.draw(st.integers(0, len(lines) - 1))
    fields = json.loads(lines[number])
    fields[data.draw(st.sampled_from(sorted(fields)))] = data.draw(JSON_VALUES)
    lines[number] = json.dumps(fields)
    result = parse_trace("f", lines)
    if not is_successful(result):
        assert {p.line for p in result.failure()} <= set(range(1, len(lines) + 1))
