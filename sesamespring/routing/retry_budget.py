"""Limit the extra attempts of retries and hedges over a sliding window.

Load it answers: targets that reject a part of all requests for seconds, so that far
more extra attempts are wanted than agreed. The more urgent requests go first.
"""

import collections

from sesamespring.routing.wanted_attempts import WantedAttempts

__all__ = ["RetryBudget"]

# Below 1, because a request is counted at its first decision and reaches a target only
# later.
RATIO_USED = 0.9
# The part of the ratio that requests may save up for later. All VMs may start anew just
# after it was spent, and do not know that: with RATIO_USED it makes the whole ratio.
RATIO_SAVED = 0.1
# Saved at least, as a service with few requests would earn no whole extra attempt.
SAVED_MIN = 1.0
# VMs that have not discovered each other yet divide the slack by too small a number.
SLACK_USED = 0.5
# Most that is kept for more urgent requests, as a part of what can be saved up.
KEPT_PART = 0.5
# What can be saved up beside it at least, as a service with few requests saves little.
UNKEPT_MIN = 2.0
MOST_URGENT = 0


class RetryBudget:
    """The extra attempts that one VM may make for one service.

    Each VM may spend a fixed ratio of its own requests, so that all VMs together stay
    within that ratio. It spends it about as evenly as requests come, so that two VMs
    that count the same service one after the other, or two processes of one VM, keep to
    the ratio too. The slack is divided evenly among all VMs that are known, heard or
    not. What more urgent requests have wanted lately is kept for them.

    Args:
        ratio: Extra attempts allowed for each request.
        slack: Extra attempts allowed in addition, summed over all VMs.
        window_s: Length of the sliding window, in seconds.

    >>> budget = RetryBudget(0.2, 4, 10.0)
    >>> [budget.spend(0.0, vms=1) for _ in range(3)]
    [True, True, False]
    >>> budget.spend(10.5, vms=1)
    True
    """

    def __init__(self, ratio, slack, window_s):
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._requests = collections.deque()
        self._extras = collections.deque()
        # Extra attempts that requests have earned less those made; below 0 where these
        # were taken from the slack.
        self._balance = 0.0
        self._wanted = WantedAttempts()

    @property
    def window_s(self):
        """Length of the sliding window, in seconds."""
        return self._window_s

    def record_request(self, now_s):
        """Count a new request, which raises the budget."""
        self._requests.append(now_s)
        self._drop_expired(now_s)
        earned = self._balance + RATIO_USED * self._ratio
        self._balance = max(self._balance, min(earned, self._saved_max))

    def record_wanted(self, priority, now_s):
        """Count that a request with a priority wants an extra attempt."""
        self._wanted.record(priority, now_s)

    def allows(self, now_s, vms, priority=MOST_URGENT):
        """Return whether the budget has room for one more extra attempt.

        Args:
            now_s: Current time.
            vms: Number of VMs that share the slack.
            priority: Priority of the request that wants it.
        """
        self._drop_expired(now_s)
        earned = RATIO_USED * self._ratio * len(self._requests)
        share = SLACK_USED * self._slack / max(1, vms)
        most = self._saved_max + share
        kept_max = max(0.0, min(KEPT_PART * most, most - UNKEPT_MIN))
        needed = 1 + min(kept_max, self._wanted.more_urgent(priority, now_s))
        if self._balance + share < needed:
            return False
        return len(self._extras) + needed <= earned + share

    def spend(self, now_s, vms, priority=MOST_URGENT):
        """Take one extra attempt from the budget.

        Args:
            now_s: Current time.
            vms: Number of VMs that share the slack.
            priority: Priority of the request that wants it.

        Returns:
            Whether the attempt is allowed; if not, the budget is unchanged.
        """
        if not self.allows(now_s, vms, priority):
            return False
        self._extras.append(now_s)
        self._balance -= 1
        return True

    @property
    def _saved_max(self):
        return max(SAVED_MIN, RATIO_SAVED * self._ratio * len(self._requests))

    def _drop_expired(self, now_s):
        oldest_s = now_s - self._window_s
        while self._requests and self._requests[0] <= oldest_s:
            self._requests.popleft()
        while self._extras and self._extras[0] <= oldest_s:
            self._extras.popleft()
            self._give_slack_back()

    def _give_slack_back(self):
        """Give back one extra attempt that was taken from the slack a window ago."""
        if self._balance < 0:
            self._balance = min(0.0, self._balance + 1)
