"""Check a configuration for the platform before it is sent."""

import json as json_format
import sys

import attrs
from returns.result import Failure

from sesamespring.cli.files import read_text
from sesamespring.errors import UserError
from sesamespring.platform.operator_table import decode_configuration
from sesamespring.routing.configuration_check import (
    Finding,
    check_configuration,
    configuration_changes,
)

__all__ = ["check"]

EXIT_FINDINGS = 1


def check(path: str, *, in_force: str | None = None, json: bool = False):
    """Check a configuration: errors, entries without effect, limits that contradict.

    Ends with 1 if there is a finding. Each is a line with the entry, its field, what
    was found and what was expected. Keys of accounts are never shown.

    Args:
        path: File with the configuration as it is sent, JSON.
        in_force: File with the version in force, to list what would change.
        json: Print one JSON object instead of lines.
    """
    decoded = decode_configuration(read_text(path).encode())
    if isinstance(decoded, Failure):
        findings = [Finding(path, "", decoded.failure(), "a valid configuration")]
        changes = []
    else:
        configuration = decoded.unwrap()
        current = _read_in_force(in_force)
        findings = check_configuration(configuration, current)
        changes = (
            [] if current is None else configuration_changes(current, configuration)
        )
    if json:
        found = [attrs.asdict(finding) for finding in findings]
        print(json_format.dumps({"findings": found, "changes": changes}))
    else:
        for change in changes:
            print(f"changes: {change}")
        print(*findings or [f"{path}: ok"], sep="\n")
    if findings:
        sys.exit(EXIT_FINDINGS)


def _read_in_force(path):
    """Return the Configuration in a file; raise a UserError if it is malformed."""
    if path is None:
        return None
    decoded = decode_configuration(read_text(path).encode())
    if isinstance(decoded, Failure):
        raise UserError(f"{path}: {decoded.failure()}")
    return decoded.unwrap()
