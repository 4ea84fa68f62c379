"""Audit trail of changes: recent records in the table, past days in the object store.

Row ``config/refused/TIME/ID`` holds one refused change. ``config/audit-progress`` holds
the last day and version that were copied to the object store, and
``config/audit-object/DAY/VERSION`` holds the digest of one object. Rows are removed
from the table only after their copy was read back.
"""

import datetime
import hashlib
import json
import secrets

import attrs
from returns.result import Success

from sesamespring.errors import ErrorKind, ExternalError
from sesamespring.platform.json_table import ENTRIES_MAX, Condition, Write
from sesamespring.resources.changes import IDENTITY_PREFIX
from sesamespring.resources.records import (
    CHANGE_PREFIX,
    REFUSED_PREFIX,
    AuditRecord,
    change_key,
)
from sesamespring.resources.store import read_records

__all__ = ["copy_day", "prune_copied", "read_audit", "record_refusal"]

PROGRESS_KEY = "config/audit-progress"
OBJECT_ROW_PREFIX = "config/audit-object/"
RECORDS_PER_OBJECT = 500
# Their rows are removed in the transaction that records the object.
REFUSED_PER_OBJECT = ENTRIES_MAX - 10
RECORDS_PER_PAGE = 200
# Each change has two rows: its record and its identity.
CHANGES_PRUNED_MAX = ENTRIES_MAX // 2
COPY_GRACE_S = 600.0
TABLE_RETENTION_S = 7 * 24 * 3600.0
DAY_S = 24 * 3600.0


@attrs.frozen
class _Progress:
    """Progress of copying the audit trail.

    Attributes:
        day: Last day that was copied completely, as YYYY-MM-DD, or an empty string.
        version: Version of the last accepted change that was copied.
        row_version: Version of the progress row, for conditional writes.
    """

    day: str
    version: int
    row_version: int


async def record_refusal(table, record):
    """Write the AuditRecord of a refused change to the table."""
    key = f"{REFUSED_PREFIX}{int(record.at_s * 1000):015d}/{secrets.token_hex(4)}"
    await table.transact([], [Write(key, attrs.asdict(record))])


async def read_audit(table, since_s, until_s):
    """Return the AuditRecords of a period, ordered by version and time.

    Args:
        table: The JsonTable.
        since_s: Start of the period (inclusive), wall clock time in seconds.
        until_s: End of the period (exclusive), wall clock time in seconds.

    Raises:
        ExternalError: The platform is unavailable, or an object is not what was copied.
    """
    by_identity = {}
    for record in await _copied_records(table, since_s, until_s):
        by_identity[_record_identity(record)] = record
    for record in await _table_records(table, since_s, until_s):
        by_identity[_record_identity(record)] = record
    found = by_identity.values()
    return sorted(found, key=lambda r: (r.version, not r.accepted, r.at_s))


async def copy_day(table, now_s):
    """Copy the next records of a past day to the object store.

    Several VMs may call it at the same time: the write is conditional on the progress
    row, so that only one of them succeeds.

    Args:
        table: The JsonTable.
        now_s: Wall clock time in seconds.

    Returns:
        Number of records copied; 0 if the day has no more records or another VM was
        first, and None if no past day is left to copy.
    """
    progress = await _read_progress(table)
    day = await _day_to_copy(table, progress)
    if day is None or now_s < _day_end_s(day) + COPY_GRACE_S:
        return None
    page = await read_records(table, progress.version, RECORDS_PER_OBJECT)
    records = _records_before(page, _day_end_s(day))
    refused = []
    if len(records) < RECORDS_PER_OBJECT:
        refused = await _refused_rows(table, _day_end_s(day))
    copied_all = len(records) < RECORDS_PER_OBJECT
    day_ended = copied_all and len(refused) < REFUSED_PER_OBJECT
    batch = records + [AuditRecord(**row.value) for row in refused]
    version = records[-1].version if records else progress.version
    progress_value = {"day": day if day_ended else progress.day, "version": version}
    writes = [Write(PROGRESS_KEY, progress_value)]
    if batch:
        name = f"{day}/{progress.version:012d}-{progress.row_version:012d}"
        digest = await _store(table, _object_key(name), batch)
        writes.append(Write(f"{OBJECT_ROW_PREFIX}{name}", {"digest": digest}))
    writes.extend(Write(row.key, None) for row in refused)
    condition = Condition(PROGRESS_KEY, progress.row_version)
    result = await table.transact([condition], writes)
    return len(batch) if isinstance(result, Success) else 0


