"""Close each connection that a stand-in accepts, whatever becomes of its task."""

import asyncio

__all__ = ["closing_at_end"]


def closing_at_end(serve):
    """Return a callback for ``asyncio.start_server`` that always closes the connection.

    A task that is cancelled before its first step runs no clean-up of its own, as for
    connections that are accepted in the last turns of an event loop.

    Args:
        serve: Coroutine function of the StreamReader and the StreamWriter.
    """
    tasks = set()

    def connected(reader, writer):
        task = asyncio.get_running_loop().create_task(serve(reader, writer))
        tasks.add(task)

        def ended(task):
            tasks.discard(task)
            writer.close()

        task.add_done_callback(ended)

    return connected
