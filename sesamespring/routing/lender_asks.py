"""Ask other VMs for tokens, and leave out those that do not answer.

Made for lenders that are killed, paused or cut off: other VMs learn of that only after
a second, in which the requests of their accounts go on to arrive.
"""

import math

import attrs

from sesamespring.routing.token_borrower import AskSeries

__all__ = ["Lenders", "SendAsk"]

ANSWER_TIMEOUT_S = 0.03
ASKS_MAX = 3
# For how long a lender that did not answer is left out.
SILENCE_S = 0.2
# Shortest time between two asks that only fill the reserve.
REFILL_INTERVAL_S = 0.02


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
        asks: Dict by account of the Asks in it.
        unanswered: Number of asks since the last answer.
        silent_until_s: Until when it is left out.
        unknown_until_s: Dict by account that it has no limit of, until when it is left
            out.
    """

    series: AskSeries
    asked_s: float = -math.inf
    asks: dict = attrs.field(factory=dict)
    unanswered: int = 0
    silent_until_s: float = -math.inf
    unknown_until_s: dict = attrs.field(factory=dict)


class Lenders:
    """The other VMs that this one asks for tokens, by address.

    Args:
        epoch: Number of the series of asks before the first one.
    """

    def __init__(self, epoch):
        self._epoch = epoch
        self._lenders = {}

    def first(self, order, account, now_s):
        """Return the first address to ask for an account, or None if all are silent.

        Args:
            order: Addresses in order of preference, which may include this VM's.
            account: Name of the account.
            now_s: Current time.
        """
        for address in order:
            lender = self._lenders.get(address)
            if lender is None:
                return address
            unknown_until_s = lender.unknown_until_s.get(account, -math.inf)
            if now_s >= max(lender.silent_until_s, unknown_until_s):
                return address
        return None

    def check_silence(self, now_s):
        """Leave out the lenders that did not answer several asks."""
        for lender in self._lenders.values():
            if lender.series.is_answered or now_s < lender.asked_s + ANSWER_TIMEOUT_S:
                continue
            if lender.unanswered >= ASKS_MAX:
                lender.unanswered = 0
                lender.silent_until_s = now_s + SILENCE_S

    def is_ask_due(self, address, is_urgent, now_s):
        """Return whether to send an ask now.

        Args:
            address: Address of the lender.
            is_urgent: Whether requests wait for it.
            now_s: Current time.
        """
        lender = self._lenders.get(address)
        if lender is None:
            return True
        since_s = now_s - lender.asked_s
        if not lender.series.is_answered:
            return since_s >= ANSWER_TIMEOUT_S
        return is_urgent or since_s >= REFILL_INTERVAL_S

    def ask(self, address, asks, now_s):
        """Return the SendAsk with a list of Ask."""
        lender = self._lenders.get(address)
        if lender is None:
            self._epoch += 1
            lender = self._lenders[address] = _Lender(AskSeries(self._epoch))
        series = lender.series
        series.begin(now_s)
        lender.asked_s = now_s
        lender.unanswered += 1
        lender.asks = {ask.account: ask for ask in asks}
        number, answered = series.number, series.answered
        return SendAsk(address, series.epoch, number, answered, tuple(asks))

    def take_answer(self, address, epoch, number, now_s):
        """Return the Asks that an answer is for, a dict by account.

        It is empty for an answer that must not be taken, see ``AskSeries.take_answer``.
        """
        lender = self._lenders.get(address)
        if lender is None or not lender.series.take_answer(epoch, number, now_s):
            return {}
        lender.unanswered = 0
        asks, lender.asks = lender.asks, {}
        return asks

    def set_unknown(self, address, accounts, now_s):
        """Leave out a lender for accounts that its answer did not name."""
        for account in accounts:
            self._lenders[address].unknown_until_s[account] = now_s + SILENCE_S
