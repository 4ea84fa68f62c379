"""Show the audit trail."""

import datetime
import enum
import json
import time

from sesamespring.cli.audit_page import render_audit_page
from sesamespring.cli.calls import query_entry
from sesamespring.cli.capacity import capacity_steps
from sesamespring.cli.formatting import difference_lines, format_time, key_values
from sesamespring.errors import UserError

__all__ = ["Format", "audit"]

DAY_S = 24 * 3600.0
SPAN_DAYS_MAX = 400
DEFAULT_SPAN_S = 7 * DAY_S


class Format(enum.Enum):
    """Output formats of the audit trail."""

    text = "text"
    json = "json"
    html = "html"


def audit(
    *,
    entry: str,
    since: str | None = None,
    until: str | None = None,
    format: Format = Format.text,
):
    """Show accepted and refused changes in chronological order.

    Args:
        entry: IP:PORT of any entry VM.
        since: Start of the span as a date or time in UTC, such as 2026-01-31 or
            2026-01-31T08:00; a week before its end by default.
        until: End of the span as a date or time in UTC; now by default.
        format: text, json (one line per change) or html (a page with a plot of the
            declared capacity).
    """
    until_s = time.time() + 1 if until is None else _parse_time("--until", until)
    since_s = until_s - DEFAULT_SPAN_S
    if since is not None:
        since_s = _parse_time("--since", since)
    if until_s - since_s > SPAN_DAYS_MAX * DAY_S:
        raise UserError(
            f"--since: expected at most {SPAN_DAYS_MAX} days before --until"
        )
    records = _records(entry, since_s, until_s)
    if format is Format.json:
        for record in records:
            print(json.dumps(record, sort_keys=True))
    elif format is Format.html:
        # Capacity is computed backwards from the current resources, so the changes
        # after the span are needed too.
        later_records = _records(entry, until_s, time.time() + 1)
        declared = query_entry(entry, "resources")["resources"]
        steps = capacity_steps(declared, records, later_records, since_s, until_s)
        print(render_audit_page(records, steps, since_s, until_s))
    else:
        for record in records:
            print("\n".join(_record_lines(record)))


def _records(entry, since_s, until_s):
    """Return the audit records of a span; a call returns those of a day at most."""
    records = []
    while since_s < until_s:
        end_s = min(until_s, since_s + DAY_S)
        result = query_entry(entry, f"changes?since={since_s!r}&until={end_s!r}")
        records.extend(result["changes"])
        since_s = end_s
    return records


def _parse_time(option, value):
    try:
        at = datetime.datetime.fromisoformat(value)
    except ValueError:
        expected = "a date or time such as 2026-01-31T08:00"
        raise UserError(f"{option}: found {value!r}; expected {expected}") from None
    if at.tzinfo is None:
        at = at.replace(tzinfo=datetime.UTC)
    return at.timestamp()


def _record_lines(record):
    fields = {
        "at": format_time(record["at_s"]),
        "outcome": record["outcome"],
        "version": record["version"],
        "operator": repr(record["operator"]),
        "identity": record["identity"],
        "file": record["file"],
        "reason": repr(record["reason"]),
    }
    lines = [key_values(fields)]
    if record["outcome"] == "accepted":
        differences = difference_lines(record["before"], record["after"])
        lines.extend(f"  {line}" for line in differences)
    lines.extend(f"  {line}" for line in record["lines"])
    return lines
