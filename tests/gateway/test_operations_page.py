"""Test that docs/OPERATIONS.md lists every event and metric of the daemon."""

import ast
import re
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
PAGE = (ROOT / "docs/OPERATIONS.md").read_text(encoding="utf-8")
LOG_CALLS = {"event", "routine", "_write", "write"}
COUNTER_CALLS = {"add": "_total", "set": ""}


def calls():
    """Yield name, first argument and function of each call with a string constant."""
    for path in (ROOT / "sesamespring/gateway").rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if not isinstance(node, ast.Call) or not node.args:
                continue
            function = node.func
            name = getattr(function, "attr", getattr(function, "id", ""))
            first = node.args[0]
            if isinstance(first, ast.Constant) and isinstance(first.value, str):
                yield name, first.value, function


def test_each_event_is_on_the_page():
    found = {text for name, text, _ in calls() if name in LOG_CALLS}
    # The name of this event is computed from the target's previous state.
    found |= {"target-joined", "target-changed", "target-leaving"}
    table = PAGE.partition("## Events")[2].partition("## Metrics")[0]
    listed = set()
    for line in table.splitlines():
        if line.startswith("| `"):
            listed |= set(re.findall(r"`([a-z-]+)`", line.split("|")[1]))
    assert found - {"log-lines-dropped"} == listed
    assert "log-lines-dropped" in PAGE


def test_each_metric_is_on_the_page():
    found = set()
    for name, text, function in calls():
        owner = ast.unparse(function)
        if name in COUNTER_CALLS and "counters" in owner:
            found.add(f"sesamespring_{text}{COUNTER_CALLS[name]}")
    metrics = PAGE.partition("## Metrics")[2].partition("## A refused")[0]
    listed = set(re.findall(r"`(sesamespring_\w+)`", metrics))
    assert listed == found | {"sesamespring_request_seconds"}
