"""Translate the questions that callers and the platform ask of a VM."""

import json
from urllib.parse import parse_qs, urlsplit

import attrs

__all__ = [
    "DirectoryQuestion",
    "directory_answer",
    "is_ready_question",
    "read_directory_question",
]

RESOLVE_PATH = "/-/resolve"
READY_PATH = "/-/ready"


@attrs.frozen
class DirectoryQuestion:
    """A caller asks which VMs to use.

    Attributes:
        host: The host that it wants to call, in lower case.
        data_centre: The caller's data centre, or an empty text.
    """

    host: str
    data_centre: str


def read_directory_question(target):
    """Decode a request target as a DirectoryQuestion, or None for another question.

    >>> read_directory_question("/-/resolve?name=a.example&region=r&zone=z")
    DirectoryQuestion(host='a.example', data_centre='z')
    """
    parts = urlsplit(target)
    if parts.path != RESOLVE_PATH:
        return None
    query = parse_qs(parts.query)
    host = query.get("name", [""])[0].lower()
    return DirectoryQuestion(host, query.get("zone", [""])[0])


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
