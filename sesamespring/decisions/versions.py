"""Decide which configuration version is in force, whom to ask, and who polls.

The platform's table gives the one order of versions. An offer is taken only if it
is newer than what is in force and its content has the digest that its version was
accepted with, so that no stale read and no lagging peer can bring a version back.
All times are seconds of one monotonic clock.
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
    """What became of an offered version.

    ``TAKEN`` is in force now. ``STALE`` is not newer than what is in force. ``GAP``
    lacks versions in between. ``DIFFERS`` has not the digest of its version. The
    last two call for a whole snapshot.
    """

    TAKEN = "taken"
    STALE = "stale"
    GAP = "gap"
    DIFFERS = "differs"


@attrs.frozen
class Delta:
    """What one version changed.

    Attributes:
        version: The version that the change led to.
        digest: Digest of all declared resources at that version.
        after: Resources by key as they are since; None for removed ones.
    """

    version: int
    digest: str
    after: dict

    def applied_to(self, resources):
        """Return the Resources at this version, made from those one before."""
        added = [resource for resource in self.after.values() if resource is not None]
        removed = [key for key, resource in self.after.items() if resource is None]
        return resources.with_changes(self.version, added, removed)


class VersionTracker:
    """The configuration in force at one VM and the changes that led to it.

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
        """Take a whole snapshot if it is newer.

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
        """Take the changes that follow what is in force.

        Args:
            deltas: Deltas in the order of their versions.

        Returns:
            An OfferResult; GAP and DIFFERS leave what came before the fault in force.
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
        """Return the Deltas that lead on from a version, or None if some are gone."""
        missing = self.version - version
        if missing <= 0:
            return ()
        if missing > len(self._deltas):
            return None
        return tuple(self._deltas)[-missing:]

    def should_pull(self, peer_version, now_s):
        """Tell whether to ask a peer that reports a version for its changes.

        One question is open at a time; the next may follow when an answer was
        taken or after a timeout.
        """
        if peer_version <= self.version or now_s < self._next_pull_s:
            return False
        self._next_pull_s = now_s + PULL_RETRY_S
        return True


@attrs.frozen
class PollerCandidate:
    """A live VM that may look at the table.

    Attributes:
        name: Name of the VM.
        data_centre: Its data centre.
        platform_reachable: Whether the platform answered it lately.
    """

    name: str
    data_centre: str
    platform_reachable: bool


def choose_pollers(data_centre, candidates):
    """Return the names of the VMs that look at the table, a few a data centre.

    VMs that do not reach the platform are not chosen, but in the given data centre if
    no VM there reaches it, so that somebody notices when it is back.

    Args:
        data_centre: Name of the data centre of the VM that asks.
        candidates: PollerCandidates, the VM that asks among them.

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


def polling_interval_s(least_s, pollers, platform_calls_per_s):
    """Return the seconds between two looks of one poller at the table.

    Args:
        least_s: Seconds that the settings ask for.
        pollers: How many VMs poll in all data centres.
        platform_calls_per_s: The measuring budget's bound for the platform.

    >>> polling_interval_s(1.0, 26, 65)
    2.0
    """
    return max(least_s, pollers / (platform_calls_per_s * POLLING_BUDGET_SHARE))
