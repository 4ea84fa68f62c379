"""Test in virtual time that service comes back once its targets are well again."""

import heapq
import itertools
import random

import pytest

from sesamespring.routing.messages import AttemptEnded, Dispatch, Outcome
from tests.routing.support import make_request, make_scheduler, make_target

FAULT_END_S = 10.0
END_S = 18.0
REQUESTS_PER_S = 52
SERVICE_TIME_S = 0.06
TIMEOUT_S = 0.8
REPLAN_S = 0.025
RECOVERY_S = 4.0


class Play:
    """Requests to targets that are silent until ``FAULT_END_S``.

    Attributes:
        served: Times at which requests were answered.
        arrived: Times at which requests arrived.
    """

    def __init__(self, seed):
        self.served = []
        self.arrived = []
        self._rng = random.Random(seed)
        self._scheduler = make_scheduler(*(make_target(f"t{n}") for n in range(4)))
        self._events = []
        self._order = itertools.count()

    def run(self):
        self._at(0.0, self._arrive)
        self._at(0.0, self._replan)
        while self._events:
            now_s, _, handle, arguments = heapq.heappop(self._events)
            if now_s > END_S:
                return
            handle(now_s, *arguments)

    def _at(self, time_s, handle, *arguments):
        heapq.heappush(self._events, (time_s, next(self._order), handle, arguments))

    def _arrive(self, now_s):
        self.arrived.append(now_s)
        request = make_request(now_s, timeout_s=TIMEOUT_S)
        self._at(request.deadline_s, self._withdraw, request)
        self._deliver(self._scheduler.submit(request, now_s), now_s)
        self._at(now_s + self._rng.expovariate(REQUESTS_PER_S), self._arrive)

    def _replan(self, now_s):
        self._deliver(self._scheduler.advance(now_s), now_s)
        self._at(now_s + REPLAN_S, self._replan)

    def _withdraw(self, now_s, request):
        self._scheduler.withdraw(request)

    def _deliver(self, commands, now_s):
        for command in commands:
            if isinstance(command, Dispatch):
                self._start(command, now_s)

    def _start(self, command, now_s):
        left_s = command.request.deadline_s - now_s
        taken_s = SERVICE_TIME_S * self._rng.uniform(0.8, 1.2)
        if now_s < FAULT_END_S or taken_s > left_s:
            self._at(now_s + left_s, self._end, command, Outcome.TIMED_OUT, left_s)
        else:
            self._at(now_s + taken_s, self._end, command, Outcome.ANSWERED, taken_s)

    def _end(self, now_s, command, outcome, taken_s):
        end = AttemptEnded(command.attempt, outcome, taken_s)
        if outcome is Outcome.ANSWERED:
            self.served.append(now_s)
            self._scheduler.withdraw(command.request)
        self._deliver(self._scheduler.finish_attempt(end, now_s), now_s)


@pytest.mark.parametrize("seed", range(6))
def test_late_requests_do_not_keep_targets_out_of_use_after_they_were_silent(seed):
    play = Play(seed)
    play.run()
    from_s = FAULT_END_S + RECOVERY_S
    served = sum(at_s >= from_s for at_s in play.served)
    arrived = sum(at_s >= from_s for at_s in play.arrived)
    assert served >= 0.9 * arrived
