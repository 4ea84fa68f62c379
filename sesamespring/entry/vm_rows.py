"""Store the addresses of entry VMs in the platform's table for peer discovery."""

import time

import attrs

from sesamespring.platform.json_table import Condition, Write

__all__ = ["VmRow", "VmRows"]

ROW_PREFIX = "vm/"
# A VM that has sent no message for this long is treated as permanently removed.
ROW_EXPIRY_S = 600.0


@attrs.frozen
class VmRow:
    """Row of an entry VM.

    Attributes:
        name: Name of the VM.
        data_centre: Data centre of the VM.
        peers_address: Pair of IP and port on which it accepts other entry VMs.
        version: Version of the row.
    """

    name: str
    data_centre: str
    peers_address: tuple
    version: int = 0


class VmRows:
    """The rows of all entry VMs.

    Each VM writes its own row at start and removes it at shutdown.

    Args:
        table: The JsonTable.
        settings: The Settings of this VM.
        clock: Function that returns the monotonic time in seconds.
    """

    def __init__(self, table, settings, clock=time.monotonic):
        self._table = table
        self._settings = settings
        self._clock = clock
        self._silent_since_s = {}

    async def read(self):
        """Return a list with a VmRow for each entry VM in the table.

        Raises:
            ExternalError: The platform is unreachable.
        """
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

    async def register(self, rows):
        """Write this VM's row if it is missing or out of date.

        Args:
            rows: List of VmRow that was read from the table.

        Raises:
            ExternalError: The platform is unreachable.
        """
        settings = self._settings
        own = (settings.name, settings.data_centre, settings.peers_address)
        registered = {(r.name, r.data_centre, r.peers_address) for r in rows}
        if own not in registered:
            value = {
                "data_centre": settings.data_centre,
                "peers_address": list(settings.peers_address),
            }
            await self._table.transact([], [Write(self._key(settings.name), value)])

    async def remove(self):
        """Remove this VM's row.

        Raises:
            ExternalError: The platform is unreachable.
        """
        await self._table.transact([], [Write(self._key(self._settings.name), None)])

    async def remove_silent(self, rows, live_names):
        """Remove the rows of VMs that have been silent for ROW_EXPIRY_S.

        The silence is measured from the first call that finds a VM silent.

        Args:
            rows: List of VmRow that was read from the table.
            live_names: Set of the names of the VMs that currently send heartbeats.

        Raises:
            ExternalError: The platform is unreachable.
        """
        now_s = self._clock()
        silent = [r for r in rows if r.name not in live_names | {self._settings.name}]
        names = {row.name for row in silent}
        for name in self._silent_since_s.keys() - names:
            del self._silent_since_s[name]
        for row in silent:
            since_s = self._silent_since_s.setdefault(row.name, now_s)
            if now_s - since_s > ROW_EXPIRY_S:
                key = self._key(row.name)
                await self._table.transact(
                    [Condition(key, row.version)], [Write(key, None)]
                )

    @staticmethod
    def _key(name):
        return ROW_PREFIX + name
