"""Render the audit trail as an HTML page with a plot of declared capacity."""

import jinja2

from sesamespring.cli.formatting import difference_lines, format_time

__all__ = ["render_audit_page"]

PLOT_WIDTH = 900
PLOT_HEIGHT = 200
MARGIN = 40

_TEMPLATE = """<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Changes {{ since }} to {{ until }}
</title><style>
body { font-family: sans-serif; margin: 2em; }
table { border-collapse: collapse; }
td, th { border: 1px solid #999; padding: 0.3em; text-align: left;
         vertical-align: top; }
pre { margin: 0; }
.refused { background: #fdd; }
</style></head><body>
<h1>Changes from {{ since }} to {{ until }}</h1>
<p>{{ accepted }} accepted, {{ refused }} refused.</p>
<h2>Declared slots in service</h2>
<svg width="{{ width + 2 * margin }}" height="{{ height + 2 * margin }}" role="img">
<line x1="{{ margin }}" y1="{{ margin + height }}" x2="{{ margin + width }}"
 y2="{{ margin + height }}" stroke="#333"/>
<line x1="{{ margin }}" y1="{{ margin }}" x2="{{ margin }}"
 y2="{{ margin + height }}" stroke="#333"/>
<text x="2" y="{{ margin }}">{{ slots_max }}</text>
<text x="2" y="{{ margin + height }}">0</text>
<text x="{{ margin }}" y="{{ margin + height + 25 }}">{{ since }}</text>
<text x="{{ margin + width }}" y="{{ margin + height + 25 }}"
 text-anchor="end">{{ until }}</text>
<polyline fill="none" stroke="#06c" stroke-width="2" points="{{ points }}"/>
{% for mark in marks %}<line x1="{{ mark.x }}" x2="{{ mark.x }}" y1="{{ margin }}"
 y2="{{ margin + height }}" stroke="{{ mark.colour }}" stroke-dasharray="3">
<title>{{ mark.title }}</title></line>
{% endfor %}</svg>
<p>Dashed lines are changes: grey for accepted, red for refused ones.</p>
<h2>Changes</h2>
<table><tr><th>when</th><th>outcome</th><th>version</th><th>who</th><th>why</th>
<th>identity</th><th>what</th></tr>
{% for row in rows %}<tr class="{{ row.css }}"><td>{{ row.at }}</td>
<td>{{ row.outcome }}</td><td>{{ row.version }}</td><td>{{ row.operator }}</td>
<td>{{ row.reason }}</td><td>{{ row.identity }}</td>
<td><pre>{{ row.what }}</pre></td></tr>
{% endfor %}</table></body></html>"""


def render_audit_page(records, steps, since_s, until_s):
    """Return the HTML page of the changes in a span of time.

    Args:
        records: JSON values of the audit records, in chronological order.
        steps: The CapacitySteps of the span.
        since_s: Start of the span, wall clock time in seconds.
        until_s: End of the span, likewise.
    """
    environment = jinja2.Environment(autoescape=True)
    slots_max = max(1, *(step.slots for step in steps))
    accepted = sum(record["outcome"] == "accepted" for record in records)

    def x_of(at_s):
        fraction = (at_s - since_s) / max(1e-9, until_s - since_s)
        return round(MARGIN + PLOT_WIDTH * min(1.0, max(0.0, fraction)), 1)

    def y_of(slots):
        return round(MARGIN + PLOT_HEIGHT * (1 - slots / slots_max), 1)

    return environment.from_string(_TEMPLATE).render(
        since=format_time(since_s),
        until=format_time(until_s),
        accepted=accepted,
        refused=len(records) - accepted,
        slots_max=slots_max,
        points=" ".join(_points(steps, x_of, y_of)),
        marks=[_mark(record, x_of) for record in records],
        rows=[_row(record) for record in records],
        width=PLOT_WIDTH,
        height=PLOT_HEIGHT,
        margin=MARGIN,
    )


def _points(steps, x_of, y_of):
    """Yield the points of a line that stays at each value until the next step."""
    previous = None
    for step in steps:
        if previous is not None:
            yield f"{x_of(step.at_s)},{y_of(previous)}"
        yield f"{x_of(step.at_s)},{y_of(step.slots)}"
        previous = step.slots


def _mark(record, x_of):
    return {
        "x": x_of(record["at_s"]),
        "colour": "#999" if record["outcome"] == "accepted" else "#c00",
        "title": f"version {record['version']} by {record['operator']}",
    }


def _row(record):
    accepted = record["outcome"] == "accepted"
    differences = difference_lines(record["before"], record["after"])
    return {
        "at": format_time(record["at_s"]),
        "css": "" if accepted else "refused",
        "outcome": record["outcome"],
        "version": record["version"],
        "operator": record["operator"],
        "reason": record["reason"],
        "identity": record["identity"],
        "what": "\n".join(differences if accepted else record["lines"]),
    }
