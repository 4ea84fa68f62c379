"""Keep idle connections to targets for the requests that may use them."""

import asyncio

from sesamespring.http.channel import open_channel

__all__ = ["TargetConnectionPool"]

CONNECT_TIMEOUT_S = 0.4
# Parts of the time after which a target closes an idle connection. A request that may
# run once only must not meet the close on its way.
IDLE_FRACTION = 0.8
IDLE_FRACTION_NON_IDEMPOTENT = 0.4
DEFAULT_IDLE_LIMIT_S = 4.0
SPARE_CONNECTIONS = 1


class TargetConnectionPool:
    """The idle Channels to all targets, by the key of the target's lifetime."""

    def __init__(self, counters):
        self._idle = {}
        self._counters = counters

    def take_idle(self, key, idempotent):
        """Return an idle Channel that the target will not close just now, or None."""
        channels = self._idle.get(key, [])
        now_s = asyncio.get_running_loop().time()
        fraction = IDLE_FRACTION if idempotent else IDLE_FRACTION_NON_IDEMPOTENT
        kept = []
        found = None
        while channels and found is None:
            channel = channels.pop()
            limit_s = channel.idle_limit_s or DEFAULT_IDLE_LIMIT_S
            idle_s = now_s - channel.idle_since_s
            if not channel.usable or idle_s >= IDLE_FRACTION * limit_s:
                channel.abort()
            elif idle_s < fraction * limit_s:
                found = channel
            else:
                kept.append(channel)
        channels += kept
        return found

    async def open(self, address):
        """Return a new Channel.

        Raises:
            OSError: The target cannot be reached in time.
        """
        self._counters.add("target_connections")
        return await open_channel(address, CONNECT_TIMEOUT_S)

    def put_back(self, entry, channel, idle_s):
        """Keep a Channel after a whole answer, or drop it.

        Args:
            entry: The TargetEntry.
            channel: The Channel.
            idle_s: How long the target keeps it idle, or None.
        """
        channels = self._idle.setdefault(entry.key, [])
        if not channel.reusable or len(channels) >= entry.slots + SPARE_CONNECTIONS:
            channel.abort()
            return
        channel.finish(asyncio.get_running_loop().time())
        if idle_s is not None:
            channel.idle_limit_s = idle_s
        channels.append(channel)

    def drop(self, key):
        """Drop all idle Channels to a target."""
        for channel in self._idle.pop(key, ()):
            channel.abort()

    def keep_only(self, keys):
        """Drop the Channels to all other targets."""
        for key in [key for key in self._idle if key not in keys]:
            self.drop(key)

    def close(self):
        """Drop all."""
        self.keep_only(())
