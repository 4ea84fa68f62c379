"""A versioned copy of a table of the platform's store."""

import asyncio
import math
import time

import attrs

from sesamespring.platform.rows import UNKNOWN_ERA, StoredRow, TableChanges

__all__ = ["TableReplica"]

TOMBSTONES_MAX = 2048
# A copy that was not confirmed as complete for longer than this may have been cut off
# from the store. Without changes, a VM that polls another one instead of the store gets
# a confirmation only every PEER_POLL_WAIT_S plus that VM's own polling interval.
GAP_MIN_S = 2.5
# The copy of another VM that is older than this shows that the VM has no confirmation.
OUTDATED_AGE_S = 1.5


class TableReplica:
    """The rows of one table, each in the newest version that reached this VM.

    Versions order changes only within one era of the store. When the store is restored
    from a copy, the era grows and versions that were issued before are issued again.
    This VM then reads the whole table anew.

    Changes between equivalent contents, such as a new sequence number in a target's
    heartbeat, are stored but neither reported nor passed on to other VMs.

    Args:
        name: Name of the table.
        is_equivalent: Function of the old and the new content of a row that returns
            whether they are equivalent.
        is_superseded: Function of the content of a row in a new era and of the last
            content known before, which returns whether the row's writer wrote the
            former earlier.

    Attributes:
        era: Era of the store that the versions belong to, or UNKNOWN_ERA.
        version: The store's version up to which the copy is complete.
        changed_version: Version of the newest change that is relevant; 0 after the
            whole table was read, as its newest relevant change is unknown.
        complete_s: Time on the monotonic clock at which the copy was last known to be
            complete, or None before the table was read.
        gap_ended_s: Time on the same clock at which the copy was complete again after
            the last outage of the store, or None. That this VM was told nothing for a
            while is no outage: the VM that it followed may have ended.
    """

    def __init__(
        self,
        name,
        is_equivalent=lambda old, new: old == new,
        is_superseded=lambda content, known: False,
    ):
        self.era = UNKNOWN_ERA
        self.version = 0
        self.changed_version = 0
        self.complete_s = None
        self.gap_ended_s = None
        # Whether the store may have been away since the last confirmation.
        self._outage_suspected = False
        self._name = name
        self._is_equivalent = is_equivalent
        self._is_superseded = is_superseded
        self._rows = {}
        self._change_versions = {}
        self._tombstones = {}
        # Dict by key of the last content of each row in ``_tombstones``.
        self._removed_contents = {}
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

    def is_of_later_era(self, changes):
        """Return whether TableChanges belong to a later era than this copy."""
        return changes.era > self.era

    def is_of_earlier_era(self, changes):
        """Return whether TableChanges belong to an earlier era than this copy."""
        return changes.era < self.era

    def replace(self, changes):
        """Replace the copy by the whole table, unless that is older.

        Args:
            changes: TableChanges with all rows of the table. If their era is unknown,
                the copy's is assumed.

        Returns:
            The set of the keys of rows with relevant changes.
        """
        if changes.era != UNKNOWN_ERA and self.is_of_earlier_era(changes):
            return set()
        if not self.loaded or self.is_of_later_era(changes):
            return self._load(changes)
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
        return self.apply(attrs.evolve(changes, rows=(*changes.rows, *removed)))

    def apply(self, changes):
        """Apply TableChanges and return the set of the keys of rows that changed.

        The changes must belong to the copy's era. Rows that are not newer than the
        copy's are skipped. Only relevant changes are returned; they wake the callers of
        ``wait_for_change``.
        """
        changed = [row for row in changes.rows if self._apply_row(row)]
        keys = {row.key for row in changed}
        for row in changed:
            self.changed_version = max(self.changed_version, row.version)
        self.version = max(self.version, changes.version)
        self._update_age(changes)
        if keys:
            self._wake_waiters()
        return keys

    def changes_after(self, version):
        """Return the TableChanges after a version, or the whole table if it is None.

        Returns None if some changes after the version are no longer known.
        """
        if version is None:
            return self._changes(self._rows.values())
        if version < self._history_start:
            return None
        rows = [
            self._rows[key] for key, at in self._change_versions.items() if at > version
        ]
        rows += [row for row in self._tombstones.values() if row.version > version]
        return self._changes(rows)

    def record_store_failure(self):
        """Record that the store did not answer a poll of this VM."""
        self._outage_suspected = True

    @property
    def gap_age_s(self):
        """Seconds since the last outage of the store ended; infinite without one."""
        if self.gap_ended_s is None:
            return math.inf
        return time.monotonic() - self.gap_ended_s

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

    def _load(self, changes):
        """Take over the whole table, at the start and in each later era.

        In a later era it may lack what was written last before. So a row whose writer
        is known to have written later keeps that content, or stays removed.
        """
        before = {key: row.content for key, row in self._rows.items()}
        removed = self._removed_contents
        self._rows, self._change_versions = {}, {}
        self._tombstones, self._removed_contents = {}, {}
        for row in changes.rows:
            known = before.get(row.key, removed.get(row.key))
            if known is None or not self._is_superseded(row.content, known):
                self._rows[row.key] = row
            elif row.key in before:
                self._rows[row.key] = attrs.evolve(row, content=known)
            else:
                self._add_tombstone(attrs.evolve(row, content=None), known)
        for key in before.keys() - {row.key for row in changes.rows}:
            self._add_tombstone(StoredRow(key, changes.version, None), before[key])
        self._change_versions = {key: row.version for key, row in self._rows.items()}
        self.changed_version = 0
        # Earlier removals are unknown, so earlier changes cannot be listed.
        self._history_start = self.version = changes.version
        was_loaded, self.era = self.loaded, changes.era
        self._update_age(changes)
        if was_loaded:
            self.gap_ended_s = self.complete_s
        self._wake_waiters()
        return {
            key
            for key in before.keys() | self._rows.keys()
            if not self._is_unchanged(before.get(key), self._rows.get(key))
        }

    def _is_unchanged(self, content, row):
        if content is None or row is None:
            return False
        return self._is_equivalent(content, row.content)

    def _wake_waiters(self):
        waiters, self._waiters = self._waiters, set()
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    def _changes(self, rows):
        return TableChanges(
            tuple(rows),
            self.version,
            self.age_s,
            era=self.era,
            gap_age_s=self.gap_age_s,
        )

    def _update_age(self, changes):
        complete_s = time.monotonic() - changes.age_s
        previous_s = complete_s if self.complete_s is None else self.complete_s
        unconfirmed_s = complete_s - previous_s
        if unconfirmed_s > GAP_MIN_S and self._confirms_outage(changes, unconfirmed_s):
            self.gap_ended_s = complete_s
        self._outage_suspected = changes.age_s > OUTDATED_AGE_S
        self.complete_s = max(previous_s, complete_s)

    def _confirms_outage(self, changes, unconfirmed_s):
        """Return whether the store was away while this copy was not confirmed.

        The VM that sent the changes knows; otherwise a poll must have failed meanwhile.
        """
        if changes.gap_age_s is not None:
            return changes.gap_age_s < unconfirmed_s
        return self._outage_suspected

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
        self._removed_contents.pop(row.key, None)
        self._rows[row.key] = row
        if current is not None and self._is_equivalent(current.content, row.content):
            return False
        self._change_versions[row.key] = row.version
        return True

    def _remove(self, row, current):
        self._rows.pop(row.key, None)
        self._change_versions.pop(row.key, None)
        self._add_tombstone(row, None if current is None else current.content)
        return current is not None

    def _add_tombstone(self, row, content):
        self._tombstones[row.key] = row
        if content is not None:
            self._removed_contents[row.key] = content
        while len(self._tombstones) > TOMBSTONES_MAX:
            oldest = next(iter(self._tombstones))
            self._removed_contents.pop(oldest, None)
            self._history_start = max(
                self._history_start, self._tombstones.pop(oldest).version
            )
