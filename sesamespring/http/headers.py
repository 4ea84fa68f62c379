"""Look up and filter HTTP headers, and encode JSON bodies."""

import json

__all__ = ["FRAMING_HEADERS", "end_to_end_headers", "header", "json_body"]

FRAMING_HEADERS = frozenset({b"content-length", b"transfer-encoding"})
_HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    }
)
# Kept even if the Connection header lists them: without them the next hop would read
# a different request.
_NEVER_HOP_BY_HOP = frozenset({b"content-length", b"host", b"idempotency-key"})


def end_to_end_headers(headers):
    """Return the headers that a proxy forwards, without the hop-by-hop headers.

    Hop-by-hop headers are a fixed set and those that a Connection header lists, except
    the ones that no Connection header may remove.

    Args:
        headers: Pairs of lower-case name and value, in bytes.

    >>> headers = [(b"connection", b"close, X-Hop"), (b"x-hop", b"1"), (b"a", b"b")]
    >>> end_to_end_headers(headers)
    [(b'a', b'b')]
    """
    listed = {
        word.strip().lower()
        for name, value in headers
        if name == b"connection"
        for word in value.split(b",")
    }
    dropped = (listed - _NEVER_HOP_BY_HOP) | _HOP_BY_HOP
    return [(name, value) for name, value in headers if name not in dropped]


def header(headers, name, default=None):
    """Return the value of the first header with this name as text.

    Args:
        headers: Pairs of lower-case name and value, in bytes.
        name: Lower-case name, in bytes.
        default: Returned if no header has this name.
    """
    for key, value in headers:
        if key == name:
            return value.decode("latin-1")
    return default


def json_body(value):
    """Encode a JSON value as compact bytes with sorted keys."""
    return json.dumps(value, sort_keys=True, separators=(",", ":")).encode()
