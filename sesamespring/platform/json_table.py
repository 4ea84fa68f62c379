"""Keep JSON values as rows of one table of ours, and bytes as objects beside it."""

import json

import attrs
from returns.result import Failure, Success

from sesamespring.errors import ErrorKind, OutsideError
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
# How many conditions and writes the store takes in one call.
ENTRIES_MAX = 100
KEY_BYTES_MAX = 200


@attrs.frozen
class Row:
    """A row of the table.

    Attributes:
        key: Key of the row.
        version: Grows with each write of the row; ABSENT_VERSION where there is none.
        value: JSON value, or None where there is no row.
    """

    key: str
    version: int
    value: object


@attrs.frozen
class Condition:
    """Demand that a row has a version (ABSENT_VERSION: that there is no row)."""

    key: str
    version: int


@attrs.frozen
class Write:
    """Set a row to a JSON value; None removes the row."""

    key: str
    value: object


@attrs.frozen
class Conflict:
    """Say which rows kept a transaction from taking effect, as they are now."""

    rows: tuple


class JsonTable:
    """The table of ours, as seen by one process.

    Every method raises OutsideError where the store did not answer in time; after a
    transaction that means that it may or may not have taken effect.

    Args:
        store: The StoreClient; calls of one table follow each other.
    """

    def __init__(self, store):
        self._store = store

    async def read(self, key):
        """Return a Row; its version is ABSENT_VERSION where the table has none."""
        page = await self._store.read_range(TABLE, key, key_after(key), 1)
        return _row(page.rows[0]) if page.rows else Row(key, ABSENT_VERSION, None)

    async def scan(self, prefix, after="", limit=10_000):
        """Return the Rows whose keys start with ``prefix`` and are above ``after``."""
        start = max(prefix, key_after(after) if after else "")
        end = prefix[:-1] + chr(ord(prefix[-1]) + 1)
        found = []
        while len(found) < limit:
            page = await self._store.read_range(TABLE, start, end, limit - len(found))
            found += map(_row, page.rows)
            if not page.more or not page.rows:
                break
            start = key_after(page.rows[-1].key)
        return found

    async def transact(self, conditions, writes):
        """Write rows if all conditions hold, all or nothing.

        Args:
            conditions: The Conditions; with the writes at most ENTRIES_MAX.
            writes: The Writes.

        Returns:
            Success of the rows' new version, or Failure of a Conflict.
        """
        if len(conditions) + len(writes) > ENTRIES_MAX:
            raise ValueError(f"more than {ENTRIES_MAX} entries")
        result = await self._store.transact(
            TABLE,
            [RowCondition(_checked(c.key), c.version) for c in conditions],
            [RowWrite(_checked(w.key), _content(w.value)) for w in writes],
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
        """Store an object, replacing an earlier one of the same key."""
        await self._store.put_object(key, content)

    async def get_object(self, key):
        """Return an object's bytes, or None."""
        return await self._store.get_object(key)

    def close(self):
        """Drop the connection."""
        self._store.close()


def _row(stored):
    try:
        return Row(stored.key, stored.version, json.loads(stored.content))
    except ValueError as error:
        detail = f"row {stored.key} is no JSON"
        raise OutsideError(ErrorKind.PLATFORM_AWAY, detail) from error


def _content(value):
    return None if value is None else json_body(value)


def _checked(key):
    if len(key.encode()) > KEY_BYTES_MAX:
        raise ValueError(f"a key of more than {KEY_BYTES_MAX} bytes: {key}")
    return key
