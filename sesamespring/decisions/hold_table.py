"""Synchronize holds with the rows of the platform's table."""

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

# With the conditions on two sessions for each row, this many rows fit into one write.
WRITE_ROWS_MAX = 32
POLLS_PER_TTL = 20
SLOW_POLLS_PER_TTL = 1
# Time in which a target cancels the requests of a closed connection.
CANCEL_S = 0.25


class HoldTable:
    """The table's hold rows as last read, and the writes that this VM makes.

    Args:
        vm: Name of this VM.
        ttl_s: Seconds for which a renewal of a session is valid.
        session: The SessionRenewer.
        holds: The Holds.
        takeover: The SessionTakeover.
        longest_work_s: Function from TargetKey to the longest time in seconds that a
            request may run there.
    """

    def __init__(self, vm, ttl_s, session, holds, takeover, longest_work_s):
        self._vm = vm
        self._ttl_s = ttl_s
        self._session = session
        self._holds = holds
        self._takeover = takeover
        self._longest_work_s = longest_work_s
        self._rows = {}
        self._services_read = set()
        self._recheck = set()
        self._quiet_until_s = {}
        self._poll_due_s = -math.inf
        self._slow_poll_due_s = -math.inf

    def poll_soon(self):
        """Make the next poll due now, and treat no row as absent until it was read."""
        self._services_read.clear()
        self._poll_due_s = -math.inf

    def recheck(self, service):
        """Read a service's rows again, even if this VM has all its holds there."""
        self._recheck.add(service)
        self.poll_soon()

    def due_reads(self, assigned, peers, now_s):
        """Return the ReadHolds and ReadSession commands that are due, as a list.

        Args:
            assigned: TargetKeys that this VM should hold.
            peers: PeerState of each live peer, by name of the VM.
            now_s: The current time in seconds.
        """
        if now_s < self._poll_due_s or self._session.platform_away:
            return []
        self._poll_due_s = now_s + self._ttl_s / POLLS_PER_TTL
        missing = self._missing(assigned)
        self._drop_unused_sessions(missing)
        slow = now_s >= self._slow_poll_due_s
        if slow:
            self._slow_poll_due_s = now_s + self._ttl_s / SLOW_POLLS_PER_TTL
        # A live holder hands its hold over by message, so frequent polls are useless.
        urgent = [key for key in missing if slow or self._is_orphan(key, peers)]
        services = {key.service for key in urgent} | self._recheck
        services.update(h.key.service for h in self._holds if h.counter is not None)
        sessions = {self._rows[key].session for key in urgent if key in self._rows}
        sessions -= {None, self._session.session}
        reads = [ReadHolds(service) for service in sorted(services)]
        return reads + [ReadSession(session) for session in sorted(sessions)]

    def _is_orphan(self, key, peers):
        """Return whether a target has no holder, or none that is a live peer."""
        row = self._rows.get(key)
        if row is None or row.session is None:
            return True
        session = self._takeover.row(row.session)
        if session is None:
            return True
        peer = peers.get(session.vm)
        return peer is None or peer.incarnation != session.incarnation

    def _drop_unused_sessions(self, missing):
        known = {self._rows[key].session for key in missing if key in self._rows}
        self._takeover.retain_only(known)

    def handle_read(self, service, rows, assigned):
        """Process the rows of a service as read.

        Args:
            service: Name of the service.
            rows: Its HoldRows.
            assigned: TargetKeys that this VM should hold.

        Returns:
            A list of ReadSession commands for sessions that were not read before.
        """
        self._recheck.discard(service)
        self._services_read.add(service)
        for key in [key for key in self._rows if key.service == service]:
            del self._rows[key]
        sessions = set()
        for row in rows:
            self._rows[row.key] = row
            self._reconcile(row)
            if row.key in assigned and row.key not in self._holds:
                sessions.add(row.session)
        sessions -= {None, self._session.session}
        unseen = [s for s in sorted(sessions) if self._takeover.row(s) is None]
        return [ReadSession(session) for session in unseen]

    def next_write(self, assigned, peers, now_s, commands):
        """Return one WriteHolds for the rows that may be written, or None.

        Args:
            assigned: TargetKeys that this VM should hold.
            peers: PeerState of each live peer, by name of the VM.
            now_s: The current time in seconds.
            commands: List to append messages and probes to.
        """
        if self._session.platform_away or now_s >= self._session.lease.valid_until_s:
            return None
        rows = {}
        sessions = {}
        for hold in self._holds:
            row = self._rows.get(hold.key)
            if len(rows) >= WRITE_ROWS_MAX:
                break
            if hold.counter is not None and _is_current(hold, row):
                rows[hold.key] = self._own_row(row, hold.epoch)
        for key in self._missing(assigned):
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

    def handle_written(self, message):
        """Process a HoldsWritten."""
        if message.result is not WriteResult.DONE:
            # No further write is made until the rows were read again.
            for row in message.command.rows:
                self._rows.pop(row.key, None)
                self._services_read.discard(row.key.service)
                self.recheck(row.key.service)
            return
        for row in message.command.rows:
            after = HoldRow(row.key, row.session, row.epoch, message.version)
            self._rows[row.key] = after
            self._reconcile(after)

    def _missing(self, assigned):
        missing = [key for key in assigned if key not in self._holds]
        return missing + [k for k in self._holds.unconfirmed if k not in assigned]

    def _row_to_take(self, key):
        if key.service not in self._services_read:
            return None
        return self._rows.get(key, HoldRow(key, None, 0, 0))

    def _reconcile(self, row):
        """Update the holds from a row of the table."""
        hold = self._holds.get(row.key)
        if row.session == self._session.session:
            self._reconcile_own(row, hold)
            return
        self._holds.confirm(row.key)
        if hold is not None and not _is_current(hold, row):
            self._holds.drop(row.key)

    def _reconcile_own(self, row, hold):
        if hold is not None and hold.counter is None:
            hold.epoch = max(hold.epoch, row.epoch)
            hold.version = row.version
        elif hold is not None:
            # The table now names this VM's own session for a hold that it was handed.
            hold.session, hold.counter = row.session, None
            hold.epoch, hold.version = row.epoch, row.version
        elif self._holds.newer_than_handed_over(row.key, row.session, row.epoch):
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
        if not self._takeover.may_take(session, peers, now_s, commands):
            return False
        # A dead run's connections are closed, so targets cancel its requests.
        dead = self._takeover.is_proven_dead(session, peers)
        self._quiet_until_s[row.key] = now_s + (CANCEL_S if dead else work_s)
        session_row = self._takeover.row(session)
        if session_row is not None:
            sessions[session] = session_row
        return True

    def _may_retake(self, row, peers, now_s, commands):
        """Return whether a hold whose handover was lost may be taken back."""
        handed_over = self._holds.handed_over(row.key)
        if handed_over is None or now_s - handed_over.handed_over_s < self._ttl_s:
            return False
        return self._takeover.is_released(
            handed_over, handed_over.witnesses, peers, now_s, commands
        )

    def _own_row(self, row, epoch):
        epoch = max(epoch, row.epoch + 1)
        return HoldRow(row.key, self._session.session, epoch, row.version)


def _is_current(hold, row):
    """Return whether a hold matches the table's row."""
    if row is None:
        return False
    return row.session == hold.session and row.version == hold.version
