"""Test in virtual time what callers get while all targets of a service shed load.

Each target rejects a part of its requests at once, although it has free slots.
"""

import collections
import heapq
import itertools
import random

import pytest

from sesamespring.routing.messages import AttemptEnded, Dispatch, Outcome
from tests.routing.support import make_request, make_scheduler, make_target

TARGETS = 20
SERVICE_TIME_S = 0.12
REJECTION_S = 0.002
GOAL_S = 0.25
TIMEOUT_S = 0.8
REPLAN_S = 0.025
SHED_START_S = 5.0
END_S = 15.0
# Of so many attempts in a row, targets reject a fixed number, in random order.
ATTEMPTS_A_BLOCK = 20
# Extra attempts for each request that the scheduler may spend: nine tenths of the ratio
# that ``make_scheduler`` sets.
EXTRA_RATIO = 0.9 * 0.2
# A kind of request may be served less often than a less urgent one by this at most.
URGENCY_SLACK = 0.05


class Play:
    """Requests to targets that shed a part of their load from ``SHED_START_S`` on.

    Args:
        seed: Seed of arrivals, durations and rejections.
        requests_per_s: Average rate of arrivals.
        rejected: Number of rejected attempts of each ``ATTEMPTS_A_BLOCK``.
        priorities: Priorities of the requests, each as often as the others.

    Attributes:
        arrived: Number of requests that arrived while the targets shed load.
        answered: How many of them were answered.
        in_goal: How many of them were answered within the goal.
        unsent: How many of them were refused without having been sent.
        answered_share: Dict by priority of the share of its requests answered.
    """

    def __init__(self, seed, requests_per_s, rejected, priorities=(1,)):
        self.arrived = 0
        self.answered = 0
        self.in_goal = 0
        self.unsent = 0
        self._priorities = priorities
        self._arrived_by_priority = collections.Counter()
        self._answered_by_priority = collections.Counter()
        self._rng = random.Random(seed)
        self._requests_per_s = requests_per_s
        self._rejected = rejected
        targets = [make_target(f"t{number}", slots=3) for number in range(TARGETS)]
        self._scheduler = make_scheduler(*targets, retry_slack=0.0)
        self._events = []
        self._order = itertools.count()
        self._rejections = []

    @property
    def answered_share(self):
        return {
            priority: self._answered_by_priority[priority] / arrived
            for priority, arrived in self._arrived_by_priority.items()
        }

    def run(self):
        self._at(0.0, self._arrive)
        self._at(0.0, self._replan)
        while self._events:
            now_s, _, handle, arguments = heapq.heappop(self._events)
            if now_s > END_S + TIMEOUT_S:
                return
            handle(now_s, *arguments)

    def _at(self, time_s, handle, *arguments):
        heapq.heappush(self._events, (time_s, next(self._order), handle, arguments))

    def _is_counted(self, request):
        return request.due_s - GOAL_S >= SHED_START_S

    def _arrive(self, now_s):
        priority = self._rng.choice(self._priorities)
        request = make_request(
            now_s, goal_s=GOAL_S, timeout_s=TIMEOUT_S, priority=priority
        )
        self.arrived += self._is_counted(request)
        self._arrived_by_priority[priority] += self._is_counted(request)
        self._deliver(self._scheduler.submit(request, now_s), now_s)
        if now_s < END_S:
            self._at(now_s + self._rng.expovariate(self._requests_per_s), self._arrive)

    def _replan(self, now_s):
        self._deliver(self._scheduler.advance(now_s), now_s)
        self._at(now_s + REPLAN_S, self._replan)

    def _deliver(self, commands, now_s):
        for command in commands:
            if isinstance(command, Dispatch):
                self._start(command, now_s)
                continue
            self._scheduler.withdraw(command.request)
            unsent = not command.request.tried
            self.unsent += unsent and self._is_counted(command.request)

    def _start(self, command, now_s):
        sheds = now_s >= SHED_START_S and self._next_rejection()
        outcome = Outcome.REJECTED if sheds else Outcome.ANSWERED
        taken_s = SERVICE_TIME_S * self._rng.uniform(0.6, 1.6)
        taken_s = REJECTION_S if sheds else taken_s
        self._at(now_s + taken_s, self._end, command, outcome, taken_s)

    def _next_rejection(self):
        if not self._rejections:
            block = range(ATTEMPTS_A_BLOCK)
            self._rejections = [number < self._rejected for number in block]
            self._rng.shuffle(self._rejections)
        return self._rejections.pop()

    def _end(self, now_s, command, outcome, taken_s):
        request = command.request
        end = AttemptEnded(command.attempt, outcome, taken_s)
        commands = self._scheduler.finish_attempt(end, now_s)
        self._deliver(commands, now_s)
        if outcome is Outcome.ANSWERED:
            self._scheduler.withdraw(request)
            self.answered += self._is_counted(request)
            self._answered_by_priority[request.priority] += self._is_counted(request)
            self.in_goal += self._is_counted(request) and now_s <= request.due_s
            return
        request.attempts_left += 1
        if self._scheduler.may_retry(request, now_s):
            self._deliver(self._scheduler.submit(request, now_s), now_s)
        else:
            self._scheduler.withdraw(request)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(
    ("requests_per_s", "rejected"), [(120, 9), (200, 9), (250, 11), (150, 14)]
)
def test_callers_get_what_rejections_and_retry_budget_allow(
    seed, requests_per_s, rejected
):
    play = Play(seed, requests_per_s, rejected)
    play.run()
    sent_on = 1 - rejected / ATTEMPTS_A_BLOCK
    possible = sent_on + EXTRA_RATIO * sent_on
    assert play.unsent <= 0.01 * play.arrived
    assert play.answered >= 0.95 * possible * play.arrived
    assert play.in_goal >= 0.9 * possible * play.arrived


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("priorities", [(0, 2), (0, 1, 2), (0, 2, 2, 2)])
def test_more_urgent_requests_get_the_extra_attempts(seed, priorities):
    rejected = 11
    play = Play(seed, 250, rejected, priorities)
    play.run()
    sent_on = 1 - rejected / ATTEMPTS_A_BLOCK
    shares = [share for _, share in sorted(play.answered_share.items())]
    for urgent_share, other_share in itertools.pairwise(shares):
        assert urgent_share >= other_share - URGENCY_SLACK
    # An extra attempt of each fifth request, all of them spent on the most urgent ones.
    urgent = priorities.count(0) / len(priorities)
    possible = sent_on + min(1 - sent_on, EXTRA_RATIO * sent_on / urgent)
    assert shares[0] >= 0.9 * possible
    total = sent_on + EXTRA_RATIO * sent_on
    assert play.answered >= 0.95 * total * play.arrived
