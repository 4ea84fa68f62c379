"""Check the values in decoded thrift messages, so that none of them harms a handler.

Thrift guarantees the types only: a number may be no number at all, which breaks the
order of timers, and a text may have any characters.
"""

import functools

from thrift.Thrift import TType

from sesamespring.fields import MalformedField

__all__ = ["check_message"]

NUMBER_MAX = 1e9
# Leaves room for a count to go on.
I32_MAX = 1_000_000_000
TEXT_CHARACTERS_MAX = 255
# Infinite where a request could not be placed at all.
MAY_BE_INFINITE = frozenset({"needed_s"})
_INFINITE = float("inf")


def check_message(message):
    """Check a thrift struct and those in it.

    Args:
        message: The decoded struct, whose required fields are present.

    Raises:
        MalformedField: A number is out of range, or a text too long or unprintable.
    """
    for name, check in _checks(type(message)):
        value = getattr(message, name)
        if value is not None:
            check(name, value)


@functools.cache
def _checks(struct):
    """Return the tuple of pairs of field name and check of a struct's class."""
    specs = [spec for spec in struct.thrift_spec if spec is not None]
    found = [(spec[2], _check_of(spec[1], spec[3])) for spec in specs]
    return tuple((name, check) for name, check in found if check is not None)


def _check_of(field_type, arguments):
    """Return the function of name and value that checks a field, or None."""
    if field_type == TType.LIST:
        check_item = _check_of(arguments[0], arguments[1])
        return check_item and functools.partial(_check_list, check_item)
    if field_type == TType.STRUCT:
        return _check_struct
    if field_type == TType.STRING:
        return _check_text if arguments == "UTF8" else None
    return _SCALAR_CHECKS.get(field_type)


def _check_list(check_item, name, values):
    for value in values:
        check_item(name, value)


def _check_struct(_, value):
    value.validate()
    check_message(value)


def _check_text(name, value):
    if len(value) > TEXT_CHARACTERS_MAX or not value.isprintable():
        raise MalformedField(f"{name} is too long or not printable")


def _check_number(name, value):
    if value == _INFINITE and name in MAY_BE_INFINITE:
        return
    # Not a number fails every comparison.
    if not -NUMBER_MAX <= value <= NUMBER_MAX:
        raise MalformedField(f"{name} is out of range: {value}")


def _check_i32(name, value):
    if not -I32_MAX <= value <= I32_MAX:
        raise MalformedField(f"{name} is out of range: {value}")


_SCALAR_CHECKS = {TType.DOUBLE: _check_number, TType.I32: _check_i32}
