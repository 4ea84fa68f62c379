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

from sesamespring.routing.lender_asks import Lenders
from sesamespring.routing.quotas import RetryTimes
from sesamespring.routing.token_borrower import TokenReserve
from sesamespring.routing.token_lender import Ask, TokenLender

__all__ = ["AccountAdmission", "Decision", "Verdict"]

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
        self._tokens = TokenLender(terms, now_s)
        self._reserve = TokenReserve()
        self._orders = {}
        self._services = 0
        self._decides = False
        self._lenders = Lenders(first_epoch)
        # By account: the tickets that wait for tokens, in order of arrival.
        self._parked = collections.defaultdict(dict)
        # Accounts whose reserve is short; a dict, as it keeps their order.
        self._to_fill = {}
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
        self._lenders.check_silence(now_s)
        wanted = collections.defaultdict(list)
        for account in {**self._parked, **self._to_fill, **self._to_return}:
            address = self._lender_address(account, now_s)
            has_limit = self._tokens.limit(account) is not None
            if not has_limit or address in (None, self._own_address):
                unknown = has_limit and address is None
                self._settle_here(account, unknown, outputs, now_s)
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
        asked = self._lenders.take_answer(address, epoch, number, now_s)
        outputs = []
        for gift in gifts:
            ask = asked.pop(gift.account, None)
            if ask is not None:
                self._take_gift(gift, ask, outputs, now_s)
        self._lenders.set_unknown(address, asked, now_s)
        return outputs

    def _take_here(self, account, now_s):
        """Take a token that this VM holds or may give; return whether there was one."""
        if self._reserve.take(account, now_s):
            goal = self._reserve_goal(account, now_s)
            if 2 * self._reserve.tokens(account) < goal:
                self._to_fill[account] = None
            return True
        if self._lender_address(account, now_s) == self._own_address:
            return self._tokens.take(account, now_s)
        return False

    def _lender_address(self, account, now_s):
        """Return the address of the VM to take tokens from; None if all are silent."""
        order = self._orders.get(self._tokens.home_service(account), ())
        return self._lenders.first(order, account, now_s)

    def _settle_here(self, account, unknown, outputs, now_s):
        """Decide on parked requests of an account that no other VM lends to."""
        self._to_fill.pop(account, None)
        returned = self._to_return.pop(account, 0)
        self._tokens.give_back(account, returned, now_s)
        for ticket in self._parked.pop(account, ()):
            if unknown:
                verdict, wait_s = Verdict.UNKNOWN, RETRY_UNKNOWN_S
                outputs.append(Decision(ticket, account, verdict, wait_s))
            else:
                outputs.append(self.admit(ticket, account, now_s))

    def _ask(self, address, accounts, outputs, now_s):
        """Ask a lender, first for accounts whose requests wait."""
        is_urgent = any(account in self._parked for account in accounts)
        if not self._lenders.is_ask_due(address, is_urgent, now_s):
            return
        accounts.sort(key=lambda account: account not in self._parked)
        asks = []
        size = 0
        for account in accounts:
            size += len(account.encode()) + ASK_BYTES_BESIDE_NAME
            if size > ASK_BYTES_MAX:
                break
            asks.append(self._make_ask(account, now_s))
        outputs.append(self._lenders.ask(address, asks, now_s))

    def _make_ask(self, account, now_s):
        self._to_fill.pop(account, None)
        returned = self._to_return.pop(account, 0)
        needed = len(self._parked.get(account, ()))
        goal = self._reserve_goal(account, now_s)
        reserve = max(0, goal - self._reserve.tokens(account))
        return Ask(account, needed, reserve, returned)

    def _take_gift(self, gift, ask, outputs, now_s):
        """Serve the parked requests that an Ask was for with the Gift in return."""
        account = gift.account
        tokens = min(max(0, gift.tokens), ask.needed + ask.reserve)
        due_in_s = min(max(0.0, gift.due_in_s), self._terms.window_s)
        tickets = self._parked.get(account, {})
        asked_for = list(tickets)[: ask.needed]
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
        limit = self._tokens.limit(account)
        if limit is None:
            # The limit was lifted while the request was parked.
            return Decision(ticket, account, Verdict.ADMITTED)
        times = self._retry_times.get(account)
        if times is None:
            times = self._retry_times[account] = RetryTimes(self._terms.window_s)
        retry_after_s = times.next_s(limit.rate_per_s, due_in_s, now_s)
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
