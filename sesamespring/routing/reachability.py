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
    """

    entry: object
    contact_s: float = -math.inf


class Reachability:
    """Which targets a VM reaches, from its attempts, health checks and own tests.

    Load it answers: a VM whose links to some or all targets fail, while its links to
    callers and other VMs work. Only a new connection shows that a link is back: one
    that was open before may live on while new ones fail. While none fails, nothing
    but the time of each contact is kept up to date, however many targets there are.
    """

    def __init__(self):
        self._links = {}
        self._links_by_service = {}
        # Keys of the targets to which the last new connection failed.
        self._failed = set()

    @property
    def unreachable_services(self):
        """Sorted tuple of the services of which more targets fail than are reached."""
        return self._unreachable_services

    _unreachable_services = ()

    def set_targets(self, entries):
        """Replace the targets, a list of TargetEntry."""
        kept = {}
        by_service = {}
        for entry in entries:
            link = kept[entry.key] = self._links.get(entry.key) or _Link(entry)
            link.entry = entry
            by_service.setdefault(entry.service, []).append(link)
        self._links = kept
        self._links_by_service = by_service
        self._failed &= kept.keys()

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
            self._failed.discard(key)

    def record_failure(self, key):
        """Record that no connection could be made; return whether this is news."""
        if key not in self._links or key in self._failed:
            return False
        self._failed.add(key)
        return True

    def forget_failure(self, key):
        """Drop a failure that is the target's own, as other VMs fail there too."""
        self._failed.discard(key)

    def contact_s(self, key):
        """Return when a target was last reached, or minus infinity."""
        link = self._links.get(key)
        return -math.inf if link is None else link.contact_s

    def has_failed(self, key):
        """Return whether the last new connection to a target failed."""
        return key in self._failed

    def reaches(self, entry):
        """Return whether a request may be sent to a target over this VM's links."""
        if entry.service in self._unreachable_services:
            return False
        return not self.has_failed(entry.key)

    def entries(self, service):
        """Return the TargetEntries of a service, the longest without contact first."""
        links = self._links_by_service.get(service, ())
        return [link.entry for link in sorted(links, key=lambda k: k.contact_s)]

    def services(self):
        """Return the set of the names of all services that have targets."""
        return set(self._links_by_service)

    def failing_services(self):
        """Return the set of the names of the services of which some targets fail."""
        return {self._links[key].entry.service for key in self._failed}

    def last_contact_s(self, service):
        """Return when any target of a service was last reached."""
        links = self._links_by_service.get(service, ())
        return max((link.contact_s for link in links), default=0.0)

    def judge(self, now_s):
        """Update ``unreachable_services``; return whether it has changed."""
        failing = self.failing_services()
        names = sorted(s for s in failing if self._is_unreachable(s, now_s))
        changed = tuple(names) != self._unreachable_services
        self._unreachable_services = tuple(names)
        return changed

    def _is_unreachable(self, service, now_s):
        links = self._links_by_service[service]
        failed = sum(link.entry.key in self._failed for link in links)
        reached = sum(
            link.entry.key not in self._failed
            and now_s - link.contact_s < CONTACT_LIFETIME_S
            for link in links
        )
        return failed >= min(FAILED_TARGETS_MIN, len(links)) and failed > reached
