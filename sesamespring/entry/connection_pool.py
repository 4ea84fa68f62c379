"""Pool of idle connections to targets.

A connection is reused only if its last exchange was completed.
"""

from sesamespring.http import ClientConnection

__all__ = ["TargetConnectionPool"]

IDLE_CONNECTIONS_MIN = 4


class TargetConnectionPool:
    """Idle connections to targets, grouped by the target's address."""

    def __init__(self):
        self._idle = {}

    def take_idle(self, address):
        """Return an idle connection that is open and has no unread data, or None.

        Connections that the target closed or sent data on are closed and skipped.

        Args:
            address: Pair of IP and port of the target.
        """
        connections = self._idle.get(address, [])
        while connections:
            connection = connections.pop()
            if connection.stream.open_and_idle:
                return connection
            connection.close()
        return None

    async def open(self, address):
        """Open a new connection and return the ClientConnection.

        Args:
            address: Pair of IP and port of the target.

        Raises:
            OSError: The connection could not be opened.
        """
        return await ClientConnection.open(address)

    def put_back(self, target, connection):
        """Return a connection to the pool, or close it if it cannot be reused.

        It is also closed if the pool already holds as many idle connections to the
        target as it has slots, and at least IDLE_CONNECTIONS_MIN.

        Args:
            target: The declared Target.
            connection: The ClientConnection after a complete exchange.
        """
        connections = self._idle.setdefault(target.address, [])
        idle_max = max(IDLE_CONNECTIONS_MIN, target.slots)
        if not connection.reusable or len(connections) >= idle_max:
            connection.close()
            return
        connection.next_cycle()
        connections.append(connection)

    def close(self):
        """Close all idle connections."""
        for connections in self._idle.values():
            for connection in connections:
                connection.close()
        self._idle.clear()
