"""Decode the client accounts of a configuration without ever showing a key."""

import re

from sesamespring.fields import MalformedField, integer, number, text
from sesamespring.routing.records import Account

__all__ = ["NOBODY", "decode_accounts"]

# Stands for the account of a key that several accounts hold.
NOBODY = ""
KEY_BYTES_MAX = 1024
PRIORITY_MAX = 1_000_000
REQUESTS_MAX = 1e9
_VISIBLE_ASCII = re.compile("[!-~]+")


def decode_accounts(items):
    """Decode the accounts and their keys.

    A key that several accounts hold names none of them: nobody could tell whose request
    it is, and to refuse the whole configuration would keep keys in force that it takes
    away.

    Args:
        items: Dict of JSON values by name of the account.

    Returns:
        Pair of the dict of Account by name, and the dict of account name by key in
        bytes, ``NOBODY`` for a key that several accounts hold.

    Raises:
        ValueError: An account is malformed; no message has a key or a part of one.
    """
    accounts = {}
    names = {}
    for name, item in items.items():
        account = accounts[name] = _decode_account(name, item)
        for key in _decode_keys(name, item["apiKeys"]):
            if names.setdefault(key, account.name) != account.name:
                names[key] = NOBODY
    return accounts, names


def _decode_account(name, item):
    if text(name) != name.strip():
        raise MalformedField(f"account {name!r} starts or ends with a space")
    priority = item.get("priority")
    if priority is not None:
        priority = integer(priority, maximum=PRIORITY_MAX)
    return Account(
        name=name,
        priority=priority,
        rate_per_s=number(item.get("ratePerS", 0.0), maximum=REQUESTS_MAX),
        burst=number(item.get("burst", 0.0), maximum=REQUESTS_MAX),
    )


def _decode_keys(name, items):
    """Return the list of keys of an account, in bytes.

    They are checked together, as there may be thousands; no error has one of them.
    """
    if not isinstance(items, list):
        raise MalformedField(f"keys of account {name} are no list")
    if not items:
        return []
    if not all(isinstance(item, str) for item in items):
        raise MalformedField(f"account {name} has a key that is no text")
    lengths = list(map(len, items))
    if not 1 <= min(lengths) <= max(lengths) <= KEY_BYTES_MAX:
        raise MalformedField(f"account {name} has an empty or a too long key")
    if not _VISIBLE_ASCII.fullmatch("".join(items)):
        raise MalformedField(f"account {name} has a key that fits into no header")
    return [item.encode() for item in items]
