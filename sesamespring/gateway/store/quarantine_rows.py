"""Keep the quarantine in the store, for the case that all VMs start anew at once."""

import asyncio
import json
import time

from returns.result import Failure, safe

from sesamespring.errors import ExternalError
from sesamespring.fields import MalformedField, integer, text
from sesamespring.platform.rows import RowWrite
from sesamespring.routing.quarantine import MEMORY_S, CrashRecord

__all__ = ["QUARANTINE_TABLE", "QuarantineRows", "decode_record", "encode_record"]

QUARANTINE_TABLE = "quarantine"
RETRY_DELAY_S = 1.0
# Far more than a record can count, and far less than a datagram's field can hold.
COUNT_MAX = 1_000_000
CRASHED_MAX = 1_000


class QuarantineRows:
    """The rows of quarantined contents: read once at the start, written on changes.

    The VM that changes a record writes its row. Rows are written without a condition:
    what one of two VMs that write at the same time lacks, it soon hears from the other.

    Args:
        store: The StoreClient.
        quarantine: The RequestQuarantine.
        log: The EventLog.
    """

    def __init__(self, store, quarantine, log):
        self._store = store
        self._quarantine = quarantine
        self._log = log
        self._with_rows = set()
        self._unwritten = set()
        self._must_write = asyncio.Event()

    def record_changed(self, record, own):
        """Note that a CrashRecord has changed.

        Args:
            record: The CrashRecord.
            own: Whether this VM has changed it, and so has to write its row.
        """
        had_row = record.content in self._with_rows
        quarantined = self._quarantine.is_quarantined(record.content)
        if quarantined:
            self._with_rows.add(record.content)
        else:
            self._with_rows.discard(record.content)
        if own and (had_row or quarantined):
            self._unwritten.add(record.content)
            self._must_write.set()

    async def run(self):
        """Read the rows, then write those that change, until cancelled."""
        await self._retry(self._read)
        while True:
            await self._must_write.wait()
            self._must_write.clear()
            await self._retry(self._write)

    async def _retry(self, call):
        while True:
            try:
                await call()
                return
            except ExternalError as error:
                self._log.event("quarantine-rows-failed", error=error)
            await asyncio.sleep(RETRY_DELAY_S)

    async def _read(self):
        table = await self._store.read_table(QUARANTINE_TABLE)
        for row in table.rows:
            self._take_over(row)

    def _take_over(self, row):
        """Merge the record of a row, or remove a row that is malformed or expired."""
        decoded = decode_record(row.key, row.content)
        if isinstance(decoded, Failure):
            reason = decoded.failure()
            self._log.event(
                "row-refused", table=QUARANTINE_TABLE, key=row.key, reason=reason
            )
        elif decoded.unwrap() is not None:
            self._quarantine.record_stored(decoded.unwrap())
            return
        self._unwritten.add(row.key)
        self._must_write.set()

    async def _write(self):
        while self._unwritten:
            content = next(iter(self._unwritten))
            record = self._quarantine.record(content)
            kept = self._quarantine.is_quarantined(content)
            row = RowWrite(content, encode_record(record) if kept else None)
            await self._store.transact(QUARANTINE_TABLE, [], [row])
            if self._quarantine.record(content) == record:
                self._unwritten.discard(content)


def encode_record(record):
    """Return the content of a CrashRecord's row, in bytes."""
    age_s = time.monotonic() - record.changed_s
    row = {
        "clearances": record.clearances,
        "crashed": sorted(record.crashed),
        "trials": record.trials,
        "reservations": record.reservations,
        # The clock of this process means nothing to others.
        "changed_ms": int((time.time() - age_s) * 1000),
    }
    return json.dumps(row).encode()


@safe
def decode_record(content, raw):
    """Decode the row of a CrashRecord.

    Args:
        content: Id of the content, the key of the row.
        raw: Content of the row, in bytes.

    Returns:
        Success of the CrashRecord, or of None if it has expired; or Failure of the
        error that the row is refused for.
    """
    row = json.loads(raw)
    age_s = max(0.0, time.time() - integer(row["changed_ms"]) / 1000)
    if len(row["crashed"]) > CRASHED_MAX:
        raise MalformedField("crashed is too long")
    record = CrashRecord(
        content=text(content),
        clearances=integer(row["clearances"], maximum=COUNT_MAX),
        crashed=frozenset((text(name), integer(born)) for name, born in row["crashed"]),
        trials=integer(row["trials"], maximum=COUNT_MAX),
        reservations=integer(row["reservations"], maximum=COUNT_MAX),
        changed_s=time.monotonic() - age_s,
    )
    return record if age_s < MEMORY_S else None
