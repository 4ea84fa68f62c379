"""Rank names for a subject by rendezvous hashing, without coordination between VMs."""

import hashlib
import math

__all__ = ["rank"]

HASH_BYTES = 8


def rank(subject, weights):
    """Return names in order of preference for a subject.

    All VMs that see the same names and weights get the same order. By weighted
    rendezvous hashing, a name that joins or leaves does not change the order of the
    others, and each name comes first in proportion to its weight.

    Args:
        subject: What the names are ranked for, such as the name of a service.
        weights: Dict of non-negative weights by name.

    >>> rank("roster", {"a": 1.0, "b": 1.0}) == rank("roster", {"b": 1.0, "a": 1.0})
    True
    """
    return sorted(weights, key=lambda name: -_score(subject, name, weights[name]))


def _score(subject, name, weight):
    digest = hashlib.blake2b(f"{subject}\0{name}".encode(), digest_size=HASH_BYTES)
    # Pseudo-random number between 0 and 1.
    fraction = (int.from_bytes(digest.digest()) + 0.5) / 2 ** (8 * HASH_BYTES)
    # Names with zero weight get a negative score, so they come last, in hash order.
    return -weight / math.log(fraction) if weight > 0 else -1 / fraction
