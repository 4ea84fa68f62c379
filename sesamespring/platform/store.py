"""Call the platform's store, or a VM that serves what it has read from it."""

import asyncio
import base64
import json
from urllib.parse import parse_qs, quote, urlsplit

import attrs
import h11
from returns.result import Failure, Success

from sesamespring.errors import ErrorKind, OutsideError
from sesamespring.http import json_body
from sesamespring.http.channel import open_channel

__all__ = [
    "ABSENT_VERSION",
    "FeedQuestion",
    "HistoryLost",
    "RowConflict",
    "RowVersion",
    "StoreClient",
    "StoredRow",
    "TableChanges",
    "encode_changes",
    "read_feed_question",
]

ABSENT_VERSION = 0
CONNECT_TIMEOUT_S = 0.5
ANSWER_BYTES_MAX = 4 * 1024 * 1024
PAGE_ROWS = 500
READ_PATH = "/-/rows-get"
FEED_PATH = "/-/rows-feed"
WRITE_PATH = "/-/rows-tx"
OK = 200
HISTORY_GONE = 410
CONDITION_FAILED = 412


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
    """

    rows: tuple
    version: int
    age_s: float = 0.0


@attrs.frozen
class RowVersion:
    """Demand that a row has a version; ABSENT_VERSION where it must not exist."""

    key: str
    version: int


@attrs.frozen
class RowConflict:
    """Say that a write did not take effect, as rows have other versions.

    Attributes:
        rows: Tuple of StoredRow as they are now.
    """

    rows: tuple


@attrs.frozen
class HistoryLost:
    """Say that the store no longer has the changes asked for."""


@attrs.frozen
class FeedQuestion:
    """What another VM asks of this VM's copy of a table.

    Attributes:
        table: Name of the table.
        after: The version that it has, or None where it wants the whole table.
        wait_s: How long it waits for a change, in seconds.
    """

    table: str
    after: int | None
    wait_s: float


class StoreClient:
    """Reads and writes tables over one connection that is kept open.

    Methods raise OutsideError where no answer came in time; a write may then have
    taken effect or may do so later.

    Args:
        address: Pair of IP and port.
        timeout_s: Longest time for an answer, in seconds.
        on_call: Function called with the kind of each call, or None.
    """

    def __init__(self, address, timeout_s, on_call=None):
        self._address = address
        self._timeout_s = timeout_s
        self._on_call = on_call or (lambda kind: None)
        self._channel = None
        self._lock = asyncio.Lock()

    async def read_table(self, table):
        """Return the TableChanges with all rows of a table."""
        rows = []
        start = ""
        while True:
            query = f"table={quote(table)}&part=&from={quote(start)}&limit={PAGE_ROWS}"
            status, body = await self._call("read", "GET", f"{READ_PATH}?{query}")
            page = self._decode(status, body)
            rows += page.rows
            if not body.get("hasMore") or not page.rows:
                return TableChanges(tuple(rows), page.version, page.age_s)
            # The smallest key after the last one.
            start = page.rows[-1].key + "\0"

    async def follow(self, table, after, wait_s):
        """Return what changed in a table after a version.

        Args:
            table: Name of the table.
            after: The version.
            wait_s: How long to wait for a change, in seconds.

        Returns:
            Success of TableChanges, or Failure of HistoryLost.
        """
        query = f"table={quote(table)}&after={after}&waitMs={int(wait_s * 1000)}"
        status, body = await self._call(
            "feed", "GET", f"{FEED_PATH}?{query}", wait_s=wait_s
        )
        if status == HISTORY_GONE:
            return Failure(HistoryLost())
        return Success(self._decode(status, body))

    async def write(self, table, key, content, expected_version):
        """Write a row if it has the expected version.

        Returns:
            Success of the new version, or Failure of a RowConflict.
        """
        row = {"table": table, "part": "", "key": key}
        value = base64.b64encode(content).decode()
        transaction = {
            "expectedRevision": [{**row, "ver": expected_version}],
            "upserts": [{**row, "value": value}],
            "remove": [],
        }
        status, body = await self._call(
            "write", "POST", WRITE_PATH, json_body(transaction)
        )
        if status == CONDITION_FAILED:
            return Failure(RowConflict(tuple(map(_decode_row, body["rows"]))))
        self._check(status)
        return Success(body["ver"])

    def close(self):
        """Drop the connection."""
        if self._channel is not None:
            self._channel.abort()
            self._channel = None

    async def _call(self, kind, method, target, body=b"", wait_s=0.0):
        """Return the pair of status and decoded JSON body."""
        self._on_call(kind)
        try:
            async with self._lock, asyncio.timeout(self._timeout_s + wait_s):
                return await self._exchange(method, target, body)
        except (OSError, TimeoutError, h11.ProtocolError, ValueError) as error:
            self.close()
            detail = f"{method} {target.partition('?')[0]}: {error!r}"
            raise OutsideError(ErrorKind.PLATFORM_AWAY, detail) from error
        except asyncio.CancelledError:
            self.close()
            raise

    async def _exchange(self, method, target, body):
        channel = await self._connected()
        headers = [
            ("Host", f"{self._address[0]}:{self._address[1]}"),
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
        ]
        channel.start(method, target, headers)
        if body:
            channel.send_data(body)
        channel.send_end()
        head = await channel.head()
        content = await channel.body(ANSWER_BYTES_MAX)
        if content is None:
            raise ValueError("the answer is too large")
        if channel.whole:
            channel.finish(0.0)
        else:
            self.close()
        decoded = json.loads(content) if content else {}
        return head.status_code, decoded if isinstance(decoded, dict) else {}

    async def _connected(self):
        if self._channel is None or not self._channel.usable:
            self.close()
            self._channel = await open_channel(self._address, CONNECT_TIMEOUT_S)
        return self._channel

    def _decode(self, status, body):
        self._check(status)
        try:
            rows = tuple(_decode_row(item) for item in body["rows"])
            # Only VMs that serve their copies state an age.
            return TableChanges(rows, int(body["ver"]), body.get("ageMs", 0) / 1000)
        except (KeyError, TypeError, ValueError) as error:
            raise OutsideError(ErrorKind.PLATFORM_AWAY, "malformed rows") from error

    def _check(self, status):
        if status != OK:
            detail = f"answered {status}"
            raise OutsideError(ErrorKind.PLATFORM_AWAY, detail)


def _decode_row(item):
    if item.get("deleted"):
        return StoredRow(item["key"], item["ver"], None)
    return StoredRow(item["key"], item["ver"], base64.b64decode(item["value"]))


def read_feed_question(target):
    """Decode a request target as a FeedQuestion, or None for anything else."""
    parts = urlsplit(target)
    query = parse_qs(parts.query)
    table = query.get("table", [""])[0]
    if parts.path == READ_PATH:
        return FeedQuestion(table, None, 0.0)
    if parts.path != FEED_PATH:
        return None
    try:
        after = int(query["after"][0])
        wait_s = int(query.get("waitMs", ["0"])[0]) / 1000
    except (KeyError, ValueError):
        return None
    return FeedQuestion(table, after, wait_s)


def encode_changes(changes):
    """Return the JSON body that answers a FeedQuestion with TableChanges."""
    rows = [_encode_row(row) for row in changes.rows]
    age_ms = int(changes.age_s * 1000)
    return json_body(
        {"rows": rows, "ver": changes.version, "hasMore": False, "ageMs": age_ms}
    )


def _encode_row(row):
    if row.content is None:
        return {"key": row.key, "ver": row.version, "deleted": True}
    value = base64.b64encode(row.content).decode()
    return {"key": row.key, "ver": row.version, "value": value}
