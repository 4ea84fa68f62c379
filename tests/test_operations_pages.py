"""Test that the operations page lists each metric and each log event of the code."""

import ast
import re
from pathlib import Path

from prometheus_client.parser import text_string_to_metric_families

from sesamespring.entry.metrics import Metrics

ROOT = Path(__file__).resolve().parent.parent
PAGE = (ROOT / "docs/operations/metrics-and-logs.md").read_text(encoding="utf-8")
LEVELS = ("debug", "info", "warning", "error")


def events_in(tree):
    """Yield the event and level of each logger call in a module."""
    for node in ast.walk(tree):
        if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Attribute):
            continue
        receiver = node.func.value
        if not isinstance(receiver, ast.Name) or receiver.id != "logger":
            continue
        if node.func.attr in LEVELS:
            yield node.args[0].value, node.func.attr


def test_each_log_event_is_on_the_page_with_its_level():
    found = set()
    for path in (ROOT / "sesamespring").rglob("*.py"):
        found.update(events_in(ast.parse(path.read_text(encoding="utf-8"))))
    logs = PAGE.partition("## Logs")[2]
    listed = set(re.findall(r"^\| `([a-z-]+)` \| (\w+) \|", logs, re.MULTILINE))
    assert listed == found


def test_each_metric_is_on_the_page_with_its_type():
    text = Metrics().render().decode()
    found = {
        (family.name, family.type)
        for family in text_string_to_metric_families(text)
        if not family.name.endswith("_created")
    }
    metrics = PAGE.partition("## Logs")[0]
    listed = set(re.findall(r"^\| `(sesamespring_\w+)` \| (\w+) \|", metrics, re.M))
    assert listed == found
