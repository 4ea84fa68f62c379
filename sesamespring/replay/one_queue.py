"""Ideal policy: one queue with exact, instant knowledge of all work in progress.

No real system can have that knowledge, so this bounds what a policy can reach.
"""

import collections
import itertools

import attrs

from sesamespring.decisions.messages import (
    AttemptEnded,
    AttemptResult,
    FailRequest,
    HeldTargetsChanged,
    RequestArrived,
    RequestWithdrawn,
    SendAttempt,
)
from sesamespring.errors import ErrorKind
from sesamespring.replay.baselines import ATTEMPTS_MAX, is_retryable

__all__ = ["OneQueue", "OneQueueRouter", "prefer_fast", "prefer_idle"]


def prefer_idle(target, local):
    """Return a sort key of a free target: the most idle is best, then a local one."""
    return (-target.in_progress / target.capacity, local)


def prefer_fast(target, local):
    """Return a sort key of a free target: the fastest is best, then a local one."""
    return (target.speed, local, -target.in_progress / target.capacity)


@attrs.define(eq=False)
class _QueuedRequest:
    """A request in the shared queue, with its router and RequestArrived."""

    router: object
    arrival: object
    attempt_count: int = 0


class OneQueue:
    """First-in, first-out queue of one service, shared by all entry VMs.

    Args:
        targets: The SimulatedTargets of the service.
        preference: Function from a target, and whether it is in the data centre of the
            entry VM, to a sort key; the largest is chosen.
        clock: Function that returns the virtual time in seconds.
    """

    def __init__(self, targets, preference, clock):
        self._preference = preference
        self._clock = clock
        self._targets = targets
        self._in_service = frozenset()
        self._queue = collections.deque()
        self._attempt_ids = itertools.count(1)
        for target in targets:
            target.on_change = self.dispatch

    def set_in_service(self, names):
        """Set the names of the targets that may get requests."""
        self._in_service = frozenset(names)

    def add(self, queued):
        """Append a _QueuedRequest and dispatch."""
        self._queue.append(queued)
        self.dispatch()

    def dispatch(self):
        """Send requests from the head of the queue while a target has a free slot.

        Requests that no longer wait, or whose deadline has passed, are removed.
        """
        while self._queue:
            queued = self._queue[0]
            if not queued.router.is_waiting(queued):
                self._queue.popleft()
            elif queued.arrival.deadline_s <= self._clock():
                self._queue.popleft()
                queued.router.expire(queued)
            else:
                target = self._choose_target(queued.router.data_centre)
                if target is None:
                    return
                self._queue.popleft()
                attempt_id = next(self._attempt_ids)
                queued.router.send(queued, attempt_id, target.record.name)

    def _choose_target(self, data_centre):
        free = [
            target
            for target in self._targets
            if target.record.name in self._in_service
            and target.in_progress < target.capacity
        ]
        return max(
            free,
            key=lambda t: self._preference(t, t.record.data_centre == data_centre),
            default=None,
        )


class OneQueueRouter:
    """Router of one entry VM that adds its requests to the shared queue.

    Args:
        queue: The OneQueue.
        vm: The SimulatedVm.
        service: Name of the service.
    """

    next_wake_s = None

    def __init__(self, queue, vm, service):
        self._queue = queue
        self._vm = vm
        self._service = service
        self._waiting = {}
        self._attempts = {}

    @property
    def data_centre(self):
        """Name of the data centre of the entry VM."""
        return self._vm.record.data_centre

    def handle(self, message, now_s):
        """Handle one message and return an empty list.

        The commands are executed at the VM directly, as the queue may dispatch
        requests of other VMs as well.
        """
        if isinstance(message, RequestArrived):
            self._enqueue(_QueuedRequest(self, message))
        elif isinstance(message, RequestWithdrawn):
            self._waiting.pop(message.request_id, None)
        elif isinstance(message, AttemptEnded):
            self._attempt_ended(message)
        elif isinstance(message, HeldTargetsChanged):
            self._queue.set_in_service(target.name for target in message.targets)
        return []

    def is_waiting(self, queued):
        """Return whether a request still waits here and the VM is running."""
        return self._vm.running and queued.arrival.request_id in self._waiting

    def send(self, queued, attempt_id, target):
        """Send a request to a target, given by name, at once."""
        arrival = queued.arrival
        del self._waiting[arrival.request_id]
        queued.attempt_count += 1
        self._attempts[attempt_id] = queued
        command = SendAttempt(
            attempt_id, arrival.request_id, target, arrival.deadline_s
        )
        self._vm.execute(self._service, [command])

    def expire(self, queued):
        """Fail a request whose deadline passed in the queue."""
        del self._waiting[queued.arrival.request_id]
        self._fail_request(queued, ErrorKind.DEADLINE_UNREACHABLE)

    def _enqueue(self, queued):
        self._waiting[queued.arrival.request_id] = queued
        self._queue.add(queued)

    def _attempt_ended(self, message):
        queued = self._attempts.pop(message.attempt_id)
        if message.result not in (AttemptResult.SHED, AttemptResult.CUT_OFF):
            return
        if queued.attempt_count < ATTEMPTS_MAX and is_retryable(
            queued.arrival, message.result
        ):
            self._enqueue(queued)
            return
        shed = message.result is AttemptResult.SHED
        self._fail_request(queued, ErrorKind.NO_CAPACITY if shed else ErrorKind.CUT_OFF)

    def _fail_request(self, queued, kind):
        command = FailRequest(queued.arrival.request_id, kind)
        self._vm.execute(self._service, [command])
