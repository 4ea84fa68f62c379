"""Decode what targets and VMs write about themselves into the store."""

import json

import attrs

from sesamespring.routing.records import TargetEntry

__all__ = ["TARGETS_TABLE", "decode_target", "same_registration"]

TARGETS_TABLE = "servers"
READY_STATE = "ready"
LEAVING_STATE = "draining"
SLOTS_MAX = 10_000


def decode_target(row_id, content):
    """Decode a target's row.

    Other writers may leave anything there, so every field is checked.

    Args:
        row_id: The key of the row, which is the target's identity.
        content: The bytes of the row.

    Returns:
        A TargetEntry, or None where the row names no target to use.
    """
    try:
        return _decode(row_id, json.loads(content))
    except (KeyError, TypeError, ValueError, AttributeError, RecursionError):
        return None


def same_registration(old, new):
    """Whether a target's row changed in nothing that matters to routing.

    Args:
        old: The earlier bytes of the row.
        new: The later ones.
    """
    before = decode_target("", old)
    after = decode_target("", new)
    if before is None or after is None:
        return old == new
    turned_cold = after.cold_left_s > before.cold_left_s
    return not turned_cold and attrs.evolve(before, cold_left_s=0.0) == attrs.evolve(
        after, cold_left_s=0.0
    )


def _decode(row_id, body):
    state = body["state"]
    if state not in (READY_STATE, LEAVING_STATE):
        return None
    ip, _, port = _text(body["address"]).rpartition(":")
    return TargetEntry(
        id=row_id,
        # Only the start of a lifetime; absent where a target says nothing of it.
        born_ms=_number(body.get("born", 0), 0, float("inf")),
        service=_text(body["service"]),
        address=(_text(ip), _number(int(port), 1, 65_535)),
        data_centre=_text(body["zone"]),
        slots=_number(body["slots"], 1, SLOTS_MAX),
        leaving=state == LEAVING_STATE,
        cold_left_s=_figure(body.get("warmupLeftMs", 0)) / 1000,
    )


def _text(value):
    if not isinstance(value, str) or not value:
        raise TypeError("not a text")
    return value


def _number(value, least, most):
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError("not a whole number")
    if not least <= value <= most:
        raise ValueError("out of range")
    return value


def _figure(value):
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError("not a number")
    if not 0 <= value < float("inf"):
        raise ValueError("out of range")
    return value
