"""Read headers, choose those that go on to the next hop, and encode bodies."""

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
# A Connection header that names these would change what the next hop reads.
_NEVER_HOP_BY_HOP = frozenset({b"content-length", b"host", b"idempotency-key"})


def end_to_end_headers(headers):
    """Return the headers that are not meant for one hop only.

    >>> headers = [(b"connection", b"close, X-Hop"), (b"x-hop", b"1"), (b"a", b"b")]
    >>> end_to_end_headers(headers)
    [(b'a', b'b')]
    """
    named = {
        word.strip().lower()
        for name, value in headers
        if name == b"connection"
        for word in value.split(b",")
    }
    dropped = (named - _NEVER_HOP_BY_HOP) | _HOP_BY_HOP
    return [(name, value) for name, value in headers if name not in dropped]


def header(headers, name, default=None):
    """Return the text of the first header called ``name`` (lower-case bytes)."""
    for key, value in headers:
        if key == name:
            return value.decode("latin-1")
    return default


def json_body(value):
    """Encode a JSON value as bytes with keys in order."""
    return json.dumps(value, sort_keys=True, separators=(",", ":")).encode()
