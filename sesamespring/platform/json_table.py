"""Store JSON values in rows of this project's table, and bytes in separate objects."""

import json

import attrs
from returns.result import Failure, Success

from sesamespring.errors import ErrorKind, ExternalError
from sesamespring.http.headers import json_body
from sesamespring.platform.rows import ABSENT_VERSION, RowCondition, RowWrite
from sesamespring.platform.store import key_after

__all__ = [
    "ENTRIES_MAX",
    "Condition",
    "Conflict",
    "JsonTable",
    "Row",
    "Write",
]

TABLE = "sesamespring"
# Maximum number of conditions and writes in one transaction of the store.
ENTRIES_MAX = 100
KEY_BYTES_MAX = 200


@attrs.frozen
class Row:
    """A row of the table.

    Attributes:
        key: Key of the row.
        version: Increases with each write; ABSENT_VERSION if the row does not exist.
        value: JSON value, or None if the row does not exist.
    """

    key: str
    version: int
    value: object


@attrs.frozen
class Condition:
    """Condition that a row has a version; ABSENT_VERSION if it must not exist."""

    key: str
    version: int


@attrs.frozen
class Write:
    """Write of a JSON value to a row; None removes the row."""

    key: str
    value: object


@attrs.frozen
class Conflict:
    """Result of a transaction whose conditions did not hold.

    Attributes:
        rows: Tuple of the present Rows that violate a condition.
    """

    rows: tuple


class JsonTable:
    """Client of this project's table in the store.

    All methods that call the store raise ExternalError if no valid response came in
    time. A transaction may then have taken effect or not.

    Args:
        store: The StoreClient, which makes one call at a time.
    """

    def __init__(self, store):
        self._store = store

    async def read(self, key):
        """Return the Row of a key, with ABSENT_VERSION if it does not exist."""
        page = await self._store.read_range(TABLE, key, key_after(key), 1)
        return _row(page.rows[0]) if page.rows else Row(key, ABSENT_VERSION, None)

    async def scan(self, prefix, after="", limit=10_000):
        """Return up to ``limit`` Rows with a prefix and keys greater than ``after``."""
        start = max(prefix, key_after(after) if after else "")
        end = prefix[:-1] + chr(ord(prefix[-1]) + 1)
        rows = []
        while len(rows) < limit:
            page = await self._store.read_range(TABLE, start, end, limit - len(rows))
            rows += map(_row, page.rows)
            if not page.more or not page.rows:
                break
            start = key_after(page.rows[-1].key)
        return rows

    async def transact(self, conditions, writes):
        """Write rows atomically if all conditions hold.

        Args:
            conditions: The Conditions.
            writes: The Writes; with the conditions at most ENTRIES_MAX.

        Returns:
            Success of the new version of the rows, or Failure of a Conflict.

        Raises:
            ValueError: There are too many entries, or a key is too long.
        """
        if len(conditions) + len(writes) > ENTRIES_MAX:
            raise ValueError(f"transaction has more than {ENTRIES_MAX} entries")
        result = await self._store.transact(
            TABLE,
            [RowCondition(_checked_key(c.key), c.version) for c in conditions],
            [RowWrite(_checked_key(w.key), _content(w.value)) for w in writes],
        )
        if isinstance(result, Success):
            return result
        present = {row.key: _row(row) for row in result.failure().rows}
        changed = []
        for condition in conditions:
            row = present.get(condition.key, Row(condition.key, ABSENT_VERSION, None))
            if row.version != condition.version:
                changed.append(row)
        return Failure(Conflict(tuple(changed)))

    async def put_object(self, key, content):
        """Store bytes as an object, replacing an existing object with the same key."""
        await self._store.put_object(key, content)

    async def get_object(self, key):
        """Return the bytes of an object, or None if it does not exist."""
        return await self._store.get_object(key)

    def close(self):
        """Close the connection."""
        self._store.close()


def _row(stored):
    try:
        return Row(stored.key, stored.version, json.loads(stored.content))
    except ValueError as error:
        detail = f"row {stored.key} is not JSON"
        raise ExternalError(ErrorKind.PLATFORM_AWAY, detail) from error


def _content(value):
    return None if value is None else json_body(value)


def _checked_key(key):
    if len(key.encode()) > KEY_BYTES_MAX:
        raise ValueError(f"key is longer than {KEY_BYTES_MAX} bytes: {key}")
    return key
