"""Choose the headers that go on to the next hop."""

__all__ = ["FRAMING", "end_to_end"]

FRAMING = frozenset({b"content-length", b"transfer-encoding"})
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


def end_to_end(headers):
    """Return the headers that are not meant for one hop only.

    >>> end_to_end([(b"connection", b"close, X-Hop"), (b"x-hop", b"1"), (b"a", b"b")])
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
