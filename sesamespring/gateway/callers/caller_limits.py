"""Log and count what the bounds on callers' memory and connections do."""

from sesamespring.routing.caller_memory import CallerMemory

__all__ = ["CallerLimits"]


class CallerLimits:
    """The memory for callers of one process, and the record of its refusals.

    Args:
        memory_bytes: Memory of the process.
        counters: The Counters.
        log: The EventLog.
    """

    def __init__(self, memory_bytes, counters, log):
        self._memory = CallerMemory(memory_bytes)
        self._counters = counters
        self._log = log

    @property
    def memory(self):
        """The CallerMemory of all public listening sockets."""
        return self._memory

    def record_refused(self, incoming):
        """Record that an IncomingRequest is refused, as its client holds too much."""
        self._counters.add("caller_refusals", reason="memory")
        self._log.event(
            "caller-refused",
            reason="memory",
            caller=incoming.caller_ip,
            held_bytes=self._memory.used_bytes,
            limit_bytes=int(self._memory.limit_bytes),
        )

    def record_closed(self, connection, reason):
        """Record that a CallerConnection is closed.

        Args:
            connection: The CallerConnection.
            reason: ``memory``, ``responses-unread`` or ``connections``.
        """
        self._counters.add("caller_closures", reason=reason)
        self._log.event(
            "caller-closed",
            reason=reason,
            caller=connection.caller_ip,
            connection_bytes=connection.account.used_bytes,
            held_bytes=self._memory.used_bytes,
            limit_bytes=int(self._memory.limit_bytes),
        )
