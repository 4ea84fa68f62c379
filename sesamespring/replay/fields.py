"""Build the attrs fields of trace records and the checks of their values."""

import math

import attrs

__all__ = [
    "at_ms",
    "field",
    "flag",
    "integer",
    "number",
    "record_list",
    "reference",
    "text",
]

NUMBER_MAX = 1e12


def text(value):
    """Return a non-empty string, or raise ValueError with what is expected."""
    if not isinstance(value, str) or not value:
        raise ValueError("a non-empty string")
    return value


def flag(value):
    """Return a boolean, or raise ValueError with what is expected."""
    if not isinstance(value, bool):
        raise ValueError("true or false")
    return value


def integer(low):
    """Return a check for integers that are not below a bound."""

    def check(value):
        is_number = isinstance(value, int) and not isinstance(value, bool)
        if not is_number or not low <= value <= NUMBER_MAX:
            raise ValueError(f"an integer of at least {low}")
        return value

    return check


def number(low, high=math.inf):
    """Return a check for numbers between two bounds, both included."""

    def check(value):
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        if not is_number or not low <= value <= high or abs(value) > NUMBER_MAX:
            raise ValueError(f"a number from {low} to {high}")
        return float(value)

    return check


def field(check, default=attrs.NOTHING, refers_to=None):
    """Return an attrs field of a record.

    Args:
        check: Function from a JSON value to the field's value; raises ValueError with
            what is expected.
        default: Value if the line has none; without a default the field is required.
        refers_to: Kind of the names in the header that it must be one of ("service",
            "target", "vm" or "data_centre"), or None.
    """
    return attrs.field(
        default=default, metadata={"check": check, "refers_to": refers_to}
    )


def record_list(record_type):
    """Return an attrs field for a tuple of records of one type."""
    return attrs.field(metadata={"items": record_type}, converter=tuple)


def at_ms():
    """Return the attrs field for the time of a call or an event, in milliseconds."""
    return field(number(0))


def reference(kind):
    """Return an attrs field for a name that the header declares.

    Args:
        kind: Kind of the name, as for ``refers_to`` of ``field``.
    """
    return field(text, refers_to=kind)
