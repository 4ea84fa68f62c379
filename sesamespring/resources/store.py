"""Read declared resources and their versions from the platform's table.

``config/head`` holds the newest version and its digest; ``config/resource/KIND/NAME``
one resource; ``config/change/VERSION`` one accepted change; ``config/identity/ID``
what a change identity led to. One transaction writes all four.
"""

import attrs

from sesamespring.decisions.versions import Delta
from sesamespring.errors import ErrorKind, OutsideError
from sesamespring.resources.kinds import Resources, resource_from_json
from sesamespring.resources.records import (
    CHANGE_PREFIX,
    AuditRecord,
    change_key,
    resources_after,
)

__all__ = [
    "HEAD_KEY",
    "RESOURCE_PREFIX",
    "Head",
    "read_deltas",
    "read_head",
    "read_records",
    "read_resources",
]

HEAD_KEY = "config/head"
RESOURCE_PREFIX = "config/resource/"
RESOURCES_MAX = 100_000
SNAPSHOT_TRIES = 5


@attrs.frozen
class Head:
    """The version order's newest point.

    Attributes:
        version: Version of the declared resources.
        digest: Digest of the declared resources.
        row_version: Version of the row, for conditions.
    """

    version: int
    digest: str
    row_version: int


async def read_head(table):
    """Return the Head."""
    row = await table.read(HEAD_KEY)
    if row.value is None:
        return Head(0, Resources().digest(), row.version)
    return Head(row.value["version"], row.value["digest"], row.version)


async def read_resources(table):
    """Return a pair of Resources as of one version and their digest.

    Raises:
        OutsideError: The platform is away, or the table kept changing or answered
            rows that do not belong together.
    """
    head = await read_head(table)
    for _ in range(SNAPSHOT_TRIES):
        rows = await table.scan(RESOURCE_PREFIX, limit=RESOURCES_MAX)
        resources = Resources(head.version, _by_key(rows))
        if resources.digest() == head.digest:
            return resources, head.digest
        head = await read_head(table)
    raise OutsideError(ErrorKind.PLATFORM_AWAY, "no whole snapshot of the resources")


async def read_records(table, after_version, limit=10_000):
    """Return AuditRecords of accepted changes after a version, in order."""
    rows = await table.scan(CHANGE_PREFIX, after=change_key(after_version), limit=limit)
    return [AuditRecord(**row.value) for row in rows]


async def read_deltas(table, after_version, limit):
    """Return the Deltas of accepted changes after a version, in order."""
    records = await read_records(table, after_version, limit)
    return [Delta(r.version, r.digest, resources_after(r)) for r in records]


def _by_key(rows):
    by_key = {}
    for row in rows:
        key = row.key.removeprefix(RESOURCE_PREFIX)
        by_key[key] = resource_from_json(key, row.value)
    return by_key