async def prune_copied(table, now_s):
    """Remove rows of accepted changes that were copied and are past retention.

    Args:
        table: The JsonTable.
        now_s: Wall clock time in seconds.

    Returns:
        Number of changes removed.
    """
    progress = await _read_progress(table)
    records = await read_records(table, 0, CHANGES_PRUNED_MAX)
    old = [
        record
        for record in records
        if record.version <= progress.version
        and record.at_s < now_s - TABLE_RETENTION_S
    ]
    writes = [Write(change_key(record.version), None) for record in old]
    writes += [Write(IDENTITY_PREFIX + record.identity, None) for record in old]
    if writes:
        await table.transact([], writes)
    return len(old)


async def _read_progress(table):
    row = await table.read(PROGRESS_KEY)
    if row.value is None:
        return _Progress("", 0, row.version)
    return _Progress(row.value["day"], row.value["version"], row.version)


async def _day_to_copy(table, progress):
    if progress.day:
        return _day_of(_day_end_s(progress.day))
    rows = await table.scan(CHANGE_PREFIX, limit=1)
    rows += await table.scan(REFUSED_PREFIX, limit=1)
    if not rows:
        return None
    return _day_of(min(row.value["at_s"] for row in rows))


def _records_before(records, end_s):
    """Return the leading records up to the last one with a time before ``end_s``."""
    count = 0
    for number, record in enumerate(records, start=1):
        if record.at_s < end_s:
            count = number
    return records[:count]


async def _refused_rows(table, end_s):
    rows = await table.scan(REFUSED_PREFIX, limit=REFUSED_PER_OBJECT)
    return [row for row in rows if row.value["at_s"] < end_s]


async def _store(table, key, records):
    """Store records as JSON Lines, read them back and return their digest.

    Raises:
        ExternalError: The object store is unavailable or returned other content.
    """
    lines = [json.dumps(attrs.asdict(r), sort_keys=True) + "\n" for r in records]
    content = "".join(lines).encode()
    await table.put_object(key, content)
    if await table.get_object(key) != content:
        detail = f"object {key} was read back with different content"
        raise ExternalError(ErrorKind.PLATFORM_AWAY, detail)
    return hashlib.sha256(content).hexdigest()


async def _copied_records(table, since_s, until_s):
    """Return the records of a period from objects of its days and the adjacent days."""
    first, last = _day_of(since_s - DAY_S), _day_of(until_s + DAY_S)
    rows = await table.scan(OBJECT_ROW_PREFIX, after=OBJECT_ROW_PREFIX + first)
    records = []
    for row in rows:
        name = row.key.removeprefix(OBJECT_ROW_PREFIX)
        if name.partition("/")[0] > last:
            break
        content = await table.get_object(_object_key(name)) or b""
        if hashlib.sha256(content).hexdigest() != row.value["digest"]:
            detail = f"audit object {name} does not match its digest"
            raise ExternalError(ErrorKind.PLATFORM_AWAY, detail)
        batch = (AuditRecord(**json.loads(line)) for line in content.splitlines())
        records.extend(r for r in batch if since_s <= r.at_s < until_s)
    return records


async def _table_records(table, since_s, until_s):
    """Return the records of a period that are still in the table, read in pages."""
    rows = await table.scan(REFUSED_PREFIX)
    page = [AuditRecord(**row.value) for row in rows]
    records = [r for r in page if since_s <= r.at_s < until_s]
    version = 0
    while True:
        page = await read_records(table, version, RECORDS_PER_PAGE)
        records.extend(r for r in page if since_s <= r.at_s < until_s)
        if len(page) < RECORDS_PER_PAGE:
            return records
        version = page[-1].version


def _object_key(name):
    """Return the key of an object; it must be a single path segment."""
    return "audit-" + name.replace("/", "-")


def _record_identity(record):
    return (record.outcome, record.version, record.identity, record.at_s)


def _day_of(at_s):
    moment = datetime.datetime.fromtimestamp(max(0.0, at_s), datetime.UTC)
    return moment.date().isoformat()


def _day_end_s(day):
    midnight = datetime.datetime.fromisoformat(day).replace(tzinfo=datetime.UTC)
    return midnight.timestamp() + DAY_S
