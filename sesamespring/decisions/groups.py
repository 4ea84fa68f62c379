"""Choose which entry VMs hold a service's targets, by rendezvous hashing."""

import hashlib

import attrs

__all__ = [
    "Candidate",
    "choose_group",
    "choose_holder",
    "choose_witnesses",
    "eligible_candidates",
    "rank",
]

WITNESSES_MAX = 5


@attrs.frozen
class Candidate:
    """An entry VM that may hold targets.

    Attributes:
        name: Name of the VM.
        data_centre: Its data centre.
        platform_reachable: Whether the platform responds to it.
    """

    name: str
    data_centre: str
    platform_reachable: bool = True


def _weight(subject, name):
    digest = hashlib.blake2b(f"{subject}\0{name}".encode(), digest_size=8)
    return digest.digest()


def rank(subject, names):
    """Return names ordered by their rendezvous weight for a subject, highest first."""
    return sorted(names, key=lambda name: _weight(subject, name), reverse=True)


def choose_group(service, size, candidates):
    """Return the names of a service's group, at least one VM in each data centre.

    Args:
        service: Name of the service.
        size: Number of VMs to choose; raised to the number of data centres.
        candidates: Candidates for the live VMs.

    Returns:
        A tuple of names in order of preference.

    >>> vms = [Candidate(f"vm{n}", f"dc{n % 3}") for n in range(9)]
    >>> len(choose_group("roster", 3, vms))
    3
    """
    ranked = sorted(candidates, key=lambda c: _weight(service, c.name), reverse=True)
    first_of_each = {}
    for candidate in ranked:
        first_of_each.setdefault(candidate.data_centre, candidate)
    chosen = list(first_of_each.values())
    rest = [candidate for candidate in ranked if candidate not in chosen]
    chosen.extend(rest[: max(0, size - len(chosen))])
    return tuple(candidate.name for candidate in chosen)


def choose_holder(target, data_centre, group):
    """Return the name of the VM of a group that should hold a target.

    Args:
        target: Name of the target.
        data_centre: The target's data centre; VMs there are preferred.
        group: The group's Candidates; must not be empty.

    >>> choose_holder("t1", "b", [Candidate("vm1", "a"), Candidate("vm2", "b")])
    'vm2'
    """
    local = [member for member in group if member.data_centre == data_centre]
    return max(local or group, key=lambda member: _weight(target, member.name)).name


def eligible_candidates(candidates):
    """Return the candidates that can renew leases, or all if none can.

    >>> vms = [Candidate("vm1", "a", False), Candidate("vm2", "b")]
    >>> [vm.name for vm in eligible_candidates(vms)]
    ['vm2']
    """
    eligible = [candidate for candidate in candidates if candidate.platform_reachable]
    return eligible or list(candidates)


def choose_witnesses(own_name, candidates):
    """Return the names of a VM's witnesses, spread over the data centres.

    Returns at most WITNESSES_MAX names: an odd number, or two or none if there are no
    more candidates.

    Args:
        own_name: Name of the VM.
        candidates: Candidates for the other live VMs.

    >>> vms = [Candidate(f"vm{n}", f"dc{n % 3}") for n in range(9)]
    >>> len(choose_witnesses("vm10", vms))
    5
    """
    chosen = choose_group(own_name, WITNESSES_MAX, candidates)[:WITNESSES_MAX]
    # Four witnesses tolerate one loss, as three do. Two tolerate none, as one does, but
    # are both kept, so that both must promise.
    return chosen[:-1] if len(chosen) == 4 else chosen
