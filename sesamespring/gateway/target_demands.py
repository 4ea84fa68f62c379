"""Keep to what targets demand of this VM in their responses: rest, and no new work."""

import asyncio

from sesamespring.gateway.generated.ttypes import TargetLifetime
from sesamespring.routing.rest_times import RestTimes

__all__ = ["TargetDemands"]

# Keeps a heartbeat far below the largest datagram.
LEAVING_PER_HEARTBEAT_MAX = 32
# How long other VMs are told that a target is leaving; its registration follows.
LEAVING_NEWS_S = 10.0


class TargetDemands:
    """Which targets want no request of this VM, and which take no new work at all.

    Load it answers: targets that reject requests and ask for rest, and targets that
    leave before the store says so. A demand for rest binds this VM alone, on each way
    to the target. That a target is leaving is told to all VMs.

    Args:
        cluster_state: The ClusterState.
        log: The EventLog.

    Attributes:
        on_news: Function without arguments, called after a response to this VM has
            shown that a target is leaving, which other VMs do not know yet.
    """

    def __init__(self, cluster_state, log):
        self.on_news = lambda: None
        self._cluster_state = cluster_state
        self._log = log
        self._rests = RestTimes()
        self._leaving_s = {}
        self._loop = asyncio.get_running_loop()

    def may_send(self, entry):
        """Return whether a request may be sent to a target by this VM now.

        Args:
            entry: The TargetEntry, possibly of some time ago.
        """
        if self.is_resting(entry.key):
            return False
        known = self._cluster_state.target(entry.key)
        return known is None or not known.leaving

    def is_resting(self, key):
        """Return whether a target wants nothing from this VM now."""
        return self._rests.is_resting(key, self._loop.time())

    def resting_keys(self, service):
        """Return the set of the keys of a service's targets that want rest now."""
        resting = self._rests.keys(self._loop.time())
        known = [self._cluster_state.target(key) for key in resting]
        return {e.key for e in known if e is not None and e.service == service}

    def retry_after_s(self, keys):
        """Return the seconds until the first of some targets has had its rest, or 0."""
        return self._rests.first_end_s(keys, self._loop.time())

    def record_rest(self, entry, metadata):
        """Record the rest that a target asks for in a response to this VM.

        Args:
            entry: The TargetEntry.
            metadata: The ResponseMetadata.
        """
        if metadata.rest_s is None:
            return
        self._rests.record(entry.key, metadata.rest_s, self._loop.time())
        self._log.event(
            "target-wants-rest",
            target=entry.id,
            service=entry.service,
            rest_s=metadata.rest_s,
        )

    def record_leaving(self, entry, metadata):
        """Record whether a target states in a response that it is leaving.

        Args:
            entry: The TargetEntry.
            metadata: The ResponseMetadata.
        """
        if metadata.leaving and self._mark_leaving(entry.key, "response"):
            self.on_news()

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
        """Forget rests that are over and old news."""
        now_s = self._loop.time()
        self._rests.drop_outdated(now_s)
        oldest_s = now_s - LEAVING_NEWS_S
        self._leaving_s = {k: s for k, s in self._leaving_s.items() if s > oldest_s}

    def _mark_leaving(self, key, source):
        """Return whether it is news that a target is leaving."""
        if not self._cluster_state.mark_leaving(key, source):
            return False
        self._leaving_s[key] = self._loop.time()
        return True
