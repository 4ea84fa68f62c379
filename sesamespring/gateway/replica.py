"""Keep this VM's copy of a table of the platform's store, judged by versions."""

import asyncio
import time

from sesamespring.platform.rows import StoredRow, TableChanges

__all__ = ["TableReplica"]

TOMBSTONES_MAX = 2048
# A copy that was out of date for longer than this was cut off from the store. Without
# changes, a VM that polls a reader learns the age of its copy only every
# PEER_POLL_WAIT_S plus the reader's own polling interval.
GAP_S = 2.5


class TableReplica:
    """The rows of one table, in the newest versions that reached this VM.

    Changes that mean nothing to readers, such as a heartbeat's sequence, are taken in
    but not passed on to other VMs.

    Args:
        name: Name of the table.
        means_same: Function of two rows' contents that tells whether a change of one
            to the other means nothing.

    Attributes:
        version: The store's version up to which the copy is complete.
        changed_version: The version of its newest change that matters.
        known_s: Time at which that was so, on the monotonic clock, or None.
        gap_ended_s: Time at which the copy was complete again after a gap, or None.
    """

    def __init__(self, name, means_same=lambda old, new: old == new):
        self.version = 0
        self.changed_version = 0
        self.known_s = None
        self.gap_ended_s = None
        self._name = name
        self._means_same = means_same
        self._rows = {}
        self._changed = {}
        self._tombstones = {}
        self._history_from = 0
        self._waiters = set()

    @property
    def name(self):
        """Name of the table."""
        return self._name

    @property
    def loaded(self):
        """Whether the table was ever read."""
        return self.known_s is not None

    @property
    def rows(self):
        """Dict of StoredRow by key; rows that were removed are absent."""
        return self._rows

    def replace(self, changes):
        """Take the whole table, and return the keys of rows that changed."""
        if changes.version < self.version:
            return set()
        present = {row.key for row in changes.rows}
        removed = [
            StoredRow(key, changes.version, None)
            for key in self._rows
            if key not in present
        ]
        # Removals that happened unseen have no versions of their own.
        self._history_from = changes.version if removed else self._history_from
        rows = (*changes.rows, *removed)
        return self.apply(TableChanges(rows, changes.version, changes.age_s))

    def apply(self, changes):
        """Take in changes, and return the keys of rows that changed."""
        changed = [row for row in changes.rows if self._apply_row(row)]
        keys = {row.key for row in changed}
        for row in changed:
            self.changed_version = max(self.changed_version, row.version)
        self.version = max(self.version, changes.version)
        self._note_age(time.monotonic() - changes.age_s)
        if keys:
            waiters, self._waiters = self._waiters, set()
            for waiter in waiters:
                if not waiter.done():
                    waiter.set_result(None)
        return keys

    def changes_after(self, version):
        """Return the TableChanges after a version, or None where history is lost."""
        if version is None:
            rows = tuple(self._rows.values())
            return TableChanges(rows, self.version, self.age_s)
        if version < self._history_from:
            return None
        rows = [self._rows[key] for key, at in self._changed.items() if at > version]
        rows += [row for row in self._tombstones.values() if row.version > version]
        return TableChanges(tuple(rows), self.version, self.age_s)

    @property
    def age_s(self):
        """How long ago the copy was complete, in seconds."""
        return 0.0 if self.known_s is None else time.monotonic() - self.known_s

    async def wait_for_change(self, timeout_s):
        """Wait until a row changes, for ``timeout_s`` seconds at the most."""
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.add(waiter)
        await asyncio.wait((waiter,), timeout=timeout_s)
        self._waiters.discard(waiter)

    def _note_age(self, known_s):
        earlier_s = self.known_s
        if earlier_s is not None and known_s - earlier_s > GAP_S:
            self.gap_ended_s = known_s
        self.known_s = known_s if earlier_s is None else max(earlier_s, known_s)

    def _apply_row(self, row):
        current = self._rows.get(row.key)
        tombstone = self._tombstones.get(row.key)
        known = max(
            current.version if current else 0, tombstone.version if tombstone else 0
        )
        if row.version <= known:
            return False
        if row.content is None:
            return self._remove(row, current)
        self._tombstones.pop(row.key, None)
        self._rows[row.key] = row
        if current is not None and self._means_same(current.content, row.content):
            return False
        self._changed[row.key] = row.version
        return True

    def _remove(self, row, current):
        self._rows.pop(row.key, None)
        self._changed.pop(row.key, None)
        self._tombstones[row.key] = row
        while len(self._tombstones) > TOMBSTONES_MAX:
            oldest = next(iter(self._tombstones))
            self._history_from = max(
                self._history_from, self._tombstones.pop(oldest).version
            )
        return current is not None
