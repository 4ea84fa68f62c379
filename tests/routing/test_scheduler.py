"""Test dispatch, refusal, hedging and limits of the scheduler of one service."""

import pytest

from sesamespring.routing.messages import (
    AttemptEnded,
    Dispatch,
    Outcome,
    Refusal,
    RefusalReason,
)
from sesamespring.routing.records import LoadReport
from tests.routing.support import (
    attempt_ended,
    learn_service_time,
    make_request,
    make_scheduler,
    make_target,
)


def _load_report(slowdown):
    return LoadReport(0, 0, 1, slowdown)


def dispatched(commands):
    return [command for command in commands if isinstance(command, Dispatch)]


def has_planned_for_long(scheduler):
    """Let a scheduler have its whole share of what cold targets bear from time 0 on."""
    scheduler.targets.open_slots(-5.0, 1.0)


def test_dispatches_no_more_requests_than_slots():
    scheduler = make_scheduler(make_target("a"), make_target("b"))
    commands = []
    for _ in range(7):
        commands += scheduler.submit(make_request(timeout_s=9.0), 0.0)
    assert len(dispatched(commands)) == 4
    assert scheduler.waiting == 3


def test_freed_slot_goes_to_the_next_waiting_request():
    scheduler = make_scheduler(make_target("a", slots=1))
    (first,) = scheduler.submit(make_request(timeout_s=9.0), 0.0)
    waiting = make_request(timeout_s=9.0)
    assert scheduler.submit(waiting, 0.0) == []
    (second,) = scheduler.finish_attempt(attempt_ended(first), 0.05)
    assert second.request is waiting


def test_requests_are_served_by_priority_and_then_by_due_time():
    scheduler = make_scheduler(make_target("a", slots=1))
    (running,) = scheduler.submit(make_request(goal_s=2.0, timeout_s=9.0), 0.0)
    later = make_request(goal_s=1.5, timeout_s=9.0)
    earlier = make_request(goal_s=1.0, timeout_s=9.0)
    urgent = make_request(goal_s=2.0, timeout_s=9.0, priority=0)
    for waiting in (later, earlier, urgent):
        scheduler.submit(waiting, 0.0)
    order = []
    for turn in range(3):
        (running,) = scheduler.finish_attempt(attempt_ended(running), 0.05 * (turn + 1))
        order.append(running.request)
    assert order == [urgent, earlier, later]


def test_request_that_misses_its_goal_goes_after_one_that_can_meet_it():
    scheduler = make_scheduler(make_target("a", slots=1))
    now_s = learn_service_time(scheduler)
    (running,) = scheduler.submit(make_request(now_s, timeout_s=9.0), now_s)
    missed = make_request(now_s, goal_s=0.06, timeout_s=9.0, route="r")
    feasible = make_request(now_s, goal_s=0.5, timeout_s=9.0, route="r")
    scheduler.submit(missed, now_s)
    scheduler.submit(feasible, now_s)
    (following,) = scheduler.finish_attempt(attempt_ended(running), now_s + 0.05)
    assert following.request is feasible


def test_request_waits_for_a_fast_target_instead_of_taking_a_slow_one():
    scheduler = make_scheduler(
        make_target("fast", slots=1), make_target("slow", slots=1)
    )
    now_s = learn_service_time(scheduler)
    slow, fast = (
        scheduler.targets.states["slow", 1],
        scheduler.targets.states["fast", 1],
    )
    slow.record_load(_load_report(8.0), now_s)
    fast.record_load(_load_report(1.0), now_s)
    (first,) = scheduler.submit(make_request(now_s, goal_s=0.3), now_s)
    assert first.entry.id == "fast"
    slow.record_load(_load_report(8.0), now_s + 0.03)
    assert scheduler.submit(make_request(now_s + 0.03, goal_s=0.3), now_s + 0.03) == []
    (second,) = scheduler.finish_attempt(
        attempt_ended(first, slowdown=1.0), now_s + 0.05
    )
    assert second.entry.id == "fast"


def test_request_that_would_miss_its_deadline_is_refused_immediately():
    scheduler = make_scheduler(make_target("a", slots=1))
    now_s = learn_service_time(scheduler, taken_s=0.5)
    scheduler.submit(make_request(now_s, goal_s=1.0, timeout_s=3.0), now_s)
    commands = scheduler.submit(make_request(now_s, goal_s=0.2, timeout_s=0.3), now_s)
    (refusal,) = commands
    assert isinstance(refusal, Refusal)
    assert refusal.reason is RefusalReason.TOO_LATE
    assert refusal.retry_after_s > 0


