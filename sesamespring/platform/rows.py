"""Say what the store's tables hold, and translate its rows."""

import base64
import json
from urllib.parse import parse_qs, urlsplit

import attrs

__all__ = [
    "ABSENT_VERSION",
    "FEED_PATH",
    "READ_PATH",
    "RowsRequest",
    "HistoryLost",
    "RowConflict",
    "RowCondition",
    "RowWrite",
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
READ_PATH = "/-/rows-get"
FEED_PATH = "/-/rows-feed"
# All our rows are in the part without a name, so that one call may write several.
PART = ""


@attrs.frozen
class StoredRow:
    """A row of a table.

    Attributes:
        key: Its key.
        version: The store's version at which it was last written.
        content: Its bytes, or None where it was removed.
    """

    key: str
    version: int
    content: bytes | None


@attrs.frozen
class TableChanges:
    """Rows of a table and the version up to which they are complete.

    Attributes:
        rows: Tuple of StoredRow.
        version: The store's version that they show.
        age_s: How long ago they were complete, in seconds; 0 from the store itself.
        more: Whether further rows of the question follow these.
    """

    rows: tuple
    version: int
    age_s: float = 0.0
    more: bool = False


@attrs.frozen
class RowCondition:
    """Demand that a row has a version; ABSENT_VERSION where it must not exist."""

    key: str
    version: int


@attrs.frozen
class RowWrite:
    """Set a row to some bytes; None removes it."""

    key: str
    content: bytes | None


@attrs.frozen
class RowConflict:
    """Say that a write did not take effect, as rows have other versions.

    Attributes:
        rows: Tuple of the StoredRows of the write's conditions as they are now; those
            that do not exist are left out.
    """

    rows: tuple


@attrs.frozen
class HistoryLost:
    """Say that the store no longer has the changes asked for."""


@attrs.frozen
class RowsRequest:
    """What another VM asks of this VM's copy of a table.

    Attributes:
        table: Name of the table.
        after: The version that it has, or None where it wants the whole table.
        wait_s: How long it waits for a change, in seconds.
    """

    table: str
    after: int | None
    wait_s: float


def decode_page(body):
    """Return the TableChanges of an answer's JSON body.

    Raises:
        KeyError, TypeError, ValueError: The body is malformed.
    """
    return TableChanges(
        rows=tuple(decode_row(item) for item in body["rows"]),
        version=int(body["ver"]),
        # Only VMs that serve their copies state an age.
        age_s=body.get("ageMs", 0) / 1000,
        more=bool(body.get("hasMore")),
    )


def decode_row(item):
    """Return the StoredRow of its JSON value; see ``decode_page`` for errors."""
    if item.get("deleted"):
        return StoredRow(item["key"], item["ver"], None)
    return StoredRow(item["key"], item["ver"], base64.b64decode(item["value"]))


def encode_transaction(table, expected, writes):
    """Return the JSON value that writes rows of a table under conditions.

    Args:
        table: Name of the table.
        expected: The RowVersions that must hold.
        writes: The RowWrites.
    """
    row = {"table": table, "part": PART}
    return {
        "expectedRevision": [
            {**row, "key": item.key, "ver": item.version} for item in expected
        ],
        "upserts": [
            {**row, "key": write.key, "value": _text(write.content)}
            for write in writes
            if write.content is not None
        ],
        "remove": [
            {**row, "key": write.key} for write in writes if write.content is None
        ],
    }


def parse_rows_request(target):
    """Decode a request target as a RowsRequest, or None for anything else."""
    parts = urlsplit(target)
    query = parse_qs(parts.query)
    table = query.get("table", [""])[0]
    if parts.path == READ_PATH:
        return RowsRequest(table, None, 0.0)
    if parts.path != FEED_PATH:
        return None
    try:
        after = int(query["after"][0])
        wait_s = int(query.get("waitMs", ["0"])[0]) / 1000
    except (KeyError, ValueError):
        return None
    return RowsRequest(table, after, wait_s)


def encode_rows(rows):
    """Return the JSON list of StoredRows, in bytes, for ``encode_page``."""
    return json.dumps(list(map(_encode_row, rows)), separators=(",", ":")).encode()


def encode_page(rows, version, age_s):
    """Return the JSON body that answers a RowsRequest.

    Args:
        rows: What ``encode_rows`` returned.
        version: The version up to which they are complete.
        age_s: How long ago they were complete, in seconds.
    """
    rest = b'"ver":%d,"hasMore":false,"ageMs":%d' % (version, int(age_s * 1000))
    return b'{"rows":' + rows + b"," + rest + b"}"


def _encode_row(row):
    if row.content is None:
        return {"key": row.key, "ver": row.version, "deleted": True}
    return {"key": row.key, "ver": row.version, "value": _text(row.content)}


def _text(content):
    return base64.b64encode(content).decode()
