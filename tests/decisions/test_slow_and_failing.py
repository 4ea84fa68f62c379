"""Test that slow, failing, shedding and cold targets get few requests."""

import collections

import pytest

from sesamespring.decisions.messages import (
    AttemptEnded,
    AttemptResult,
    FailRequest,
    HeldTarget,
    HeldTargetsChanged,
    RequestArrived,
    SendAttempt,
    Tick,
)
from sesamespring.decisions.router import ServiceRouter

SERVICE_S = 0.01
STEP_S = 0.001
TIMEOUT_S = 1.0


class RouterHarness:
    """One router, and targets whose service time and result are set by name."""

    def __init__(self, names, slots=2, cold_slots=1, **held):
        self.router = ServiceRouter(1000, longest_work_s=TIMEOUT_S)
        self.now_s = 0.0
        self.service_s = dict.fromkeys(names, SERVICE_S)
        self.results = dict.fromkeys(names, AttemptResult.ANSWERED)
        self.in_progress = collections.Counter()
        self.in_progress_max = collections.Counter()
        self.sent = collections.Counter()
        self.failed = []
        self.requests = 0
        self._ends = []
        targets = tuple(
            HeldTarget(name, slots, cold_slots, True, **held) for name in names
        )
        self.post(HeldTargetsChanged(targets))

    def post(self, message):
        for command in self.router.handle(message, self.now_s):
            if isinstance(command, SendAttempt):
                self._start(command)
            elif isinstance(command, FailRequest):
                self.failed.append(command)

    def _start(self, command):
        name = command.target
        self.sent[name] += 1
        self.in_progress[name] += 1
        self.in_progress_max[name] = max(
            self.in_progress_max[name], self.in_progress[name]
        )
        end_s = self.now_s + self.service_s[name]
        self._ends.append((end_s, command.attempt_id, name))

    def run(self, seconds, requests_per_step):
        """Run the router in virtual time with evenly spaced requests."""
        due = 0.0
        for _ in range(round(seconds / STEP_S)):
            self.now_s += STEP_S
            self._end_due()
            due += requests_per_step
            while due >= 1.0:
                due -= 1.0
                self.requests += 1
                deadline_s = self.now_s + TIMEOUT_S
                self.post(RequestArrived(self.requests, deadline_s, True, True))
            self.post(Tick())

    def _end_due(self):
        for entry in [each for each in self._ends if each[0] <= self.now_s]:
            self._ends.remove(entry)
            _, attempt_id, name = entry
            self.in_progress[name] -= 1
            self.post(AttemptEnded(attempt_id, self.results[name]))


@pytest.fixture
def harness():
    harness = RouterHarness([f"t{number}" for number in range(6)])
    harness.run(0.2, 0.5)
    harness.sent.clear()
    return harness


def test_a_target_that_slows_down_is_avoided_within_a_few_service_times(harness):
    harness.service_s["t0"] = 0.5
    harness.run(3 * SERVICE_S, 0.5)
    harness.sent.clear()
    harness.run(0.4, 0.5)
    assert harness.sent["t0"] <= 1


def test_a_target_that_was_slow_is_tried_again(harness):
    harness.service_s["t0"] = 0.3
    harness.run(0.4, 0.5)
    harness.service_s["t0"] = SERVICE_S
    harness.sent.clear()
    harness.run(4.0, 0.5)
    assert harness.sent["t0"] > 100


def test_fast_failures_do_not_attract_requests(harness):
    harness.results["t0"] = AttemptResult.FAILED
    harness.service_s["t0"] = 0.0001
    harness.run(2.0, 0.5)
    assert harness.sent["t0"] < 0.02 * sum(harness.sent.values())


def test_shedding_by_half_the_targets_causes_no_retry_storm(harness):
    for name in ("t0", "t1", "t2"):
        harness.results[name] = AttemptResult.SHED
        harness.service_s[name] = 0.0001
    before = harness.requests
    harness.run(2.0, 0.4)
    requests = harness.requests - before
    assert sum(harness.sent.values()) <= 1.05 * requests + 20
    assert len(harness.failed) <= 0.01 * requests


def test_a_cold_target_gets_one_request_at_a_time_until_its_responses_are_quick():
    harness = RouterHarness(["t0", "t1"], slots=3, cold=True)
    harness.service_s = dict.fromkeys(("t0", "t1"), 4 * SERVICE_S)
    harness.run(0.5, 0.5)
    assert set(harness.in_progress_max.values()) == {1}
    harness.service_s = dict.fromkeys(("t0", "t1"), SERVICE_S)
    harness.run(2.0, 0.5)
    assert set(harness.in_progress_max.values()) == {3}


def test_a_cold_target_gets_no_requests_without_an_exclusive_hold():
    harness = RouterHarness(["t0"], cold=True, usable_when_cold=False)
    harness.run(0.1, 0.5)
    assert not harness.sent


def test_overload_rejects_immediately_and_keeps_goodput():
    """At three times the capacity, goodput stays high and rejections are immediate."""
    harness = RouterHarness(["t0", "t1"])
    harness.run(2.0, 1.2)
    capacity = 2.0 / SERVICE_S * 4
    assert sum(harness.sent.values()) >= 0.9 * capacity
    assert all(command.retry_after_s >= 1 for command in harness.failed)
    assert harness.router.waiting * SERVICE_S / 4 <= TIMEOUT_S