def test_nothing_is_refused_before_a_service_time_is_measured():
    scheduler = make_scheduler(make_target("a", slots=1))
    commands = []
    for _ in range(40):
        commands += scheduler.submit(make_request(goal_s=0.5, timeout_s=1.0), 0.0)
    assert not [c for c in commands if isinstance(c, Refusal)]


def test_nothing_is_refused_after_a_single_measurement():
    scheduler = make_scheduler(make_target("a", slots=1))
    (first,) = scheduler.submit(make_request(goal_s=0.5, timeout_s=1.0), 0.0)
    commands = []
    for _ in range(20):
        commands += scheduler.submit(make_request(goal_s=0.5, timeout_s=1.0), 0.0)
    commands += scheduler.finish_attempt(attempt_ended(first, taken_s=0.06), 0.06)
    commands += scheduler.advance(0.07)
    assert not [c for c in commands if isinstance(c, Refusal)]


def test_request_without_targets_is_refused_immediately():
    scheduler = make_scheduler()
    (refusal,) = scheduler.submit(make_request(), 0.0)
    assert refusal.reason is RefusalReason.NO_TARGETS


def test_leaving_targets_and_closed_data_centres_get_no_requests():
    scheduler = make_scheduler(
        make_target("a", leaving=True), make_target("b", data_centre="dc-b")
    )
    scheduler.targets.set_targets(
        [make_target("a", leaving=True), make_target("b", data_centre="dc-b")],
        frozenset({"dc-b"}),
        0.0,
    )
    (refusal,) = scheduler.submit(make_request(), 0.0)
    assert refusal.reason is RefusalReason.NO_TARGETS


def test_new_lifetime_of_a_target_starts_with_free_slots():
    scheduler = make_scheduler(make_target("a", slots=1))
    (first,) = scheduler.submit(make_request(timeout_s=9.0), 0.0)
    scheduler.targets.set_targets(
        [make_target("a", slots=1, born_ms=2)], frozenset(), 0.1
    )
    (second,) = scheduler.submit(make_request(timeout_s=9.0), 0.1)
    assert second.entry.born_ms == 2
    assert scheduler.finish_attempt(attempt_ended(first, Outcome.BROKEN), 0.2) == []


def test_overdue_idempotent_request_is_hedged_once():
    scheduler = make_scheduler(make_target("a", slots=1), make_target("b", slots=1))
    now_s = learn_service_time(scheduler)
    (first,) = scheduler.submit(make_request(now_s, timeout_s=3.0), now_s)
    assert scheduler.advance(now_s + 0.1) == []
    (hedge,) = scheduler.advance(now_s + 0.5)
    assert hedge.hedge
    assert hedge.entry.id != first.entry.id
    assert scheduler.advance(now_s + 1.0) == []


def test_overdue_request_is_hedged_early_while_its_goal_can_be_met():
    scheduler = make_scheduler(make_target("a"), make_target("b"))
    now_s = learn_service_time(scheduler)
    (first,) = scheduler.submit(make_request(now_s, goal_s=0.2, timeout_s=3.0), now_s)
    # Overdue, but there is still time to wait for the first attempt.
    assert scheduler.advance(now_s + 0.08) == []
    (early_hedge,) = scheduler.advance(now_s + 0.13)
    assert early_hedge.hedge
    assert early_hedge.entry.id != first.entry.id


def test_no_early_hedge_if_the_goal_is_missed_or_requests_wait():
    scheduler = make_scheduler(make_target("a", slots=1), make_target("b", slots=1))
    now_s = learn_service_time(scheduler)
    scheduler.submit(make_request(now_s, goal_s=0.1, timeout_s=3.0), now_s)
    assert scheduler.advance(now_s + 0.09) == []
    scheduler.submit(make_request(now_s + 0.1, goal_s=1.0, timeout_s=3.0), now_s + 0.1)
    scheduler.submit(make_request(now_s + 0.1, goal_s=1.0, timeout_s=3.0), now_s + 0.1)
    assert scheduler.advance(now_s + 0.11) == []


def test_overdue_request_is_hedged_while_a_second_attempt_can_meet_its_deadline():
    scheduler = make_scheduler(make_target("a"), make_target("b"))
    now_s = learn_service_time(scheduler, taken_s=0.3)
    request = make_request(now_s, goal_s=0.2, timeout_s=0.9)
    (first,) = scheduler.submit(request, now_s)
    assert scheduler.advance(now_s + 0.4) == []
    (hedge,) = scheduler.advance(now_s + 0.5)
    assert hedge.hedge
    assert hedge.entry.id != first.entry.id


def test_overdue_request_is_not_hedged_for_its_deadline_while_there_is_time():
    scheduler = make_scheduler(make_target("a"), make_target("b"))
    now_s = learn_service_time(scheduler, taken_s=0.3)
    scheduler.submit(make_request(now_s, goal_s=0.2, timeout_s=5.0), now_s)
    assert scheduler.advance(now_s + 0.5) == []


