"""Give the tokens of accounts' quotas to the VMs that ask for them.

Each account has one lender, the VM that decides for one of the services, chosen by the
account's name. Made for VMs that are killed, paused, cut off or divided into parts at
any time: what a lender gives depends on nothing that another VM must have told it.

- A VM that becomes lender does not know what the one before gave. It begins with an
  empty bucket, and for ``START_S`` with a small part of the rate, as VMs do not learn
  of it at the same time. So does a lender that was paused.
- A lender gives the share of the quota that its part of the network is of all VMs; it
  gives a larger one only when that has lasted for ``START_S``.
- The VM that would be lender next stands in for it with a few tokens of the slack.
"""

import collections

import attrs

from sesamespring.routing.quotas import capacity, home_service
from sesamespring.routing.token_bucket import TokenBucket

__all__ = ["Ask", "Gift", "TokenLender"]

# Within this time all VMs of one part of the network hear of a change of VMs.
START_S = 1.5
START_RATE_PART = 0.4
# When the callers that a stand-in refuses may try again; there may be a lender then.
STAND_IN_DUE_S = 0.5
# A VM that was paused for this long may have been taken for silent by others.
PAUSE_MIN_S = 0.6
# VMs learn at different times that there are other services, which have other lenders.
SERVICES_CHANGE_S = 1.0
# A borrower that has not asked for this long is forgotten.
BORROWER_EXPIRY_S = 30.0
LENDER_RANK = 0
STAND_IN_RANK = 1


@attrs.frozen
class Ask:
    """What a borrower asks for one account.

    Attributes:
        account: Name of the account.
        needed: Tokens for requests that wait for them.
        reserve: Tokens to hold for requests to come.
        returned: Tokens given back, which nobody spends.
    """

    account: str
    needed: int
    reserve: int = 0
    returned: int = 0


@attrs.frozen
class Gift:
    """What a lender gives for one account.

    Attributes:
        account: Name of the account.
        tokens: Number of tokens.
        due_in_s: Seconds until the next token is due if none is left, else 0.
    """

    account: str
    tokens: int
    due_in_s: float


@attrs.define
class _Borrower:
    """A VM that borrows tokens.

    Attributes:
        epoch: Number of its series of asks; a greater one is newer.
        number: Number of its latest ask.
        given: Dict by account of the tokens given in return.
        asked_s: Time of that ask.
    """

    epoch: int
    number: int = 0
    given: dict = attrs.field(factory=dict)
    asked_s: float = 0.0


