"""Build the table of keys of a configuration before it takes effect."""

import asyncio
import secrets

import attrs

from sesamespring.routing.account_keys import DIGEST_SECRET_BYTES, AccountKeysBuilder

__all__ = ["ConfigurationLoader", "LoadedConfiguration"]

KEYS_PER_SLICE = 256


@attrs.frozen
class LoadedConfiguration:
    """A configuration that can take effect.

    Attributes:
        configuration: The Configuration.
        account_keys: Its AccountKeys, or None without accounts.
        row: Version of the row that it comes from.
    """

    configuration: object
    account_keys: object
    row: int

    @property
    def account_counts(self):
        """Dict of numbers of accounts and keys for the log, empty without accounts."""
        if self.account_keys is None:
            return {}
        names = self.configuration.account_names.values()
        return {
            "accounts": len(self.configuration.accounts),
            "keys": len(names),
            "ambiguous_keys": sum(not name for name in names),
        }


class ConfigurationLoader:
    """Builds the AccountKeys of configurations, one slice in a turn of the event loop.

    A configuration with few keys, or without accounts, is loaded at once. One that
    comes while another is being built waits, and replaces one that waits already: so
    versions in quick succession neither delay each other nor queue up.

    Args:
        on_loaded: Function called with a LoadedConfiguration, and with whether this is
            later than the call of ``load``.
    """

    def __init__(self, on_loaded):
        self._on_loaded = on_loaded
        self._secret = secrets.token_bytes(DIGEST_SECRET_BYTES)
        self._builder = None
        self._next = None

    def load(self, configuration, row):
        """Load a Configuration that is newer than all loaded before.

        Args:
            configuration: The Configuration.
            row: Version of the row that it comes from.
        """
        if self._builder is None:
            self._start(configuration, row, False)
        else:
            self._next = (configuration, row)

    def _start(self, configuration, row, later):
        if configuration.accounts is None:
            self._on_loaded(LoadedConfiguration(configuration, None, row), later)
            return
        self._builder = AccountKeysBuilder(configuration, self._secret)
        self._add_slice(configuration, row, later)

    def _add_slice(self, configuration, row, later):
        if not self._builder.add(KEYS_PER_SLICE):
            loop = asyncio.get_running_loop()
            loop.call_soon(self._add_slice, configuration, row, True)
            return
        keys, self._builder = self._builder.keys, None
        self._on_loaded(LoadedConfiguration(configuration, keys, row), later)
        if self._next is not None:
            following, self._next = self._next, None
            self._start(*following, True)
