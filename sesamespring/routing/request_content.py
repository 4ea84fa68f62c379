"""Identify requests that ask for the same, whatever their request ids are."""

import hashlib

__all__ = [
    "CONTENT_BODY_BYTES_MAX",
    "base_content_id",
    "callers_content_id",
    "content_id",
]

ID_BYTES = 12
CALLER_BYTES = 6
LENGTH_BYTES = 8
# Bodies that differ only behind this length count as the same.
CONTENT_BODY_BYTES_MAX = 512 * 1024


def content_id(method, host, target, body):
    """Return the id of a request's content as hexadecimal text.

    The headers are left out, as some of them differ between two tries of a caller.

    Args:
        method: HTTP method, text.
        host: Value of the Host header, text.
        target: Request target (path and query), text.
        body: Body in bytes, or at least its first ``CONTENT_BODY_BYTES_MAX`` bytes.

    >>> content_id("GET", "a.example", "/b/1", b"")
    '0d869d536eabd922e268db24'
    """
    digest = hashlib.blake2b(digest_size=ID_BYTES)
    texts = [text.encode("latin-1", "replace") for text in (method, host, target)]
    for part in (*texts, body[:CONTENT_BODY_BYTES_MAX]):
        digest.update(len(part).to_bytes(LENGTH_BYTES, "big"))
        digest.update(part)
    return digest.hexdigest()


def callers_content_id(content, caller):
    """Return the id of a content as one caller sends it.

    What ends a target may be what only this caller sends, such as its credentials.

    Args:
        content: The id that ``content_id`` returns.
        caller: Address of the caller, text.

    >>> callers_content_id("0d869d536eabd922e268db24", "10.64.0.14")
    '0d869d536eabd922e268db24-2f2d07e5fd63'
    """
    digest = hashlib.blake2b(
        caller.encode("latin-1", "replace"), digest_size=CALLER_BYTES
    )
    return f"{content}-{digest.hexdigest()}"


def base_content_id(content):
    """Return the id of a content without what is one caller's.

    >>> base_content_id("0d869d536eabd922e268db24-d0be9bd1cb7f")
    '0d869d536eabd922e268db24'
    """
    return content.partition("-")[0]
