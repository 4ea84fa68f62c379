"""Format values as lines of text."""

import datetime
import json

__all__ = ["difference_lines", "format_time", "key_values"]


def key_values(values_by_key):
    """Return a dict as one line of key=value pairs.

    >>> key_values({"vm": "a", "live": True})
    'vm=a live=True'
    """
    return " ".join(f"{key}={value}" for key, value in values_by_key.items())


def format_time(at_s):
    """Return a wall clock time in seconds as ISO 8601 text in UTC.

    >>> format_time(0)
    '1970-01-01T00:00:00Z'
    """
    at = datetime.datetime.fromtimestamp(at_s, datetime.UTC)
    return at.isoformat(timespec="seconds").replace("+00:00", "Z")


def difference_lines(before, after):
    """Return a line for each value that differs between two dicts of resources.

    Both map keys of resources to JSON values, or to None where there is no resource;
    only the keys of ``after`` are compared.

    >>> difference_lines({"service/a": None}, {"service/a": {"name": "a"}})
    ['+ service/a {"name": "a"}']
    >>> difference_lines({"target/t": {"slots": 1}}, {"target/t": {"slots": 2}})
    ['~ target/t slots: 1 -> 2']
    """
    lines = []
    for key in sorted(after):
        old, new = before.get(key), after[key]
        if old is None and new is not None:
            lines.append(f"+ {key} {json.dumps(new, sort_keys=True)}")
        elif new is None:
            lines.append(f"- {key}")
        else:
            lines.extend(_changed_value_lines(key, old, new))
    return lines


def _changed_value_lines(key, old, new):
    return [
        f"~ {key} {name}: {_format_value(old.get(name))} -> {_format_value(value)}"
        for name, value in sorted(new.items())
        if old.get(name) != value
    ]


def _format_value(value):
    return value if isinstance(value, str) else json.dumps(value)
