"""The operator's roll-out orders, as last received by this VM."""

import time

from returns.result import Failure

from sesamespring.platform.rollout_rows import ROLLOUT_PREFIX, decode_order

__all__ = ["RolloutOrders"]


class RolloutOrders:
    """The RolloutOrder of each service that has one.

    Args:
        log: The EventLog.
    """

    def __init__(self, log):
        self._log = log
        self._orders = {}
        # Dict of the end of its retention by service whose row has vanished.
        self._kept = {}

    @property
    def orders(self):
        """Dict of RolloutOrder by service."""
        return self._orders

    def update(self, rows, keys, retention_end_s):
        """Take in changed rows of the operator's table.

        Args:
            rows: Dict of all StoredRows by key.
            keys: Keys of those that have changed.
            retention_end_s: Until when an order whose row vanished in an outage of the
                store is kept, on the monotonic clock; the operator may write it again.
        """
        for key in keys:
            if not key.startswith(ROLLOUT_PREFIX):
                continue
            service = key.removeprefix(ROLLOUT_PREFIX)
            if key in rows:
                self._kept.pop(service, None)
                self._set_order(service, rows[key])
            elif service in self._orders:
                self._kept[service] = retention_end_s
        self.drop_expired()

    def drop_expired(self):
        """Remove orders whose rows were not written again in time."""
        now_s = time.monotonic()
        for service, end_s in tuple(self._kept.items()):
            if end_s <= now_s:
                del self._kept[service]
                self._orders.pop(service, None)
                self._log.event("rollout-order-removed", service=service)

    def _set_order(self, service, row):
        """Take over an order; a malformed one leaves the one before in force."""
        decoded = decode_order(row.key, row.content)
        if isinstance(decoded, Failure):
            reason = decoded.failure()
            self._log.event(
                "rollout-order-refused", key=row.key, row=row.version, reason=reason
            )
            return
        order = decoded.unwrap()
        if order != self._orders.get(service):
            self._log.event(
                "rollout-order", service=service, to=order.to, within_s=order.duration_s
            )
        self._orders[service] = order
