"""Apply operators' changes exactly once each and in a total order.

A change is checked as a whole and written in one transaction, on the condition that the
head row has not changed since it was read. It conflicts with every change that was
accepted after its base version and changes one of the same resources. Without a base
version, the version read first is its base, and a change of the same resources by
another operator less than RECENT_CHANGE_S ago conflicts as well.
"""

import hashlib
import json

import attrs
from returns.result import Failure, Success

from sesamespring.errors import ErrorKind, ExternalError
from sesamespring.ini import Problem
from sesamespring.platform.json_table import ENTRIES_MAX, Condition, Write
from sesamespring.platform.rows import ABSENT_VERSION
from sesamespring.resources.kinds import resource_key, resource_to_json
from sesamespring.resources.parser import check_consistency
from sesamespring.resources.records import ACCEPTED, AuditRecord, change_key
from sesamespring.resources.store import (
    HEAD_KEY,
    RESOURCE_PREFIX,
    read_head,
    read_records,
)

__all__ = [
    "CHANGE_RESOURCES_MAX",
    "Accepted",
    "Change",
    "Refused",
    "apply_change",
    "plan_change",
]

IDENTITY_PREFIX = "config/identity/"
APPLY_TRIES = 8
RECENT_CHANGE_S = 60.0
RECENT_VERSIONS = 64
# The transaction of a change also has 5 other entries: two conditions and the rows of
# head, identity and record.
CHANGE_RESOURCES_MAX = ENTRIES_MAX - 5


@attrs.frozen
class Change:
    """A change that an operator requests.

    Attributes:
        identity: Idempotency identifier chosen by the operator; a repeated request with
            the same one changes nothing.
        operator: Name of the operator.
        reason: Reason that the operator gives.
        file: Name of the resource file.
        base_version: Version that the operator based the change on, or None.
        resources: Tuple of the resources to add or replace.
        removed: Tuple of the keys of resources to remove.
    """

    identity: str
    operator: str
    reason: str
    file: str
    base_version: int | None
    resources: tuple
    removed: tuple = ()

    @property
    def after(self):
        """JSON objects by resource key after the change; None if removed."""
        values = {resource_key(r): resource_to_json(r) for r in self.resources}
        return values | dict.fromkeys(self.removed)

    def fingerprint(self):
        """Return a digest of the requested resources and removals."""
        content = json.dumps(self.after, sort_keys=True).encode()
        return hashlib.sha256(content).hexdigest()


@attrs.frozen
class Accepted:
    """Result of a change that took effect.

    Attributes:
        version: Version that the change created.
        digest: Digest of all declared resources at that version.
        repeated: Whether an earlier request had already applied the change.
        record: The AuditRecord, or None if another call wrote it.
    """

    version: int
    digest: str
    repeated: bool
    record: AuditRecord | None = None


@attrs.frozen
class Refused:
    """Result of a change that was refused and had no effect.

    Attributes:
        kind: The ErrorKind.
        version: Version of the declared resources at that time.
        lines: Tuple of reasons.
        records: Tuple of the AuditRecords of conflicting changes.
    """

    kind: ErrorKind
    version: int
    lines: tuple
    records: tuple = ()


def plan_change(change, declared, at_s):
    """Check a change against the declared resources and return its record.

    Nothing is written.

    Args:
        change: The Change.
        declared: The currently declared Resources.
        at_s: Wall clock time in seconds.

    Returns:
        Success of the AuditRecord, or Failure of Refused.
    """
    version = declared.version + 1
    planned = declared.with_changes(version, change.resources, change.removed)
    problems = check_consistency(change.file, declared, planned, change.removed)
    if len(change.after) > CHANGE_RESOURCES_MAX:
        found = f"{len(change.after)} resources"
        expected = f"at most {CHANGE_RESOURCES_MAX} in one change"
        problems = [Problem(change.file, "", "", found, expected), *problems]
    if problems:
        lines = tuple(str(problem) for problem in problems)
        refused = Refused(ErrorKind.INVALID_RESOURCES, declared.version, lines)
        return Failure(refused)
    after = change.after
    before = {
        key: resource_to_json(declared.by_key[key]) if key in declared.by_key else None
        for key in after
    }
    record = AuditRecord(
        outcome=ACCEPTED,
        version=version,
        digest=planned.digest(),
        identity=change.identity,
        operator=change.operator,
        reason=change.reason,
        file=change.file,
        at_s=at_s,
        before=before,
        after=after,
    )
    return Success(record)


