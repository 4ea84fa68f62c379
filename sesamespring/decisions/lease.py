"""Determine the validity of leases without comparing the clocks of VMs.

A holder measures the validity from before it sent a renewal. Other VMs measure from
when they first read that renewal, and add a margin. The renewal took effect between
the two, so the lease ends first for the holder, whatever the clocks show.
"""

import math

import attrs

__all__ = ["ObservedSessions", "SessionLease", "majority"]

# Share of the ttl that other VMs add as a margin.
MARGIN_SHARE = 0.1
# Version of a row that the table does not have.
ABSENT = 0


def majority(count):
    """Return how many of a number of witnesses are a majority.

    >>> [majority(count) for count in range(1, 6)]
    [1, 2, 2, 3, 3]
    """
    return count // 2 + 1


@attrs.frozen
class _Attempt:
    sent_s: float
    witnesses: tuple


class SessionLease:
    """The lease of this VM's session, as renewed in the table.

    Args:
        ttl_s: Seconds for which a renewal is valid.

    >>> lease = SessionLease(ttl_s=6.0)
    >>> counter = lease.start_attempt((), now_s=10.0)
    >>> lease.confirm(counter, version=1)
    >>> lease.valid_until_s
    16.0
    """

    def __init__(self, ttl_s):
        self._ttl_s = ttl_s
        self._valid_until_s = -math.inf
        self._version = ABSENT
        self._counter = 0
        self._last_attempt = 0
        self._witnesses = ()
        self._attempts = {}

    @property
    def valid_until_s(self):
        """Time at which the last confirmed renewal expires."""
        return self._valid_until_s

    @property
    def version(self):
        """Version of the row as last confirmed."""
        return self._version

    @property
    def counter(self):
        """Number of the last confirmed renewal; 0 before the first."""
        return self._counter

    @property
    def witnesses(self):
        """Witnesses of the confirmed renewal and of attempts that may be in effect."""
        everyone = {witness.vm: witness for witness in self._witnesses}
        for attempt in self._attempts.values():
            everyone.update((witness.vm, witness) for witness in attempt.witnesses)
        return tuple(everyone.values())

    @property
    def quorum(self):
        """Number of witnesses that must promise, so that no takeover is possible."""
        sets = {frozenset(w.vm for w in self._witnesses)}
        sets.update(
            frozenset(w.vm for w in attempt.witnesses)
            for attempt in self._attempts.values()
        )
        everyone = frozenset().union(*sets)
        # While it is unknown which set of witnesses is in effect, the witnesses of all
        # sets must promise.
        return majority(len(everyone)) if len(sets) == 1 else len(everyone)

    def start_attempt(self, witnesses, now_s):
        """Record that a renewal is sent, and return its number."""
        self._last_attempt += 1
        self._attempts[self._last_attempt] = _Attempt(now_s, witnesses)
        return self._last_attempt

    def confirm(self, counter, version):
        """Record that the table's row has a renewal of this session.

        Args:
            counter: Number of the renewal.
            version: Version of the row.
        """
        self._version = version
        attempt = self._attempts.get(counter)
        if attempt is None:
            return
        self._counter = counter
        self._witnesses = attempt.witnesses
        self._valid_until_s = max(self._valid_until_s, attempt.sent_s + self._ttl_s)
        # Other attempts require the previous version of the row and must fail.
        self._attempts.clear()


@attrs.define
class _Observation:
    row: object
    first_s: float


class ObservedSessions:
    """The sessions of other VMs, as read from the table."""

    def __init__(self):
        self._seen = {}

    def row(self, session):
        """Return the SessionRow last read, or None."""
        seen = self._seen.get(session)
        return None if seen is None else seen.row

    def first_seen_s(self, session):
        """Return when the session's latest renewal was first read, or None."""
        seen = self._seen.get(session)
        return None if seen is None else seen.first_s

    def lapsed(self, session, ttl_s, now_s):
        """Return whether the session's latest renewal has certainly expired.

        Args:
            session: The session.
            ttl_s: Seconds to wait if the table has no row.
            now_s: The current time in seconds.
        """
        seen = self._seen.get(session)
        if seen is None:
            return False
        if seen.row is not None:
            ttl_s = seen.row.ttl_s
        return now_s - seen.first_s > ttl_s * (1 + MARGIN_SHARE)

    def observe(self, session, row, now_s):
        """Record a session's row as read, or None if the table has none."""
        seen = self._seen.get(session)
        if seen is None or _counter(seen.row) != _counter(row):
            self._seen[session] = _Observation(row, now_s)

    def retain_only(self, sessions):
        """Remove the data of all but these sessions."""
        self._seen = {s: seen for s, seen in self._seen.items() if s in sessions}


def _counter(row):
    return None if row is None else row.counter
