"""Bound the extra attempts that retries and hedges make."""

import attrs

__all__ = ["RetryBudget"]

EXTRA_ATTEMPT_SHARE = 0.05
BALANCE_MAX = 20.0


@attrs.define
class RetryBudget:
    """Extra attempts earned by requests, as a share of them.

    As each VM keeps to the share of its own requests, the service keeps to it too.

    Attributes:
        balance: How many extra attempts may be made now.

    >>> budget = RetryBudget(balance=1.0)
    >>> budget.spend(), budget.spend()
    (True, False)
    """

    balance: float = 1.0

    def record_request(self):
        """Count a new request."""
        self.balance = min(BALANCE_MAX, self.balance + EXTRA_ATTEMPT_SHARE)

    def spend(self):
        """Take one extra attempt.

        Returns:
            Whether there was one; only then may it be made.
        """
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        return True
