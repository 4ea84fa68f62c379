"""Keep this VM's own session renewed, and know whether the platform is away."""

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
AWAY_FAILURES = 2


class SessionRenewer:
    """The session of this run of the daemon.

    Args:
        vm: Name of this VM.
        incarnation: Identity of this run.
        address: Its peers' address, a pair of IP and port.
        ttl_s: Seconds that a renewal lasts.
    """

    def __init__(self, vm, incarnation, address, ttl_s):
        self._vm = vm
        self._incarnation = incarnation
        self._address = address
        self._ttl_s = ttl_s
        self._generation = 1
        self._lease = SessionLease(ttl_s)
        self._due_s = -math.inf
        self._unsettled = False
        self._gaps = 0
        self._failures = 0

    @property
    def session(self):
        """Identity of the session."""
        return f"{self._vm}.{self._incarnation}.{self._generation}"

    @property
    def lease(self):
        """The SessionLease."""
        return self._lease

    @property
    def gaps(self):
        """How often the session may have lapsed before a renewal was confirmed."""
        return self._gaps

    @property
    def away(self):
        """Whether the platform did not answer of late."""
        return self._failures >= AWAY_FAILURES

    @property
    def due_s(self):
        """Time at which the session's next call to the platform is due."""
        return self._due_s

    @property
    def row(self):
        """The SessionRow as last confirmed, for conditions."""
        return self._row(self._lease.counter, self._lease.witnesses)

    def hasten(self, now_s):
        """Call the platform soon, to learn whether it is away."""
        self._due_s = min(self._due_s, now_s)

    def next_call(self, witnesses, now_s):
        """Return the session's call to the platform that is due, or None.

        Args:
            witnesses: Tuple of Witness for the renewal.
            now_s: The time now.
        """
        if now_s < self._due_s:
            return None
        self._due_s = math.inf
        if self._unsettled:
            return ReadSession(self.session)
        if self._failures and self._lease.counter:
            witnesses = self._lease.witnesses
        counter = self._lease.start_attempt(witnesses, now_s)
        return WriteSession(self._row(counter, witnesses))

    def written(self, message, valid_until_s, now_s):
        """Take a SessionWritten."""
        result = message.result
        if result is WriteResult.DONE:
            counter = message.command.row.counter
            self._confirm(counter, message.version, valid_until_s, now_s)
            return
        # A lost answer and a late earlier attempt look alike: the row tells.
        self._unsettled = True
        if result is WriteResult.UNKNOWN:
            self.failed(now_s)
        else:
            self._failures = 0
            self._due_s = now_s

    def read(self, row, valid_until_s, now_s):
        """Take the session's row as read, or None where the table has none."""
        self._unsettled = False
        if row is not None:
            self._confirm(row.counter, row.version, valid_until_s, now_s)
            return
        if self._lease.version != ABSENT:
            self._start_anew()
        self._failures = 0
        self._due_s = now_s

    def answered(self):
        """Note that the platform answered another call."""
        self._failures = 0

    def failed(self, now_s):
        """Note that the platform did not answer a call."""
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
            self._gaps += 1
        sent_s = self._lease.valid_until_s - self._ttl_s
        self._due_s = max(now_s, sent_s + self._ttl_s / RENEWALS_PER_TTL)

    def _start_anew(self):
        self._generation += 1
        self._gaps += 1
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
