"""Check single values that come from outside: fields of rows, messages and headers.

Each function returns the checked value or raises MalformedField. Decoders build their
results from these values alone, so that whatever is kept of a foreign value can be
compared, divided, encoded, logged and connected to without an error.
"""

import math
import socket

__all__ = [
    "MalformedField",
    "address",
    "integer",
    "number",
    "parse_digits",
    "text",
    "token",
]

TEXT_BYTES_MAX = 200
# Largest integer that all JSON implementations read exactly.
INTEGER_MAX = 2**53 - 1
DIGITS_MAX = 15
SHOWN_CHARACTERS = 60
PORT_MAX = 65_535
# First bytes of IPv4 addresses that name no single host: "this network", and from
# multicast on.
_THIS_NETWORK = 0
_MULTICAST = 224


class MalformedField(ValueError):
    """A value from outside that cannot be used; the message names it."""


def text(value, bytes_max=TEXT_BYTES_MAX):
    """Return a non-empty text of printable characters.

    Half of a surrogate pair is no character, and cannot be encoded.

    >>> text("dc-a")
    'dc-a'
    """
    if not isinstance(value, str) or not value:
        raise MalformedField(f"{_shown(value)} is no text")
    if not value.isprintable():
        raise MalformedField(f"{_shown(value)} has unprintable characters")
    if len(value if value.isascii() else value.encode()) > bytes_max:
        raise MalformedField(f"{_shown(value)} is longer than {bytes_max} bytes")
    return value


def token(value, bytes_max=TEXT_BYTES_MAX):
    """Return a text of visible ASCII characters, which fits into any header.

    >>> token("i-7f3a91c2")
    'i-7f3a91c2'
    """
    if not text(value, bytes_max).isascii() or " " in value:
        raise MalformedField(f"{_shown(value)} has characters other than visible ASCII")
    return value


def integer(value, minimum=0, maximum=INTEGER_MAX):
    """Return an integer from ``minimum`` to ``maximum``."""
    if isinstance(value, bool) or not isinstance(value, int):
        raise MalformedField(f"{_shown(value)} is no integer")
    if not minimum <= value <= maximum:
        raise MalformedField(f"{_shown(value)} is not in {minimum} to {maximum}")
    return value


def number(value, minimum=0.0, maximum=math.inf):
    """Return a finite number from ``minimum`` to ``maximum`` as a float.

    >>> number(1500, maximum=86_400_000)
    1500.0
    """
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise MalformedField(f"{_shown(value)} is no number")
    # Compared before the conversion, which an integer of hundreds of digits fails.
    if not minimum <= value <= min(maximum, float(INTEGER_MAX)):
        raise MalformedField(f"{_shown(value)} is not in {minimum} to {maximum}")
    return float(value)


def address(value):
    """Return the pair of IP and port in ``IP:PORT``, of one IPv4 host.

    >>> address("10.1.0.15:8641")
    ('10.1.0.15', 8641)
    """
    ip, _, port = text(value).rpartition(":")
    port_number = parse_digits(port)
    if port_number is None or not 1 <= port_number <= PORT_MAX or not _is_host(ip):
        raise MalformedField(f"{_shown(value)} is no IPv4 address with a port")
    return ip, port_number


def parse_digits(value):
    """Return the number in up to ``DIGITS_MAX`` ASCII digits, or None.

    Args:
        value: Text or bytes.

    >>> parse_digits("250"), parse_digits(b"250"), parse_digits("-1")
    (250, 250, None)
    """
    if not value.isascii() or not value.isdigit() or len(value) > DIGITS_MAX:
        return None
    return int(value)


def _is_host(ip):
    try:
        first_byte = socket.inet_pton(socket.AF_INET, ip)[0]
    except OSError:
        return False
    return _THIS_NETWORK < first_byte < _MULTICAST


def _shown(value):
    """Return the start of a value for an error message, which may be logged."""
    if isinstance(value, int) and value.bit_length() > SHOWN_CHARACTERS:
        return f"integer of {value.bit_length()} bits"
    return ascii(value)[:SHOWN_CHARACTERS]
