"""Run concurrent attempts of one request and select the first response."""

import asyncio

from sesamespring.decisions.messages import AttemptResult
from sesamespring.entry.attempt import Attempt, AttemptDone

__all__ = ["AttemptGroup"]


class AttemptGroup:
    """The attempts of one request, each run by a task of its own.

    Each started attempt puts one AttemptDone into the inbox.

    Args:
        caller: The CallerSide.
        connections: The TargetConnectionPool.
        idempotent: Whether the request may be sent more than once.
        inbox: The asyncio.Queue of messages to the RequestForwarder.
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
        """Whether an attempt's response is being or has been forwarded."""
        return self._winner is not None

    @property
    def in_progress(self):
        """Whether an attempt is in progress that may have sent part of the request."""
        return any(attempt.started for attempt in self._attempts.values())

    @property
    def may_have_run(self):
        """Whether a target may have executed the request."""
        return self._may_have_run or self.in_progress

    def start(self, command, target):
        """Start an attempt.

        Args:
            command: The SendAttempt.
            target: The declared Target to send to.
        """
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
            lambda done: self._inbox.put_nowait(_task_result(command.attempt_id, done))
        )

    def cancel(self, attempt_id):
        """Cancel an attempt if it is in progress."""
        task = self._tasks.get(attempt_id)
        if task is not None:
            task.cancel()

    def finish(self, done):
        """Remove an attempt that has ended.

        Args:
            done: The AttemptDone.

        Returns:
            The Attempt, or None if it was removed before.
        """
        attempt = self._attempts.pop(done.attempt_id, None)
        if attempt is None:
            return None
        del self._tasks[done.attempt_id]
        not_run = (AttemptResult.SHED, AttemptResult.NOT_SENT)
        if attempt.started and done.result not in not_run:
            self._may_have_run = True
        return attempt

    async def stop(self):
        """Cancel all attempts in progress and wait for them to end.

        Returns:
            A list of their AttemptDone.
        """
        tasks = tuple(self._tasks.items())
        for _, task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait([task for _, task in tasks])
        ends = [_task_result(attempt_id, task) for attempt_id, task in tasks]
        return [done for done in ends if self.finish(done) is not None]

    def _claim_response(self, attempt_id):
        """Make the first attempt with a response the winner and cancel the others.

        Returns:
            Whether the attempt is the winner.
        """
        if self._winner is not None:
            return False
        self._winner = attempt_id
        for other_id, task in self._tasks.items():
            if other_id != attempt_id:
                task.cancel()
        return True


def _task_result(attempt_id, task):
    if task.cancelled():
        return AttemptDone(attempt_id, AttemptResult.CANCELLED)
    return task.result()
