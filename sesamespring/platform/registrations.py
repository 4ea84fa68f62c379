"""Decode the registrations that targets write into the store."""

import json

import attrs
from returns.result import Success, safe

from sesamespring.fields import MalformedField, address, integer, number, text, token
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
COLD_MS_MAX = 24 * 3600 * 1000


def decode_target(row_id, content):
    """Decode the registration of a target.

    Other programs may write arbitrary content to the table, so every field is checked,
    also those that are not used: a row in which one is malformed names no target.

    Args:
        row_id: Key of the row, which is the identity of the target.
        content: Content of the row in bytes.

    Returns:
        Success of a TargetEntry, or Failure of the error that the row is refused for.
    """
    return _decode_row(row_id, content)


def same_registration(old, new):
    """Return whether two versions of a target's row are equivalent for routing.

    The remaining cold start may shrink, but not grow.

    Args:
        old: Content of the older version in bytes.
        new: Content of the newer version in bytes.
    """
    before = _decode_content(old)
    after = _decode_content(new)
    if not isinstance(before, Success) or not isinstance(after, Success):
        return old == new
    return _is_equivalent(before.unwrap(), after.unwrap())


def is_earlier_registration(content, known):
    """Return whether a target wrote a row's content before another one.

    Contents of different lifetimes are not compared.

    Args:
        content: Content in question, in bytes.
        known: Content to compare with, in bytes.
    """
    found, last = _read_place(content), _read_place(known)
    if not isinstance(found, Success) or not isinstance(last, Success):
        return False
    return found.unwrap().is_before(last.unwrap())


@attrs.frozen
class _Place:
    """Place of a registration in the order in which its target wrote them."""

    born_ms: int
    sequence: int

    def is_before(self, other):
        return self.born_ms == other.born_ms and self.sequence < other.sequence


@safe
def _read_place(content):
    body = json.loads(content)
    return _Place(integer(body.get("born", 0)), integer(body["sequence"]))


@safe
def _decode_row(row_id, content):
    return _decode(token(row_id), json.loads(content))


@safe
def _decode_content(content):
    return _decode("", json.loads(content))


def _decode(row_id, body):
    integer(body["sequence"])
    return TargetEntry(
        id=row_id,
        # Start of the target's lifetime; some targets do not report it.
        born_ms=integer(body.get("born", 0)),
        service=text(body["service"]),
        address=address(body["address"]),
        data_centre=text(body["zone"]),
        slots=integer(body["slots"], 1, SLOTS_MAX),
        leaving=_is_leaving(body["state"]),
        cold_left_s=number(body["warmupLeftMs"], maximum=COLD_MS_MAX) / 1000,
        version=text(body["version"]),
    )


def _is_leaving(state):
    if state not in (READY_STATE, LEAVING_STATE):
        raise MalformedField(f"state {ascii(state)[:20]} is unknown")
    return state == LEAVING_STATE


def _is_equivalent(before, after):
    turned_cold = after.cold_left_s > before.cold_left_s
    return not turned_cold and attrs.evolve(before, cold_left_s=0.0) == attrs.evolve(
        after, cold_left_s=0.0
    )
