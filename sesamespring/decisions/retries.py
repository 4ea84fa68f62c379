"""Limit the extra attempts that retries and hedges cause."""

import attrs

__all__ = ["RetryBudget"]

EXTRA_ATTEMPT_SHARE = 0.05
BALANCE_MAX = 20.0


@attrs.define
class RetryBudget:
    """A budget of extra attempts, a fixed share of the number of requests.

    As each VM keeps to the share for its own requests, the service as a whole does.

    Attributes:
        balance: Number of extra attempts that may be made.

    >>> budget = RetryBudget(balance=1.0)
    >>> budget.spend(), budget.spend()
    (True, False)
    """

    balance: float = 1.0

    def record_request(self):
        """Add one request's share of an extra attempt to the balance."""
        self.balance = min(BALANCE_MAX, self.balance + EXTRA_ATTEMPT_SHARE)

    def spend(self):
        """Take one extra attempt from the balance.

        Returns:
            Whether the balance sufficed; the attempt may be made only then.
        """
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        return True
