"""Keep a daemon's tasks running whatever goes wrong in one of them."""

import asyncio
import traceback

__all__ = ["describe_error", "run_supervised"]

RESTART_DELAY_S = 0.2


async def run_supervised(name, run, log):
    """Run a task, and run it again after an unexpected error, until cancelled.

    Ending the process instead would break off all requests in progress, and what caused
    the error would most likely be met again after the start.

    Args:
        name: Name of the task, for the log.
        run: Coroutine function without arguments. It can be called again.
        log: The EventLog.
    """
    while True:
        try:
            await run()
            return
        except Exception as error:
            log.event("task-failed", task=name, **describe_error(error))
        await asyncio.sleep(RESTART_DELAY_S)


def describe_error(error):
    """Return the fields of a log line on an unexpected error: what it is, and where."""
    frames = traceback.extract_tb(error.__traceback__)
    place = f"{frames[-1].name}:{frames[-1].lineno}" if frames else ""
    return {"error": repr(error)[:200], "place": place}
