"""The record type of the audit trail, and the keys of its rows in the table."""

import attrs

from sesamespring.resources.kinds import resource_from_json

__all__ = [
    "ACCEPTED",
    "CHANGE_PREFIX",
    "REFUSED_PREFIX",
    "AuditRecord",
    "change_key",
    "resources_after",
]

ACCEPTED = "accepted"
CHANGE_PREFIX = "config/change/"
REFUSED_PREFIX = "config/refused/"


@attrs.frozen
class AuditRecord:
    """A change that an operator requested, and its outcome.

    Attributes:
        outcome: ``accepted``, or the error kind of a refused change.
        version: Version that the change created, or the current one at a refusal.
        digest: Digest of all declared resources at that version; empty if refused.
        identity: Idempotency identifier of the change, chosen by the operator.
        operator: Name of the operator.
        reason: Reason that the operator gave.
        file: Name of the resource file.
        at_s: Wall clock time at the VM that handled the request, in seconds.
        before: JSON objects by resource key before the change; None if not declared.
        after: JSON objects by resource key after the change; None if removed.
        lines: Reasons for the refusal.
    """

    outcome: str
    version: int
    digest: str
    identity: str
    operator: str
    reason: str
    file: str
    at_s: float
    before: dict
    after: dict
    lines: tuple = attrs.field(default=(), converter=tuple)

    @property
    def accepted(self):
        """Whether the change took effect."""
        return self.outcome == ACCEPTED

    @property
    def changed_keys(self):
        """Keys of the resources that the change adds, replaces or removes."""
        return self.before.keys() | self.after.keys()


def change_key(version):
    """Return the table key of the row of an accepted change.

    >>> change_key(7)
    'config/change/000000000007'
    """
    return f"{CHANGE_PREFIX}{version:012d}"


def resources_after(record):
    """Return the changed resources by key as of the change; None for removed ones."""
    return {
        key: None if value is None else resource_from_json(key, value)
        for key, value in record.after.items()
    }
