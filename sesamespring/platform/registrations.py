"""Decode the registrations that targets write into the store."""

import json

import attrs

from sesamespring.routing.records import TargetEntry

__all__ = [
    "TARGETS_TABLE",
    "decode_target",
    "is_earlier_registration",
    "same_registration",
]

TARGETS_TABLE = "servers"
READY_STATE = "ready"
LEAVING_STATE = "draining"
SLOTS_MAX = 10_000


def decode_target(row_id, content):
    """Decode the registration of a target.

    Other programs may write arbitrary content to the table, so every field is checked.

    Args:
        row_id: Key of the row, which is the identity of the target.
        content: Content of the row in bytes.

    Returns:
        A TargetEntry, or None if the row is invalid or its target not in service.
    """
    try:
        return _decode(row_id, json.loads(content))
    except (KeyError, TypeError, ValueError, AttributeError, RecursionError):
        return None


def same_registration(old, new):
    """Return whether two versions of a target's row are equivalent for routing.

    The remaining cold start may shrink, but not grow.

    Args:
        old: Content of the older version in bytes.
        new: Content of the newer version in bytes.
    """
    before = decode_target("", old)
    after = decode_target("", new)
    if before is None or after is None:
        return old == new
    turned_cold = after.cold_left_s > before.cold_left_s
    return not turned_cold and attrs.evolve(before, cold_left_s=0.0) == attrs.evolve(
        after, cold_left_s=0.0
    )


def is_earlier_registration(content, known):
    """Return whether a target wrote a row's content before another one.

    Contents of different lifetimes are not compared.

    Args:
        content: Content in question, in bytes.
        known: Content to compare with, in bytes.
    """
    found, last = _read_place(content), _read_place(known)
    if found is None or last is None:
        return False
    return found.born_ms == last.born_ms and found.sequence < last.sequence


@attrs.frozen
class _Place:
    """Place of a registration in the order in which its target wrote them."""

    born_ms: int
    sequence: int


def _read_place(content):
    try:
        body = json.loads(content)
        sequence = _integer(body["sequence"], 0, float("inf"))
        return _Place(_integer(body.get("born", 0), 0, float("inf")), sequence)
    except (KeyError, TypeError, ValueError, AttributeError, RecursionError):
        return None


def _decode(row_id, body):
    state = body["state"]
    if state not in (READY_STATE, LEAVING_STATE):
        return None
    ip, _, port = _string(body["address"]).rpartition(":")
    return TargetEntry(
        id=row_id,
        # Start of the target's lifetime; some targets do not report it.
        born_ms=_integer(body.get("born", 0), 0, float("inf")),
        service=_string(body["service"]),
        address=(_string(ip), _integer(int(port), 1, 65_535)),
        data_centre=_string(body["zone"]),
        slots=_integer(body["slots"], 1, SLOTS_MAX),
        leaving=state == LEAVING_STATE,
        cold_left_s=_non_negative(body.get("warmupLeftMs", 0)) / 1000,
    )


def _string(value):
    if not isinstance(value, str) or not value:
        raise TypeError("not a non-empty string")
    return value


def _integer(value, minimum, maximum):
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError("not an integer")
    if not minimum <= value <= maximum:
        raise ValueError("out of range")
    return value


def _non_negative(value):
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError("not a number")
    if not 0 <= value < float("inf"):
        raise ValueError("out of range")
    return value
