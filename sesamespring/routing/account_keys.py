"""Find the account of a key, in a time that does not tell how much of it is right.

Designed for configurations with thousands of keys that change while callers are
served: a table is built in slices, and replaced as a whole.
"""

import hashlib

__all__ = ["DIGEST_SECRET_BYTES", "AccountKeys", "AccountKeysBuilder"]

DIGEST_SECRET_BYTES = 32
_DIGEST_BYTES = 16


class AccountKeys:
    """The accounts of one configuration by the digest of their keys; never changed.

    Which digest a guessed key has, only this process knows. So the time of a lookup
    says nothing about the keys that the table holds.

    Args:
        accounts: Dict of Account by digest.
        secret: Secret of the digests, in bytes.
    """

    def __init__(self, accounts, secret):
        self._accounts = accounts
        self._secret = secret

    def account(self, key):
        """Return the Account that holds a key, or None.

        Args:
            key: The key in bytes, exactly as the caller sent it.
        """
        return self._accounts.get(_digest(key, self._secret))


class AccountKeysBuilder:
    """Builds an AccountKeys in slices.

    Args:
        configuration: A Configuration with accounts.
        secret: Random bytes that only this process knows, ``DIGEST_SECRET_BYTES``.

    >>> from sesamespring.routing.records import Account, Configuration
    >>> account = Account("a", None)
    >>> names = {b"k1": "a", b"k2": "a", b"shared": ""}
    >>> configuration = Configuration(1, (), {}, None, {"a": account}, names)
    >>> builder = AccountKeysBuilder(configuration, b"secret")
    >>> builder.add(2), builder.add(2)
    (False, True)
    >>> [builder.keys.account(k) == account for k in (b"k1", b"K1", b"shared", b"")]
    [True, False, False, False]
    """

    def __init__(self, configuration, secret):
        self._accounts = configuration.accounts
        self._names = iter(configuration.account_names.items())
        self._left = len(configuration.account_names)
        self._secret = secret
        self._found = {}

    @property
    def keys(self):
        """The AccountKeys; to be used once ``add`` has returned True."""
        return AccountKeys(self._found, self._secret)

    def add(self, count):
        """Add up to ``count`` more keys and return whether the table is complete."""
        for _ in range(min(count, self._left)):
            key, name = next(self._names)
            self._left -= 1
            # A key that several accounts hold has no name, and names nobody.
            account = self._accounts.get(name)
            if account is not None:
                self._found[_digest(key, self._secret)] = account
        return self._left == 0


def _digest(key, secret):
    return hashlib.blake2b(key, digest_size=_DIGEST_BYTES, key=secret).digest()
