"""Apply a resource file."""

import getpass
import secrets

from sesamespring.cli.calls import call_entry, describe_refusal
from sesamespring.cli.files import read_text
from sesamespring.cli.formatting import difference_lines, format_time, key_values
from sesamespring.errors import UserError

__all__ = ["apply"]


def apply(
    path: str,
    *,
    entry: str,
    reason: str,
    operator: str | None = None,
    identity: str | None = None,
    base_version: int | None = None,
    dry_run: bool = False,
):
    """Apply a resource file to the declared resources, as a whole or not at all.

    Exits with 0 if the change took effect, also if it had done so before, and with 2
    if it was refused or its outcome is not known. In the latter case, repeat the
    command with the identity that is printed.

    Args:
        path: Path of the resource file.
        entry: IP:PORT of any entry VM.
        reason: Reason for the change, for the audit trail.
        operator: Name of the operator, used if the key has none; the login name by
            default.
        identity: Unique identity of the change, random by default; a change with the
            identity of an accepted one is not applied again.
        base_version: Version that the change is based on; the change is refused if
            the same resources were changed after it.
        dry_run: Show the differences without applying them.
    """
    change = {
        "file": path,
        "content": read_text(path),
        "operator": operator or getpass.getuser(),
        "identity": identity or secrets.token_hex(8),
        "reason": reason,
        "base_version": base_version,
        "dry_run": dry_run,
    }
    try:
        status, result = call_entry(entry, "POST", "changes", change)
    except UserError as error:
        raise UserError(*error.lines, _repeat_line(change)) from error
    if status == 503:
        raise UserError(describe_refusal(result), _repeat_line(change))
    if status != 200:
        raise UserError(*_refusal_lines(result))
    if dry_run:
        lines = difference_lines(result["before"], result["after"])
        print("\n".join(lines or ["no difference"]))
        print(f"would be version={result['version']}")
        return
    print(key_values(result | {"identity": change["identity"]}))


def _repeat_line(change):
    identity = change["identity"]
    return f"the outcome is not known; repeat with --identity {identity}"


def _refusal_lines(result):
    if "lines" not in result:
        return [describe_refusal(result)]
    lines = [*result["lines"]]
    if result["error"] != "invalid-resources":
        lines.insert(0, f"{result['error']}: nothing was changed")
    for record in result.get("changes", ()):
        lines.append(
            f"version {record['version']} at {format_time(record['at_s'])} by "
            f"{record['operator']}, identity {record['identity']}: {record['reason']}"
        )
        differences = difference_lines(record["before"], record["after"])
        lines.extend(f"  {line}" for line in differences)
    if result.get("changes"):
        latest = result["changes"][-1]["version"]
        lines.append(f"to change it on top of these, give --base-version {latest}")
    return lines
