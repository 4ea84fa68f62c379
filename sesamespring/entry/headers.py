"""Read the headers that count here, and choose those that go on to the next hop."""

from sesamespring.http import header
from sesamespring.http.headers import end_to_end_headers

__all__ = [
    "IDEMPOTENCY_KEY_HEADER",
    "REQUEST_TIMEOUT_HEADER",
    "answer_headers",
    "request_headers",
    "request_timeout_s",
]

IDEMPOTENCY_KEY_HEADER = b"idempotency-key"
REQUEST_TIMEOUT_HEADER = b"request-timeout-ms"
TIMEOUT_DIGITS_MAX = 9
_REPLACED_IN_REQUESTS = frozenset({b"host", REQUEST_TIMEOUT_HEADER})


def request_timeout_s(headers, longest_ms):
    """Return the seconds until the caller stops waiting, or None where malformed.

    Args:
        headers: The request's headers.
        longest_ms: The service's deadline, which is the default too.

    >>> request_timeout_s([(b"request-timeout-ms", b"250")], 2000)
    0.25
    >>> request_timeout_s([(b"request-timeout-ms", b"soon")], 2000) is None
    True
    """
    raw = header(headers, REQUEST_TIMEOUT_HEADER)
    if raw is None:
        return longest_ms / 1000
    if not raw.isascii() or not raw.isdigit() or len(raw) > TIMEOUT_DIGITS_MAX:
        return None
    return min(int(raw), longest_ms) / 1000 if int(raw) else None


def request_headers(headers, address, left_s):
    """Return the headers of the request to a target.

    Args:
        headers: The caller's headers.
        address: Pair of IP and port of the target.
        left_s: Seconds until the deadline.
    """
    passed = [
        pair
        for pair in end_to_end_headers(headers)
        if pair[0] not in _REPLACED_IN_REQUESTS
    ]
    left_ms = max(1, int(left_s * 1000))
    passed.append((b"host", f"{address[0]}:{address[1]}".encode()))
    passed.append((REQUEST_TIMEOUT_HEADER, str(left_ms).encode()))
    if header(headers, b"transfer-encoding") is not None:
        passed.append((b"transfer-encoding", b"chunked"))
    return passed


def answer_headers(headers, closing):
    """Return the headers of the answer to the caller.

    Args:
        headers: The target's headers.
        closing: Whether the caller's connection ends after this answer.
    """
    passed = end_to_end_headers(headers)
    if closing:
        passed.append((b"connection", b"close"))
    return passed
