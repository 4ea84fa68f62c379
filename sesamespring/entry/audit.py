"""Record refused changes at a limited rate and copy the audit trail once a day."""

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
    """Task that records refused changes and copies the audit trail.

    Refusals are recorded at no more than REFUSALS_PER_S, with bursts of up to
    REFUSALS_BURST.

    Args:
        table: The JsonTable.
        is_copier: Function that returns whether this VM is currently responsible
            for copying the audit trail.
    """

    def __init__(self, table, is_copier):
        self._table = table
        self._is_copier = is_copier
        self._tokens = REFUSALS_BURST
        self._tokens_updated_s = time.monotonic()

    async def run(self):
        """Copy past days and prune copied rows until cancelled.

        Whether there is something to do is checked every COPY_INTERVAL_S.
        """
        while True:
            await asyncio.sleep(COPY_INTERVAL_S)
            if self._is_copier():
                await self._copy()

    async def record(self, record):
        """Log a refused change and write its AuditRecord to the table.

        The record is only logged if the rate limit is exceeded or the platform is
        unreachable.

        Args:
            record: The AuditRecord.
        """
        logger.info(
            "change-refused",
            outcome=record.outcome,
            operator=record.operator,
            identity=record.identity,
        )
        if not self._take_token():
            logger.warning("refusal-not-recorded", identity=record.identity)
            return
        try:
            await record_refusal(self._table, record)
        except ExternalError as error:
            logger.warning(
                "refusal-not-recorded", identity=record.identity, error=str(error)
            )

    def _take_token(self):
        """Take a token from the bucket; return whether there was one."""
        now_s = time.monotonic()
        refilled = self._tokens + (now_s - self._tokens_updated_s) * REFUSALS_PER_S
        self._tokens = min(REFUSALS_BURST, refilled)
        self._tokens_updated_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
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
