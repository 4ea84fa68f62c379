"""Keep idle connections to targets for the requests that may use them."""

import asyncio

from sesamespring.http.channel import open_channel

__all__ = ["TargetChannels"]

CONNECT_TIMEOUT_S = 0.4
# Parts of the time after which a target closes an idle connection. A request that may
# run once only must not meet the close on its way.
IDLE_PART = 0.8
IDLE_PART_ONCE_ONLY = 0.4
IDLE_LIMIT_S = 4.0
IDLE_SPARE = 1


class TargetChannels:
    """The idle Channels to all targets, by the key of the target's lifetime."""

    def __init__(self, counters):
        self._idle = {}
        self._counters = counters

    def take_idle(self, key, idempotent):
        """Return an idle Channel that the target will not close just now, or None."""
        channels = self._idle.get(key, [])
        now_s = asyncio.get_running_loop().time()
        part = IDLE_PART if idempotent else IDLE_PART_ONCE_ONLY
        kept = []
        found = None
        while channels and found is None:
            channel = channels.pop()
            limit_s = channel.idle_limit_s or IDLE_LIMIT_S
            idle_s = now_s - channel.idle_since_s
            if not channel.usable or idle_s >= IDLE_PART * limit_s:
                channel.abort()
            elif idle_s < part * limit_s:
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
        if not channel.reusable or len(channels) >= entry.slots + IDLE_SPARE:
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
