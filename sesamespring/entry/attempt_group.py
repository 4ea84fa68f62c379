"""Run the attempts of one request at the same time and keep the first answer."""

import asyncio

from sesamespring.decisions.messages import AttemptResult
from sesamespring.entry.attempt import Attempt, AttemptDone

__all__ = ["AttemptGroup"]


class AttemptGroup:
    """The attempts of one request, each a task that owns its connection.

    Each started attempt puts one AttemptDone into the inbox.

    Args:
        caller: The CallerSide.
        connections: The TargetConnectionPool.
        idempotent: Whether the request may be sent more than once.
        inbox: The asyncio.Queue of the request.
    """

    def __init__(self, caller, connections, idempotent, inbox):
        self._caller = caller
        self._connections = connections
        self._idempotent = idempotent
        self._inbox = inbox
        self._attempts = {}
        self._tasks = {}
        self._winner = None
        self._may_have_run = False

    @property
    def has_winner(self):
        """Whether the answer of an attempt is being passed on, or was."""
        return self._winner is not None

    @property
    def in_progress(self):
        """Whether a byte of an attempt that is in progress may have left."""
        return any(attempt.started for attempt in self._attempts.values())

    @property
    def may_have_run(self):
        """Whether an attempt may have run the request."""
        return self._may_have_run or self.in_progress

    def start(self, command, target):
        """Start the attempt of a SendAttempt at a declared Target."""
        attempt = Attempt(
            command,
            target,
            self._caller,
            self._connections,
            self._idempotent,
            self._claim_response,
        )
        task = asyncio.get_running_loop().create_task(attempt.run())
        self._attempts[command.attempt_id] = attempt
        self._tasks[command.attempt_id] = task
        task.add_done_callback(
            lambda done: self._inbox.put_nowait(_done_of(command.attempt_id, done))
        )

    def cancel(self, attempt_id):
        """Cancel an attempt, if it is in progress."""
        task = self._tasks.get(attempt_id)
        if task is not None:
            task.cancel()

    def finish(self, done):
        """Take in an AttemptDone and return its Attempt, or None if known before."""
        attempt = self._attempts.pop(done.attempt_id, None)
        if attempt is None:
            return None
        del self._tasks[done.attempt_id]
        not_run = (AttemptResult.SHED, AttemptResult.NOT_SENT)
        if attempt.started and done.result not in not_run:
            self._may_have_run = True
        return attempt

    async def stop(self):
        """Cancel all attempts in progress and return the list of their AttemptDone."""
        tasks = tuple(self._tasks.items())
        for _, task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait([task for _, task in tasks])
        ends = [_done_of(attempt_id, task) for attempt_id, task in tasks]
        return [done for done in ends if self.finish(done) is not None]

    def _claim_response(self, attempt_id):
        """Take the first answer and cancel all other attempts."""
        if self._winner is not None:
            return False
        self._winner = attempt_id
        for other_id, task in self._tasks.items():
            if other_id != attempt_id:
                task.cancel()
        return True


def _done_of(attempt_id, task):
    if task.cancelled():
        return AttemptDone(attempt_id, AttemptResult.CANCELLED)
    return task.result()
