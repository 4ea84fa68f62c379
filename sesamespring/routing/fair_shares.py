"""Share the slots of a service among client accounts while they are too few.

Designed for load beyond capacity from many accounts of different size, of which one may
send many times its usual: what an account gets falls only as far as its own share is
used up, and what it leaves goes to the others (max-min fair, by weight).

Each dispatch moves its account's finish on by the work it takes, divided by the
account's weight, starting at the clock if the account is behind that. Next is the
account with the least start. So an account that asks for less than its share never
waits for one that asks for more, and use of capacity that nobody else wanted is not
held against an account later (start-time fair queueing).
"""

import collections
import heapq
import itertools

import attrs

__all__ = ["FairShares"]

# Weight of each account if none has a quota.
EQUAL_WEIGHT = 1.0
# Requests that an account which asked for less than its share may send at once.
BURST_REQUESTS = 3


@attrs.define
class _Urgency:
    """Service that the accounts got within one priority.

    Attributes:
        clock: Start of the dispatch that was furthest on.
        finishes: Dict of the finish of its last dispatch by account.
    """

    clock: float = 0.0
    finishes: dict = attrs.field(factory=dict)

    def start(self, account, cost):
        """Return at which point an account's next request of some cost starts."""
        earliest = self.clock - (BURST_REQUESTS - 1) * cost
        return max(earliest, self.finishes.get(account, earliest))

    def charge(self, account, cost):
        """Move an account's finish on by a cost."""
        start = self.start(account, cost)
        self.clock = max(self.clock, start)
        self.finishes[account] = start + cost


class FairShares:
    """What the accounts got of one service, and who is next.

    It has no effect before accounts are set. Requests of unknown accounts, and those
    without one, share one weight.

    Attributes:
        short: Whether requests missed their goal in the latest plan, so that accounts
            compete.
    """

    def __init__(self):
        self.short = False
        self._accounts = None
        self._weights = None
        self._default_weight = EQUAL_WEIGHT
        self._urgencies = collections.defaultdict(_Urgency)

    @property
    def active(self):
        """Whether there are accounts."""
        return self._weights is not None

    def set_accounts(self, accounts):
        """Replace the accounts.

        The weight of an account is its quota in requests per second; one without a
        quota weighs as much as the average of the others.

        Args:
            accounts: Dict of Account by name, or None if there are none.
        """
        if accounts is self._accounts:
            return
        self._accounts = accounts
        weights = None
        if accounts is not None:
            rates = [a.rate_per_s for a in accounts.values() if a.rate_per_s > 0]
            default = sum(rates) / len(rates) if rates else EQUAL_WEIGHT
            self._default_weight = default
            weights = {name: a.rate_per_s or default for name, a in accounts.items()}
        if weights != self._weights:
            # Starts and finishes by other weights cannot be compared.
            self._urgencies.clear()
            self._weights = weights

    def record(self, request, work_s):
        """Record that a request is sent to a target; no effect without accounts.

        Args:
            request: The ScheduledRequest.
            work_s: Its service time in seconds.
        """
        if not self.active:
            return
        account, cost = self._cost(request, work_s)
        self._urgencies[request.priority].charge(account, cost)

    def order(self, requests, service_time_s, ahead=(), limit=None):
        """Return requests in the order in which their accounts deserve service.

        Requests of one account keep their order.

        Args:
            requests: The ScheduledRequests, by priority.
            service_time_s: Function that returns the service time of a
                ScheduledRequest.
            ahead: ScheduledRequests that are served before.
            limit: Maximum number of requests to return, or None for all.
        """
        planned = {}
        for request in ahead:
            account, cost = self._cost(request, service_time_s(request))
            self._planned(planned, request.priority).charge(account, cost)
        ordered = []
        for priority, group in itertools.groupby(requests, lambda r: r.priority):
            urgency = self._planned(planned, priority)
            ordered += self._take_turns(group, urgency, service_time_s)
            if limit is not None and len(ordered) >= limit:
                return ordered[:limit]
        return ordered

    def _planned(self, planned, priority):
        """Return the copy of an _Urgency that a plan may change."""
        found = planned.get(priority)
        if found is None:
            actual = self._urgencies[priority]
            found = _Urgency(actual.clock, dict(actual.finishes))
            planned[priority] = found
        return found

    def _take_turns(self, requests, urgency, service_time_s):
        """Return requests of one priority in the order of their accounts' starts."""
        queues = collections.defaultdict(collections.deque)
        for index, request in enumerate(requests):
            account, cost = self._cost(request, service_time_s(request))
            queues[account].append((index, request, cost))
        # Accounts with the same start go in the order of their first requests.
        turns = [
            (urgency.start(account, queue[0][2]), queue[0][0], account)
            for account, queue in queues.items()
        ]
        heapq.heapify(turns)
        ordered = []
        while turns:
            start, _, account = turns[0]
            queue = queues[account]
            _, request, cost = queue.popleft()
            ordered.append(request)
            urgency.finishes[account] = start + cost
            if queue:
                heapq.heapreplace(turns, (start + cost, queue[0][0], account))
            else:
                heapq.heappop(turns)
        return ordered

    def _cost(self, request, work_s):
        """Return the account that a request counts for, and what it costs it."""
        weight = self._weights.get(request.account)
        if weight is None:
            return "", work_s / self._default_weight
        return request.account, work_s / weight
