"""Compare the configuration in force at each entry VM with the declared one."""

import sys

from sesamespring.cli.calls import query_entry
from sesamespring.cli.formatting import format_time, key_values

__all__ = ["in_force"]

EXIT_DIFFERS = 1


def in_force(*, entry: str, version: int | None = None, digest: str | None = None):
    """Show the configuration in force at each entry VM and whether it is as expected.

    Exits with 0 if each VM that is live or in the platform's list reports the expected
    version and digest, with 1 if one does not or if neither is known, and with 2 if
    the call to the entry VM fails.

    Args:
        entry: IP:PORT of any entry VM.
        version: Expected version; by default, if no digest is given either, that of
            the declared resources.
        digest: Expected digest; by default, if no version is given either, that
            of the declared resources.
    """
    result = query_entry(entry, "in-force")
    declared = result["declared"] or {}
    expected = {"version": declared.get("version"), "digest": declared.get("digest")}
    if version is not None or digest is not None:
        expected = {"version": version, "digest": digest}
    differing = 0
    for item in result["in_force"]:
        state = _state(item, expected, result["listed"])
        differing += state in ("differs", "silent")
        print(key_values(_fields(item, state)))
    known = any(value is not None for value in expected.values())
    print(
        key_values(
            {
                "declared_version": declared.get("version", "unknown"),
                "declared_digest": declared.get("digest", "unknown"),
                "differing": differing if known else "unknown",
            }
        )
    )
    if differing or not known:
        sys.exit(EXIT_DIFFERS)


def _state(item, expected, listed):
    if not item["live"]:
        return "silent" if item["vm"] in listed else "gone"
    same = all(value is None or item[key] == value for key, value in expected.items())
    return "same" if same else "differs"


def _fields(item, state):
    silent_s = item["silent_s"]
    return {
        "vm": item["vm"],
        "data_centre": item["data_centre"],
        "state": state,
        "version": item["version"],
        "digest": item["digest"] or "-",
        "since": format_time(item["since_s"]) if item["version"] else "-",
        "last_heard_s": "never" if silent_s is None else silent_s,
        "platform": "reached" if item["platform_reachable"] else "away",
    }
