"""Bound the bulk work of all services that share an entry VM."""

import attrs

__all__ = ["BulkLimit"]


@attrs.define
class BulkLimit:
    """How many bulk requests pass through an entry VM at once.

    All routers of a VM share one; only those of bulk services go by it. What bulk
    and interactive services share at a VM is its event loop and its memory: each
    stream holds one piece of a body and one turn of the loop.

    Attributes:
        streams_max: How many may be in progress at once.
        streams: How many are in progress.

    >>> limit = BulkLimit(streams_max=1)
    >>> limit.acquire()
    >>> limit.free
    False
    """

    streams_max: int
    streams: int = 0

    @property
    def free(self):
        """Whether another one may start."""
        return self.streams < self.streams_max

    def acquire(self):
        """Count one that starts."""
        self.streams += 1

    def release(self):
        """Count one that ended."""
        self.streams -= 1
