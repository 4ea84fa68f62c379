"""Record refused changes, within bounds, and copy the audit trail once a day."""

import asyncio
import time

from sesamespring.errors import ExternalError
from sesamespring.logs import get_logger
from sesamespring.resources.audit import copy_day, prune_copied, record_refusal

__all__ = ["AuditTask"]

logger = get_logger(__name__)

COPY_INTERVAL_S = 60.0
REFUSALS_PER_S = 1.0
REFUSALS_BURST = 20.0


class AuditTask:
    """The task that keeps the audit trail.

    Args:
        table: The JsonTable.
        copies: Function that tells whether this VM copies the trail now.
    """

    def __init__(self, table, copies):
        self._table = table
        self._copies = copies
        self._allowance = REFUSALS_BURST
        self._allowance_s = time.monotonic()

    async def run(self):
        """Copy and prune until cancelled."""
        while True:
            await asyncio.sleep(COPY_INTERVAL_S)
            if self._copies():
                await self._copy()

    async def record(self, record):
        """Record a refusal, unless there were too many or the platform is away."""
        logger.info(
            "change-refused",
            outcome=record.outcome,
            operator=record.operator,
            identity=record.identity,
        )
        if not self._allowed():
            logger.warning("refusal-not-recorded", identity=record.identity)
            return
        try:
            await record_refusal(self._table, record)
        except ExternalError as error:
            logger.warning(
                "refusal-not-recorded", identity=record.identity, error=str(error)
            )

    def _allowed(self):
        now_s = time.monotonic()
        grown = self._allowance + (now_s - self._allowance_s) * REFUSALS_PER_S
        self._allowance = min(REFUSALS_BURST, grown)
        self._allowance_s = now_s
        if self._allowance < 1:
            return False
        self._allowance -= 1
        return True

    async def _copy(self):
        try:
            while (copied := await copy_day(self._table, time.time())) is not None:
                logger.info("audit-copied", records=copied)
            pruned = await prune_copied(self._table, time.time())
            if pruned:
                logger.info("audit-pruned", records=pruned)
        except ExternalError as error:
            logger.warning("audit-copy-failed", error=str(error))
