"""Store sessions and holds as rows of the platform's table.

The row ``session/SESSION`` is the lease of one run of a daemon. The row
``hold/SERVICE/TARGET`` names the session that holds a target, that is, has the
exclusive right to use its slots.
"""

from returns.result import Failure

from sesamespring.decisions.hold_messages import (
    HoldRow,
    HoldsRead,
    HoldsWritten,
    OperationFailed,
    ReadHolds,
    ReadSession,
    SessionRead,
    SessionRow,
    SessionWritten,
    TargetKey,
    Witness,
    WriteHolds,
    WriteResult,
    WriteSession,
)
from sesamespring.errors import ExternalError
from sesamespring.platform.json_table import Condition, Write

__all__ = ["HOLD_PREFIX", "SESSION_PREFIX", "HoldRows"]

SESSION_PREFIX = "session/"
HOLD_PREFIX = "hold/"


class HoldRows:
    """Executes the hold protocol's reads and writes of session and hold rows.

    Args:
        table: The JsonTable.
    """

    def __init__(self, table):
        self._table = table
        self._operations = {
            ReadSession: self._read_session,
            ReadHolds: self._read_holds,
            WriteSession: self._write_session,
            WriteHolds: self._write_holds,
        }

    async def execute(self, command):
        """Execute a command and return the message with its result.

        Args:
            command: A ReadSession, ReadHolds, WriteSession or WriteHolds.

        Returns:
            A SessionRead, HoldsRead, SessionWritten or HoldsWritten, or OperationFailed
            if a read failed because the platform is unreachable.
        """
        return await self._operations[type(command)](command)

    async def _read_session(self, command):
        try:
            row = await self._table.read(SESSION_PREFIX + command.session)
        except ExternalError:
            return OperationFailed(command)
        return SessionRead(command, _session_row(command.session, row))

    async def _read_holds(self, command):
        prefix = f"{HOLD_PREFIX}{command.service}/"
        try:
            rows = await self._table.scan(prefix)
        except ExternalError:
            return OperationFailed(command)
        return HoldsRead(
            command,
            tuple(
                HoldRow(
                    key=TargetKey(command.service, row.key.removeprefix(prefix)),
                    session=row.value["session"],
                    epoch=row.value["epoch"],
                    version=row.version,
                )
                for row in rows
            ),
        )

    async def _write_session(self, command):
        row = command.row
        key = SESSION_PREFIX + row.session
        value = {
            "vm": row.vm,
            "incarnation": row.incarnation,
            "address": list(row.address),
            "counter": row.counter,
            "ttl_s": row.ttl_s,
            "witnesses": [[w.vm, list(w.address)] for w in row.witnesses],
        }
        written = await self._transact([(key, row.version)], [Write(key, value)])
        return SessionWritten(command, *written)

    async def _write_holds(self, command):
        conditions = [(SESSION_PREFIX + s.session, s.version) for s in command.sessions]
        writes = []
        for row in command.rows:
            key = f"{HOLD_PREFIX}{row.key.service}/{row.key.target}"
            conditions.append((key, row.version))
            writes.append(Write(key, {"session": row.session, "epoch": row.epoch}))
        return HoldsWritten(command, *await self._transact(conditions, writes))

    async def _transact(self, conditions, writes):
        """Execute a transaction.

        Returns:
            A pair of WriteResult and the new version of the rows, which is 0 unless
            the transaction took effect.
        """
        conditions = [Condition(key, version) for key, version in conditions]
        try:
            result = await self._table.transact(conditions, writes)
        except ExternalError:
            return WriteResult.UNKNOWN, 0
        if isinstance(result, Failure):
            return WriteResult.CONFLICT, 0
        return WriteResult.DONE, result.unwrap()


def _session_row(session, row):
    if row.value is None:
        return None
    value = row.value
    return SessionRow(
        session=session,
        vm=value["vm"],
        incarnation=value["incarnation"],
        address=tuple(value["address"]),
        counter=value["counter"],
        ttl_s=value["ttl_s"],
        witnesses=tuple(Witness(vm, tuple(a)) for vm, a in value["witnesses"]),
        version=row.version,
    )
