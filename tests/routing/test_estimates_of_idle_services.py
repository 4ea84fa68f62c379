"""Test that callers' reading teaches nothing, and no estimate keeps refusing."""

import attrs

from sesamespring.routing.messages import Dispatch, Outcome, Refusal
from tests.routing.support import (
    attempt_ended,
    learn_service_time,
    make_request,
    make_scheduler,
    make_target,
)

READING_S = 4.0


def end(dispatch, outcome, responding=False, taken_s=0.05):
    ended = attempt_ended(dispatch, taken_s=taken_s)
    return attrs.evolve(ended, outcome=outcome, responding=responding)


def learned(scheduler, now_s):
    """Return the expected end of a request of the known route, in seconds from now."""
    request = make_request(now_s, timeout_s=9.0, route="r")
    (dispatch,) = scheduler.submit(request, now_s)
    scheduler.finish_attempt(end(dispatch, Outcome.CANCELLED), now_s)
    return dispatch.expected_s


def test_time_of_a_caller_that_reads_slowly_is_not_learned():
    scheduler = make_scheduler(make_target("a", slots=2))
    now_s = learn_service_time(scheduler)
    before_s = learned(scheduler, now_s)
    (dispatch,) = scheduler.submit(make_request(now_s, timeout_s=9.0, route="r"), now_s)
    scheduler.finish_attempt(end(dispatch, Outcome.ANSWERED, True), now_s + 0.05)
    now_s += READING_S
    # In progress and long overdue, it says nothing about the target's speed.
    assert learned(scheduler, now_s) <= 1.5 * before_s
    assert scheduler.in_progress == 1
    scheduler.finish_attempt(end(dispatch, Outcome.ANSWERED, taken_s=READING_S), now_s)
    assert scheduler.in_progress == 0
    assert learned(scheduler, now_s) <= 1.5 * before_s


def test_response_that_has_begun_keeps_its_slot_and_is_not_hedged():
    scheduler = make_scheduler(make_target("a", slots=1), make_target("b", slots=1))
    now_s = learn_service_time(scheduler)
    (dispatch,) = scheduler.submit(make_request(now_s, timeout_s=9.0, route="r"), now_s)
    started = end(dispatch, Outcome.ANSWERED, True)
    for _ in range(2):
        assert scheduler.finish_attempt(started, now_s + 0.05) == []
    assert scheduler.advance(now_s + READING_S) == []
    state = scheduler.targets.states[dispatch.entry.key]
    assert state.free_slots(now_s + READING_S, False) == 0
    scheduler.finish_attempt(end(dispatch, Outcome.BROKEN), now_s + READING_S)
    assert state.consecutive_failures == 1


def test_caller_that_does_not_read_costs_the_target_no_failure():
    scheduler = make_scheduler(make_target("a", slots=1))
    now_s = learn_service_time(scheduler)
    for _ in range(6):
        request = make_request(now_s, timeout_s=9.0, route="r")
        (dispatch,) = scheduler.submit(request, now_s)
        scheduler.finish_attempt(end(dispatch, Outcome.ANSWERED, True), now_s + 0.05)
        now_s += READING_S
        scheduler.finish_attempt(end(dispatch, Outcome.CANCELLED), now_s)
    state = scheduler.targets.states["a", 1]
    assert state.backoff_until_s < now_s
    assert state.consecutive_failures == 0


def make_overestimating():
    """Return a scheduler that overestimates requests of 0.05 s, and the time."""
    scheduler = make_scheduler(make_target("a", slots=2), make_target("b", slots=2))
    now_s = learn_service_time(scheduler)
    for _ in range(30):
        request = make_request(now_s, timeout_s=90.0, goal_s=0.5, route="r")
        (dispatch,) = scheduler.submit(request, now_s)
        now_s += 9.0
        taken_s = end(dispatch, Outcome.ANSWERED, taken_s=9.0)
        scheduler.finish_attempt(taken_s, now_s)
    return scheduler, now_s + 2.0


def test_idle_service_tries_one_request_at_a_time_whatever_its_estimate():
    scheduler, now_s = make_overestimating()
    commands = []
    for _ in range(10):
        request = make_request(now_s, timeout_s=2.0, goal_s=0.5, route="r")
        commands += scheduler.submit(request, now_s)
    kinds = [type(command) for command in commands]
    assert kinds == [Dispatch] + [Refusal] * 9


def test_estimate_that_was_wrong_is_corrected_by_trials():
    scheduler, now_s = make_overestimating()
    refused = 0
    for _ in range(60):
        request = make_request(now_s, timeout_s=2.0, goal_s=0.5, route="r")
        commands = scheduler.submit(request, now_s)
        now_s += 0.05
        for command in commands:
            if isinstance(command, Dispatch):
                scheduler.finish_attempt(end(command, Outcome.ANSWERED), now_s)
            else:
                refused += 1
        now_s += 0.05
    assert refused == 0
    pair = []
    for _ in range(2):
        request = make_request(now_s, timeout_s=2.0, goal_s=0.5, route="r")
        pair += scheduler.submit(request, now_s)
    assert [type(command) for command in pair] == [Dispatch, Dispatch]


def test_request_with_less_time_than_its_goal_is_tried_once_a_second():
    scheduler, now_s = make_overestimating()
    sent = 0
    for _ in range(100):
        request = make_request(now_s, timeout_s=0.3, goal_s=0.5, route="r")
        for command in scheduler.submit(request, now_s):
            if isinstance(command, Dispatch):
                sent += 1
                timed_out = end(command, Outcome.TIMED_OUT, taken_s=0.3)
                scheduler.finish_attempt(timed_out, now_s)
        now_s += 0.1
    assert sent in (10, 11)
