"""Keep the addresses of other VMs, and when each was last heard or sent to."""

from sesamespring.routing.membership import MEMBER_EXPIRY_S

__all__ = ["PeerAddresses"]

# To a VM that has been silent for this long, heartbeats are sent only at this interval.
SILENT_HEARTBEAT_INTERVAL_S = 4.0
NEVER_S = float("-inf")


class PeerAddresses:
    """The addresses of other VMs, pairs of IP and port; times are on the loop's clock.

    Args:
        seeds: Set of the addresses that the settings name, which are always kept.
        own: Address of this VM, which is never added.
    """

    def __init__(self, seeds, own):
        self._seeds = frozenset(seeds)
        self._own = own
        self._known = set(seeds)
        self._heard_s = {}
        self._sent_s = {}
        self._added_s = {}

    def __len__(self):
        return len(self._known)

    def first(self, count):
        """Return up to ``count`` addresses, the same ones at all VMs."""
        return sorted(self._known)[:count]

    def add(self, addresses, now_s):
        """Add addresses and return the set of those that are new."""
        new = set(addresses) - self._known - {self._own}
        self._known |= new
        for address in new:
            self._added_s[address] = now_s
        return new

    def record_heard(self, address, now_s):
        """Record that a VM was heard from an address."""
        self._known.add(address)
        self._heard_s[address] = now_s

    def was_added_since(self, address, since_s):
        """Return whether an address was added after a time."""
        return self._added_s.get(address, NEVER_S) > since_s

    def due(self, alive, now_s):
        """Return the addresses other than those of live VMs that get a heartbeat now.

        Those that have been silent for long get one only at a longer interval; it is
        recorded that they were sent to.

        Args:
            alive: Set of the addresses of VMs that are alive.
            now_s: Present time.
        """
        return [a for a in self._known - alive if self._is_due(a, now_s)]

    def _is_due(self, address, now_s):
        oldest_s = now_s - SILENT_HEARTBEAT_INTERVAL_S
        if self._heard_s.get(address, NEVER_S) > oldest_s:
            return True
        if self._sent_s.get(address, NEVER_S) > oldest_s:
            return False
        self._sent_s[address] = now_s
        return True

    def expire(self, now_s):
        """Remove addresses that were silent for long, except the seeds."""
        oldest_s = now_s - MEMBER_EXPIRY_S
        for address in self._known - self._seeds:
            added_s = self._added_s.get(address, oldest_s)
            if self._heard_s.get(address, added_s) < oldest_s:
                self._known.discard(address)
                for times in (self._heard_s, self._sent_s, self._added_s):
                    times.pop(address, None)
