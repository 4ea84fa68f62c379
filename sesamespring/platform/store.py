"""Client of the platform's store, or of a VM that serves a replica of it."""

import asyncio
import json
from urllib.parse import quote

import attrs
import h11
from returns.result import Failure, Success

from sesamespring.errors import ErrorKind, ExternalError
from sesamespring.fields import integer, parse_digits
from sesamespring.http.channel import open_channel
from sesamespring.http.headers import header, json_body
from sesamespring.platform.rows import (
    FEED_PATH,
    PARTITION,
    READ_PATH,
    UNKNOWN_ERA,
    HistoryLost,
    RowCondition,
    RowConflict,
    RowWrite,
    decode_page,
    decode_row,
    encode_transaction,
)

__all__ = ["StoreClient"]

CONNECT_TIMEOUT_S = 0.5
RESPONSE_BYTES_MAX = 16 * 1024 * 1024
PAGE_ROWS = 500
WRITE_PATH = "/-/rows-tx"
OBJECT_PATHS = {"PUT": "/-/blob-put/", "GET": "/-/blob-get/"}
OK = 200
NOT_FOUND = 404
GONE = 410
PRECONDITION_FAILED = 412
ERA_HEADER = b"store-era"
# What decoding a response raises if it is malformed.
DECODE_ERRORS = (
    AttributeError,
    KeyError,
    OverflowError,
    RecursionError,
    TypeError,
    ValueError,
)


@attrs.frozen
class _Reply:
    """A response: its status, its body in bytes and the era that it states."""

    status: int
    content: bytes
    era: int


