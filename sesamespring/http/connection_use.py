"""Count what a caller's connection holds, and notice a caller that does not read."""

from sesamespring.routing.caller_memory import CONNECTION_BYTES

__all__ = ["ConnectionUse"]


class ConnectionUse:
    """What a connection holds: requests, bytes read ahead and bytes not yet sent.

    Args:
        memory: The CallerMemory.
        address: Client address of the connection, text.
        connection: The CallerConnection.
        transport: Its transport.
        now_s: Current time.
        on_exceeded: Function called when all connections together hold too much.
    """

    def __init__(self, memory, address, connection, transport, now_s, on_exceeded):
        self._memory = memory
        self._account = memory.open(address, connection)
        self._transport = transport
        self._on_exceeded = on_exceeded
        self._requests_bytes = 0
        self._unparsed_bytes = 0
        self._written_bytes = 0
        self._delivered_bytes = 0
        self._delivered_s = now_s
        self._is_lost = False
        self.update()

    @property
    def account(self):
        """The MemoryAccount of the connection."""
        return self._account

    @property
    def unparsed_bytes(self):
        """Bytes that were received and belong to no request yet."""
        return self._unparsed_bytes

    def add(self, delta_bytes):
        """Count what a request takes, or releases if it is negative."""
        self._requests_bytes += delta_bytes
        self.update()

    def received(self, size_bytes):
        """Count bytes from the caller, until ``parsed`` says what is left."""
        self._unparsed_bytes += size_bytes

    def parsed(self, left_bytes=0):
        """Record that of the bytes from the caller only so many are left."""
        self._unparsed_bytes = left_bytes

    def written(self, size_bytes):
        """Count bytes that were passed to the transport."""
        self._written_bytes += size_bytes
        self.update()

    def lost(self):
        """Record that the connection is lost; its requests may still hold memory."""
        self._is_lost = True
        self._unparsed_bytes = 0
        self.update()

    def update(self):
        """Update the account, which ends with the last request of a lost connection."""
        if self._is_lost and not self._requests_bytes:
            self._account.close()
            return
        held_bytes = self._requests_bytes + self._unparsed_bytes + self._unsent_bytes
        self._account.update(CONNECTION_BYTES + held_bytes)
        if self._memory.is_exceeded:
            self._on_exceeded()

    def is_unread(self, now_s, timeout_s):
        """Whether the caller has read nothing of what is unsent for ``timeout_s``.

        It is noticed at the first call after that.
        """
        unsent_bytes = self._unsent_bytes
        delivered_bytes = self._written_bytes - unsent_bytes
        if not unsent_bytes or delivered_bytes != self._delivered_bytes:
            self._delivered_bytes = delivered_bytes
            self._delivered_s = now_s
        self.update()
        return now_s - self._delivered_s >= timeout_s

    @property
    def _unsent_bytes(self):
        return 0 if self._is_lost else self._transport.get_write_buffer_size()
