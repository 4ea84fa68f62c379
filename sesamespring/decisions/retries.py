"""Bound the extra attempts that retries and hedges make."""

import attrs

__all__ = ["RetryBudget"]

EXTRA_SHARE = 0.05
SAVED_MAX = 20.0


@attrs.define
class RetryBudget:
    """Extra attempts earned by requests, as a share of them.

    As each VM keeps to the share of its own requests, the service keeps to it too.

    Attributes:
        saved: How many extra attempts may be made now.

    >>> budget = RetryBudget(saved=1.0)
    >>> budget.spend(), budget.spend()
    (True, False)
    """

    saved: float = 1.0

    def earn(self):
        """Count a new request."""
        self.saved = min(SAVED_MAX, self.saved + EXTRA_SHARE)

    def spend(self):
        """Take one extra attempt.

        Returns:
            Whether there was one; only then may it be made.
        """
        if self.saved < 1.0:
            return False
        self.saved -= 1.0
        return True
