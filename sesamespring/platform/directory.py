"""Parse resolve requests of callers and readiness checks of the platform."""

import json
from urllib.parse import parse_qs

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
    """A caller's request for the addresses of VMs that serve a host.

    Attributes:
        host: The host that the caller is going to call, in lower case.
        data_centre: The caller's data centre, or an empty string.
    """

    host: str
    data_centre: str


def parse_resolve_request(target):
    """Return the ResolveRequest in a request target, or None if it is none.

    >>> parse_resolve_request("/-/resolve?name=a.example&region=r&zone=z")
    ResolveRequest(host='a.example', data_centre='z')
    """
    path, _, query_text = target.partition("?")
    if path != RESOLVE_PATH:
        return None
    query = parse_qs(query_text)
    host = query.get("name", [""])[0].lower()
    return ResolveRequest(host, query.get("zone", [""])[0])


def is_readiness_check(target):
    """Return whether a request target is that of the readiness check."""
    return target.partition("?")[0] == READY_PATH


def encode_resolve_response(addresses, ttl_s):
    """Return the JSON body that lists VMs to a caller.

    Args:
        addresses: Pairs of IP and port.
        ttl_s: How long the caller may cache the response, in seconds.
    """
    texts = [f"{ip}:{port}" for ip, port in addresses]
    return json.dumps({"addresses": texts, "ttlS": ttl_s}).encode()
