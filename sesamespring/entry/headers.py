"""Parse the request headers used by the entry VM and build forwarded headers."""

from sesamespring.http import header
from sesamespring.http.headers import end_to_end_headers

__all__ = [
    "IDEMPOTENCY_KEY_HEADER",
    "REQUEST_TIMEOUT_HEADER",
    "request_headers",
    "request_timeout_s",
    "response_headers",
]

IDEMPOTENCY_KEY_HEADER = b"idempotency-key"
REQUEST_TIMEOUT_HEADER = b"request-timeout-ms"
TIMEOUT_DIGITS_MAX = 9
_REPLACED_IN_REQUESTS = frozenset({b"host", REQUEST_TIMEOUT_HEADER})


def request_timeout_s(headers, timeout_max_ms):
    """Return the caller's timeout in seconds, or None if the header is malformed.

    Args:
        headers: The request's headers.
        timeout_max_ms: The service's deadline in milliseconds: the upper limit, and the
            timeout if the request has no Request-Timeout-Ms header.

    >>> request_timeout_s([(b"request-timeout-ms", b"250")], 2000)
    0.25
    >>> request_timeout_s([(b"request-timeout-ms", b"soon")], 2000) is None
    True
    """
    raw = header(headers, REQUEST_TIMEOUT_HEADER)
    if raw is None:
        return timeout_max_ms / 1000
    if not raw.isascii() or not raw.isdigit() or len(raw) > TIMEOUT_DIGITS_MAX:
        return None
    return min(int(raw), timeout_max_ms) / 1000 if int(raw) else None


def request_headers(headers, address, left_s):
    """Return the headers of the request to a target.

    Args:
        headers: The caller's headers.
        address: Pair of IP and port of the target.
        left_s: Seconds until the deadline.
    """
    forwarded = [
        pair
        for pair in end_to_end_headers(headers)
        if pair[0] not in _REPLACED_IN_REQUESTS
    ]
    left_ms = max(1, int(left_s * 1000))
    forwarded.append((b"host", f"{address[0]}:{address[1]}".encode()))
    forwarded.append((REQUEST_TIMEOUT_HEADER, str(left_ms).encode()))
    if header(headers, b"transfer-encoding") is not None:
        forwarded.append((b"transfer-encoding", b"chunked"))
    return forwarded


def response_headers(headers, closing):
    """Return the headers of the response to the caller.

    Args:
        headers: The headers of the target's response.
        closing: Whether the caller's connection is closed after this response.
    """
    forwarded = end_to_end_headers(headers)
    if closing:
        forwarded.append((b"connection", b"close"))
    return forwarded
