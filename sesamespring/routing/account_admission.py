"""Admit requests of accounts with a quota, with tokens of this VM or of a lender.

Made for requests that come at any VM which grants slots, in bursts and far above the
quota. A request that finds a token in this VM's reserve, or whose account's lender this
VM is, is admitted or refused at once. Another one is parked, outside all queues, for
the time that one ask takes; all accounts of one lender share an ask. Once a lender has
no token left, further requests are refused without an ask until it is due, or for
``REFUSE_S``.

All methods take the current time; times are in seconds of one monotonic clock.
"""

import collections
import enum
import math

import attrs

from sesamespring.routing.quotas import RetryTimes
from sesamespring.routing.token_borrower import AskSeries, TokenReserve
from sesamespring.routing.token_lender import Ask, TokenLender

__all__ = ["AccountAdmission", "Decision", "SendAsk", "Verdict"]

ANSWER_TIMEOUT_S = 0.03
ASKS_MAX = 3
# For how long a lender that did not answer is left out.
SILENCE_S = 0.5
# Shortest time between two asks that only fill the reserve.
REFILL_INTERVAL_S = 0.02
# Longest time for which requests are refused without a new ask.
REFUSE_S = 0.05
RETRY_UNKNOWN_S = 0.25
# Bytes of one ask, which has to fit into a datagram.
ASK_BYTES_MAX = 4000
ASK_BYTES_BESIDE_NAME = 24


class Verdict(enum.Enum):
    """What becomes of a request.

    ``UNKNOWN``: no lender answers, so that nobody knows whether a token is left.
    """

    ADMITTED = "admitted"
    PARKED = "parked"
    OVER_QUOTA = "over-quota"
    UNKNOWN = "unknown"


@attrs.frozen
class Decision:
    """A verdict on a request.

    Attributes:
        ticket: What identifies the request.
        account: Name of its account.
        verdict: The Verdict.
        retry_after_s: Seconds after which its caller may try again, if it is refused.
    """

    ticket: object
    account: str
    verdict: Verdict
    retry_after_s: float = 0.0


@attrs.frozen
class SendAsk:
    """Command: send an ask to a lender.

    Attributes:
        address: Address of the lender.
        epoch: Number of the series of asks.
        number: Number of the ask in the series.
        answered: Number of the latest ask whose answer was taken.
        asks: Tuple of Ask.
    """

    address: object
    epoch: int
    number: int
    answered: int
    asks: tuple


@attrs.define
class _Lender:
    """Another VM that this one asks.

    Attributes:
        series: The AskSeries.
        asked_s: Time of the latest ask.
        needed: Dict by account of the number of requests that it was for, and of the
            tokens asked for in reserve.
        unanswered: Number of asks since the last answer.
        silent_until_s: Until when it is left out.
        unknown_until_s: Dict by account that it has no limit of, until when it is left
            out.
    """

    series: AskSeries
    asked_s: float = -math.inf
    needed: dict = attrs.field(factory=dict)
    unanswered: int = 0
    silent_until_s: float = -math.inf
    unknown_until_s: dict = attrs.field(factory=dict)


