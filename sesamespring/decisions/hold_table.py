"""Keep holds in line with the table's rows: read, take, convert and compare."""

import math

from sesamespring.decisions.hold_messages import (
    HoldRow,
    ReadHolds,
    ReadSession,
    WriteHolds,
    WriteResult,
)
from sesamespring.decisions.holds import Hold

__all__ = ["HoldTable"]

# With the conditions on both sessions of each, they fit into one write.
WRITE_ROWS_MAX = 32
POLLS_PER_TTL = 20
SLOW_POLLS_PER_TTL = 1
CANCEL_S = 0.25


class HoldTable:
    """What this VM knows of the table's hold rows, and what it wants to change.

    Args:
        vm: Name of this VM.
        ttl_s: Seconds that a session lasts.
        session: The SessionRenewer.
        holds: The Holds.
        take_over: The SessionTakeover.
        longest_work_s: Function from TargetKey to the longest that a request may
            run there, in seconds.
    """

    def __init__(self, vm, ttl_s, session, holds, take_over, longest_work_s):
        self._vm = vm
        self._ttl_s = ttl_s
        self._session = session
        self._holds = holds
        self._take_over = take_over
        self._longest_work_s = longest_work_s
        self._rows = {}
        self._services_read = set()
        self._recheck = set()
        self._quiet_until_s = {}
        self._poll_due_s = -math.inf
        self._slow_poll_due_s = -math.inf

    def poll_soon(self):
        """Read at the next chance, and take no row as missing before."""
        self._services_read.clear()
        self._poll_due_s = -math.inf

    def recheck(self, service):
        """Read a service's rows again, even if nothing is missing there."""
        self._recheck.add(service)
        self.poll_soon()

    def reads(self, wanted, peers, now_s):
        """Return the reads that are due now, a list of commands.

        Args:
            wanted: TargetKeys that this VM should hold.
            peers: PeerState by name of each live peer.
            now_s: The time now.
        """
        if now_s < self._poll_due_s or self._session.away:
            return []
        self._poll_due_s = now_s + self._ttl_s / POLLS_PER_TTL
        missing = self._missing(wanted)
        self._forget_sessions(missing)
        slow = now_s >= self._slow_poll_due_s
        if slow:
            self._slow_poll_due_s = now_s + self._ttl_s / SLOW_POLLS_PER_TTL
        # A live holder passes its hold by a message: looking often is no use then.
        urgent = [key for key in missing if slow or self._is_orphan(key, peers)]
        services = {key.service for key in urgent} | self._recheck
        services.update(h.key.service for h in self._holds if h.counter is not None)
        sessions = {self._rows[key].session for key in urgent if key in self._rows}
        sessions -= {None, self._session.session}
        reads = [ReadHolds(service) for service in sorted(services)]
        return reads + [ReadSession(session) for session in sorted(sessions)]

    def _is_orphan(self, key, peers):
        """Return whether no live peer is known to hold a target."""
        row = self._rows.get(key)
        if row is None or row.session is None:
            return True
        session = self._take_over.row(row.session)
        if session is None:
            return True
        peer = peers.get(session.vm)
        return peer is None or peer.incarnation != session.incarnation

    def _forget_sessions(self, missing):
        known = {self._rows[key].session for key in missing if key in self._rows}
        self._take_over.forget_except(known)

    def read(self, service, rows, wanted):
        """Take a service's rows as read; return reads that follow from them."""
        self._recheck.discard(service)
        self._services_read.add(service)
        for key in [key for key in self._rows if key.service == service]:
            del self._rows[key]
        sessions = set()
        for row in rows:
            self._rows[row.key] = row
            self._compare(row)
            if row.key in wanted and row.key not in self._holds:
                sessions.add(row.session)
        sessions -= {None, self._session.session}
        unseen = [s for s in sorted(sessions) if self._take_over.row(s) is None]
        return [ReadSession(session) for session in unseen]

    def next_write(self, wanted, peers, now_s, commands):
        """Return one WriteHolds for what may be written now, or None.

        Args:
            wanted: TargetKeys that this VM should hold.
            peers: PeerState by name of each live peer.
            now_s: The time now.
            commands: List to which questions to peers are added.
        """
        if self._session.away or now_s >= self._session.lease.valid_until_s:
            return None
        rows = {}
        sessions = {}
        for hold in self._holds:
            row = self._rows.get(hold.key)
            if len(rows) >= WRITE_ROWS_MAX:
                break
            if hold.counter is not None and _stands(hold, row):
                rows[hold.key] = self._own_row(row, hold.epoch)
        for key in self._missing(wanted):
            if len(rows) >= WRITE_ROWS_MAX:
                break
            row = self._row_to_take(key)
            if row is not None and self._may_take(
                row, sessions, peers, now_s, commands
            ):
                rows[key] = self._own_row(row, row.epoch + 1)
        if not rows:
            return None
        conditions = (self._session.row, *sessions.values())
        return WriteHolds(tuple(rows.values()), conditions)

    def written(self, message):
        """Take a HoldsWritten."""
        if message.result is not WriteResult.DONE:
            # Nothing more is written before the rows are read again.
            for row in message.command.rows:
                self._rows.pop(row.key, None)
                self._services_read.discard(row.key.service)
                self.recheck(row.key.service)
            return
        for row in message.command.rows:
            after = HoldRow(row.key, row.session, row.epoch, message.version)
            self._rows[row.key] = after
            self._compare(after)

    def _missing(self, wanted):
        missing = [key for key in wanted if key not in self._holds]
        return missing + [k for k in self._holds.unconfirmed if k not in wanted]

    def _row_to_take(self, key):
        if key.service not in self._services_read:
            return None
        return self._rows.get(key, HoldRow(key, None, 0, 0))

    def _compare(self, row):
        """Bring a Hold in line with the row that the table has."""
        hold = self._holds.get(row.key)
        if row.session == self._session.session:
            self._compare_own(row, hold)
            return
        self._holds.settle(row.key)
        if hold is not None and not _stands(hold, row):
            self._holds.drop(row.key)

    def _compare_own(self, row, hold):
        if hold is not None and hold.counter is None:
            hold.epoch = max(hold.epoch, row.epoch)
            hold.version = row.version
        elif hold is not None:
            # The passed hold stands under this VM's own session from now on.
            hold.session, hold.counter = row.session, None
            hold.epoch, hold.version = row.epoch, row.version
        elif self._holds.newer_than_passed(row.key, row.session, row.epoch):
            quiet_s = self._quiet_until_s.pop(row.key, -math.inf)
            self._holds.add(
                Hold(
                    key=row.key,
                    session=row.session,
                    counter=None,
                    epoch=row.epoch,
                    version=row.version,
                    quiet_until_s=quiet_s,
                )
            )

    def _may_take(self, row, sessions, peers, now_s, commands):
        session = row.session
        work_s = self._longest_work_s(row.key)
        if session is None:
            self._quiet_until_s.pop(row.key, None)
            return True
        if session == self._session.session:
            self._quiet_until_s[row.key] = now_s + work_s
            return self._may_retake(row, peers, now_s, commands)
        if not self._take_over.may_take(session, peers, now_s, commands):
            return False
        # A dead run's connections are closed, so that targets cancel its work.
        dead = self._take_over.proved_dead(session, peers)
        self._quiet_until_s[row.key] = now_s + (CANCEL_S if dead else work_s)
        session_row = self._take_over.row(session)
        if session_row is not None:
            sessions[session] = session_row
        return True

    def _may_retake(self, row, peers, now_s, commands):
        """Return whether a hold that was passed on, but not taken, may come back."""
        passed = self._holds.passed(row.key)
        if passed is None or now_s - passed.passed_s < self._ttl_s:
            return False
        return self._take_over.is_released(
            passed, passed.witnesses, peers, now_s, commands
        )

    def _own_row(self, row, epoch):
        epoch = max(epoch, row.epoch + 1)
        return HoldRow(row.key, self._session.session, epoch, row.version)


def _stands(hold, row):
    """Return whether the table's row is the one under which a hold stands."""
    if row is None:
        return False
    return row.session == hold.session and row.version == hold.version
