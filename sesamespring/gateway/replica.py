"""A versioned copy of a table of the platform's store."""

import asyncio
import time

from sesamespring.platform.rows import StoredRow, TableChanges

__all__ = ["TableReplica"]

TOMBSTONES_MAX = 2048
# A copy that was not confirmed as complete for longer than this counts as cut off from
# the store. Without changes, a VM that polls another one instead of the store gets a
# confirmation only every PEER_POLL_WAIT_S plus that VM's own polling interval.
GAP_MIN_S = 2.5


class TableReplica:
    """The rows of one table, each in the newest version that reached this VM.

    Changes between equivalent contents, such as a new sequence number in a target's
    heartbeat, are stored but neither reported nor passed on to other VMs.

    Args:
        name: Name of the table.
        is_equivalent: Function of the old and the new content of a row that returns
            whether they are equivalent.

    Attributes:
        version: The store's version up to which the copy is complete.
        changed_version: Version of the newest change that is relevant.
        complete_s: Time on the monotonic clock at which the copy was last known to be
            complete, or None before the table was read.
        gap_ended_s: Time on the same clock at which the copy was complete again after
            the last gap, or None.
    """

    def __init__(self, name, is_equivalent=lambda old, new: old == new):
        self.version = 0
        self.changed_version = 0
        self.complete_s = None
        self.gap_ended_s = None
        self._name = name
        self._is_equivalent = is_equivalent
        self._rows = {}
        self._change_versions = {}
        self._tombstones = {}
        self._history_start = 0
        self._waiters = set()

    @property
    def name(self):
        """Name of the table."""
        return self._name

    @property
    def loaded(self):
        """Whether the table has been read at least once."""
        return self.complete_s is not None

    @property
    def rows(self):
        """Dict of StoredRow by key, without removed rows."""
        return self._rows

    def replace(self, changes):
        """Replace the copy by the whole table, unless that is older.

        Args:
            changes: TableChanges with all rows of the table.

        Returns:
            The set of the keys of rows with relevant changes.
        """
        if changes.version < self.version:
            return set()
        present = {row.key for row in changes.rows}
        removed = [
            StoredRow(key, changes.version, None)
            for key in self._rows
            if key not in present
        ]
        # The versions of removals that this VM missed are unknown, so changes before
        # this version cannot be listed.
        self._history_start = changes.version if removed else self._history_start
        rows = (*changes.rows, *removed)
        return self.apply(TableChanges(rows, changes.version, changes.age_s))

    def apply(self, changes):
        """Apply TableChanges and return the set of the keys of rows that changed.

        Rows that are not newer than the copy's are skipped. Only relevant changes are
        returned; they wake the callers of ``wait_for_change``.
        """
        changed = [row for row in changes.rows if self._apply_row(row)]
        keys = {row.key for row in changed}
        for row in changed:
            self.changed_version = max(self.changed_version, row.version)
        self.version = max(self.version, changes.version)
        self._update_age(time.monotonic() - changes.age_s)
        if keys:
            waiters, self._waiters = self._waiters, set()
            for waiter in waiters:
                if not waiter.done():
                    waiter.set_result(None)
        return keys

    def changes_after(self, version):
        """Return the TableChanges after a version, or the whole table if it is None.

        Returns None if some changes after the version are no longer known.
        """
        if version is None:
            rows = tuple(self._rows.values())
            return TableChanges(rows, self.version, self.age_s)
        if version < self._history_start:
            return None
        rows = [
            self._rows[key] for key, at in self._change_versions.items() if at > version
        ]
        rows += [row for row in self._tombstones.values() if row.version > version]
        return TableChanges(tuple(rows), self.version, self.age_s)

    @property
    def age_s(self):
        """Seconds since the copy was last known to be complete; 0 if never read."""
        return 0.0 if self.complete_s is None else time.monotonic() - self.complete_s

    async def wait_for_change(self, timeout_s):
        """Wait until a row changes, or for at most ``timeout_s`` seconds."""
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.add(waiter)
        await asyncio.wait((waiter,), timeout=timeout_s)
        self._waiters.discard(waiter)

    def _update_age(self, complete_s):
        previous_s = self.complete_s
        if previous_s is not None and complete_s - previous_s > GAP_MIN_S:
            self.gap_ended_s = complete_s
        self.complete_s = (
            complete_s if previous_s is None else max(previous_s, complete_s)
        )

    def _apply_row(self, row):
        current = self._rows.get(row.key)
        tombstone = self._tombstones.get(row.key)
        newest_version = max(
            current.version if current else 0, tombstone.version if tombstone else 0
        )
        if row.version <= newest_version:
            return False
        if row.content is None:
            return self._remove(row, current)
        self._tombstones.pop(row.key, None)
        self._rows[row.key] = row
        if current is not None and self._is_equivalent(current.content, row.content):
            return False
        self._change_versions[row.key] = row.version
        return True

    def _remove(self, row, current):
        self._rows.pop(row.key, None)
        self._change_versions.pop(row.key, None)
        self._tombstones[row.key] = row
        while len(self._tombstones) > TOMBSTONES_MAX:
            oldest = next(iter(self._tombstones))
            self._history_start = max(
                self._history_start, self._tombstones.pop(oldest).version
            )
        return current is not None
