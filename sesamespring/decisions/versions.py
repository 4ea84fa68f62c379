"""Decide which configuration version is in force, when to pull it, and who polls.

The platform's table defines the total order of versions. An offered version is applied
only if it is newer than the one in force and its content has the digest that the
version was accepted with, so that neither a stale read nor a lagging peer can revert
a version. All times are seconds of one monotonic clock.
"""

import collections
import enum
import math

import attrs

from sesamespring.decisions.groups import rank
from sesamespring.resources.kinds import Resources

__all__ = [
    "Delta",
    "OfferResult",
    "PollerCandidate",
    "VersionTracker",
    "choose_pollers",
    "polling_interval_s",
]

DELTAS_KEPT = 256
PULL_RETRY_S = 1.0
POLLERS_PER_DATA_CENTRE = 2
POLLING_BUDGET_SHARE = 0.2


class OfferResult(enum.Enum):
    """Result of offering a version to a VersionTracker.

    ``TAKEN``: it was applied and is in force. ``STALE``: it is not newer than the
    version in force. ``GAP``: versions in between are missing. ``DIFFERS``: its
    content does not have the version's digest. ``GAP`` and ``DIFFERS`` require a
    complete snapshot.
    """

    TAKEN = "taken"
    STALE = "stale"
    GAP = "gap"
    DIFFERS = "differs"


@attrs.frozen
class Delta:
    """The changes that one version made.

    Attributes:
        version: The version that resulted from the changes.
        digest: Digest of all declared resources at that version.
        after: New resources by key; None for removed ones.
    """

    version: int
    digest: str
    after: dict

    def applied_to(self, resources):
        """Return the Resources at this version, given those at the previous one."""
        added = [resource for resource in self.after.values() if resource is not None]
        removed = [key for key, resource in self.after.items() if resource is None]
        return resources.with_changes(self.version, added, removed)


class VersionTracker:
    """The configuration in force at one VM and the latest changes that led to it.

    >>> tracker = VersionTracker()
    >>> tracker.offer_deltas([Delta(1, Resources().digest(), {})])
    <OfferResult.TAKEN: 'taken'>
    >>> tracker.offer_snapshot(Resources(1), Resources().digest())
    <OfferResult.STALE: 'stale'>
    """

    def __init__(self):
        self._resources = Resources()
        self._deltas = collections.deque(maxlen=DELTAS_KEPT)
        self._next_pull_s = -math.inf

    @property
    def resources(self):
        """The Resources in force."""
        return self._resources

    @property
    def version(self):
        """Version of the Resources in force."""
        return self._resources.version

    def offer_snapshot(self, resources, digest):
        """Apply a complete snapshot if it is newer.

        Args:
            resources: The Resources.
            digest: Digest that the version was accepted with.

        Returns:
            An OfferResult; never GAP.
        """
        if resources.version <= self.version:
            return OfferResult.STALE
        if resources.digest() != digest:
            return OfferResult.DIFFERS
        self._resources = resources
        self._deltas.clear()
        self._next_pull_s = -math.inf
        return OfferResult.TAKEN

    def offer_deltas(self, deltas):
        """Apply the changes that follow the version in force.

        Args:
            deltas: Deltas in the order of their versions.

        Returns:
            An OfferResult; on GAP and DIFFERS, the deltas before the fault are applied.
        """
        outcome = OfferResult.STALE
        for delta in deltas:
            if delta.version <= self.version:
                continue
            if delta.version != self.version + 1:
                return OfferResult.GAP
            resources = delta.applied_to(self._resources)
            if resources.digest() != delta.digest:
                return OfferResult.DIFFERS
            self._resources = resources
            self._deltas.append(delta)
            outcome = OfferResult.TAKEN
        if outcome is OfferResult.TAKEN:
            self._next_pull_s = -math.inf
        return outcome

    def deltas_after(self, version):
        """Return the Deltas after a version, or None if some are no longer kept."""
        missing = self.version - version
        if missing <= 0:
            return ()
        if missing > len(self._deltas):
            return None
        return tuple(self._deltas)[-missing:]

    def should_pull(self, peer_version, now_s):
        """Return whether to pull changes from a peer that reports a version.

        Only one pull is open at a time; the next may start once a version was applied
        or PULL_RETRY_S have passed.
        """
        if peer_version <= self.version or now_s < self._next_pull_s:
            return False
        self._next_pull_s = now_s + PULL_RETRY_S
        return True


@attrs.frozen
class PollerCandidate:
    """A live VM that may poll the platform's table.

    Attributes:
        name: Name of the VM.
        data_centre: Its data centre.
        platform_reachable: Whether the platform responded to it recently.
    """

    name: str
    data_centre: str
    platform_reachable: bool


def choose_pollers(data_centre, candidates):
    """Return the names of the VMs that poll the table, a few in each data centre.

    VMs that do not reach the platform are chosen only in the given data centre and
    only if no VM there reaches it, so that the recovery of the platform is detected.

    Args:
        data_centre: Name of the calling VM's data centre.
        candidates: PollerCandidates, including the calling VM.

    >>> vms = [PollerCandidate(name, "a", name != "vm1") for name in ("vm1", "vm2")]
    >>> choose_pollers("a", vms)
    {'vm2'}
    """
    names = {}
    for candidate in candidates:
        if candidate.platform_reachable:
            names.setdefault(candidate.data_centre, []).append(candidate.name)
    if data_centre not in names:
        names[data_centre] = [
            c.name for c in candidates if c.data_centre == data_centre
        ]
    return {
        name
        for place, reaching in names.items()
        for name in rank(f"pollers of {place}", reaching)[:POLLERS_PER_DATA_CENTRE]
    }


def polling_interval_s(interval_min_s, pollers, platform_calls_per_s):
    """Return the interval in seconds at which one poller reads the table.

    Pollers together use at most POLLING_BUDGET_SHARE of the budget.

    Args:
        interval_min_s: Interval in the settings.
        pollers: Number of pollers in all data centres.
        platform_calls_per_s: The measuring budget's limit on calls to the platform.

    >>> polling_interval_s(1.0, 26, 65)
    2.0
    """
    return max(interval_min_s, pollers / (platform_calls_per_s * POLLING_BUDGET_SHARE))
