"""Keep the addresses of entry VMs in the table, for VMs that start later."""

import time

import attrs

from sesamespring.platform.json_table import Condition, Write

__all__ = ["VmRow", "VmRows"]

ROW_PREFIX = "vm/"
# A VM that was not heard for so long is gone for good.
FORGET_AFTER_S = 600.0


@attrs.frozen
class VmRow:
    """A VM as its row says.

    Attributes:
        name: Name of the VM.
        data_centre: Its data centre.
        peers_address: Pair of IP and port for other entry VMs.
        version: Version of the row.
    """

    name: str
    data_centre: str
    peers_address: tuple
    version: int = 0


class VmRows:
    """The rows of all VMs; each VM writes its own, and removes it as it stops.

    Args:
        table: The JsonTable.
        settings: The Settings of this VM.
        clock: Function that returns seconds of the monotonic clock.
    """

    def __init__(self, table, settings, clock=time.monotonic):
        self._table = table
        self._settings = settings
        self._clock = clock
        self._silent_since_s = {}

    async def read(self):
        """Return a list of VmRow, one for each row."""
        rows = await self._table.scan(ROW_PREFIX)
        return [
            VmRow(
                row.key.removeprefix(ROW_PREFIX),
                row.value["data_centre"],
                tuple(row.value["peers_address"]),
                row.version,
            )
            for row in rows
        ]

    async def register(self, entries):
        """Write this VM's row unless it is among the entries that were read."""
        settings = self._settings
        own = (settings.name, settings.data_centre, settings.peers_address)
        known = {(e.name, e.data_centre, e.peers_address) for e in entries}
        if own not in known:
            value = {
                "data_centre": settings.data_centre,
                "peers_address": list(settings.peers_address),
            }
            await self._table.transact([], [Write(self._key(settings.name), value)])

    async def remove(self):
        """Remove this VM's row."""
        await self._table.transact([], [Write(self._key(self._settings.name), None)])

    async def remove_silent(self, entries, heard):
        """Remove the rows of VMs that were not heard for long.

        Args:
            entries: List of VmRow as read.
            heard: Names of the VMs that are heard now.
        """
        now_s = self._clock()
        silent = [e for e in entries if e.name not in heard | {self._settings.name}]
        names = {entry.name for entry in silent}
        for name in self._silent_since_s.keys() - names:
            del self._silent_since_s[name]
        for entry in silent:
            since_s = self._silent_since_s.setdefault(entry.name, now_s)
            if now_s - since_s > FORGET_AFTER_S:
                key = self._key(entry.name)
                await self._table.transact(
                    [Condition(key, entry.version)], [Write(key, None)]
                )

    @staticmethod
    def _key(name):
        return ROW_PREFIX + name
