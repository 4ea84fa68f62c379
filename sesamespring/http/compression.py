"""Compress the bodies of responses between VMs whose builds both understand it."""

import zlib

from sesamespring.http.headers import header

__all__ = ["ACCEPT_DEFLATE", "compress_response", "decompress_body"]

ACCEPT_DEFLATE = ("Accept-Encoding", "deflate")
CONTENT_DEFLATE = ("Content-Encoding", "deflate")
# Shorter bodies gain less than the header takes.
COMPRESSED_BYTES_MIN = 256
# The fastest level; higher ones save little on rows of tables.
LEVEL = 1


def compress_response(request_headers, body):
    """Return the further headers and the body of a response, compressed if accepted.

    Args:
        request_headers: Pairs of lower-case name and value of the request, in bytes.
        body: The body in bytes.
    """
    accepted = header(request_headers, b"accept-encoding", "")
    if accepted != ACCEPT_DEFLATE[1] or len(body) < COMPRESSED_BYTES_MIN:
        return [], body
    return [CONTENT_DEFLATE], zlib.compress(body, LEVEL)


def decompress_body(response_headers, content, bytes_max):
    """Return the body of a response, decompressed if its headers say so.

    Args:
        response_headers: Pairs of lower-case name and value, in bytes.
        content: The body as received.
        bytes_max: Longest body that is accepted.

    Raises:
        ValueError: It is malformed, cut off or too long.
    """
    if header(response_headers, b"content-encoding", "") != CONTENT_DEFLATE[1]:
        return content
    inflater = zlib.decompressobj()
    try:
        body = inflater.decompress(content, bytes_max)
    except zlib.error as error:
        raise ValueError(f"malformed compressed body: {error}") from error
    if not inflater.eof:
        raise ValueError("compressed body is cut off or too long")
    return body
