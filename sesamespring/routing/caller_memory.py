"""Divide the memory that a VM has for its callers among addresses and connections.

Designed for clients that send many requests ahead, leave responses unread or upload
more than can be sent on. Each connection states how much it holds. The more is held in
all, the more is asked of those with the largest share: they start no request before
the last is answered, then their requests are refused, then their connections closed.
"""

import math

import attrs

__all__ = [
    "BODY_COPIES",
    "CONNECTION_BYTES",
    "KEPT_BODY_BYTES_MAX",
    "REQUEST_BYTES",
    "CallerMemory",
    "MemoryAccount",
]

KILOBYTE = 1024
# What a body may take that is kept for a second attempt.
KEPT_BODY_BYTES_MAX = 512 * KILOBYTE
# A body that is kept is copied once when it is written to a target's connection.
BODY_COPIES = 2
# Objects of a connection, and of a request in progress with its task and its head.
CONNECTION_BYTES = 8 * KILOBYTE
REQUEST_BYTES = 32 * KILOBYTE
# Part of the process's memory that is for callers. What they hold takes about twice
# the bytes that are counted, and the rest is for code and tables.
CALLERS_PART = 1 / 4
# Parts of that from which on large holders send no requests ahead, and are refused.
PRESSURE_PART = 1 / 2
REFUSAL_PART = 3 / 4
# Part of it that one connection may hold before it waits for its own responses.
CONNECTION_PART = 1 / 32
CONNECTION_BYTES_MIN = 1024 * KILOBYTE
# Before any response is known.
RESPONSE_BYTES_INITIAL = 64 * KILOBYTE
RESPONSE_WEIGHT = 1 / 16


@attrs.define(eq=False)
class _AddressUse:
    """What the connections of one client address hold.

    Attributes:
        bytes: Sum of what they hold.
        accounts: Set of their MemoryAccounts.
    """

    bytes: int = 0
    accounts: set = attrs.field(factory=set)

    @property
    def open_bytes(self):
        """Sum of what the connections hold that are not being closed."""
        return sum(a.used_bytes for a in self.accounts if not a.closing)


class CallerMemory:
    """What all callers' connections of a process hold, with its bounds.

    Args:
        memory_bytes: Memory of the process; without it only single connections are
            bounded.

    >>> memory = CallerMemory(256 * 1024 * 1024)
    >>> account = memory.open("192.0.2.1", "a connection")
    >>> account.update(1024 * 1024)
    >>> memory.used_bytes, account.may_buffer, account.is_admitted
    (1048576, True, True)
    """

    def __init__(self, memory_bytes=math.inf):
        self._limit_bytes = memory_bytes * CALLERS_PART
        self._connection_bytes = CONNECTION_BYTES_MIN
        if self._limit_bytes < math.inf:
            share_bytes = self._limit_bytes * CONNECTION_PART
            self._connection_bytes = max(CONNECTION_BYTES_MIN, share_bytes)
        self._addresses = {}
        self._used_bytes = 0
        # What the connections hold that are being closed.
        self._closing_bytes = 0
        self._response_bytes = RESPONSE_BYTES_INITIAL

    @property
    def used_bytes(self):
        """What all connections hold."""
        return self._used_bytes

    @property
    def limit_bytes(self):
        """What they may hold before connections are closed."""
        return self._limit_bytes

    @property
    def connection_bytes(self):
        """What one connection may hold before it waits for its own responses."""
        return self._connection_bytes

    @property
    def response_bytes(self):
        """Expected size of a response, a moving average."""
        return self._response_bytes

    @property
    def is_exceeded(self):
        """Whether connections must be closed."""
        return self._used_bytes - self._closing_bytes > self._limit_bytes

    def open(self, address, holder):
        """Return the MemoryAccount of a new connection.

        Args:
            address: Client address of the connection, text.
            holder: The connection, which ``excess`` returns.
        """
        account = MemoryAccount(self, address, holder)
        use = self._addresses.setdefault(address, _AddressUse())
        use.accounts.add(account)
        return account

    def observe_response(self, size_bytes):
        """Record the size of a response."""
        size_bytes = min(size_bytes, self._connection_bytes)
        self._response_bytes += RESPONSE_WEIGHT * (size_bytes - self._response_bytes)

    def excess(self):
        """Return the holders to close: the largest ones of the largest addresses.

        What they hold counts until their accounts are closed.
        """
        open_bytes = {a: use.open_bytes for a, use in self._addresses.items()}
        holders = []
        while open_bytes and sum(open_bytes.values()) > self._limit_bytes:
            address = max(open_bytes, key=open_bytes.__getitem__)
            still_open = [a for a in self._addresses[address].accounts if not a.closing]
            largest = max(still_open, key=lambda account: account.used_bytes)
            largest.closing = True
            self._closing_bytes += largest.used_bytes
            open_bytes[address] -= largest.used_bytes
            holders.append(largest.holder)
        return holders

    def _change(self, account, address, delta_bytes):
        self._used_bytes += delta_bytes
        self._addresses[address].bytes += delta_bytes
        if account.closing:
            self._closing_bytes += delta_bytes

    def _remove(self, address, account):
        use = self._addresses[address]
        use.accounts.discard(account)
        if not use.accounts:
            del self._addresses[address]

    def _exceeds_share(self, address, part):
        """Whether a part of the limit is held, and an address has more than its share.

        Args:
            address: The client address.
            part: Part of the limit, divided equally among all client addresses.
        """
        bound_bytes = self._limit_bytes * part
        if self._used_bytes <= bound_bytes:
            return False
        return self._addresses[address].bytes > bound_bytes / len(self._addresses)


class MemoryAccount:
    """What one connection holds.

    Args:
        memory: The CallerMemory.
        address: Client address of the connection, text.
        holder: The connection.

    Attributes:
        closing: Whether the connection is being closed.
    """

    def __init__(self, memory, address, holder):
        self.closing = False
        self._memory = memory
        self._address = address
        self._holder = holder
        self._used_bytes = 0
        self._closed = False

    @property
    def holder(self):
        """The connection."""
        return self._holder

    @property
    def used_bytes(self):
        """What the connection holds."""
        return self._used_bytes

    @property
    def may_start_another(self):
        """Whether a request may start while an earlier one is in progress."""
        memory = self._memory
        next_bytes = REQUEST_BYTES + memory.response_bytes
        if self._used_bytes + next_bytes > memory.connection_bytes:
            return False
        return not memory._exceeds_share(self._address, PRESSURE_PART)

    @property
    def may_buffer(self):
        """Whether a response may be read from its target before the caller reads it."""
        memory = self._memory
        if self._used_bytes > memory.connection_bytes:
            return False
        return not memory._exceeds_share(self._address, PRESSURE_PART)

    @property
    def is_admitted(self):
        """Whether the request that was counted last may be served."""
        return not self._memory._exceeds_share(self._address, REFUSAL_PART)

    def update(self, used_bytes):
        """Record what the connection holds."""
        if self._closed:
            return
        self._memory._change(self, self._address, used_bytes - self._used_bytes)
        self._used_bytes = used_bytes

    def close(self):
        """Remove the account of a connection that is gone and holds nothing."""
        if self._closed:
            return
        self.update(0)
        self._closed = True
        self._memory._remove(self._address, self)
