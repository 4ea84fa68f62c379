"""Count and log what becomes of requests under their accounts' quotas."""

__all__ = ["QuotaReport"]

# Accounts with counters of their own, those with the largest quotas; the others share
# one, so that metrics stay few.
ACCOUNTS_COUNTED_MAX = 20
OTHERS = "others"
# Lines in one second, one for an account at most.
LINES_PER_S_MAX = 10


class QuotaReport:
    """The counters and log lines about quotas at one VM.

    Args:
        counters: The Counters.
        log: The EventLog.
    """

    def __init__(self, counters, log):
        self._counters = counters
        self._log = log
        self._counted = frozenset()
        self._logged = set()
        self._second = 0

    def set_accounts(self, accounts):
        """Choose the accounts that are counted one by one.

        Args:
            accounts: The Accounts in force.
        """
        largest = sorted(accounts, key=lambda a: (-a.rate_per_s, a.name))
        self._counted = frozenset([a.name for a in largest[:ACCOUNTS_COUNTED_MAX]])

    def set_lent(self, accounts):
        """Set the number of accounts whose tokens this VM lends."""
        self._counters.set("accounts_lent", accounts)

    def admitted(self, account):
        """Count a request that got a token."""
        self._count(account, "admitted")

    def refused(self, decision, limit, now_s):
        """Count a request that is refused, and log the first of its account a second.

        Args:
            decision: The Decision.
            limit: The Account, with its quota, or None if it has none any more.
            now_s: Current time.
        """
        self._count(decision.account, decision.verdict.value)
        if int(now_s) != self._second:
            self._second = int(now_s)
            self._logged = set()
        if decision.account in self._logged or len(self._logged) >= LINES_PER_S_MAX:
            return
        self._logged.add(decision.account)
        self._log.event(
            "account-refused",
            account=decision.account,
            reason=decision.verdict.value,
            rate_per_s=limit.rate_per_s if limit else 0.0,
            burst=limit.burst if limit else 0.0,
            retry_after_s=decision.retry_after_s,
        )

    def _count(self, account, result):
        name = account if account in self._counted else OTHERS
        self._counters.add("account_tokens", account=name, result=result)
