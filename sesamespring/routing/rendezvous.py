"""Rank names for a subject, alike at all VMs that see the same names."""

import hashlib
import math

__all__ = ["rank"]

HASH_BYTES = 8


def rank(subject, weights):
    """Return names in the order in which they are preferred for a subject.

    Rendezvous hashing: a name that joins or leaves moves no other one, and a name is
    first as often as its weight says.

    Args:
        subject: What they are ranked for, such as a service's name.
        weights: Dict of positive weights by name.

    >>> rank("roster", {"a": 1.0, "b": 1.0}) == rank("roster", {"b": 1.0, "a": 1.0})
    True
    """
    return sorted(weights, key=lambda name: -_score(subject, name, weights[name]))


def _score(subject, name, weight):
    digest = hashlib.blake2b(f"{subject}\0{name}".encode(), digest_size=HASH_BYTES)
    part = (int.from_bytes(digest.digest()) + 0.5) / 2 ** (8 * HASH_BYTES)
    # Names without weight come last, in an order of their own.
    return -weight / math.log(part) if weight > 0 else -1 / part
