"""Bound the extra attempts that retries and hedges make, in a sliding window."""

import collections

__all__ = ["RetryBudget"]

# Requests are counted when they are first decided about, and reach targets later.
RATIO_USED = 0.9
# VMs that do not know of each other divide the slack by too few.
SLACK_USED = 0.5


class RetryBudget:
    """Extra attempts of one service at one VM.

    Each VM earns a share of its own requests, so all VMs together keep to the ratio;
    the slack is divided among them.

    Args:
        ratio: Extra attempts allowed for each request.
        slack: Extra attempts allowed besides, over all VMs.
        window_s: Length of the window in seconds.

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

    def record_request(self, now_s):
        """Count a request that arrived."""
        self._requests.append(now_s)
        self._forget(now_s)

    def allows(self, now_s, vms):
        """Whether one more extra attempt may be made.

        Args:
            now_s: The time now.
            vms: How many VMs may spend at the same time.
        """
        self._forget(now_s)
        earned = RATIO_USED * self._ratio * len(self._requests)
        share = SLACK_USED * self._slack / max(1, vms)
        return len(self._extras) + 1 <= earned + share

    def spend(self, now_s, vms):
        """Take one extra attempt and return whether there was one."""
        if not self.allows(now_s, vms):
            return False
        self._extras.append(now_s)
        return True

    def _forget(self, now_s):
        oldest_s = now_s - self._window_s
        for times in (self._requests, self._extras):
            while times and times[0] <= oldest_s:
                times.popleft()
