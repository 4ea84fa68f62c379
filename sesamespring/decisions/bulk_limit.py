"""Limit the concurrent bulk requests of all services on an entry VM."""

import attrs

__all__ = ["BulkLimit"]


@attrs.define
class BulkLimit:
    """The number of bulk requests that pass through an entry VM concurrently.

    All routers of a VM share one instance; only those of bulk services use it. Bulk
    and interactive services share the VM's event loop and memory: each stream occupies
    one piece of a body and one iteration of the loop at a time.

    Attributes:
        streams_max: Maximum number of concurrent bulk requests.
        streams: Number of bulk requests in progress.

    >>> limit = BulkLimit(streams_max=1)
    >>> limit.acquire()
    >>> limit.free
    False
    """

    streams_max: int
    streams: int = 0

    @property
    def free(self):
        """Whether another bulk request may start."""
        return self.streams < self.streams_max

    def acquire(self):
        """Count a bulk request that starts."""
        self.streams += 1

    def release(self):
        """Count a bulk request that ended."""
        self.streams -= 1