class AccountAdmission:
    """The quotas at one VM.

    Args:
        terms: The QuotaTerms.
        own_address: Address of this VM.
        first_epoch: Number that is greater than those of earlier processes of this VM.
        now_s: Current time.
    """

    def __init__(self, terms, own_address, first_epoch, now_s):
        self._terms = terms
        self._own_address = own_address
        self._epoch = first_epoch
        self._tokens = TokenLender(terms, now_s)
        self._reserve = TokenReserve()
        self._orders = {}
        self._services = 0
        self._decides = False
        self._lenders = {}
        # By account: the tickets that wait for tokens, in order of arrival.
        self._parked = collections.defaultdict(dict)
        self._to_fill = set()
        self._to_return = collections.Counter()
        self._refuse_until_s = {}
        self._retry_times = {}

    @property
    def tokens(self):
        """The TokenLender of this VM."""
        return self._tokens

    @property
    def needs_poll(self):
        """Whether ``poll`` has something to do, now or soon."""
        return bool(self._parked or self._to_fill or self._to_return)

    def set_configuration(self, accounts, services, now_s):
        """Set the limits in force; see ``TokenLender.set_configuration``."""
        self._services = len(services)
        self._tokens.set_configuration(accounts, services, now_s)

    def set_view(self, orders, share, now_s):
        """Set which VMs are lenders.

        Args:
            orders: Dict by service of the tuple of the addresses of its decider and the
                VM that would be decider next.
            share: See ``part_of_network``.
            now_s: Current time.
        """
        self._orders = orders
        ranks = {
            service: order.index(self._own_address)
            for service, order in orders.items()
            if self._own_address in order
        }
        self._decides = 0 in ranks.values()
        self._tokens.set_view(ranks, share, now_s)

    def admit(self, ticket, account, now_s):
        """Return the Decision on a new request."""
        if self._tokens.limit(account) is None:
            return Decision(ticket, account, Verdict.ADMITTED)
        if self._take_here(account, now_s):
            return Decision(ticket, account, Verdict.ADMITTED)
        address = self._lender_address(account, now_s)
        if address is None:
            return Decision(ticket, account, Verdict.UNKNOWN, RETRY_UNKNOWN_S)
        if address == self._own_address:
            due_in_s = self._tokens.due_in_s(account, now_s)
            return self._refusal(ticket, account, due_in_s, now_s)
        refuse_until_s = self._refuse_until_s.get(account, -math.inf)
        if now_s < refuse_until_s:
            return self._refusal(ticket, account, refuse_until_s - now_s, now_s)
        self._parked[account][ticket] = None
        return Decision(ticket, account, Verdict.PARKED)

    def take_extra(self, account, now_s):
        """Take a token for one more attempt; return whether there was one at once."""
        if self._tokens.limit(account) is None:
            return True
        return self._take_here(account, now_s)

    def withdraw(self, ticket, account):
        """Remove a request that is parked; return whether it was."""
        tickets = self._parked.get(account)
        if tickets is None or ticket not in tickets:
            return False
        del tickets[ticket]
        self._drop_empty(account)
        return True

    def give_back(self, account, now_s):
        """Put back the token of a request that certainly did not run."""
        if self._tokens.limit(account) is None:
            return
        if self._tokens.rank(account) == 0:
            self._tokens.give_back(account, 1, now_s)
        else:
            self._reserve.add(account, 1)
            self._return_surplus(account, now_s)

    def poll(self, now_s):
        """Return the SendAsks and Decisions that are due; to be called again soon."""
        outputs = []
        self._check_silence(now_s)
        wanted = collections.defaultdict(list)
        for account in {*self._parked, *self._to_fill, *self._to_return}:
            address = self._lender_address(account, now_s)
            if address is None or address == self._own_address:
                self._settle_here(account, address is None, outputs, now_s)
            else:
                wanted[address].append(account)
        for address, accounts in wanted.items():
            self._ask(address, accounts, outputs, now_s)
        return outputs

    def tick(self, now_s):
        """Give back what is not needed; to be called a few times a second."""
        self._tokens.tick(now_s)
        for account in self._reserve.accounts:
            self._return_surplus(account, now_s)
        self._reserve.drop_unused(now_s)

    def take_answer(self, address, epoch, number, gifts, now_s):
        """Take what a lender gives and return the Decisions that follow.

        Args:
            address: Address that the answer comes from.
            epoch: Number of the series of asks that it names.
            number: Number of the ask that it names.
            gifts: Iterable of Gift.
            now_s: Current time.
        """
        lender = self._lenders.get(address)
        if lender is None or not lender.series.take_answer(epoch, number, now_s):
            return []
        lender.unanswered = 0
        needed, lender.needed = lender.needed, {}
        outputs = []
        for gift in gifts:
            counts = needed.pop(gift.account, None)
            if counts is not None:
                self._take_gift(gift, *counts, outputs, now_s)
        for account in needed:
            lender.unknown_until_s[account] = now_s + SILENCE_S
        return outputs

    def _take_here(self, account, now_s):
        """Take a token that this VM holds or may give; return whether there was one."""
        if self._reserve.take(account, now_s):
            goal = self._reserve_goal(account, now_s)
            if 2 * self._reserve.tokens(account) < goal:
                self._to_fill.add(account)
            return True
        if self._lender_address(account, now_s) == self._own_address:
            return self._tokens.take(account, now_s)
        return False

    def _lender_address(self, account, now_s):
        """Return the address of the VM to take tokens from; None if all are silent."""
        for address in self._orders.get(self._tokens.home_service(account), ()):
            lender = self._lenders.get(address)
            if lender is None:
                return address
            unknown_until_s = lender.unknown_until_s.get(account, -math.inf)
            if now_s >= max(lender.silent_until_s, unknown_until_s):
                return address
        return None

    def _check_silence(self, now_s):
        for lender in self._lenders.values():
            if lender.series.is_answered or now_s < lender.asked_s + ANSWER_TIMEOUT_S:
                continue
            if lender.unanswered >= ASKS_MAX:
                lender.unanswered = 0
                lender.silent_until_s = now_s + SILENCE_S

    def _settle_here(self, account, unknown, outputs, now_s):
        """Decide on parked requests of an account that no other VM lends to."""
        self._to_fill.discard(account)
        returned = self._to_return.pop(account, 0)
        self._tokens.give_back(account, returned, now_s)
        for ticket in self._parked.pop(account, ()):
            if unknown:
                verdict, wait_s = Verdict.UNKNOWN, RETRY_UNKNOWN_S
                outputs.append(Decision(ticket, account, verdict, wait_s))
            else:
                outputs.append(self.admit(ticket, account, now_s))

    def _ask(self, address, accounts, outputs, now_s):
        lender = self._lenders.get(address)
        if lender is None:
            self._epoch += 1
            lender = self._lenders[address] = _Lender(AskSeries(self._epoch))
        since_s = now_s - lender.asked_s
        if not lender.series.is_answered and since_s < ANSWER_TIMEOUT_S:
            return
        if since_s < REFILL_INTERVAL_S and not any(a in self._parked for a in accounts):
            return
        accounts.sort(key=lambda account: account not in self._parked)
        asks = []
        size = 0
        for account in accounts:
            size += len(account.encode()) + ASK_BYTES_BESIDE_NAME
            if size > ASK_BYTES_MAX:
                break
            asks.append(self._make_ask(account, now_s))
        lender.series.begin(now_s)
        lender.asked_s = now_s
        lender.unanswered += 1
        lender.needed = {ask.account: (ask.needed, ask.reserve) for ask in asks}
        series = lender.series
        number, answered = series.number, series.answered
        outputs.append(SendAsk(address, series.epoch, number, answered, tuple(asks)))

    def _make_ask(self, account, now_s):
        self._to_fill.discard(account)
        returned = self._to_return.pop(account, 0)
        needed = len(self._parked.get(account, ()))
        goal = self._reserve_goal(account, now_s)
        reserve = max(0, goal - self._reserve.tokens(account))
        return Ask(account, needed, reserve, returned)

    def _take_gift(self, gift, count, reserve, outputs, now_s):
        """Serve the first ``count`` parked requests with a Gift."""
        account = gift.account
        tokens = min(max(0, gift.tokens), count + reserve)
        due_in_s = min(max(0.0, gift.due_in_s), self._terms.window_s)
        tickets = self._parked.get(account, {})
        asked_for = list(tickets)[:count]
        admitted = asked_for[:tokens]
        refused = asked_for[tokens:]
        for ticket in asked_for:
            del tickets[ticket]
        self._drop_empty(account)
        for ticket in admitted:
            outputs.append(Decision(ticket, account, Verdict.ADMITTED))
        self._reserve.add(account, tokens - len(admitted))
        self._return_surplus(account, now_s)
        if due_in_s > 0:
            wait_s = min(due_in_s, REFUSE_S)
            self._refuse_until_s[account] = now_s + wait_s
        for ticket in refused:
            outputs.append(self._refusal(ticket, account, due_in_s, now_s))

    def _refusal(self, ticket, account, due_in_s, now_s):
        times = self._retry_times.get(account)
        if times is None:
            times = self._retry_times[account] = RetryTimes(self._terms.window_s)
        rate_per_s = self._tokens.limit(account).rate_per_s
        retry_after_s = times.next_s(rate_per_s, due_in_s, now_s)
        return Decision(ticket, account, Verdict.OVER_QUOTA, retry_after_s)

    def _return_surplus(self, account, now_s):
        goal = self._reserve_goal(account, now_s)
        surplus = self._reserve.take_surplus(account, goal)
        if surplus:
            self._to_return[account] += surplus

    def _reserve_goal(self, account, now_s):
        limit = self._tokens.limit(account)
        if limit is None or not self._decides:
            return 0
        reserve_max = self._terms.reserve_max(limit, self._services)
        return self._reserve.goal(account, reserve_max, now_s)

    def _drop_empty(self, account):
        if not self._parked.get(account):
            self._parked.pop(account, None)
