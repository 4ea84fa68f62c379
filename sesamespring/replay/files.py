"""Read and write traces as JSON Lines, plain or compressed with gzip."""

import gzip
import json

import attrs
from returns.result import Failure, Success

from sesamespring.replay.event_records import (
    EVENTS,
)
from sesamespring.replay.figures import FIGURES
from sesamespring.replay.policies import POLICIES
from sesamespring.replay.records import (
    FORMAT,
    CallRecord,
    HeaderRecord,
    OutcomeRecord,
    Trace,
)

__all__ = ["TraceProblem", "dump_trace", "parse_trace", "read_trace", "write_trace"]

_EVENT_KINDS = {record_type: kind for kind, record_type in EVENTS.items()}


@attrs.frozen
class TraceProblem:
    """One mistake in a trace.

    Attributes:
        file: Path as the user gave it.
        line: Number of the line, from 1; 0 for the file as a whole.
        field: Path of the field in the JSON object; empty for the line as a whole.
        found: What the line holds.
        expected: What it should hold.
    """

    file: str
    line: int
    field: str
    found: str
    expected: str

    def __str__(self):
        return (
            f"{self.file}:{self.line}: {self.field or '-'}: "
            f"found {self.found}; expected {self.expected}"
        )


def read_trace(path):
    """Return a Success of the Trace of a file, or a Failure of its TraceProblems.

    Args:
        path: Path of the file; one that ends with ``.gz`` is decompressed.
    """
    opened = gzip.open if path.endswith(".gz") else open
    try:
        with opened(path, "rt", encoding="utf-8") as file:
            return parse_trace(path, file)
    except (OSError, EOFError, UnicodeDecodeError) as error:
        problem = TraceProblem(path, 0, "", str(error), "a readable trace")
        return Failure((problem,))


def parse_trace(path, lines):
    """Parse a trace from lines; the result is like that of ``read_trace``.

    Args:
        path: Path to name in the TraceProblems.
        lines: Iterable of strings.
    """
    return _Parser(path).parse(lines)


def write_trace(path, trace):
    """Write a Trace to a file; equal traces give the same bytes.

    Args:
        path: Path of the file; one that ends with ``.gz`` is compressed.
        trace: The Trace.
    """
    text = "".join(line + "\n" for line in dump_trace(trace))
    data = text.encode()
    if path.endswith(".gz"):
        data = gzip.compress(data, mtime=0)
    with open(path, "wb") as file:
        file.write(data)


def dump_trace(trace):
    """Yield the lines of a Trace, without line terminators."""
    yield _dump_record("header", trace.header)
    for outcome in trace.outcomes:
        yield _dump_record("outcome", outcome)
    for event in trace.events:
        yield _dump_record("event", event, kind=_EVENT_KINDS[type(event)])
    for call in trace.calls:
        yield _dump_record("request", call)


def _dump_record(record, value, **extra):
    fields = attrs.asdict(value, filter=lambda _, found: found is not None)
    return json.dumps({"record": record, **extra, **fields}, separators=(",", ":"))


