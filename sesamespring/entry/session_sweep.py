"""Remove the rows of sessions that ended and hold nothing."""

import asyncio

from sesamespring.entry.hold_rows import HOLD_PREFIX, SESSION_PREFIX
from sesamespring.errors import ExternalError
from sesamespring.logs import get_logger
from sesamespring.platform.json_table import Condition, Write

__all__ = ["sweep_periodically", "sweep_sessions"]

logger = get_logger(__name__)

SWEEP_INTERVAL_S = 300.0


async def sweep_periodically(table, vm, incarnation, address):
    """Sweep from time to time until cancelled; see sweep_sessions."""
    while True:
        await asyncio.sleep(SWEEP_INTERVAL_S)
        try:
            count = await sweep_sessions(table, vm, incarnation, address)
        except ExternalError as error:
            logger.warning("session-sweep-failed", error=str(error))
            continue
        if count:
            logger.info("sessions-swept", count=count)


async def sweep_sessions(table, vm, incarnation, address):
    """Remove the sessions of earlier runs at this VM's own address.

    This run listens there, so that the earlier ones have ended; their rows matter
    only while a hold's row names them.

    Args:
        table: The JsonTable.
        vm: Name of this VM.
        incarnation: Identity of this run.
        address: Its peers' address, a pair of IP and port.

    Returns:
        How many were removed.

    Raises:
        ExternalError: The platform is away.
    """
    rows = await table.scan(f"{SESSION_PREFIX}{vm}.")
    ended = [
        row
        for row in rows
        if tuple(row.value["address"]) == address
        and row.value["incarnation"] != incarnation
    ]
    if not ended:
        return 0
    holds = await table.scan(HOLD_PREFIX)
    named = {SESSION_PREFIX + str(row.value["session"]) for row in holds}
    idle = [row for row in ended if row.key not in named]
    for row in idle:
        await table.transact([Condition(row.key, row.version)], [Write(row.key, None)])
    return len(idle)
