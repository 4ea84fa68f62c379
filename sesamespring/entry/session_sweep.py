"""Remove the rows of ended sessions that no hold refers to."""

import asyncio

from sesamespring.entry.hold_rows import HOLD_PREFIX, SESSION_PREFIX
from sesamespring.errors import ExternalError
from sesamespring.logs import get_logger
from sesamespring.platform.json_table import Condition, Write

__all__ = ["sweep_periodically", "sweep_sessions"]

logger = get_logger(__name__)

SWEEP_INTERVAL_S = 300.0


async def sweep_periodically(table, vm, incarnation, address):
    """Call sweep_sessions every SWEEP_INTERVAL_S until cancelled.

    Args:
        table: The JsonTable.
        vm: Name of this VM.
        incarnation: Identity of this run of the daemon.
        address: Pair of IP and port on which this VM accepts peers.
    """
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
    """Remove the rows of sessions of earlier runs at this VM's own address.

    This run listens on that address, so the earlier runs must have ended. The row of
    an ended session is needed only while a hold row refers to it.

    Args:
        table: The JsonTable.
        vm: Name of this VM.
        incarnation: Identity of this run of the daemon.
        address: Pair of IP and port on which this VM accepts peers.

    Returns:
        Number of rows removed.

    Raises:
        ExternalError: The platform is unreachable.
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
    referenced = {SESSION_PREFIX + str(row.value["session"]) for row in holds}
    unused = [row for row in ended if row.key not in referenced]
    for row in unused:
        await table.transact([Condition(row.key, row.version)], [Write(row.key, None)])
    return len(unused)