async def apply_change(table, change, read_newest, clock):
    """Apply a change exactly once, also if it is requested repeatedly.

    Args:
        table: The JsonTable.
        change: The Change.
        read_newest: Coroutine function that returns the latest declared Resources.
        clock: Function that returns the wall clock time in seconds.

    Returns:
        Success of Accepted, or Failure of Refused.

    Raises:
        ExternalError: The platform is unavailable, and the change may or may not have
            been applied. Repeating it with the same identity is safe.
    """
    first_version = None
    record = None
    detail = ""
    for _ in range(APPLY_TRIES):
        row = await table.read(IDENTITY_PREFIX + change.identity)
        if row.version != ABSENT_VERSION:
            return _recorded_result(row.value, change, record)
        head = await read_head(table)
        declared = await read_newest()
        if declared.version != head.version:
            detail = _version_mismatch(declared, head)
            continue
        first_version = head.version if first_version is None else first_version
        refused = await _conflict(table, change, head, first_version, clock())
        planned = plan_change(change, declared, clock())
        if refused or isinstance(planned, Failure):
            return Failure(refused) if refused else planned
        record = planned.unwrap()
        try:
            result = await _write(table, change, record, head)
        except ExternalError as error:
            detail = str(error)
            continue
        if isinstance(result, Success):
            return Success(Accepted(record.version, record.digest, False, record))
    detail = f"the change was not confirmed: {detail}"
    raise ExternalError(ErrorKind.PLATFORM_AWAY, detail)


def _version_mismatch(declared, head):
    if declared.version > head.version:
        return "the table returned an older version than the one in force"
    return "the latest version could not be read completely"


def _recorded_result(value, change, last_record):
    """Return the result of a change whose identity already has a row in the table.

    Args:
        value: Value of the identity's row.
        change: The Change.
        last_record: The AuditRecord that this call last attempted to write, or None.
    """
    if value["fingerprint"] != change.fingerprint():
        line = (
            f"identity {change.identity} was used for another change, "
            f"which led to version {value['version']}"
        )
        return Failure(Refused(ErrorKind.IDENTITY_REUSED, value["version"], (line,)))
    version, digest = value["version"], value["digest"]
    if last_record is None:
        return Success(Accepted(version, digest, repeated=True))
    record = (
        last_record
        if (last_record.version, last_record.digest) == (version, digest)
        else None
    )
    return Success(Accepted(version, digest, False, record))


async def _conflict(table, change, head, first_version, now_s):
    """Return Refused if a change conflicts with accepted changes, or None.

    Args:
        table: The JsonTable.
        change: The Change.
        head: The current Head.
        first_version: Version that this call read first.
        now_s: Wall clock time in seconds.
    """
    base = first_version if change.base_version is None else change.base_version
    if base > head.version:
        line = f"base version {base} is newer than the current version {head.version}"
        return Refused(ErrorKind.CONFLICT, head.version, (line,))
    records = await read_records(table, min(base, head.version - RECENT_VERSIONS))
    later = [record for record in records if base < record.version <= head.version]
    if len(later) < head.version - base:
        line = f"base version {base} is older than the change records in the table"
        return Refused(ErrorKind.CONFLICT, head.version, (line,))
    if change.base_version is None:
        later = [
            record
            for record in records
            if record.version > base or _recent_by_another(record, change, now_s)
        ]
    requested_keys = change.after.keys()
    overlapping = tuple(
        record for record in later if record.changed_keys & requested_keys
    )
    if not overlapping:
        return None
    lines = tuple(_conflict_line(record, requested_keys) for record in overlapping)
    return Refused(ErrorKind.CONFLICT, head.version, lines, overlapping)


def _recent_by_another(record, change, now_s):
    recent = now_s - record.at_s < RECENT_CHANGE_S
    return recent and record.operator != change.operator


def _conflict_line(record, requested_keys):
    keys = ", ".join(sorted(record.changed_keys & requested_keys))
    return (
        f"version {record.version} by {record.operator} ({record.reason}) "
        f"changed {keys}"
    )


async def _write(table, change, record, head):
    identity_value = {
        "version": record.version,
        "digest": record.digest,
        "fingerprint": change.fingerprint(),
        "at_s": record.at_s,
    }
    identity_key = IDENTITY_PREFIX + change.identity
    conditions = [
        Condition(HEAD_KEY, head.row_version),
        Condition(identity_key, ABSENT_VERSION),
    ]
    writes = [
        Write(HEAD_KEY, {"version": record.version, "digest": record.digest}),
        Write(identity_key, identity_value),
        Write(change_key(record.version), attrs.asdict(record)),
    ]
    writes.extend(Write(RESOURCE_PREFIX + k, v) for k, v in record.after.items())
    return await table.transact(conditions, writes)
