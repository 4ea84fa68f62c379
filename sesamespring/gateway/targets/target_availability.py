"""Keep which targets have asked this VM to back off or stated that they leave."""

import asyncio

from sesamespring.gateway.generated.ttypes import TargetLifetime
from sesamespring.routing.requested_backoffs import RequestedBackoffs

__all__ = ["TargetAvailability"]

# Keeps a heartbeat far below the largest datagram.
LEAVING_PER_HEARTBEAT_MAX = 32
# How long other VMs are told that a target is leaving; its registration follows.
LEAVING_NEWS_S = 10.0


class TargetAvailability:
    """Which targets have asked this VM for no requests, and which take no new work.

    Load it answers: targets that reject requests and ask for a backoff, and targets
    that leave before the store says so. A requested backoff binds this VM alone, on
    each way to the target. That a target is leaving is told to all VMs.

    Args:
        cluster_state: The ClusterState.
        counters: The Counters.
        log: The EventLog.

    Attributes:
        on_news: Function without arguments, called after a response to this VM has
            shown that a target is leaving, which other VMs do not know yet.
    """

    def __init__(self, cluster_state, counters, log):
        self.on_news = lambda: None
        self._cluster_state = cluster_state
        self._counters = counters
        self._log = log
        self._backoffs = RequestedBackoffs()
        self._leaving_s = {}
        self._loop = asyncio.get_running_loop()

    def may_send(self, entry):
        """Return whether a request may be sent to a target by this VM now.

        Args:
            entry: The TargetEntry, possibly of some time ago.
        """
        if self.is_backing_off(entry.key):
            return False
        known = self._cluster_state.target(entry.key)
        return known is None or not known.leaving

    def is_backing_off(self, key):
        """Return whether this VM has to send a target nothing now."""
        return self._backoffs.is_backing_off(key, self._loop.time())

    def backoff_keys(self, service):
        """Return the keys of a service's targets that get no request now, as a set."""
        backing_off = self._backoffs.keys(self._loop.time())
        known = [self._cluster_state.target(key) for key in backing_off]
        return {e.key for e in known if e is not None and e.service == service}

    def retry_after_s(self, keys):
        """Return the seconds until the first backoff among some targets ends, or 0."""
        return self._backoffs.first_end_s(keys, self._loop.time())

    def record_backoff(self, entry, metadata):
        """Record the backoff that a target asks for in a response to this VM.

        Args:
            entry: The TargetEntry.
            metadata: The ResponseMetadata.
        """
        if metadata.backoff_s is None:
            return
        self._backoffs.record(entry.key, metadata.backoff_s, self._loop.time())
        self._counters.add("requested_backoffs")
        self._log.event(
            "target-requests-backoff",
            target=entry.id,
            service=entry.service,
            backoff_s=metadata.backoff_s,
        )

    def record_leaving(self, entry, metadata):
        """Record whether a target states in a response that it is leaving.

        Args:
            entry: The TargetEntry.
            metadata: The ResponseMetadata.
        """
        if metadata.leaving and self._mark_leaving(entry.key, "response"):
            self.on_news()

    def record_malformed(self, entry, metadata):
        """Log the headers of a target that cannot be read, and so do not bind this VM.

        Args:
            entry: The TargetEntry.
            metadata: The ResponseMetadata.
        """
        for header in metadata.malformed:
            self._counters.add("malformed_headers")
            self._log.event(
                "header-malformed",
                target=entry.id,
                service=entry.service,
                header=header.name,
                value=header.value,
            )

    def record_heartbeat(self, lifetimes, peer):
        """Record the targets that another VM knows to be leaving.

        Args:
            lifetimes: List of TargetLifetime.
            peer: Name of the VM.
        """
        for lifetime in lifetimes:
            self._mark_leaving((lifetime.target, lifetime.born_ms), peer)

    def for_heartbeat(self):
        """Return the targets that have just stated it as a list of TargetLifetime."""
        newest = sorted(self._leaving_s.items(), key=lambda item: -item[1])
        return [
            TargetLifetime(target=target, born_ms=born_ms)
            for (target, born_ms), _ in newest[:LEAVING_PER_HEARTBEAT_MAX]
        ]

    def drop_outdated(self):
        """Forget backoffs that are over and old news."""
        now_s = self._loop.time()
        self._backoffs.drop_outdated(now_s)
        oldest_s = now_s - LEAVING_NEWS_S
        self._leaving_s = {k: s for k, s in self._leaving_s.items() if s > oldest_s}

    def _mark_leaving(self, key, source):
        """Return whether it is news that a target is leaving."""
        if not self._cluster_state.mark_leaving(key, source):
            return False
        self._counters.add("targets_stating_leaving")
        self._leaving_s[key] = self._loop.time()
        return True