class TokenLender:
    """The accounts' buckets at one VM, as far as it is lender or stand-in.

    Args:
        terms: The QuotaTerms.
        now_s: Current time.
    """

    def __init__(self, terms, now_s):
        self._terms = terms
        self._accounts = {}
        self._services = ()
        self._home_services = {}
        # By service: rank of this VM, and since when it has it.
        self._ranks = {}
        self._since_s = {}
        self._services_changed_s = now_s
        self._share = 1.0
        # Pairs of time and share that held from then on, of the last ``START_S``.
        self._shares = collections.deque([(now_s, 1.0)])
        self._buckets = {}
        self._stand_in_buckets = {}
        self._borrowers = {}
        self._active_s = now_s

    @property
    def buckets(self):
        """Number of accounts whose tokens this VM has given."""
        return len(self._buckets)

    def limit(self, account):
        """Return the Account with a limit that has a name, or None."""
        return self._accounts.get(account)

    def home_service(self, account):
        """Return the service whose decider is lender of an account, or None."""
        service = self._home_services.get(account)
        if service is None and self._services:
            service = home_service(account, self._services)
            self._home_services[account] = service
        return service

    def rank(self, account):
        """Return 0 if this VM is lender of an account, 1 if stand-in, else None."""
        return self._ranks.get(self.home_service(account))

    def set_configuration(self, accounts, services, now_s):
        """Set the limits in force.

        Args:
            accounts: Iterable of the Accounts.
            services: Names of the services.
            now_s: Current time.
        """
        self._check_pause(now_s)
        self._settle(now_s)
        self._accounts = {a.name: a for a in accounts if a.rate_per_s > 0}
        services = tuple(sorted(services))
        if services != self._services:
            self._services = services
            self._home_services = {}
            self._services_changed_s = now_s + SERVICES_CHANGE_S
        self._settle(now_s)

    def set_view(self, ranks, share, now_s):
        """Set for which services this VM is decider or would be next.

        Args:
            ranks: Dict by service of the rank of this VM, where it is 0 or 1.
            share: Share of the quotas that this part of the network may use.
            now_s: Current time.
        """
        self._check_pause(now_s)
        lost = [s for s, rank in self._ranks.items() if ranks.get(s) != rank]
        self._drop_buckets(lost)
        for service, rank in ranks.items():
            if self._ranks.get(service) != rank:
                self._since_s[service] = now_s
        self._ranks = dict(ranks)
        self._shares.append((now_s, share))
        self._update_share(now_s)

    def take(self, account, now_s):
        """Take a token for a request of this VM; return whether there was one."""
        self._check_pause(now_s)
        return self._take(account, 1, now_s) == 1

    def give_back(self, account, count, now_s):
        """Put back tokens that nobody spends."""
        self._check_pause(now_s)
        if count > 0 and account in self._accounts:
            bucket = self._bucket(account, now_s)
            if bucket is not None:
                bucket.give_back(count)

    def due_in_s(self, account, now_s):
        """Return the seconds until an account's next token, at most a window.

        A stand-in does not know.
        """
        limit = self._accounts.get(account)
        bucket = self._bucket(account, now_s) if limit else None
        if bucket is None:
            return STAND_IN_DUE_S
        due_s = bucket.due_in_s(limit.rate_per_s * self._share)
        return min(due_s, self._terms.window_s)

    def answer(self, borrower, epoch, number, answered, asks, now_s):
        """Return the list of Gifts for a borrower's ask, or None if it is outdated.

        A borrower takes what is given in return for its latest ask only. Accounts that
        this VM does not lend to are left out.

        Args:
            borrower: Address of the borrower.
            epoch: Number of its series of asks.
            number: Number of the ask in the series.
            answered: Number of the latest ask whose Gifts the borrower took.
            asks: Iterable of Ask.
            now_s: Current time.
        """
        self._check_pause(now_s)
        known = self._borrowers.get(borrower)
        if known is None or epoch > known.epoch:
            known = self._borrowers[borrower] = _Borrower(epoch)
        if epoch < known.epoch or number <= known.number:
            return None
        if answered < known.number:
            for account, tokens in known.given.items():
                self.give_back(account, tokens, now_s)
        known.number = number
        known.asked_s = now_s
        limited = [ask for ask in asks if self._lends(ask.account)]
        gifts = [self._give(ask, now_s) for ask in limited]
        known.given = {gift.account: gift.tokens for gift in gifts if gift.tokens}
        return gifts

    def tick(self, now_s):
        """Notice pauses and forget old borrowers; to be called a few times a second."""
        self._check_pause(now_s)
        self._update_share(now_s)
        oldest_s = now_s - BORROWER_EXPIRY_S
        self._borrowers = {
            address: known
            for address, known in self._borrowers.items()
            if known.asked_s > oldest_s
        }

    def _lends(self, account):
        return account in self._accounts and self.rank(account) is not None

    def _give(self, ask, now_s):
        self.give_back(ask.account, ask.returned, now_s)
        tokens = self._take(ask.account, ask.needed, now_s)
        bucket = self._bucket(ask.account, now_s)
        if bucket is None or tokens < ask.needed:
            return Gift(ask.account, tokens, self.due_in_s(ask.account, now_s))
        # Half of the tokens are left to others.
        limit = self._accounts[ask.account]
        reserve_max = self._terms.reserve_max(limit, len(self._services))
        reserve = min(ask.reserve, reserve_max, bucket.available // 2)
        return Gift(ask.account, tokens + bucket.take(reserve), 0.0)

    def _take(self, account, count, now_s):
        if account not in self._accounts:
            return 0
        bucket = self._bucket(account, now_s)
        taken = bucket.take(count) if bucket is not None else 0
        if taken < count and self._stands_in(account, now_s):
            taken += self._stand_in_bucket(account, now_s).take(count - taken)
        return taken

    def _bucket(self, account, now_s):
        """Return the updated TokenBucket of an account, or None if not its lender."""
        if self.rank(account) != LENDER_RANK:
            return None
        bucket = self._buckets.get(account)
        if bucket is None:
            bucket = self._buckets[account] = self._new_bucket(account, now_s)
        self._update(account, bucket, now_s)
        return bucket

    def _new_bucket(self, account, now_s):
        """Return a bucket with what was earned since this VM became lender."""
        since_s = self._since_s[self.home_service(account)]
        since_s = max(since_s, self._services_changed_s)
        if now_s - since_s >= START_S + self._terms.window_s:
            # Nothing that the lender before gave lies in the present window.
            return TokenBucket(capacity(self._accounts[account], self._share), now_s)
        return TokenBucket(0.0, since_s)

    def _update(self, account, bucket, now_s):
        limit = self._accounts[account]
        since_s = self._since_s[self.home_service(account)]
        seconds = _earning_s(since_s, now_s) - _earning_s(since_s, bucket.updated_s)
        added = max(0.0, seconds) * limit.rate_per_s * self._share
        bucket.update(added, capacity(limit, self._share), now_s)

    def _stands_in(self, account, now_s):
        rank = self.rank(account)
        if rank == LENDER_RANK:
            return now_s - self._since_s[self.home_service(account)] < START_S
        return rank == STAND_IN_RANK

    def _stand_in_bucket(self, account, now_s):
        most = self._terms.stand_in_burst * self._share
        bucket = self._stand_in_buckets.get(account)
        if bucket is None:
            bucket = self._stand_in_buckets[account] = TokenBucket(most, now_s)
        earned = (now_s - bucket.updated_s) * self._terms.stand_in_rate_per_s
        bucket.update(earned * self._share, most, now_s)
        return bucket

    def _settle(self, now_s):
        """Update all buckets, before and after a change of what they earn."""
        for account in tuple(self._buckets):
            if account in self._accounts and self.rank(account) == LENDER_RANK:
                self._update(account, self._buckets[account], now_s)
            else:
                del self._buckets[account]

    def _drop_buckets(self, services):
        for account in tuple(self._buckets):
            if self.home_service(account) in services:
                del self._buckets[account]

    def _begin_again(self, now_s):
        """Go on as a new lender, who does not know what others gave."""
        self._buckets.clear()
        self._since_s = dict.fromkeys(self._ranks, now_s)

    def _update_share(self, now_s):
        """Set the share to the smallest one of the last ``START_S``."""
        while len(self._shares) > 1 and self._shares[1][0] <= now_s - START_S:
            self._shares.popleft()
        share = min(share for _, share in self._shares)
        if share != self._share:
            self._settle(now_s)
            self._share = share
            self._settle(now_s)

    def _check_pause(self, now_s):
        if now_s - self._active_s > PAUSE_MIN_S:
            self._begin_again(now_s)
        self._active_s = max(now_s, self._active_s)


def _earning_s(since_s, now_s):
    """Return the seconds at the full rate that a lender since a time has earned."""
    passed_s = max(0.0, now_s - since_s)
    return START_RATE_PART * min(passed_s, START_S) + max(0.0, passed_s - START_S)
