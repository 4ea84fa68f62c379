"""Store the state of plain idempotency keys in the platform's table.

A plain key is one without the ticket of an entry VM, so any VM may receive it, and the
VMs coordinate through the key's row.
"""

import asyncio
import hashlib
import secrets
import time

import attrs
from returns.result import Failure, Success

from sesamespring.errors import ErrorKind, ExternalError
from sesamespring.logs import get_logger
from sesamespring.platform.json_table import ENTRIES_MAX, Condition, Write
from sesamespring.platform.rows import ABSENT_VERSION

__all__ = ["FINISHED", "FREE", "ROW_PREFIX", "SENDING", "ClaimedRow", "KeyRows"]

logger = get_logger(__name__)

ROW_PREFIX = "idempotency/"
ROW_LIFETIME_S = 1200.0
SENDING = "sending"
FINISHED = "finished"
FREE = "free"
UNREACHABLE_PAUSE_S = 1.0
UPDATES_MAX = 10_000
# Each row takes a condition and a write of the transaction.
BATCH_ROWS_MAX = ENTRIES_MAX // 2
UPDATE_TRIES = 5
UPDATE_PAUSE_S = 0.5
SWEEP_INTERVAL_S = 5.0
SWEEP_PAGE_ROWS = 500


@attrs.frozen
class ClaimedRow:
    """A row that gives this run of the daemon the right to send a key's request.

    Attributes:
        key: Key of the row.
        version: Version of the row.
        value: Value of the row.
    """

    key: str
    version: int
    value: dict


@attrs.frozen
class _Update:
    row: ClaimedRow
    state: str
    status: int | None


class KeyRows:
    """The rows of plain keys, and the task that updates them and removes expired ones.

    Args:
        table: The JsonTable.
        owner: Incarnation of this entry VM.
        is_sweeper: Function that returns whether this VM is currently responsible for
            removing expired rows.
    """

    def __init__(self, table, owner, is_sweeper):
        self._table = table
        self._owner = owner
        self._is_sweeper = is_sweeper
        self._updates = asyncio.Queue(UPDATES_MAX)
        self._updating = False
        self._retry_at_s = 0.0
        self._claiming = False

    @property
    def updates_done(self):
        """Whether no update of a row is queued or in progress."""
        return self._updates.empty() and not self._updating

    async def claim(self, identity, fingerprint, seen=None):
        """Make this run the owner of a key's row, if the row has not changed.

        After a failed call, claims fail at once for UNREACHABLE_PAUSE_S. Then one claim
        at a time is attempted until one succeeds.

        Args:
            identity: Service and key.
            fingerprint: Digest that distinguishes different requests with the same key.
            seen: The Row as last read, or None if no row is expected.

        Returns:
            Success of a ClaimedRow, or Failure of the current Row if it differs.

        Raises:
            ExternalError: The platform is unreachable; the request must not be sent.
        """
        if self._retry_at_s and (self._claiming or time.monotonic() < self._retry_at_s):
            raise ExternalError(ErrorKind.KEY_STORE_AWAY)
        self._claiming = True
        try:
            result = await self._write_claim(identity, fingerprint, seen)
        except ExternalError:
            self._retry_at_s = time.monotonic() + UNREACHABLE_PAUSE_S
            raise
        finally:
            self._claiming = False
        self._retry_at_s = 0.0
        return result

    async def _write_claim(self, identity, fingerprint, seen):
        key = row_key(identity)
        version = seen.version if seen else ABSENT_VERSION
        value = {
            "state": SENDING,
            "owner": self._owner,
            "fingerprint": fingerprint,
            "attempt": secrets.token_hex(8),
            "at_ms": int(time.time() * 1000),
        }
        try:
            result = await self._table.transact(
                [Condition(key, version)], [Write(key, value)]
            )
        except ExternalError as error:
            return await self._read_back(key, version, value, error)
        if isinstance(result, Failure):
            return Failure(result.failure().rows[0])
        return Success(ClaimedRow(key, result.unwrap(), value))

    async def _read_back(self, key, version, value, error):
        """Determine whether a write took effect whose response was lost."""
        row = await self._table.read(key)
        if row.value is not None and row.value["attempt"] == value["attempt"]:
            return Success(ClaimedRow(key, row.version, value))
        if row.version == version:
            raise error
        return Failure(row)

    def finish(self, row, status):
        """Queue an update of the row: the request got a response.

        Args:
            row: The ClaimedRow.
            status: HTTP status of the response.
        """
        self._enqueue(_Update(row, FINISHED, status))

    def release(self, row):
        """Queue an update of the row: the request was not executed.

        Args:
            row: The ClaimedRow.
        """
        self._enqueue(_Update(row, FREE, None))

    def _enqueue(self, update):
        try:
            self._updates.put_nowait(update)
        except asyncio.QueueFull:
            logger.warning("key-row-update-dropped", row=update.row.key)

    async def run(self):
        """Update rows and remove expired ones until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._run_updates())
            group.create_task(self._run_sweeps())

    async def _run_updates(self):
        while True:
            update = await self._updates.get()
            self._updating = True
            batch = {update.row.key: update}
            while len(batch) < BATCH_ROWS_MAX and not self._updates.empty():
                update = self._updates.get_nowait()
                batch[update.row.key] = update
            await self._write_batch(batch)
            self._updating = False

    async def _write_batch(self, batch):
        for _ in range(UPDATE_TRIES):
            try:
                if await self._try_write_batch(batch):
                    return
            except ExternalError:
                await asyncio.sleep(UPDATE_PAUSE_S)
        logger.warning("key-row-updates-lost", rows=len(batch))

    async def _try_write_batch(self, batch):
        """Write the updates of a batch in one transaction.

        On a conflict, the rows that others have changed are removed from the batch.

        Returns:
            Whether no update of the batch is left to write.
        """
        updates = batch.values()
        result = await self._table.transact(
            [Condition(update.row.key, update.row.version) for update in updates],
            [Write(update.row.key, _updated_value(update)) for update in updates],
        )
        if isinstance(result, Success):
            return True
        for row in result.failure().rows:
            del batch[row.key]
        return not batch

    async def _run_sweeps(self):
        after = ""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            if not self._is_sweeper():
                continue
            try:
                after = await self._sweep_page(after)
            except ExternalError as error:
                logger.warning("key-sweep-failed", error=str(error))

    async def _sweep_page(self, after):
        """Remove expired rows of one page of the table.

        Args:
            after: Key after which the page starts.

        Returns:
            The key after which the next page starts; empty after the last page.
        """
        rows = await self._table.scan(ROW_PREFIX, after, SWEEP_PAGE_ROWS)
        oldest_ms = (time.time() - ROW_LIFETIME_S) * 1000
        expired = [row for row in rows if row.value["at_ms"] < oldest_ms]
        expired = expired[:BATCH_ROWS_MAX]
        if expired:
            await self._table.transact(
                [Condition(row.key, row.version) for row in expired],
                [Write(row.key, None) for row in expired],
            )
            logger.info("keys-expired", rows=len(expired))
        return rows[-1].key if len(rows) == SWEEP_PAGE_ROWS else ""


def row_key(identity):
    """Return the row key for a request's identity.

    The identity is hashed, as it may be longer than a row key.
    """
    return ROW_PREFIX + hashlib.sha256(identity.encode()).hexdigest()


def _updated_value(update):
    value = {**update.row.value, "state": update.state}
    if update.status is not None:
        value["status"] = update.status
    return value
