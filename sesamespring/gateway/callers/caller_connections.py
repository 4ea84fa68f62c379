"""Accept and limit the connections of a listening socket, and shut them down."""

import asyncio
import collections
import socket

from sesamespring.http.pipeline import CallerConnection, ServerLimits
from sesamespring.routing.caller_memory import CallerMemory

__all__ = ["CallerConnections"]

LISTEN_BACKLOG = 1024
# A connection counts as idle after this time without a request, as its next request
# may be on its way.
IDLE_AFTER_S = 0.2
INTERNAL_ERROR = 500
DEFAULT_LIMITS = ServerLimits(16 * 1024, 3.0, 15.0)


class CallerConnections:
    """The connections of one listening socket.

    Args:
        handle: Coroutine function that responds to an IncomingRequest.
        connections_max: Maximum number of open connections. At the maximum, a new
            connection replaces the one that has been idle longest; it is refused if
            none is idle.
        limits: Function that returns the current ServerLimits.
        on_error: Function called with the IncomingRequest and the error if ``handle``
            fails; the request is answered all the same.
        caller_limits: The CallerLimits, or None if only single connections are bounded.
    """

    def __init__(
        self,
        handle,
        connections_max,
        limits=lambda: DEFAULT_LIMITS,
        on_error=lambda request, error: None,
        caller_limits=None,
    ):
        self._handle = handle
        self._on_error = on_error
        self._connections_max = connections_max
        self._limits = limits
        self._caller_limits = caller_limits
        self._memory = caller_limits.memory if caller_limits else CallerMemory()
        self._open = set()
        self._tasks = set()
        self._stopping = False
        self._reads_last = False
        self._socket = None
        self._server = None

    @property
    def limits(self):
        """Function that returns the ServerLimits."""
        return self._limits

    @property
    def memory(self):
        """The CallerMemory that the connections use."""
        return self._memory

    @property
    def stopping(self):
        """Whether connections are closed after the responses in progress."""
        return self._stopping

    @property
    def reads_last(self):
        """Whether each connection takes in one more request at most."""
        return self._reads_last

    @property
    def in_progress(self):
        """Number of requests that are being handled."""
        return len(self._tasks)

    @property
    def active(self):
        """Whether a request is being handled, or may arrive at any moment."""
        now_s = asyncio.get_running_loop().time()
        return bool(self._tasks) or any(
            not _is_idle(connection, now_s) for connection in self._open
        )

    async def listen(self, address):
        """Listen on ``address``, a pair of IP and port.

        Raises:
            OSError: The address cannot be bound.
        """
        loop = asyncio.get_running_loop()
        self._socket = socket.create_server(address, backlog=LISTEN_BACKLOG)
        self._server = await loop.create_server(
            self._make_connection, sock=self._socket, backlog=LISTEN_BACKLOG
        )

    def add(self, connection):
        """Register a new connection; return False if it must be refused."""
        if len(self._open) >= self._connections_max:
            idle = [c for c in self._open if c.idle] or self._surplus(connection)
            if not idle:
                return False
            oldest = min(idle, key=lambda c: c.idle_since_s)
            self._open.discard(oldest)
            self.close_early(oldest, "connections")
        self._open.add(connection)
        return True

    def _surplus(self, connection):
        """Return the connections without a whole request that one may replace.

        They are those of the client address with most connections, if it has more than
        the client address of the new one.
        """
        counts = collections.Counter(c.caller_ip for c in self._open)
        address, count = counts.most_common(1)[0]
        if count <= counts[connection.caller_ip] + 1:
            return []
        return [c for c in self._open if c.caller_ip == address and c.has_no_request]

    def relieve_memory(self):
        """Close the connections that hold most, until the others keep the limit."""
        for connection in self._memory.excess():
            self.close_early(connection, "memory")

    def close_early(self, connection, reason):
        """Abort a connection for what its caller does; ``reason`` says why."""
        if self._caller_limits:
            self._caller_limits.record_closed(connection, reason)
        connection.abort()

    def remove(self, connection):
        """Unregister a closed connection."""
        self._open.discard(connection)

    def handle(self, request):
        """Start a task that responds to an IncomingRequest."""
        if not request.admitted and self._caller_limits:
            self._caller_limits.record_refused(request)
        self._track(asyncio.get_running_loop().create_task(self._respond(request)))

    def stop_accepting(self):
        """Close the listening socket, and let open connections take their last request.

        Callers that always send further requests ahead would keep a connection open
        until the process ends, and lose what is in progress then. Connections that wait
        to be accepted are accepted first, as closing the socket would reset them.
        """
        self._reads_last = True
        for connection in tuple(self._open):
            connection.read_last()
        if self._server is None or not self._server.is_serving():
            return
        loop = asyncio.get_running_loop()
        for sock in _accept_waiting(self._socket):
            accepting = loop.connect_accepted_socket(self._make_connection, sock)
            self._track(loop.create_task(accepting))
        self._server.close()

    def stop(self):
        """Let each connection close after its responses in progress."""
        self._stopping = True

    def close_idle(self):
        """Close the connections without a request for ``IDLE_AFTER_S``."""
        now_s = asyncio.get_running_loop().time()
        for connection in tuple(self._open):
            if _is_idle(connection, now_s):
                connection.close()

    def close(self):
        """Close the socket, cancel all requests and abort all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        for connection in tuple(self._open):
            connection.abort()

    async def _respond(self, request):
        """Let the handler respond; if it fails, end the request with a final answer."""
        try:
            await self._handle(request)
        except Exception as error:
            self._on_error(request, error)
            if request.response_started:
                request.abort()
            else:
                request.send_whole(INTERNAL_ERROR, [], b"")
        finally:
            request.handled()

    def _make_connection(self):
        return CallerConnection(self)

    def _track(self, task):
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _is_idle(connection, now_s):
    return connection.idle and now_s - connection.idle_since_s >= IDLE_AFTER_S


def _accept_waiting(listening):
    """Yield the sockets of the connections that wait at a listening socket."""
    while True:
        try:
            accepted, _ = listening.accept()
        except (BlockingIOError, ConnectionAbortedError):
            return
        accepted.setblocking(False)
        yield accepted
