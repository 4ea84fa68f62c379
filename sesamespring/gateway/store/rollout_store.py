"""Read and write the rows of roll-outs: this project's records, and their status."""

from returns.result import Failure, Success

from sesamespring.platform.rollout_rows import (
    RECORDS_TABLE,
    ROLLOUT_PREFIX,
    STATUS_TABLE,
    decode_record,
    encode_record,
    encode_status,
)
from sesamespring.platform.rows import ABSENT_VERSION, RowCondition, RowWrite
from sesamespring.platform.store import key_after

__all__ = ["RolloutStore"]


class RolloutStore:
    """The rows of roll-outs in the platform's store.

    A record and its status are written together, under the condition that the record's
    row has the version that is known. All methods raise ExternalError if no valid
    response came in time; a write may then have taken effect, or do so later.

    Args:
        store: The StoreClient.
        log: The EventLog.
    """

    def __init__(self, store, log):
        self._store = store
        self._log = log

    async def read(self, service):
        """Return the pair of a service's RolloutRecord, or None, and its version."""
        page = await self._store.read_range(
            RECORDS_TABLE, service, key_after(service), 1
        )
        return self._decode(service, page.rows)

    async def write(self, record, version):
        """Write a RolloutRecord and its status.

        Args:
            record: The RolloutRecord.
            version: Version that the record's row must have.

        Returns:
            Success of the new version, or Failure of the pair that ``read`` returns.
        """
        service = record.order.service
        writes = [
            RowWrite(service, encode_record(record)),
            RowWrite(ROLLOUT_PREFIX + service, encode_status(record), STATUS_TABLE),
        ]
        expected = [RowCondition(service, version)]
        result = await self._store.transact(RECORDS_TABLE, expected, writes)
        if isinstance(result, Success):
            return result
        return Failure(self._decode(service, result.failure().rows))

    async def remove(self, service):
        """Remove a service's record, so that the same order is a new one next time.

        Its status row stays, for the operator to read.
        """
        _, version = await self.read(service)
        if version != ABSENT_VERSION:
            expected = [RowCondition(service, version)]
            writes = [RowWrite(service, None)]
            await self._store.transact(RECORDS_TABLE, expected, writes)

    def _decode(self, service, rows):
        """Return the pair of RolloutRecord and version of the rows of a response."""
        found = [row for row in rows if row.key == service and row.content is not None]
        if not found:
            return None, ABSENT_VERSION
        row = found[0]
        decoded = decode_record(service, row.content)
        if isinstance(decoded, Success):
            return decoded.unwrap(), row.version
        self._log.event(
            "row-refused", table=RECORDS_TABLE, key=service, reason=decoded.failure()
        )
        return None, row.version
