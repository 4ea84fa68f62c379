"""Translate the questions that callers and the platform ask of a VM."""

import json
from urllib.parse import parse_qs, urlsplit

__all__ = ["directory_answer", "is_ready_question", "asked_host"]

RESOLVE_PATH = "/-/resolve"
READY_PATH = "/-/ready"


def asked_host(target):
    """Return the host that a caller asks about, or None for another question.

    >>> asked_host("/-/resolve?name=a.example&region=r&zone=z")
    'a.example'
    """
    parts = urlsplit(target)
    if parts.path != RESOLVE_PATH:
        return None
    return parse_qs(parts.query).get("name", [""])[0].lower()


def is_ready_question(target):
    """Whether the platform asks if this VM takes requests."""
    return urlsplit(target).path == READY_PATH


def directory_answer(addresses, ttl_s):
    """Return the body that names VMs to a caller.

    Args:
        addresses: Pairs of IP and port.
        ttl_s: How long the caller may keep the answer, in seconds.
    """
    texts = [f"{ip}:{port}" for ip, port in addresses]
    return json.dumps({"addresses": texts, "ttlS": ttl_s}).encode()