def test_overdue_request_that_is_not_idempotent_is_not_hedged():
    scheduler = make_scheduler(make_target("a", slots=1), make_target("b", slots=1))
    now_s = learn_service_time(scheduler)
    scheduler.submit(make_request(now_s, timeout_s=3.0, idempotent=False), now_s)
    assert scheduler.advance(now_s + 0.8) == []


def test_hedges_stay_within_the_retry_budget():
    scheduler = make_scheduler(
        *[make_target(f"t{n}", slots=1) for n in range(8)], retry_slack=2.0
    )
    now_s = learn_service_time(scheduler, answers=8)
    for _ in range(4):
        scheduler.submit(make_request(now_s, timeout_s=9.0), now_s)
    hedges = dispatched(scheduler.advance(now_s + 2.0))
    # One that the requests have saved, and half of the slack of 2.
    assert len(hedges) == 2
    later_s = now_s + 2.0
    for _ in range(6):
        (command,) = scheduler.submit(make_request(later_s, timeout_s=9.0), later_s)
        scheduler.finish_attempt(attempt_ended(command), later_s)
    # The requests since then have earned another one.
    hedges += dispatched(scheduler.advance(later_s))
    assert len(hedges) == 3 <= 0.2 * 18 + 2


def test_request_rate_of_a_cold_target_is_limited():
    scheduler = make_scheduler(
        make_target("a", slots=100, cold_left_s=60.0), cold_per_s=2.0
    )
    sent = []
    for step in range(400):
        now_s = step * 0.01
        sent += [
            now_s
            for _ in dispatched(
                scheduler.submit(make_request(now_s, timeout_s=60.0), now_s)
            )
        ]
    # Half of the sum of 2 per second times 1.5 and the slack of 5.
    most = max(sum(1 for s in sent if t <= s < t + 1.0) for t in sent)
    assert most == 4


def test_cold_target_with_free_slots_stays_within_its_limit():
    scheduler = make_scheduler(make_target("a", cold_left_s=60.0), cold_per_s=0.0)
    has_planned_for_long(scheduler)
    commands = []
    for _ in range(3):
        commands += scheduler.submit(make_request(timeout_s=60.0), 0.0)
    for command in dispatched(commands):
        commands += scheduler.finish_attempt(attempt_ended(command, taken_s=0.01), 0.01)
    assert len(dispatched(commands)) == 2


def test_failing_target_gets_a_backoff():
    scheduler = make_scheduler(make_target("a"), make_target("b"))
    now_s = 0.0
    failures = 0
    for step in range(40):
        now_s = step * 0.1
        (command,) = scheduler.submit(make_request(now_s, attempts_left=1), now_s)
        if command.entry.id == "a":
            failures += 1
            scheduler.finish_attempt(
                attempt_ended(command, Outcome.FAILED), now_s + 0.05
            )
        else:
            scheduler.finish_attempt(attempt_ended(command), now_s + 0.05)
    assert failures < 12


def test_cost_of_a_submission_does_not_grow_with_the_queue(monkeypatch):
    scheduler = make_scheduler(*[make_target(f"t{n}", slots=2) for n in range(20)])
    now_s = learn_service_time(scheduler)
    for number in range(1040):
        scheduler.submit(
            make_request(now_s, goal_s=60.0, timeout_s=90.0), now_s + number / 1e3
        )
    now_s += 1.05
    lookups = []
    service_time_s = scheduler._service_times.service_time_s
    monkeypatch.setattr(
        scheduler._service_times,
        "service_time_s",
        lambda *args: lookups.append(1) or service_time_s(*args),
    )
    for number in range(100):
        at_s = now_s + number / 1e4
        scheduler.submit(make_request(now_s, goal_s=60.0, timeout_s=90.0), at_s)
    assert scheduler.waiting == 1100
    assert len(lookups) < 3000


def test_long_queue_is_planned_as_a_whole_within_a_tick():
    scheduler = make_scheduler(make_target("a", slots=1))
    now_s = learn_service_time(scheduler)
    with_long_deadline = 40
    for _ in range(with_long_deadline):
        scheduler.submit(make_request(now_s, goal_s=60.0, timeout_s=90.0), now_s)
    for _ in range(200):
        scheduler.submit(make_request(now_s, timeout_s=3.0, priority=2), now_s)
    assert scheduler.waiting > 200
    scheduler.advance(now_s + 0.025)
    # One slot can serve no more of the others before their deadline.
    assert scheduler.waiting <= with_long_deadline + 3.0 / 0.05


