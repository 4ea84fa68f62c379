"""Property-based test of the scheduler's invariants under random orders of events."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from sesamespring.routing.messages import AttemptEnded, Dispatch, Outcome, Refusal
from sesamespring.routing.records import Account, LoadReport
from tests.routing.support import make_request, make_scheduler, make_target

NAMES = ("a", "b", "c")
SLACK = 4.0
WINDOW_S = 10.0
DEADLINE_S = 3.0
ACCOUNTS = {"x": Account("x", None), "y": Account("y", None, 5.0, 1.0)}
OUTCOMES = st.sampled_from(list(Outcome))


class SchedulerOrders(RuleBasedStateMachine):
    """A scheduler with three targets of two slots each, one of them cold at times."""

    def __init__(self):
        super().__init__()
        self.now_s = 0.0
        self.scheduler = make_scheduler(
            *map(make_target, NAMES), retry_slack=SLACK, cold_per_s=2.0
        )
        self.running = {}
        self.open_outcomes = {}
        self.extras = []
        self.arrivals = []
        self.cold_sent = []

    def execute(self, commands):
        for command in commands:
            request = command.request
            if isinstance(command, Refusal):
                self.open_outcomes.pop(request.number, None)
                continue
            assert isinstance(command, Dispatch)
            assert request.number in self.open_outcomes
            previous = self.open_outcomes[request.number]
            if previous:
                self.extras.append(self.now_s)
                assert request.idempotent or all(o.not_run for o in previous)
            self.open_outcomes[request.number] = [*previous, None]
            self.running[command.attempt] = (command, len(previous))
            if self.scheduler.targets.states[command.entry.key].is_cold(self.now_s):
                self.cold_sent.append((command.entry.key, self.now_s))

    @rule(
        idempotent=st.booleans(),
        goal_s=st.sampled_from([0.1, 0.5, 2.0]),
        priority=st.integers(0, 2),
        account=st.sampled_from(["", *ACCOUNTS]),
    )
    def arrive(self, idempotent, goal_s, priority, account):
        request = make_request(
            self.now_s,
            goal_s=goal_s,
            timeout_s=DEADLINE_S,
            idempotent=idempotent,
            priority=priority,
            attempts_left=3,
            account=account,
        )
        self.open_outcomes[request.number] = []
        self.arrivals.append(self.now_s)
        self.execute(self.scheduler.submit(request, self.now_s))

    @rule(pick=st.integers(0, 50), outcome=OUTCOMES, slowdown=st.sampled_from([1, 4]))
    def end(self, pick, outcome, slowdown):
        if not self.running:
            return
        attempt = sorted(self.running)[pick % len(self.running)]
        command, index = self.running.pop(attempt)
        request = command.request
        report = LoadReport(0, 0, 2, float(slowdown))
        taken_s = 0.05 * slowdown
        event = AttemptEnded(attempt, outcome, taken_s, report)
        if request.number in self.open_outcomes:
            self.open_outcomes[request.number][index] = outcome
        self.execute(self.scheduler.finish_attempt(event, self.now_s))
        self.follow_up(request, outcome)

    def follow_up(self, request, outcome):
        """Retry or withdraw a request after an attempt, as the daemon does."""
        if request.number not in self.open_outcomes or request.attempts:
            return
        retryable = outcome.not_run or (
            request.idempotent and outcome is not Outcome.ANSWERED
        )
        if retryable and self.scheduler.may_retry(request, self.now_s):
            self.execute(self.scheduler.submit(request, self.now_s))
            return
        self.scheduler.withdraw(request)
        del self.open_outcomes[request.number]

    @rule(seconds=st.sampled_from([0.01, 0.1, 0.6]))
    def wait(self, seconds):
        self.now_s += seconds
        self.execute(self.scheduler.advance(self.now_s))

    @rule(present=st.sets(st.sampled_from(NAMES)), cold=st.sampled_from([0.0, 1.0]))
    def change_targets(self, present, cold):
        entries = [
            make_target(name, cold_left_s=cold if name == "a" else 0)
            for name in present
        ]
        self.scheduler.targets.set_targets(entries, frozenset(), self.now_s)
        self.execute(self.scheduler.advance(self.now_s))

    @rule(accounts=st.sampled_from([None, {}, ACCOUNTS]))
    def change_accounts(self, accounts):
        self.scheduler.shares.set_accounts(accounts)

    @invariant()
    def targets_are_not_overcommitted(self):
        counts = {}
        for command, _ in self.running.values():
            key = command.entry.key
            counts[key] = counts.get(key, 0) + 1
        assert all(count <= 2 for count in counts.values()), counts

    @invariant()
    def extra_attempts_stay_within_the_budget(self):
        recent = [s for s in self.extras if s > self.now_s - WINDOW_S]
        arrived = [s for s in self.arrivals if s > self.now_s - 2 * WINDOW_S]
        assert len(recent) <= 0.2 * len(arrived) + SLACK

    @invariant()
    def request_rate_of_cold_targets_is_limited(self):
        # Half of the sum of 2 per second times 1.5 and the slack of 5.
        for key in {key for key, _ in self.cold_sent}:
            recent = [s for k, s in self.cold_sent if k == key and s > self.now_s - 1.0]
            assert len(recent) <= 4


SchedulerOrders.TestCase.settings = settings(stateful_step_count=40)
TestSchedulerOrders = SchedulerOrders.TestCase
