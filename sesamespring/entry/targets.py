"""Keep connections to targets and reuse those whose last exchange ended whole."""

from sesamespring.http import ClientConnection

__all__ = ["TargetConnections"]

IDLE_CONNECTIONS_MIN = 4


class TargetConnections:
    """The idle connections to all targets, by address."""

    def __init__(self):
        self._idle = {}

    def take_idle(self, address):
        """Return an idle connection that is open and on which nothing came in."""
        connections = self._idle.get(address, [])
        while connections:
            connection = connections.pop()
            if connection.stream.open_and_idle:
                return connection
            connection.close()
        return None

    async def open(self, address):
        """Open a new connection."""
        return await ClientConnection.open(address)

    def put_back(self, target, connection):
        """Keep a connection for reuse, or close it where it must not be used.

        Args:
            target: The declared Target, whose slots bound the idle connections.
            connection: The ClientConnection.
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