def test_search_for_overdue_attempts_computes_the_slots_once(monkeypatch):
    scheduler = make_scheduler(
        *[make_target(f"t{n}", slots=2) for n in range(20)], retry_slack=0.0
    )
    now_s = learn_service_time(scheduler)
    for _ in range(15):
        scheduler.submit(make_request(now_s, goal_s=60.0, timeout_s=90.0), now_s)
    calls = []
    slots = scheduler._open_slots
    monkeypatch.setattr(
        scheduler, "_open_slots", lambda at_s: calls.append(at_s) or slots(at_s)
    )
    scheduler.advance(now_s + 1.0)
    assert len(calls) <= 1
    (command,) = scheduler.submit(make_request(now_s, timeout_s=90.0), now_s + 1.01)
    scheduler.finish_attempt(attempt_ended(command), now_s + 1.06)
    assert len(calls) <= 3


def test_vms_that_decide_alone_keep_to_the_limit_of_a_cold_target_together():
    vms = 12
    sent = 0
    for number in range(vms):
        scheduler = make_scheduler(make_target("a", slots=99, cold_left_s=9.0))
        scheduler.targets.set_vms(vms, shared=number > 0, vms_known=vms)
        has_planned_for_long(scheduler)
        for _ in range(30):
            commands = scheduler.submit(make_request(timeout_s=9.0), 0.0)
            sent += len(dispatched(commands))
    assert 0 < sent <= 6.7 * 1.5 + 5


def fail_to_send(scheduler, request, dispatch, now_s):
    ended = AttemptEnded(dispatch.attempt, Outcome.NOT_SENT, now_s)
    return scheduler.finish_attempt(ended, now_s)


def test_target_that_responds_to_other_vms_is_not_rested_for_one_vms_link():
    scheduler = make_scheduler(make_target("t"))
    failing, other = make_request(), make_request()
    (first,) = scheduler.submit(failing, 0.0)
    (second,) = scheduler.submit(other, 0.0)
    scheduler.finish_attempt(AttemptEnded(second.attempt, Outcome.ANSWERED, 0.1), 0.1)
    fail_to_send(scheduler, failing, first, 0.4)
    assert scheduler.submit(make_request(0.4), 0.4)


def test_target_that_nobody_hears_is_rested_when_it_cannot_be_reached():
    scheduler = make_scheduler(make_target("t"))
    request = make_request()
    (dispatch,) = scheduler.submit(request, 0.0)
    fail_to_send(scheduler, request, dispatch, 0.4)
    assert scheduler.submit(make_request(0.4), 0.4) == []


def test_end_of_an_attempt_by_a_lost_link_says_nothing_about_the_target():
    scheduler = make_scheduler(make_target("t"))
    for _ in range(4):
        (dispatch,) = scheduler.submit(make_request(), 0.0)
        ended = AttemptEnded(dispatch.attempt, Outcome.BROKEN, 0.1, blameless=True)
        scheduler.finish_attempt(ended, 0.1)
    assert scheduler.submit(make_request(0.1), 0.1)


def test_request_that_has_tried_all_targets_in_service_is_refused_at_once():
    scheduler = make_scheduler(make_target("t"), make_target("out", leaving=True))
    request = make_request()
    request.tried.add(("t", 1))
    (refusal,) = scheduler.submit(request, 0.0)
    assert refusal.reason is RefusalReason.NO_UNTRIED_TARGET
    assert scheduler.waiting == 0


def test_request_waits_for_an_untried_target_that_is_rested():
    scheduler = make_scheduler(make_target("t"), make_target("rested"))
    scheduler.targets.back_off_unless_heard(("rested", 1), 0.5, 0.0, 0.0)
    request = make_request()
    request.tried.add(("t", 1))
    assert scheduler.submit(request, 0.0) == []
    (dispatch,) = dispatched(scheduler.advance(0.6))
    assert dispatch.entry.id == "rested"


@pytest.mark.parametrize("deciders", [2, 3, 5, 10])
def test_vms_that_decide_one_after_the_other_keep_to_a_cold_targets_limit(deciders):
    cold_per_s = 6.7
    sent = []
    for number in range(deciders):
        cold = make_target("a", slots=100, cold_left_s=60.0)
        scheduler = make_scheduler(cold, cold_per_s=cold_per_s)
        # The first one has decided for long; the others take over within a second.
        first_s = number / deciders if number else -5.0
        for step in range(int(100 * first_s), 100 * (number + 1) // deciders):
            now_s = step / 100
            request = make_request(now_s, timeout_s=60.0)
            sent += [now_s] * len(dispatched(scheduler.submit(request, now_s)))
    # The bounds of ``make_scheduler``: 1.5 times the rate, and a slack of 5.
    assert sum(0.0 <= at_s < 1.0 for at_s in sent) <= 1.5 * cold_per_s + 5
