"""Find out which client account a request belongs to, and whether it still does."""

from returns.result import Failure, Success

from sesamespring.gateway.callers.attempt_history import LocalResponse
from sesamespring.platform.headers import read_account_key

__all__ = ["KEY_UNKNOWN", "RequestAccount", "check_account"]

KEY_UNKNOWN = LocalResponse(401, "key-unknown")


class RequestAccount:
    """The account of one request, checked again after each change of the keys.

    Args:
        key: The caller's key in bytes, or None if it sent none, or several.
        is_public: Whether the request needs no key.
        keys: The AccountKeys in force, or None without accounts.
    """

    def __init__(self, key, is_public, keys):
        self._key = key
        self._is_public = is_public
        self._keys = keys
        self._account = self._find()

    @property
    def account(self):
        """The Account, or None."""
        return self._account

    @property
    def name(self):
        """Name of the account, or an empty string."""
        return self._account.name if self._account else ""

    @property
    def permitted(self):
        """Whether the request may be sent to a target."""
        return self._keys is None or self._is_public or self._account is not None

    def priority(self, route):
        """Return the priority of a request of this account on a Route."""
        account = self._account
        if account is None or account.priority is None:
            return route.priority
        return account.priority

    def update(self, keys):
        """Look the key up again if the AccountKeys in force are others."""
        if keys is not self._keys:
            self._keys = keys
            self._account = self._find()

    def _find(self):
        if self._keys is None or self._key is None:
            return None
        return self._keys.account(self._key)


def check_account(headers, route, keys):
    """Check the key of a request.

    Args:
        headers: The headers of the request.
        route: Its Route.
        keys: The AccountKeys in force, or None without accounts.

    Returns:
        Success of the RequestAccount, or Failure of the LocalResponse that refuses it.
    """
    # The key is also read without accounts: the next configuration may have some.
    found = RequestAccount(read_account_key(headers), route.public, keys)
    return Success(found) if found.permitted else Failure(KEY_UNKNOWN)
