"""Ask an account's lender for tokens, and keep a few in reserve for requests to come.

Made for datagrams that are lost, late and repeated: of each lender only the answer to
the latest ask is taken, and only soon after it; the next ask says which answer was
taken, so that the lender puts tokens back that never arrived. A token is thus spent by
one VM at most, and at most ``ANSWER_VALID_S`` after it left the bucket, or from the
reserve.
"""

import attrs

__all__ = ["AskSeries", "TokenReserve"]

ANSWER_VALID_S = 0.1
# For how long after a request of an account tokens are held for further ones.
RESERVE_S = 1.0


class AskSeries:
    """The asks of this VM to one lender.

    Args:
        epoch: Number of the series, greater than those of earlier series.
    """

    def __init__(self, epoch):
        self._epoch = epoch
        self._number = 0
        self._answered = 0
        self._asked_s = 0.0

    @property
    def epoch(self):
        """Number of the series."""
        return self._epoch

    @property
    def number(self):
        """Number of the latest ask."""
        return self._number

    @property
    def answered(self):
        """Number of the latest ask whose answer was taken."""
        return self._answered

    @property
    def is_answered(self):
        """Whether no answer is awaited."""
        return self._answered == self._number

    def begin(self, now_s):
        """Begin a new ask, after which no earlier answer is taken."""
        self._number += 1
        self._asked_s = now_s

    def take_answer(self, epoch, number, now_s):
        """Return whether to take the tokens of an answer, which then counts as taken.

        Args:
            epoch: Number of the series that the answer names.
            number: Number of the ask that it names.
            now_s: Current time.
        """
        if (epoch, number) != (self._epoch, self._number) or self.is_answered:
            return False
        if now_s - self._asked_s > ANSWER_VALID_S:
            return False
        self._answered = number
        return True


@attrs.define
class _Held:
    """The tokens of one account that this VM holds.

    Attributes:
        tokens: Number of tokens.
        used_s: Time of the last request of the account.
    """

    tokens: int = 0
    used_s: float = 0.0


class TokenReserve:
    """The tokens of all accounts that this VM holds, paid for but not spent."""

    def __init__(self):
        self._held = {}

    @property
    def accounts(self):
        """The names of the accounts that requests have used lately, or with tokens."""
        return tuple(self._held)

    def tokens(self, account):
        """Return the number of tokens held for an account."""
        held = self._held.get(account)
        return held.tokens if held else 0

    def take(self, account, now_s):
        """Take a token for a request; return whether there was one."""
        held = self._held.setdefault(account, _Held())
        held.used_s = now_s
        if held.tokens <= 0:
            return False
        held.tokens -= 1
        return True

    def add(self, account, tokens):
        """Add tokens that a lender gave, or that a request did not spend."""
        self._held.setdefault(account, _Held()).tokens += tokens

    def goal(self, account, reserve_max, now_s):
        """Return how many tokens to hold for an account."""
        held = self._held.get(account)
        in_use = held is not None and now_s - held.used_s < RESERVE_S
        return reserve_max if in_use else 0

    def take_surplus(self, account, goal):
        """Remove and return the tokens above the goal, to give them back."""
        held = self._held.get(account)
        if held is None:
            return 0
        surplus = max(0, held.tokens - goal)
        held.tokens -= surplus
        return surplus

    def drop_unused(self, now_s):
        """Forget accounts without tokens that no request has used lately."""
        self._held = {
            account: held
            for account, held in self._held.items()
            if held.tokens or now_s - held.used_s < RESERVE_S
        }
