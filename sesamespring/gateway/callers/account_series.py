"""Choose the client accounts that have series of their own among the metrics."""

import collections

__all__ = ["OTHER_ACCOUNTS", "AccountSeries", "account_outcome"]

SERIES_MAX = 100
# Stands for all accounts without a series of their own.
OTHER_ACCOUNTS = "(other)"
# Of many accounts, one gets a series after so many requests, if it sent this part of
# all of them.
REQUESTS_MIN = 100
PART_MIN = 1 / (4 * SERIES_MAX)
_OUTCOMES = {429: "quota", 503: "room"}


class AccountSeries:
    """The accounts with series of their own, ``SERIES_MAX`` at most.

    An account keeps its series, so that no counter ever falls. Where there are few
    accounts each has one, else the largest.

    >>> series = AccountSeries()
    >>> series.label("a", 72), series.label("b", 5000)
    ('a', '(other)')
    """

    def __init__(self):
        self._labels = set()
        self._counts = collections.Counter()
        self._total = 0

    def label(self, account, accounts):
        """Count a request of an account and return the label for it.

        Args:
            account: Name of the account.
            accounts: Number of accounts in the configuration.
        """
        if account in self._labels:
            self._total += 1
            return account
        if len(self._labels) >= SERIES_MAX:
            return OTHER_ACCOUNTS
        self._total += 1
        self._counts[account] += 1
        if accounts > SERIES_MAX and not self._is_large(account):
            return OTHER_ACCOUNTS
        del self._counts[account]
        self._labels.add(account)
        return account

    def _is_large(self, account):
        count = self._counts[account]
        return count >= REQUESTS_MIN and count >= self._total * PART_MIN


def account_outcome(status):
    """Return what became of an account's request, for the metrics.

    >>> [account_outcome(status) for status in (200, 429, 503, 502)]
    ['served', 'quota', 'room', 'failed']
    """
    return "served" if 200 <= status < 300 else _OUTCOMES.get(status, "failed")
