"""Translate the questions that callers and the platform ask of a VM."""

import json
from urllib.parse import parse_qs, urlsplit

import attrs

__all__ = [
    "ResolveRequest",
    "encode_resolve_response",
    "is_readiness_check",
    "parse_resolve_request",
]

RESOLVE_PATH = "/-/resolve"
READY_PATH = "/-/ready"


@attrs.frozen
class ResolveRequest:
    """A caller asks which VMs to use.

    Attributes:
        host: The host that it wants to call, in lower case.
        data_centre: The caller's data centre, or an empty text.
    """

    host: str
    data_centre: str


def parse_resolve_request(target):
    """Decode a request target as a ResolveRequest, or None for another question.

    >>> parse_resolve_request("/-/resolve?name=a.example&region=r&zone=z")
    ResolveRequest(host='a.example', data_centre='z')
    """
    parts = urlsplit(target)
    if parts.path != RESOLVE_PATH:
        return None
    query = parse_qs(parts.query)
    host = query.get("name", [""])[0].lower()
    return ResolveRequest(host, query.get("zone", [""])[0])


def is_readiness_check(target):
    """Whether the platform asks if this VM takes requests."""
    return urlsplit(target).path == READY_PATH


def encode_resolve_response(addresses, ttl_s):
    """Return the body that names VMs to a caller.

    Args:
        addresses: Pairs of IP and port.
        ttl_s: How long the caller may keep the answer, in seconds.
    """
    texts = [f"{ip}:{port}" for ip, port in addresses]
    return json.dumps({"addresses": texts, "ttlS": ttl_s}).encode()
