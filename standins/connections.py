"""Close each connection that a stand-in accepts, whatever becomes of its task."""

import asyncio

__all__ = ["AcceptedConnections"]


class AcceptedConnections:
    """The connections of a listening socket; the callback of ``asyncio.start_server``.

    A connection may be accepted in the last turns of an event loop: its task is then
    cancelled before its first step, or begins after all others were cancelled, and runs
    no clean-up of its own.

    Args:
        serve: Coroutine function of the StreamReader and the StreamWriter.
    """

    def __init__(self, serve):
        self._serve = serve
        self._tasks = set()
        self._writers = set()
        self._closed = False

    def __call__(self, reader, writer):
        if self._closed:
            writer.transport.abort()
            return
        task = asyncio.get_running_loop().create_task(self._serve(reader, writer))
        self._tasks.add(task)
        self._writers.add(writer)

        def ended(task):
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.close()

        task.add_done_callback(ended)

    def close(self):
        """Abort all connections, and those that are still accepted."""
        self._closed = True
        for writer in tuple(self._writers):
            writer.transport.abort()
