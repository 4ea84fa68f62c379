"""Judge which targets, and which services, a VM reaches over its own links."""

import math

import attrs

__all__ = ["Reachability"]

# Evidence that a target is reached counts for this long.
CONTACT_LIFETIME_S = 5.0
# Targets of a service that have to fail before the VM counts as cut off from it, unless
# the service has fewer.
FAILED_TARGETS_MIN = 2


@attrs.define(eq=False)
class _Link:
    """What is known of the link to one target.

    Attributes:
        entry: The TargetEntry.
        contact_s: Time of the last response or new connection.
        failed: Whether the last new connection failed.
    """

    entry: object
    contact_s: float = -math.inf
    failed: bool = False


class Reachability:
    """Which targets a VM reaches, from its attempts, health checks and own tests.

    Load it answers: a VM whose links to some or all targets fail, while its links to
    callers and other VMs work. Only a new connection shows that a link is back: one
    that was open before may live on while new ones fail.
    """

    def __init__(self):
        self._links = {}

    @property
    def unreachable_services(self):
        """Sorted tuple of the services of which more targets fail than are reached."""
        return self._unreachable_services

    _unreachable_services = ()

    def set_targets(self, entries):
        """Replace the targets, a list of TargetEntry."""
        kept = {}
        for entry in entries:
            link = kept[entry.key] = self._links.get(entry.key) or _Link(entry)
            link.entry = entry
        self._links = kept

    def record_contact(self, key, now_s):
        """Record that a target responded on an open connection."""
        link = self._links.get(key)
        if link is not None:
            link.contact_s = now_s

    def record_connected(self, key, now_s):
        """Record that a target accepted a connection."""
        link = self._links.get(key)
        if link is not None:
            link.contact_s = now_s
            link.failed = False

    def record_failure(self, key):
        """Record that no connection could be made; return whether this is news."""
        link = self._links.get(key)
        if link is None or link.failed:
            return False
        link.failed = True
        return True

    def forget_failure(self, key):
        """Drop a failure that is the target's own, as other VMs fail there too."""
        link = self._links.get(key)
        if link is not None:
            link.failed = False

    def contact_s(self, key):
        """Return when a target was last reached, or minus infinity."""
        link = self._links.get(key)
        return -math.inf if link is None else link.contact_s

    def has_failed(self, key):
        """Return whether the last new connection to a target failed."""
        link = self._links.get(key)
        return link is not None and link.failed

    def reaches(self, entry):
        """Return whether a request may be sent to a target over this VM's links."""
        if entry.service in self._unreachable_services:
            return False
        return not self.has_failed(entry.key)

    def entries(self, service):
        """Return the TargetEntries of a service, the longest without contact first."""
        links = [k for k in self._links.values() if k.entry.service == service]
        links.sort(key=lambda link: link.contact_s)
        return [link.entry for link in links]

    def services(self):
        """Return the set of the names of all services that have targets."""
        return {link.entry.service for link in self._links.values()}

    def last_contact_s(self, service):
        """Return when any target of a service was last reached."""
        return max((self.contact_s(e.key) for e in self.entries(service)), default=0.0)

    def judge(self, now_s):
        """Update ``unreachable_services``; return whether it has changed."""
        names = sorted(s for s in self.services() if self._is_unreachable(s, now_s))
        changed = tuple(names) != self._unreachable_services
        self._unreachable_services = tuple(names)
        return changed

    def _is_unreachable(self, service, now_s):
        links = [k for k in self._links.values() if k.entry.service == service]
        failed = sum(link.failed for link in links)
        reached = sum(
            not link.failed and now_s - link.contact_s < CONTACT_LIFETIME_S
            for link in links
        )
        return failed >= min(FAILED_TARGETS_MIN, len(links)) and failed > reached