class _Parser:
    """Parser of one trace, which collects all its mistakes."""

    def __init__(self, path):
        self._path = path
        self._problems = []
        self._line_number = 0
        self._names = {}
        self._header = None
        self._records = {"request": [], "event": [], "outcome": []}

    def parse(self, lines):
        """Return a Success of the Trace of the lines, or a Failure of its problems."""
        for number, line in enumerate(lines, start=1):
            self._line_number = number
            self._parse_line(line)
        if self._line_number == 0:
            self._add_problem("", "an empty file", "a header")
        if self._problems:
            return Failure(tuple(self._problems))
        records = self._records
        return Success(
            Trace(
                self._header,
                tuple(records["request"]),
                tuple(records["event"]),
                tuple(records["outcome"]),
            )
        )

    def _add_problem(self, field, found, expected):
        problem = TraceProblem(self._path, self._line_number, field, found, expected)
        self._problems.append(problem)

    def _parse_line(self, line):
        try:
            found = json.loads(line)
        except (ValueError, RecursionError):
            self._add_problem("", line.strip()[:40] or "an empty line", "a JSON object")
            return
        if not isinstance(found, dict):
            self._add_problem("", _excerpt(found), "a JSON object")
            return
        self._parse_object(found)

    def _parse_object(self, found):
        record = found.pop("record", None)
        if (record == "header") != (self._line_number == 1):
            self._add_problem(
                "record", _excerpt(record), "a header on line 1 and only there"
            )
        elif record == "header":
            self._parse_header(found)
        elif record == "request":
            self._add_record(record, self._build(CallRecord, found, ""))
        elif record == "event":
            self._parse_event(found)
        elif record == "outcome":
            self._parse_outcome(found)
        else:
            self._add_problem("record", _excerpt(record), "request, event or outcome")

    def _add_record(self, record, value):
        if value is not None:
            self._records[record].append(value)

    def _parse_header(self, found):
        for kind in ("service", "target", "vm"):
            items = found.get(f"{kind}s")
            items = items if isinstance(items, list) else []
            names = [item.get("name") for item in items if isinstance(item, dict)]
            self._names[kind] = {name for name in names if isinstance(name, str)}
            if len(self._names[kind]) != len(names):
                self._add_problem(
                    f"{kind}s", "a duplicate or missing name", "a unique name for each"
                )
        centres = found.get("data_centres")
        centres = centres if isinstance(centres, list) else []
        self._names["data_centre"] = {n for n in centres if isinstance(n, str)}
        self._header = self._build(HeaderRecord, found, "")
        if self._header is not None and self._header.format != FORMAT:
            self._add_problem("format", _excerpt(self._header.format), str(FORMAT))

    def _parse_event(self, found):
        kind = found.pop("kind", None)
        event_type = EVENTS.get(kind) if isinstance(kind, str) else None
        if event_type is None:
            self._add_problem("kind", _excerpt(kind), "one of " + ", ".join(EVENTS))
            return
        self._add_record("event", self._build(event_type, found, ""))

    def _parse_outcome(self, found):
        outcome = self._build(OutcomeRecord, found, "")
        if outcome is None:
            return
        if outcome.figure not in FIGURES:
            expected = "one of " + ", ".join(FIGURES)
            self._add_problem("figure", _excerpt(outcome.figure), expected)
        if (outcome.at_most is None) == (outcome.at_least is None):
            self._add_problem(
                "at_most", "both bounds or none", "either at_most or at_least"
            )
        policy = outcome.times.policy if outcome.times else None
        if policy is not None and policy not in POLICIES:
            expected = "one of " + ", ".join(POLICIES)
            self._add_problem("times.policy", _excerpt(policy), expected)
        self._add_record("outcome", outcome)

    def _build(self, record_type, found, prefix):
        """Return a record, or None after adding a problem for each mistake in it."""
        if not isinstance(found, dict):
            self._add_problem(prefix.rstrip("."), _excerpt(found), "a JSON object")
            return None
        before = len(self._problems)
        fields = attrs.fields_dict(record_type)
        for name in found:
            if name not in fields:
                expected = "one of " + ", ".join(fields)
                self._add_problem(prefix + name, "an unknown field", expected)
        values = {}
        for name, field in fields.items():
            if name in found:
                values[name] = self._parse_value(field, found[name], prefix + name)
            elif field.default is attrs.NOTHING:
                self._add_problem(prefix + name, "nothing", "a value")
        if len(self._problems) > before:
            return None
        return record_type(**values)

    def _parse_value(self, field, found, path):
        metadata = field.metadata
        if "record" in metadata:
            return self._build(metadata["record"], found, path + ".")
        if "items" in metadata or "texts" in metadata:
            return self._parse_list(metadata, found, path)
        try:
            value = metadata["check"](found)
        except ValueError as error:
            self._add_problem(path, _excerpt(found), str(error))
            return None
        names = self._names.get(metadata["refers_to"])
        if names is not None and value not in names:
            kind = metadata["refers_to"].replace("_", " ")
            self._add_problem(path, _excerpt(value), f"a {kind} of the header")
        return value

    def _parse_list(self, metadata, found, path):
        if not isinstance(found, list) or not found:
            self._add_problem(path, _excerpt(found), "a non-empty list")
            return ()
        if "items" in metadata:
            return tuple(
                self._build(metadata["items"], item, f"{path}[{index}].")
                for index, item in enumerate(found)
            )
        if not all(isinstance(item, str) and item for item in found):
            self._add_problem(path, _excerpt(found), "a list of non-empty strings")
        return found


def _excerpt(value):
    return json.dumps(value)[:60]
