"""Define the audit trail's record and where its rows stand in the table."""

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
    """One change that an operator asked for, and what became of it.

    Attributes:
        outcome: ``accepted``, or the error kind of the refusal.
        version: Version that it led to, or the one that it was refused at.
        digest: Digest of all declared resources after it; empty if refused.
        identity: The operator's identity of the change.
        operator: Who asked.
        reason: Why.
        file: Name of the resource file.
        at_s: Wall clock time at the accepting VM, in seconds.
        before: JSON values by resource key, None where there was none.
        after: JSON values by resource key, None for removed ones.
        lines: Why it was refused, a text each.
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
        """Keys of the resources that it changes."""
        return self.before.keys() | self.after.keys()


def change_key(version):
    """Return the table's key of an accepted change.

    >>> change_key(7)
    'config/change/000000000007'
    """
    return f"{CHANGE_PREFIX}{version:012d}"


def resources_after(record):
    """Return a record's resources by key as they are since; None for removed ones."""
    return {
        key: None if value is None else resource_from_json(key, value)
        for key, value in record.after.items()
    }
