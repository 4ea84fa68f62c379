"""Show the declared resources."""

import json

from sesamespring.cli.calls import query_entry

__all__ = ["resources"]


def resources(*, entry: str):
    """Show the declared resources, one per line.

    Args:
        entry: IP:PORT of any entry VM.
    """
    result = query_entry(entry, "resources")
    print(f"version={result['version']} digest={result['digest']}")
    for key, value in sorted(result["resources"].items()):
        print(key, json.dumps(value, sort_keys=True))
