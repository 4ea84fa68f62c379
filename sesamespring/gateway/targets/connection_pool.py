"""Pool idle connections to targets for reuse."""

import asyncio
import enum

from sesamespring.http.channel import open_channel

__all__ = ["LinkState", "TargetConnectionPool"]

CONNECT_TIMEOUT_S = 0.4
# A process that has ended refuses connections within one round trip.
REFUSAL_TIMEOUT_S = 0.1
# Fractions of a target's idle timeout up to which a connection is reused. The margin is
# larger for a non-idempotent request: it cannot be sent again if the target closes the
# connection while the request is being sent.
IDLE_FRACTION = 0.8
IDLE_FRACTION_NON_IDEMPOTENT = 0.4
DEFAULT_IDLE_LIMIT_S = 4.0
SPARE_CONNECTIONS = 1


class LinkState(enum.Enum):
    """What became of a connection to a target.

    ``REACHED``: the target accepted it. ``REFUSED``: it was refused. ``SILENT``:
    nothing was heard in time, or the link failed in another way.
    """

    REACHED = "reached"
    REFUSED = "refused"
    SILENT = "silent"


class TargetConnectionPool:
    """The idle Channels to all targets, by TargetEntry key.

    Args:
        on_open: Function without arguments, called before each new connection.
    """

    def __init__(self, on_open):
        self._idle = {}
        self._on_open = on_open

    def take_idle(self, key, idempotent):
        """Return an idle Channel that is not about to be closed by the target, or None.

        Channels that are too old for any request are closed.

        Args:
            key: Key of the TargetEntry.
            idempotent: Whether the request may run more than once.
        """
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
        """Return a new Channel to ``address``, a pair of IP and port.

        Raises:
            OSError: The connection was not made within ``CONNECT_TIMEOUT_S``.
        """
        self._on_open()
        return await open_channel(address, CONNECT_TIMEOUT_S)

    async def refuses(self, entry):
        """Return whether a target refuses connections, as its process has ended.

        Args:
            entry: The TargetEntry.
        """
        return await self.test_link(entry) is LinkState.REFUSED

    async def test_link(self, entry):
        """Connect to a target and return the LinkState.

        If it accepts the connection, the Channel is kept for a request.

        Args:
            entry: The TargetEntry.
        """
        self._on_open()
        try:
            channel = await open_channel(entry.address, REFUSAL_TIMEOUT_S)
        except ConnectionRefusedError:
            return LinkState.REFUSED
        except OSError:
            return LinkState.SILENT
        self.keep_unused(entry, channel)
        return LinkState.REACHED

    def keep_unused(self, entry, channel):
        """Keep a new Channel to a target for a request."""
        channel.idle_since_s = asyncio.get_running_loop().time()
        self._keep(entry, channel)

    def put_back(self, entry, channel, idle_s):
        """Keep a Channel after a complete response, or close it.

        It is closed if it cannot be reused, or if as many Channels to the target are
        idle already as it has slots, plus ``SPARE_CONNECTIONS``.

        Args:
            entry: The TargetEntry.
            channel: The Channel.
            idle_s: The target's idle timeout in seconds, or None if not stated.
        """
        if not channel.reusable:
            channel.abort()
            return
        channel.finish(asyncio.get_running_loop().time())
        if idle_s is not None:
            channel.idle_limit_s = idle_s
        self._keep(entry, channel)

    def drop(self, key):
        """Close all idle Channels to a target."""
        for channel in self._idle.pop(key, ()):
            channel.abort()

    def keep_only(self, keys):
        """Close the idle Channels to all targets whose key is not in ``keys``."""
        for key in [key for key in self._idle if key not in keys]:
            self.drop(key)

    def close(self):
        """Close all idle Channels."""
        self.keep_only(())

    def _keep(self, entry, channel):
        channels = self._idle.setdefault(entry.key, [])
        if len(channels) >= entry.slots + SPARE_CONNECTIONS:
            channel.abort()
        else:
            channels.append(channel)
