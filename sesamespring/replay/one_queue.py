"""Route from one queue that knows all work in progress, as no real system can."""

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
from sesamespring.replay.baselines import ATTEMPTS_MAX, may_repeat

__all__ = ["OneQueue", "OneQueueMember", "prefer_fast", "prefer_idle"]


def prefer_idle(target, near):
    """Return the preference for a target with free slots: the idlest, then near."""
    return (-target.in_progress / target.bearable, near)


def prefer_fast(target, near):
    """Return the preference for a target with free slots: the fastest, then near."""
    return (target.speed, near, -target.in_progress / target.bearable)


@attrs.define(eq=False)
class _Waiting:
    member: object
    arrival: object
    tries: int = 0


class OneQueue:
    """The queue of one service, shared by all its entry VMs.

    Args:
        targets: The FakeTargets of the service.
        preference: Function from a target, and whether it is near, to a sort key.
        clock: Function that returns the time now.
    """

    def __init__(self, targets, preference, clock):
        self._preference = preference
        self._clock = clock
        self._targets = targets
        self._in_service = frozenset()
        self._queue = collections.deque()
        self._attempt_ids = itertools.count(1)
        for target in targets:
            target.changed = self.dispatch

    def set_in_service(self, names):
        """Take the names of the targets that may get work."""
        self._in_service = frozenset(names)

    def add(self, waiting):
        """Let a request wait for its turn."""
        self._queue.append(waiting)
        self.dispatch()

    def dispatch(self):
        """Send what can be sent now."""
        while self._queue:
            waiting = self._queue[0]
            if not waiting.member.waits(waiting):
                self._queue.popleft()
            elif waiting.arrival.deadline_s <= self._clock():
                self._queue.popleft()
                waiting.member.expire(waiting)
            else:
                target = self._best(waiting.member.data_centre)
                if target is None:
                    return
                self._queue.popleft()
                attempt_id = next(self._attempt_ids)
                waiting.member.send(waiting, attempt_id, target.record.name)

    def _best(self, data_centre):
        free = [
            target
            for target in self._targets
            if target.record.name in self._in_service
            and target.in_progress < target.bearable
        ]
        return max(
            free,
            key=lambda t: self._preference(t, t.record.data_centre == data_centre),
            default=None,
        )


class OneQueueMember:
    """The router of one entry VM that sends what the shared queue says.

    Args:
        queue: The OneQueue.
        vm: The FakeVm.
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
        """Data centre of the entry VM."""
        return self._vm.record.data_centre

    def handle(self, message, now_s):
        """Take in one message; the commands go to the VM at once."""
        if isinstance(message, RequestArrived):
            self._wait(_Waiting(self, message))
        elif isinstance(message, RequestWithdrawn):
            self._waiting.pop(message.request_id, None)
        elif isinstance(message, AttemptEnded):
            self._ended(message)
        elif isinstance(message, HeldTargetsChanged):
            self._queue.set_in_service(target.name for target in message.targets)
        return []

    def waits(self, waiting):
        """Return whether a request still waits here, at a VM that runs."""
        return self._vm.running and waiting.arrival.request_id in self._waiting

    def send(self, waiting, attempt_id, target):
        """Send a request to a target now."""
        arrival = waiting.arrival
        del self._waiting[arrival.request_id]
        waiting.tries += 1
        self._attempts[attempt_id] = waiting
        command = SendAttempt(
            attempt_id, arrival.request_id, target, arrival.deadline_s
        )
        self._vm.execute(self._service, [command])

    def expire(self, waiting):
        """Give up a request whose deadline passed in the queue."""
        del self._waiting[waiting.arrival.request_id]
        self._give_up(waiting, ErrorKind.DEADLINE_UNREACHABLE)

    def _wait(self, waiting):
        self._waiting[waiting.arrival.request_id] = waiting
        self._queue.add(waiting)

    def _ended(self, message):
        waiting = self._attempts.pop(message.attempt_id)
        if message.result not in (AttemptResult.SHED, AttemptResult.CUT_OFF):
            return
        if waiting.tries < ATTEMPTS_MAX and may_repeat(waiting.arrival, message.result):
            self._wait(waiting)
            return
        shed = message.result is AttemptResult.SHED
        self._give_up(waiting, ErrorKind.NO_CAPACITY if shed else ErrorKind.CUT_OFF)

    def _give_up(self, waiting, kind):
        command = FailRequest(waiting.arrival.request_id, kind)
        self._vm.execute(self._service, [command])
