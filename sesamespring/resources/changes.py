"""Make operators' changes take effect, once each and in one order.

A change is checked as a whole and written in one transaction under the condition
that the head row is as it was read. It conflicts with the changes accepted after
its base version that touch a resource that it touches too. Without a base version,
that of its first look counts, and a change by another operator within
RECENT_CHANGE_S before that is a conflict as well.
"""

import hashlib
import json

import attrs
from returns.result import Failure, Success

from sesamespring.errors import ErrorKind, OutsideError
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
SETTLE_TRIES = 8
RECENT_CHANGE_S = 60.0
RECENT_VERSIONS = 64
# Besides them, one write carries two conditions, the head, the identity and the record.
CHANGE_RESOURCES_MAX = ENTRIES_MAX - 5


@attrs.frozen
class Change:
    """A change that an operator asks for.

    Attributes:
        identity: Chosen by the operator; repeating it changes nothing.
        operator: Who asks.
        reason: Why.
        file: Name of the resource file.
        base_version: The version that the operator saw, or None.
        resources: Tuple of the resources as they shall be.
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
        """JSON values by key as they shall be; None for removed resources."""
        values = {resource_key(r): resource_to_json(r) for r in self.resources}
        return values | dict.fromkeys(self.removed)

    def fingerprint(self):
        """Return a digest of what the change asks for."""
        content = json.dumps(self.after, sort_keys=True).encode()
        return hashlib.sha256(content).hexdigest()


@attrs.frozen
class Accepted:
    """The change took effect.

    Attributes:
        version: The version that it led to.
        digest: Digest of all declared resources at that version.
        repeated: Whether it had taken effect before this call.
        record: The AuditRecord, or None where it was made by another call.
    """

    version: int
    digest: str
    repeated: bool
    record: AuditRecord | None = None


@attrs.frozen
class Refused:
    """The change took no effect.

    Attributes:
        kind: The ErrorKind.
        version: Version of the declared resources at the refusal.
        lines: Tuple of texts that say why.
        records: Tuple of the AuditRecords that it conflicts with.
    """

    kind: ErrorKind
    version: int
    lines: tuple
    records: tuple = ()


def plan_change(change, declared, at_s):
    """Return what a change would do to what is declared.

    Args:
        change: The Change.
        declared: The Resources as declared now.
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


async def apply_change(table, change, newest, clock):
    """Make a change take effect once.

    Args:
        table: The JsonTable.
        change: The Change.
        newest: Coroutine function that returns the newest declared Resources.
        clock: Function that returns the wall clock time in seconds.

    Returns:
        Success of Accepted, or Failure of Refused.

    Raises:
        OutsideError: The platform stayed away; repeating with the same identity
            is safe.
    """
    first_seen = None
    record = None
    detail = ""
    for _ in range(SETTLE_TRIES):
        row = await table.read(IDENTITY_PREFIX + change.identity)
        if row.version != ABSENT_VERSION:
            return _settled(row.value, change, record)
        head = await read_head(table)
        declared = await newest()
        if declared.version != head.version:
            detail = _order_detail(declared, head)
            continue
        first_seen = head.version if first_seen is None else first_seen
        refused = await _conflict(table, change, head, first_seen, clock())
        planned = plan_change(change, declared, clock())
        if refused or isinstance(planned, Failure):
            return Failure(refused) if refused else planned
        record = planned.unwrap()
        try:
            result = await _write(table, change, record, head)
        except OutsideError as error:
            detail = str(error)
            continue
        if isinstance(result, Success):
            return Success(Accepted(record.version, record.digest, False, record))
    detail = f"the change could not be settled: {detail}"
    raise OutsideError(ErrorKind.PLATFORM_AWAY, detail)


def _order_detail(declared, head):
    if declared.version > head.version:
        return "the table answers an older version than is in force"
    return "the newest version could not be read whole"


def _settled(value, change, tried):
    """Return what an identity's row says.

    Args:
        value: The row's value.
        change: The Change.
        tried: The AuditRecord that this call tried to write last, or None.
    """
    if value["fingerprint"] != change.fingerprint():
        line = (
            f"identity {change.identity} was used for another change, "
            f"which led to version {value['version']}"
        )
        return Failure(Refused(ErrorKind.IDENTITY_REUSED, value["version"], (line,)))
    version, digest = value["version"], value["digest"]
    if tried is None:
        return Success(Accepted(version, digest, repeated=True))
    record = tried if (tried.version, tried.digest) == (version, digest) else None
    return Success(Accepted(version, digest, False, record))


async def _conflict(table, change, head, first_seen, now_s):
    """Return Refused where later changes touch the same resources, or None."""
    base = first_seen if change.base_version is None else change.base_version
    if base > head.version:
        line = f"base version {base} is above the declared version {head.version}"
        return Refused(ErrorKind.CONFLICT, head.version, (line,))
    records = await read_records(table, min(base, head.version - RECENT_VERSIONS))
    later = [record for record in records if base < record.version <= head.version]
    if len(later) < head.version - base:
        line = f"base version {base} is older than the table's change records"
        return Refused(ErrorKind.CONFLICT, head.version, (line,))
    if change.base_version is None:
        later = [
            record
            for record in records
            if record.version > base or _recent_by_another(record, change, now_s)
        ]
    touched = change.after.keys()
    overlapping = tuple(record for record in later if record.changed_keys & touched)
    if not overlapping:
        return None
    lines = tuple(_conflict_line(record, touched) for record in overlapping)
    return Refused(ErrorKind.CONFLICT, head.version, lines, overlapping)


def _recent_by_another(record, change, now_s):
    recent = now_s - record.at_s < RECENT_CHANGE_S
    return recent and record.operator != change.operator


def _conflict_line(record, touched):
    keys = ", ".join(sorted(record.changed_keys & touched))
    return (
        f"version {record.version} by {record.operator} ({record.reason}) "
        f"changed {keys}"
    )


async def _write(table, change, record, head):
    settled = {
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
        Write(identity_key, settled),
        Write(change_key(record.version), attrs.asdict(record)),
    ]
    writes.extend(Write(RESOURCE_PREFIX + k, v) for k, v in record.after.items())
    return await table.transact(conditions, writes)
