"""Renew this VM's session, and track whether the platform is unavailable."""

import math

from sesamespring.decisions.hold_messages import (
    ReadSession,
    SessionRow,
    WriteResult,
    WriteSession,
)
from sesamespring.decisions.lease import ABSENT, SessionLease

__all__ = ["SessionRenewer"]

RENEWALS_PER_TTL = 3
RETRIES_PER_TTL = 12
# Failed calls in a row after which the platform counts as unavailable.
FAILURES_UNTIL_AWAY = 2


class SessionRenewer:
    """The session of this run of the daemon, and the calls that renew it.

    A session whose row was removed from the table is replaced by one of the next
    generation.

    Args:
        vm: Name of this VM.
        incarnation: Identity of this run.
        address: Its address for peers, a pair of IP and port.
        ttl_s: Seconds for which a renewal is valid.
    """

    def __init__(self, vm, incarnation, address, ttl_s):
        self._vm = vm
        self._incarnation = incarnation
        self._address = address
        self._ttl_s = ttl_s
        self._generation = 1
        self._lease = SessionLease(ttl_s)
        self._due_s = -math.inf
        self._write_uncertain = False
        self._lapses = 0
        self._failures = 0

    @property
    def session(self):
        """Identity of the current session."""
        return f"{self._vm}.{self._incarnation}.{self._generation}"

    @property
    def lease(self):
        """The SessionLease of the current session."""
        return self._lease

    @property
    def lapses(self):
        """Number of times the session may have lapsed before a confirmed renewal."""
        return self._lapses

    @property
    def platform_away(self):
        """Whether the latest calls to the platform failed."""
        return self._failures >= FAILURES_UNTIL_AWAY

    @property
    def due_s(self):
        """Time at which the next call for the session is due."""
        return self._due_s

    @property
    def row(self):
        """The SessionRow as last confirmed, for conditional writes."""
        return self._row(self._lease.counter, self._lease.witnesses)

    def call_soon(self, now_s):
        """Make the next call due now, to check whether the platform is available."""
        self._due_s = min(self._due_s, now_s)

    def next_call(self, witnesses, now_s):
        """Return the WriteSession or ReadSession that is due, or None.

        Args:
            witnesses: Tuple of Witness for the renewal.
            now_s: The current time in seconds.
        """
        if now_s < self._due_s:
            return None
        self._due_s = math.inf
        if self._write_uncertain:
            return ReadSession(self.session)
        if self._failures and self._lease.counter:
            witnesses = self._lease.witnesses
        counter = self._lease.start_attempt(witnesses, now_s)
        return WriteSession(self._row(counter, witnesses))

    def handle_written(self, message, valid_until_s, now_s):
        """Process a SessionWritten.

        Args:
            message: The SessionWritten.
            valid_until_s: Time until which the session is valid without it.
            now_s: The current time in seconds.
        """
        result = message.result
        if result is WriteResult.DONE:
            counter = message.command.row.counter
            self._confirm(counter, message.version, valid_until_s, now_s)
            return
        # A lost response to this write and an earlier attempt that took effect late
        # look alike. Reading the row tells them apart.
        self._write_uncertain = True
        if result is WriteResult.UNKNOWN:
            self.record_failure(now_s)
        else:
            self._failures = 0
            self._due_s = now_s

    def handle_read(self, row, valid_until_s, now_s):
        """Process the session's row as read.

        Args:
            row: The SessionRow, or None if the table has none.
            valid_until_s: Time until which the session is valid without it.
            now_s: The current time in seconds.
        """
        self._write_uncertain = False
        if row is not None:
            self._confirm(row.counter, row.version, valid_until_s, now_s)
            return
        if self._lease.version != ABSENT:
            self._start_new_session()
        self._failures = 0
        self._due_s = now_s

    def record_success(self):
        """Record that the platform responded to another call."""
        self._failures = 0

    def record_failure(self, now_s):
        """Record that a call to the platform failed, and schedule a retry."""
        self._failures += 1
        self._due_s = min(self._due_s, now_s + self._ttl_s / RETRIES_PER_TTL)

    def _confirm(self, counter, version, valid_until_s, now_s):
        first = self._lease.counter == 0
        before = self._lease.counter
        self._lease.confirm(counter, version)
        self._failures = 0
        if self._lease.counter == before:
            self._due_s = now_s
            return
        if not first and now_s >= valid_until_s:
            self._lapses += 1
        sent_s = self._lease.valid_until_s - self._ttl_s
        self._due_s = max(now_s, sent_s + self._ttl_s / RENEWALS_PER_TTL)

    def _start_new_session(self):
        self._generation += 1
        self._lapses += 1
        self._lease = SessionLease(self._ttl_s)

    def _row(self, counter, witnesses):
        return SessionRow(
            session=self.session,
            vm=self._vm,
            incarnation=self._incarnation,
            address=self._address,
            counter=counter,
            ttl_s=self._ttl_s,
            witnesses=witnesses,
            version=self._lease.version,
        )
