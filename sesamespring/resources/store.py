"""Read declared resources and their versions from the platform's table.

Row ``config/head`` holds the latest version and its digest,
``config/resource/KIND/NAME`` one resource, ``config/change/VERSION`` one accepted
change, and ``config/identity/ID`` the result of the change with that identity. One
transaction writes all four.
"""

import attrs

from sesamespring.decisions.versions import Delta
from sesamespring.errors import ErrorKind, ExternalError
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
    """The latest version of the declared resources.

    Attributes:
        version: Version of the declared resources.
        digest: Digest of the declared resources.
        row_version: Version of the head row, for conditional writes.
    """

    version: int
    digest: str
    row_version: int


async def read_head(table):
    """Return the Head from the table; version 0 if there is none."""
    row = await table.read(HEAD_KEY)
    if row.value is None:
        return Head(0, Resources().digest(), row.version)
    return Head(row.value["version"], row.value["digest"], row.version)


async def read_resources(table):
    """Return a pair of a consistent snapshot of the Resources and its digest.

    Raises:
        ExternalError: The platform is unavailable, or the rows matched the digest of
            the head in none of SNAPSHOT_TRIES reads.
    """
    head = await read_head(table)
    for _ in range(SNAPSHOT_TRIES):
        rows = await table.scan(RESOURCE_PREFIX, limit=RESOURCES_MAX)
        resources = Resources(head.version, _by_key(rows))
        if resources.digest() == head.digest:
            return resources, head.digest
        head = await read_head(table)
    raise ExternalError(
        ErrorKind.PLATFORM_AWAY, "no consistent snapshot of the resources could be read"
    )


async def read_records(table, after_version, limit=10_000):
    """Return the AuditRecords of accepted changes after a version, in order."""
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
