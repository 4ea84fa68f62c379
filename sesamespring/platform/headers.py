"""Translate the platform's headers of requests and answers."""

import attrs

from sesamespring.http.headers import header
from sesamespring.routing.records import LoadReport

__all__ = [
    "ResponseMetadata",
    "parse_response_headers",
    "read_request_id",
    "read_timeout_s",
    "local_response_headers",
    "target_request_headers",
]

REQUEST_ID = b"sesamespring-request-id"
# How many milliseconds the caller will wait, counted from the request.
TIMEOUT_MS = b"sesamespring-deadline-ms"
EXPECTED_TARGET = b"sesamespring-expect-instance"
# A target's signature; an answer without it was not made by a target.
SIGNATURE = b"sesamespring-server-stamp"
NOT_RUN = b"sesamespring-not-executed"
TARGET_ID = b"sesamespring-instance-id"
COLD_LEFT_MS = b"sesamespring-warmup-ms"
LOAD = b"sesamespring-server-load"
MISDIRECTED = 421
USUAL_SLOWDOWN = 100
TIMEOUT_MS_MAX = 3_600_000
SLOWDOWN_MAX = 1000.0
_SET_BY_US = frozenset({TIMEOUT_MS, EXPECTED_TARGET})


@attrs.frozen
class ResponseMetadata:
    """What a target's answer says beside its status and body.

    Attributes:
        request_id: The request that it answers, in bytes, or None.
        signed: Whether it bears a target's signature.
        not_run: Whether it promises that the request has not run.
        misdirected: Whether another target has the address.
        encoded: Whether its body is not the target's own bytes.
        target_id: The target's identity, or None.
        load: The LoadReport, or None.
        cold_left_s: How much longer the target is cold, in seconds, or None.
        idle_s: How long the target keeps the connection idle, in seconds, or None.
    """

    request_id: bytes | None
    signed: bool
    not_run: bool
    misdirected: bool
    encoded: bool
    target_id: str | None
    load: LoadReport | None
    cold_left_s: float | None
    idle_s: float | None


def read_request_id(headers):
    """Return the caller's request id in bytes, or None."""
    return next((value for name, value in headers if name == REQUEST_ID), None)


def read_timeout_s(headers):
    """Return the seconds that the caller will wait, or None.

    >>> read_timeout_s([(b"sesamespring-deadline-ms", b"800")])
    0.8
    >>> read_timeout_s([(b"sesamespring-deadline-ms", b"soon")]) is None
    True
    """
    raw = header(headers, TIMEOUT_MS)
    if raw is None or not raw.isascii() or not raw.isdigit():
        return None
    return min(int(raw), TIMEOUT_MS_MAX) / 1000


def local_response_headers(request_id, retry_after_s):
    """Return the headers of an answer that this VM gives itself.

    Args:
        request_id: The caller's request id in bytes, or None.
        retry_after_s: Seconds after which coming back helps, or None.
    """
    headers = []
    if retry_after_s is not None:
        headers.append((b"retry-after", b"%.3f" % retry_after_s))
    if request_id is not None:
        headers.append((REQUEST_ID, request_id))
    return headers


def target_request_headers(headers, target_id, left_s):
    """Return a request's end-to-end headers with those that are set for a target.

    Args:
        headers: The end-to-end headers of the caller.
        target_id: Identity of the only target that may run it.
        left_s: Seconds that are left for it.
    """
    passed = [pair for pair in headers if pair[0] not in _SET_BY_US]
    passed.append((TIMEOUT_MS, b"%d" % max(1, int(left_s * 1000))))
    passed.append((EXPECTED_TARGET, target_id.encode()))
    return passed


def parse_response_headers(status, headers):
    """Return the ResponseMetadata of a target's answer.

    Args:
        status: Its HTTP status.
        headers: Its headers, with lower-case names, in bytes.
    """
    fields = dict(headers)
    misdirected = status == MISDIRECTED
    target_id = fields.get(TARGET_ID)
    cold_left_ms = _digits(fields.get(COLD_LEFT_MS))
    return ResponseMetadata(
        request_id=fields.get(REQUEST_ID),
        signed=SIGNATURE in fields,
        not_run=NOT_RUN in fields or misdirected,
        misdirected=misdirected,
        encoded=fields.get(b"content-encoding", b"identity") != b"identity",
        target_id=None if target_id is None else target_id.decode("latin-1"),
        load=_read_load(fields.get(LOAD)),
        cold_left_s=None if cold_left_ms is None else cold_left_ms / 1000,
        idle_s=_read_idle(fields.get(b"keep-alive")),
    )


def _read_load(raw):
    """Decode ``running,waiting,slots[,slowdown]``; the last one is a percentage.

    >>> _read_load(b"1,0,2,400")
    LoadReport(running=1, waiting=0, slots=2, slowdown=4.0)
    >>> _read_load(b"1,x") is None
    True
    """
    if raw is None:
        return None
    figures = [_digits(part.strip()) for part in raw.split(b",")]
    if len(figures) < 3 or None in figures:
        return None
    slowdown = figures[3] if len(figures) > 3 else USUAL_SLOWDOWN
    factor = min(SLOWDOWN_MAX, max(1, slowdown) / USUAL_SLOWDOWN)
    return LoadReport(figures[0], figures[1], figures[2], factor)


def _read_idle(raw):
    """Decode a Keep-Alive header such as ``timeout=10``."""
    for part in (raw or b"").split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.lower() == b"timeout":
            return _digits(value)
    return None


def _digits(raw):
    if raw is None or not raw.isdigit() or len(raw) > 9:
        return None
    return int(raw)