class StoreClient:
    """Reads and writes tables and objects over one persistent connection.

    Calls are made one after the other. They raise ExternalError if no valid response
    came in time; a write may then have taken effect or may do so later.

    Args:
        address: Pair of IP and port.
        timeout_s: Maximum time for a response, in seconds.
        on_call: Function called with the kind of each call, or None. Kinds are "read",
            "feed" and "write".
    """

    def __init__(self, address, timeout_s, on_call=None):
        self._address = address
        self._timeout_s = timeout_s
        self._on_call = on_call or (lambda kind: None)
        self._channel = None
        self._lock = asyncio.Lock()

    async def read_table(self, table):
        """Return the TableChanges with all rows of a table, read page by page.

        They have the version of the first page, as a change between two pages may be
        missing from the rows.
        """
        first = page = await self.read_range(table, "")
        rows, refused = list(page.rows), list(page.refused)
        while page.more:
            if not page.rows:
                detail = "no row of a page can be read"
                raise ExternalError(ErrorKind.PLATFORM_AWAY, detail)
            page = await self.read_range(table, key_after(page.rows[-1].key))
            if page.era != first.era:
                detail = "store was restored while a table was read"
                raise ExternalError(ErrorKind.PLATFORM_AWAY, detail)
            rows += page.rows
            refused += page.refused
        return attrs.evolve(first, rows=tuple(rows), refused=tuple(refused), more=False)

    async def read_range(self, table, start, end=None, limit=PAGE_ROWS):
        """Return the TableChanges with the first rows of a range of keys.

        Args:
            table: Name of the table.
            start: First key of the range.
            end: Key after the range, or None for the rest of the table.
            limit: Maximum number of rows; the store has a limit of its own.
        """
        query = f"table={quote(table)}&part={PARTITION}&from={quote(start, safe='')}"
        if end is not None:
            query += f"&to={quote(end, safe='')}"
        query += f"&limit={min(limit, PAGE_ROWS)}"
        return _page(await self._call("read", "GET", f"{READ_PATH}?{query}"))

    async def poll_changes(self, table, after, wait_s):
        """Return the changes of a table after a version, by one long poll.

        Args:
            table: Name of the table.
            after: The version.
            wait_s: How long to wait for a change if there is none, in seconds.

        Returns:
            Success of TableChanges, or Failure of HistoryLost.
        """
        query = f"table={quote(table)}&after={after}&waitMs={int(wait_s * 1000)}"
        reply = await self._call("feed", "GET", f"{FEED_PATH}?{query}", wait_s=wait_s)
        if reply.status == GONE:
            return Failure(HistoryLost())
        return Success(_page(reply))

    async def write(self, table, key, content, expected_version):
        """Write a row if it has the expected version, as ``transact`` does."""
        expected = [RowCondition(key, expected_version)]
        return await self.transact(table, expected, [RowWrite(key, content)])

    async def transact(self, table, expected, writes):
        """Write rows of a table atomically if all conditions hold.

        Args:
            table: Name of the table.
            expected: The RowConditions that must hold.
            writes: The RowWrites.

        Returns:
            Success of the new version, or Failure of a RowConflict.
        """
        transaction = encode_transaction(table, expected, writes)
        reply = await self._call("write", "POST", WRITE_PATH, json_body(transaction))
        if reply.status not in (OK, PRECONDITION_FAILED):
            raise _unexpected(reply.status)
        try:
            body = json.loads(reply.content)
            if reply.status == PRECONDITION_FAILED:
                return Failure(RowConflict(tuple(map(decode_row, body["rows"]))))
            return Success(integer(body["ver"]))
        except DECODE_ERRORS as error:
            raise ExternalError(
                ErrorKind.PLATFORM_AWAY, "malformed response"
            ) from error

    async def put_object(self, key, content):
        """Store bytes as an object, replacing an existing object with the same key."""
        path = OBJECT_PATHS["PUT"] + quote(key, safe="")
        reply = await self._call("write", "PUT", path, content)
        if not OK <= reply.status < 300:
            raise _unexpected(reply.status)

    async def get_object(self, key):
        """Return the bytes of an object, or None if it does not exist."""
        path = OBJECT_PATHS["GET"] + quote(key, safe="")
        reply = await self._call("read", "GET", path)
        if reply.status == NOT_FOUND:
            return None
        if reply.status != OK:
            raise _unexpected(reply.status)
        return reply.content

    def close(self):
        """Close the connection."""
        if self._channel is not None:
            self._channel.abort()
            self._channel = None

    async def _call(self, kind, method, target, body=b"", wait_s=0.0):
        """Return the _Reply."""
        self._on_call(kind)
        try:
            async with self._lock, asyncio.timeout(self._timeout_s + wait_s):
                return await self._exchange(method, target, body)
        except (OSError, TimeoutError, h11.ProtocolError, ValueError) as error:
            self.close()
            # The text of a protocol error may have a part of the response.
            is_foreign = isinstance(error, h11.ProtocolError)
            cause = type(error).__name__ if is_foreign else repr(error)
            detail = f"{method} {target.partition('?')[0]}: {cause}"
            raise ExternalError(ErrorKind.PLATFORM_AWAY, detail) from error
        except asyncio.CancelledError:
            self.close()
            raise

    async def _exchange(self, method, target, body):
        channel = await self._get_channel()
        headers = [
            ("Host", f"{self._address[0]}:{self._address[1]}"),
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
        ]
        channel.send_head(method, target, headers)
        if body:
            channel.send_data(body)
        channel.send_end()
        head = await channel.receive_head()
        content = await channel.read_body(RESPONSE_BYTES_MAX)
        if content is None:
            raise ValueError("response is too large")
        if channel.reusable:
            channel.finish(0.0)
        else:
            self.close()
        return _Reply(head.status_code, content, _stated_era(head.headers))

    async def _get_channel(self):
        if self._channel is None or not self._channel.usable:
            self.close()
            self._channel = await open_channel(self._address, CONNECT_TIMEOUT_S)
        return self._channel


def key_after(key):
    """Return the smallest key that is greater than another one."""
    return key + "\0"


def _stated_era(headers):
    era = parse_digits(header(headers, ERA_HEADER, ""))
    return UNKNOWN_ERA if era is None else era


def _page(reply):
    if reply.status != OK:
        raise _unexpected(reply.status)
    try:
        return decode_page(json.loads(reply.content), reply.era)
    except DECODE_ERRORS as error:
        detail = f"malformed response: {error!r}"
        raise ExternalError(ErrorKind.PLATFORM_AWAY, detail) from error


def _unexpected(status):
    return ExternalError(ErrorKind.PLATFORM_AWAY, f"unexpected status {status}")
