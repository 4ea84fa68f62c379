"""The terms of accounts' quotas, and the parts into which the tolerance is divided.

Made for accounts whose requests reach any VM, go to several services and may come in
bursts far above the quota. In each window a quota allows ``rate_per_s`` times its
length plus ``burst``, and the rule tolerates a part more. One VM, the lender of an
account, keeps its token bucket and never gives more than the quota, see
``token_lender``. What it cannot see is paid from the tolerance, each cause from a part
of its own:

- tokens that borrowers hold in reserve and spend in a later window,
- tokens that stand-ins give while the lender does not answer,
- lenders that give at the same time, as they do not hear each other yet.
"""

import attrs

from sesamespring.routing.rendezvous import rank

__all__ = ["QuotaTerms", "RetryTimes", "capacity", "home_service", "part_of_network"]

# Parts of the slack.
RESERVES_SLACK_PART = 0.3
STAND_IN_BURST_SLACK_PART = 0.15
STAND_IN_RATE_SLACK_PART = 0.15
# Part of the overage that reserves may use in addition.
RESERVES_OVERAGE_PART = 0.2
# A bucket holds at least one token, and this much of its rate, as borrowers of an
# account at its limit ask only now and then.
CAPACITY_MIN_S = 0.05


@attrs.frozen
class QuotaTerms:
    """What the users of the platform have agreed on about quotas.

    Attributes:
        window_s: Length of the windows in which a quota holds, in seconds.
        overage: Part of a quota by which it may be exceeded in a window.
        slack: Requests allowed in addition, in each window.
    """

    window_s: float
    overage: float
    slack: float

    def quota(self, account):
        """Return the requests that an Account may send in one window."""
        return account.rate_per_s * self.window_s + account.burst

    def bound(self, account):
        """Return the requests of an Account that may run in any window."""
        return self.quota(account) * (1 + self.overage) + self.slack

    def reserve_max(self, account, services):
        """Return the tokens that the decider of one service may hold in reserve.

        Args:
            account: The Account.
            services: Number of services.
        """
        overage = RESERVES_OVERAGE_PART * self.overage * self.quota(account)
        return int((RESERVES_SLACK_PART * self.slack + overage) / max(1, services))

    @property
    def stand_in_burst(self):
        """Tokens that the stand-ins of an account may give at once."""
        return STAND_IN_BURST_SLACK_PART * self.slack

    @property
    def stand_in_rate_per_s(self):
        """Tokens that the stand-ins of an account may give each second."""
        return STAND_IN_RATE_SLACK_PART * self.slack / self.window_s


def capacity(account, share):
    """Return the tokens that a lender's bucket holds at most.

    Args:
        account: The Account.
        share: Share of the quota that the lender may give.
    """
    least = 1 + CAPACITY_MIN_S * share * account.rate_per_s
    return max(share * account.burst, least)


def home_service(account_name, services):
    """Return the service whose decider is the lender of an account.

    A service that is declared or dropped moves only few accounts.

    Args:
        account_name: Name of the account.
        services: Non-empty collection of the names of all services.

    >>> home_service("a", ["one"])
    'one'
    """
    return rank(account_name, dict.fromkeys(services, 1.0))[0]


def part_of_network(vms, vms_known):
    """Return the share of each quota that the lenders of this part may give.

    The shares of the parts of a divided network sum up to 1 at most.

    Args:
        vms: Number of VMs that serve requests, as far as this VM hears.
        vms_known: Number of VMs including those that have fallen silent.

    >>> part_of_network(12, 12), part_of_network(3, 12), part_of_network(0, 0)
    (1.0, 0.25, 1.0)
    """
    vms = max(1, vms)
    return vms / max(vms, vms_known)


class RetryTimes:
    """Spread the times at which the refused callers of one account return.

    Args:
        window_s: Latest time that a caller is told to wait, in seconds.

    >>> times = RetryTimes(5.0)
    >>> [times.next_s(2.0, 0.3, 10.0) for _ in range(3)]
    [0.3, 0.8, 1.3]
    >>> times.next_s(2.0, 0.3, 12.0)
    0.3
    """

    def __init__(self, window_s):
        self._window_s = window_s
        self._last_s = 0.0

    def next_s(self, rate_per_s, due_in_s, now_s):
        """Return after how many seconds one more refused caller may try again.

        Args:
            rate_per_s: Rate of the account.
            due_in_s: Seconds until the next token is due.
            now_s: Current time.
        """
        first_s = now_s + min(due_in_s, self._window_s)
        self._last_s = max(first_s, self._last_s + 1 / rate_per_s)
        if self._last_s > now_s + self._window_s:
            # Further callers share the tokens that others may leave.
            self._last_s = first_s
        return round(self._last_s - now_s, 3)
