"""Rows and transactions of the store, and their JSON encoding."""

import base64
import json
import math
from urllib.parse import parse_qs

import attrs
from returns.result import Failure, Success, safe

from sesamespring.fields import MalformedField, integer, number, parse_digits, text

__all__ = [
    "ABSENT_VERSION",
    "FEED_PATH",
    "READ_PATH",
    "UNKNOWN_ERA",
    "HistoryLost",
    "RowCondition",
    "RowConflict",
    "RowWrite",
    "RowsRequest",
    "StoredRow",
    "TableChanges",
    "decode_page",
    "decode_row",
    "encode_page",
    "encode_rows",
    "encode_transaction",
    "parse_rows_request",
]

ABSENT_VERSION = 0
AGE_MS_MAX = 24 * 3600 * 1000
# Stands for the age of an outage of the store where there was none.
NO_GAP = -1
# Era of a source that does not state one; less than all others.
UNKNOWN_ERA = -1
READ_PATH = "/-/rows-get"
FEED_PATH = "/-/rows-feed"
# All rows are in the unnamed partition, so that one transaction can write several rows.
PARTITION = ""


@attrs.frozen
class StoredRow:
    """A row of a table.

    Attributes:
        key: Key of the row.
        version: Version of the store at which it was last written.
        content: Content in bytes, or None if the row was removed.
    """

    key: str
    version: int
    # May have callers' keys.
    content: bytes | None = attrs.field(repr=False)


@attrs.frozen
class TableChanges:
    """Rows of a table, or changes to them, as of one version of the store.

    Attributes:
        rows: Tuple of StoredRow.
        version: Version of the store up to which the rows are complete.
        age_s: Time since they were known to be up to date, in seconds; 0 if they come
            from the store itself.
        more: Whether the requested range has more rows.
        era: Era of the store that the versions belong to, or UNKNOWN_ERA. It grows when
            the store is restored from a copy, which loses the latest writes; versions
            of different eras have no order.
        refused: Tuple of the errors of rows that were left out as malformed.
        gap_age_s: Seconds since the VM that sent the rows had reached the store again
            after an outage: infinite if there was none, None if they come from the
            store itself or from a build that does not state it.
    """

    rows: tuple
    version: int
    age_s: float = 0.0
    more: bool = False
    era: int = UNKNOWN_ERA
    refused: tuple = ()
    gap_age_s: float | None = None


@attrs.frozen
class RowCondition:
    """Condition that a row has a version; ABSENT_VERSION if it must not exist.

    Attributes:
        table: Name of its table, or None for that of the transaction.
    """

    key: str
    version: int
    table: str | None = None


@attrs.frozen
class RowWrite:
    """Write of bytes to a row; None removes the row.

    Attributes:
        table: Name of its table, or None for that of the transaction.
    """

    key: str
    content: bytes | None
    table: str | None = None


@attrs.frozen
class RowConflict:
    """Result of a transaction that was not applied, as rows have other versions.

    Attributes:
        rows: Tuple of the present StoredRows of the transaction's conditions, without
            those that do not exist.
    """

    rows: tuple


@attrs.frozen
class HistoryLost:
    """Result of a poll for changes that the store no longer keeps."""


@attrs.frozen
class RowsRequest:
    """Another VM's request for rows of this VM's replica of a table.

    Attributes:
        table: Name of the table.
        after: Version whose later changes are requested, or None for the whole table.
        wait_s: How long to wait for a change if there is none, in seconds.
    """

    table: str
    after: int | None
    wait_s: float


def decode_page(body, era=UNKNOWN_ERA):
    """Return the TableChanges in the JSON body of a response.

    Malformed rows are left out, so that the others hold.

    Args:
        body: The JSON value.
        era: Era that the response's header states. Another VM states it in the body
            instead.

    Raises:
        AttributeError, KeyError, TypeError, ValueError: The body is malformed.
    """
    decoded = [_decode_row_safely(item) for item in body["rows"]]
    return TableChanges(
        rows=tuple(row.unwrap() for row in decoded if isinstance(row, Success)),
        version=integer(body["ver"]),
        # Only VMs include an age, with the rows of their replicas.
        age_s=number(body.get("ageMs", 0), maximum=AGE_MS_MAX) / 1000,
        more=bool(body.get("hasMore")),
        era=integer(body.get("era", era), UNKNOWN_ERA),
        refused=tuple(row.failure() for row in decoded if isinstance(row, Failure)),
        gap_age_s=_decode_gap_age(body.get("gapMs")),
    )


def decode_row(item):
    """Return the StoredRow of its JSON value; raises the errors of ``decode_page``."""
    key, version = text(item["key"]), integer(item["ver"], ABSENT_VERSION + 1)
    if item.get("deleted"):
        return StoredRow(key, version, None)
    if not isinstance(item["value"], str):
        raise MalformedField(f"value of row {key} is no text")
    return StoredRow(key, version, base64.b64decode(item["value"]))


_decode_row_safely = safe(decode_row)


def encode_transaction(table, expected, writes):
    """Return the JSON value of a transaction.

    Args:
        table: Name of the table of items that name none.
        expected: The RowConditions that must hold.
        writes: The RowWrites.
    """

    def place(item):
        return {"table": item.table or table, "part": PARTITION, "key": item.key}

    return {
        "expectedRevision": [{**place(item), "ver": item.version} for item in expected],
        "upserts": [
            {**place(write), "value": _base64(write.content)}
            for write in writes
            if write.content is not None
        ],
        "remove": [place(write) for write in writes if write.content is None],
    }


def parse_rows_request(target):
    """Return the RowsRequest in a request target, or None if it is none."""
    path, _, query_text = target.partition("?")
    if path not in (READ_PATH, FEED_PATH):
        return None
    query = parse_qs(query_text)
    table = query.get("table", [""])[0]
    if path == READ_PATH:
        return RowsRequest(table, None, 0.0)
    after = parse_digits(query.get("after", [""])[0])
    wait_ms = parse_digits(query.get("waitMs", ["0"])[0])
    if after is None or wait_ms is None:
        return None
    return RowsRequest(table, after, wait_ms / 1000)


def encode_rows(rows):
    """Return StoredRows as a JSON list in bytes, for ``encode_page``."""
    return json.dumps(list(map(_encode_row, rows)), separators=(",", ":")).encode()


def encode_page(rows, version, age_s, era=UNKNOWN_ERA, gap_age_s=math.inf):
    """Return the JSON body of the response to a RowsRequest.

    Args:
        rows: The result of ``encode_rows``.
        version: Version of the store up to which the rows are complete.
        age_s: Time since they were known to be up to date, in seconds.
        era: Era of the store that the versions belong to.
        gap_age_s: See TableChanges.
    """
    gap_ms = NO_GAP if gap_age_s == math.inf else int(gap_age_s * 1000)
    rest = b'"ver":%d,"hasMore":false,"ageMs":%d,"era":%d,"gapMs":%d' % (
        version,
        int(age_s * 1000),
        era,
        gap_ms,
    )
    return b'{"rows":' + rows + b"," + rest + b"}"


def _decode_gap_age(gap_ms):
    if gap_ms is None:
        return None
    return math.inf if integer(gap_ms, NO_GAP) == NO_GAP else gap_ms / 1000


def _encode_row(row):
    if row.content is None:
        return {"key": row.key, "ver": row.version, "deleted": True}
    return {"key": row.key, "ver": row.version, "value": _base64(row.content)}


def _base64(content):
    return base64.b64encode(content).decode()
