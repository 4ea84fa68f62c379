"""The configuration in force and the registered targets, from copies of the tables."""

import asyncio
import contextlib
import math
import time

import attrs
from returns.result import Failure, Success

from sesamespring.gateway.store.configuration_loader import ConfigurationLoader
from sesamespring.gateway.store.replica import TableReplica
from sesamespring.platform.operator_table import (
    CONFIGURATION_KEY,
    OPERATOR_TABLE,
    decode_configuration,
    evacuated_data_centre,
    is_earlier_operator_row,
)
from sesamespring.platform.registrations import (
    TARGETS_TABLE,
    decode_target,
    is_earlier_registration,
    same_registration,
)
from sesamespring.routing.startup import wait_for_tables_s

__all__ = ["ClusterState"]

# Registrations that expired while the store was unavailable, and rows that it lost, are
# written again within about two seconds after it is back.
EXPIRED_RETENTION_S = 2.5
# A target that stated that it was leaving has ended by then.
STATED_LEAVING_MEMORY_S = 600.0


class ClusterState:
    """The operator's configuration and the targets, as last received by this VM.

    Args:
        log: The EventLog.
        on_change: Function without arguments, called after each change.
    """

    def __init__(self, log, on_change):
        self._log = log
        self._on_change = on_change
        self._operator = TableReplica(
            OPERATOR_TABLE, is_superseded=is_earlier_operator_row
        )
        self._registrations = TableReplica(
            TARGETS_TABLE, same_registration, is_earlier_registration
        )
        self._configuration = None
        self._account_keys = None
        # The newest version that takes effect, now or once it is loaded.
        self._newest_version = -1
        self._loader = ConfigurationLoader(self._put_in_force)
        self._closed = frozenset()
        # Dict of the end of its retention by data centre that is kept closed.
        self._kept_closed = {}
        self._entries = {}
        self._expired = {}
        # Dict of the time of the statement by key of the target that made it.
        self._stated_leaving_s = {}
        self._started_s = time.monotonic()
        self._became_ready = asyncio.Event()

    @property
    def configuration(self):
        """The Configuration in force, or None before the first one is received."""
        return self._configuration

    @property
    def account_keys(self):
        """The AccountKeys in force, or None if requests need no key."""
        return self._account_keys

    @property
    def closed_data_centres(self):
        """Names of the evacuated data centres, whose targets get no requests."""
        return self._closed

    @property
    def ready(self):
        """Whether a configuration and the targets' table have been received."""
        return self._configuration is not None and self._registrations.loaded

    async def wait_until_ready(self, left_s):
        """Wait for the first configuration and targets if this VM has just started.

        Args:
            left_s: Seconds until the caller's deadline; the wait takes a part of them
                at most.
        """
        uptime_s = time.monotonic() - self._started_s
        wait_s = wait_for_tables_s(uptime_s, left_s)
        if self.ready or not wait_s:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                await self._became_ready.wait()

    @property
    def replicas(self):
        """Dict of TableReplica by table name."""
        return {r.name: r for r in (self._operator, self._registrations)}

    @property
    def operator(self):
        """The TableReplica of the operator's table."""
        return self._operator

    @property
    def registrations(self):
        """The TableReplica of the targets' table."""
        return self._registrations

    @property
    def entries(self):
        """List of the TargetEntries of the services that the configuration names.

        Other writers may register targets of any other service.
        """
        if self._configuration is None:
            return []
        named = self._configuration.services
        return [entry for entry in self._entries.values() if entry.service in named]

    @property
    def target_keys(self):
        """Set of the keys of all registered targets."""
        return {entry.key for entry in self._entries.values()}

    def targets(self, service):
        """Return the TargetEntries of a service."""
        return [entry for entry in self._entries.values() if entry.service == service]

    def target(self, key):
        """Return the TargetEntry with a key, or None.

        Args:
            key: Pair of the target's id and the start of its lifetime. The entry of
                another lifetime of the same target does not match.
        """
        entry = self._entries.get(key[0])
        return entry if entry is not None and entry.key == key else None

    def mark_leaving(self, key, source):
        """Treat a target as leaving, whatever its registration says.

        Args:
            key: Key of the target's lifetime; the next lifetime is not affected.
            source: Who says so, for the log.

        Returns:
            Whether this is news.
        """
        if key in self._stated_leaving_s:
            return False
        self._stated_leaving_s[key] = time.monotonic()
        entry = self.target(key)
        if entry is None or entry.leaving:
            return entry is not None
        self._log.event(
            "target-states-leaving", target=key[0], service=entry.service, source=source
        )
        self._entries[key[0]] = attrs.evolve(entry, leaving=True)
        self._on_change()
        return True

    def apply_changes(self, replica, keys):
        """Update the state from changed rows.

        Args:
            replica: The TableReplica that changed.
            keys: Set of the keys of its changed rows.
        """
        if keys:
            if replica is self._operator:
                self._apply_operator_rows(keys)
            else:
                self._apply_registrations(keys)
            self._on_change()
        if self.ready:
            self._became_ready.set()

    def drop_expired(self):
        """Remove targets not registered again in time after a store outage."""
        now_s = time.monotonic()
        oldest_s = now_s - STATED_LEAVING_MEMORY_S
        self._stated_leaving_s = {
            key: stated_s
            for key, stated_s in self._stated_leaving_s.items()
            if stated_s > oldest_s
        }
        if any(until_s <= now_s for until_s in self._kept_closed.values()):
            self._update_closed()
            self._on_change()
        expired = [key for key, until_s in self._expired.items() if until_s <= now_s]
        for key in expired:
            del self._expired[key]
            if self._entries.pop(key, None) is not None:
                self._log.event("target-gone", target=key, lapsed=True)
        if expired:
            self._on_change()

    def _apply_operator_rows(self, keys):
        rows = self._operator.rows
        self._update_closed()
        if CONFIGURATION_KEY in keys and CONFIGURATION_KEY in rows:
            self._apply_configuration(rows[CONFIGURATION_KEY])

    def _update_closed(self):
        """Close the data centres that the operator's rows name.

        One whose row has vanished in a gap stays closed for a while, as the store may
        have lost the row, which the operator then writes again.
        """
        named = frozenset(filter(None, map(evacuated_data_centre, self._operator.rows)))
        until_s = _retention_end_s(self._operator)
        for name in self._closed - named:
            self._kept_closed.setdefault(name, until_s)
        now_s = time.monotonic()
        self._kept_closed = {
            name: end_s
            for name, end_s in self._kept_closed.items()
            if end_s > now_s and name not in named
        }
        closed = named | self._kept_closed.keys()
        if closed != self._closed:
            self._log.event(
                "data-centres-closed",
                closed=",".join(sorted(closed)),
                version=self._operator.version,
            )
            self._closed = closed

    def _apply_configuration(self, row):
        decoded = decode_configuration(row.content)
        if isinstance(decoded, Failure):
            reason = decoded.failure()
            self._log.event("configuration-invalid", row=row.version, reason=reason)
            return
        configuration = decoded.unwrap()
        # Rows may arrive out of order; only a newer version takes effect.
        if configuration.version <= self._newest_version:
            return
        self._newest_version = configuration.version
        self._loader.load(configuration, row.version)

    def _put_in_force(self, loaded, later):
        """Make a configuration and its keys take effect in one step.

        Args:
            loaded: The LoadedConfiguration.
            later: Whether the change of its row has been reported before.
        """
        configuration = loaded.configuration
        # The keys themselves are needed no more.
        self._configuration = attrs.evolve(configuration, account_names={})
        self._account_keys = loaded.account_keys
        self._log.event(
            "configuration-in-force",
            version=f"{configuration.version:08x}",
            row=loaded.row,
            routes=len(configuration.routes),
            **loaded.account_counts,
        )
        if later:
            self._on_change()
            if self.ready:
                self._became_ready.set()

    def _apply_registrations(self, keys):
        for key in keys:
            row = self._registrations.rows.get(key)
            entry = None if row is None else self._decode_target(row)
            if row is None and self._may_have_expired(key):
                self._expired[key] = _retention_end_s(self._registrations)
                continue
            self._expired.pop(key, None)
            self._set_entry(key, entry)

    def _decode_target(self, row):
        """Return the TargetEntry of a row, or None if the row names no target."""
        decoded = decode_target(row.key, row.content)
        if isinstance(decoded, Success):
            return decoded.unwrap()
        self._log.event(
            "registration-refused",
            target=row.key,
            row=row.version,
            reason=decoded.failure(),
        )
        return None

    def _may_have_expired(self, key):
        """Whether a removed registration may have expired in a recent store outage.

        A draining target's may not: its removal is intended.
        """
        entry = self._entries.get(key)
        if entry is None or entry.leaving:
            return False
        return time.monotonic() < _retention_end_s(self._registrations)

    def _set_entry(self, key, entry):
        before = self._entries.pop(key, None)
        if entry is not None:
            if entry.key in self._stated_leaving_s:
                entry = attrs.evolve(entry, leaving=True)
            self._entries[key] = entry
        self._log_entry(key, before, entry)

    def _log_entry(self, key, before, entry):
        version = self._registrations.version
        if entry is None:
            if before is not None:
                self._log.event("target-gone", target=key, version=version)
            return
        if before is None or before.key != entry.key:
            event = "target-joined"
        elif entry.leaving and not before.leaving:
            event = "target-leaving"
        else:
            event = "target-changed"
        self._log.event(
            event,
            target=key,
            service=entry.service,
            data_centre=entry.data_centre,
            cold_s=entry.cold_left_s,
            version=version,
        )


def _retention_end_s(replica):
    """Return until when rows that vanished from a TableReplica may be written again.

    The time is on the monotonic clock; it is in the past if there was no gap.
    """
    if replica.gap_ended_s is None:
        return -math.inf
    return replica.gap_ended_s + EXPIRED_RETENTION_S
