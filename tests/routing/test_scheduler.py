"""Test which requests a scheduler sends where, refuses, and sends again."""

from sesamespring.routing.messages import Dispatch, Outcome, Refusal, RefusalReason
from sesamespring.routing.records import LoadReport
from tests.routing.support import (
    attempt_ended,
    learn_service_time,
    make_request,
    make_scheduler,
    make_target,
)


def _report(slowdown):
    return LoadReport(0, 0, 1, slowdown)


def dispatched(commands):
    return [command for command in commands if isinstance(command, Dispatch)]


def test_never_more_requests_than_slots():
    scheduler = make_scheduler(make_target("a"), make_target("b"))
    commands = []
    for _ in range(7):
        commands += scheduler.submit(make_request(timeout_s=9.0), 0.0)
    assert len(dispatched(commands)) == 4
    assert scheduler.waiting == 3


def test_a_slot_that_frees_goes_to_the_next():
    scheduler = make_scheduler(make_target("a", slots=1))
    (first,) = scheduler.submit(make_request(timeout_s=9.0), 0.0)
    waiting = make_request(timeout_s=9.0)
    assert scheduler.submit(waiting, 0.0) == []
    (second,) = scheduler.finish_attempt(attempt_ended(first), 0.05)
    assert second.request is waiting


def test_urgent_requests_go_first_and_then_the_earliest_goal():
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


def test_one_that_missed_its_goal_goes_behind_one_that_can_make_it():
    scheduler = make_scheduler(make_target("a", slots=1))
    now_s = learn_service_time(scheduler)
    (running,) = scheduler.submit(make_request(now_s, timeout_s=9.0), now_s)
    missed = make_request(now_s, goal_s=0.06, timeout_s=9.0, route="r")
    hopeful = make_request(now_s, goal_s=0.5, timeout_s=9.0, route="r")
    scheduler.submit(missed, now_s)
    scheduler.submit(hopeful, now_s)
    (following,) = scheduler.finish_attempt(attempt_ended(running), now_s + 0.05)
    assert following.request is hopeful


def test_waits_for_a_fast_target_rather_than_taking_a_slow_one():
    scheduler = make_scheduler(
        make_target("fast", slots=1), make_target("slow", slots=1)
    )
    now_s = learn_service_time(scheduler)
    slow, fast = scheduler.target_states["slow", 1], scheduler.target_states["fast", 1]
    slow.record_load(_report(8.0), now_s)
    fast.record_load(_report(1.0), now_s)
    (first,) = scheduler.submit(make_request(now_s, goal_s=0.3), now_s)
    assert first.entry.id == "fast"
    slow.record_load(_report(8.0), now_s + 0.03)
    assert scheduler.submit(make_request(now_s + 0.03, goal_s=0.3), now_s + 0.03) == []
    (second,) = scheduler.finish_attempt(
        attempt_ended(first, slowdown=1.0), now_s + 0.05
    )
    assert second.entry.id == "fast"


def test_refused_at_once_where_no_slot_comes_in_time():
    scheduler = make_scheduler(make_target("a", slots=1))
    now_s = learn_service_time(scheduler, taken_s=0.5)
    scheduler.submit(make_request(now_s, goal_s=1.0, timeout_s=3.0), now_s)
    commands = scheduler.submit(make_request(now_s, goal_s=0.2, timeout_s=0.3), now_s)
    (refusal,) = commands
    assert isinstance(refusal, Refusal)
    assert refusal.reason is RefusalReason.TOO_LATE
    assert refusal.retry_after_s > 0


def test_nothing_is_refused_on_a_guess():
    scheduler = make_scheduler(make_target("a", slots=1))
    commands = []
    for _ in range(40):
        commands += scheduler.submit(make_request(goal_s=0.5, timeout_s=1.0), 0.0)
    assert not [c for c in commands if isinstance(c, Refusal)]


def test_nothing_is_refused_on_one_slow_first_answer():
    scheduler = make_scheduler(make_target("a", slots=1))
    (first,) = scheduler.submit(make_request(goal_s=0.5, timeout_s=1.0), 0.0)
    commands = []
    for _ in range(20):
        commands += scheduler.submit(make_request(goal_s=0.5, timeout_s=1.0), 0.0)
    commands += scheduler.finish_attempt(attempt_ended(first, taken_s=0.06), 0.06)
    commands += scheduler.advance(0.07)
    assert not [c for c in commands if isinstance(c, Refusal)]


def test_no_targets_refuses_at_once():
    scheduler = make_scheduler()
    (refusal,) = scheduler.submit(make_request(), 0.0)
    assert refusal.reason is RefusalReason.NO_TARGETS


def test_leaving_and_closed_targets_get_nothing():
    scheduler = make_scheduler(
        make_target("a", leaving=True), make_target("b", data_centre="dc-b")
    )
    scheduler.set_targets(
        [make_target("a", leaving=True), make_target("b", data_centre="dc-b")],
        frozenset({"dc-b"}),
        0.0,
    )
    (refusal,) = scheduler.submit(make_request(), 0.0)
    assert refusal.reason is RefusalReason.NO_TARGETS


def test_new_lifetime_of_an_id_starts_without_work():
    scheduler = make_scheduler(make_target("a", slots=1))
    (first,) = scheduler.submit(make_request(timeout_s=9.0), 0.0)
    scheduler.set_targets([make_target("a", slots=1, born_ms=2)], frozenset(), 0.1)
    (second,) = scheduler.submit(make_request(timeout_s=9.0), 0.1)
    assert second.entry.born_ms == 2
    assert scheduler.finish_attempt(attempt_ended(first, Outcome.BROKEN), 0.2) == []


def test_overdue_idempotent_request_is_sent_to_a_second_target_once():
    scheduler = make_scheduler(make_target("a", slots=1), make_target("b", slots=1))
    now_s = learn_service_time(scheduler)
    (first,) = scheduler.submit(make_request(now_s, timeout_s=3.0), now_s)
    assert scheduler.advance(now_s + 0.1) == []
    (hedge,) = scheduler.advance(now_s + 0.5)
    assert hedge.hedge
    assert hedge.entry.id != first.entry.id
    assert scheduler.advance(now_s + 1.0) == []


def test_overdue_request_is_rescued_while_its_goal_can_still_be_made():
    scheduler = make_scheduler(make_target("a"), make_target("b"))
    now_s = learn_service_time(scheduler)
    (first,) = scheduler.submit(make_request(now_s, goal_s=0.2, timeout_s=3.0), now_s)
    # Overdue, but there is time to wait for the first attempt.
    assert scheduler.advance(now_s + 0.08) == []
    (rescue,) = scheduler.advance(now_s + 0.13)
    assert rescue.hedge
    assert rescue.entry.id != first.entry.id


def test_no_rescue_where_the_goal_is_lost_or_others_wait():
    scheduler = make_scheduler(make_target("a", slots=1), make_target("b", slots=1))
    now_s = learn_service_time(scheduler)
    scheduler.submit(make_request(now_s, goal_s=0.1, timeout_s=3.0), now_s)
    assert scheduler.advance(now_s + 0.09) == []
    scheduler.submit(make_request(now_s + 0.1, goal_s=1.0, timeout_s=3.0), now_s + 0.1)
    scheduler.submit(make_request(now_s + 0.1, goal_s=1.0, timeout_s=3.0), now_s + 0.1)
    assert scheduler.advance(now_s + 0.11) == []


def test_overdue_request_that_may_run_once_is_left_alone():
    scheduler = make_scheduler(make_target("a", slots=1), make_target("b", slots=1))
    now_s = learn_service_time(scheduler)
    scheduler.submit(make_request(now_s, timeout_s=3.0, idempotent=False), now_s)
    assert scheduler.advance(now_s + 0.8) == []


def test_hedges_stay_within_the_budget():
    scheduler = make_scheduler(
        *[make_target(f"t{n}", slots=1) for n in range(8)], retry_slack=2.0
    )
    now_s = learn_service_time(scheduler, answers=8)
    for _ in range(4):
        scheduler.submit(make_request(now_s, timeout_s=9.0), now_s)
    hedges = dispatched(scheduler.advance(now_s + 2.0))
    # Nine tenths of 0.2 of twelve requests, and half of the slack of two.
    assert len(hedges) == 3 <= 0.2 * 12 + 2


def test_cold_target_gets_no_more_in_a_second_than_it_bears():
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
    # Half of 2 a second times 1.5 and a slack of 5.
    most = max(sum(1 for s in sent if t <= s < t + 1.0) for t in sent)
    assert most == 4


def test_two_free_slots_of_a_cold_target_with_room_for_one_request():
    scheduler = make_scheduler(make_target("a", cold_left_s=60.0), cold_per_s=0.0)
    commands = []
    for _ in range(3):
        commands += scheduler.submit(make_request(timeout_s=60.0), 0.0)
    for command in dispatched(commands):
        commands += scheduler.finish_attempt(attempt_ended(command, taken_s=0.01), 0.01)
    assert len(dispatched(commands)) == 2


def test_failing_target_rests():
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


def test_work_for_a_request_does_not_grow_with_the_queue(monkeypatch):
    scheduler = make_scheduler(*[make_target(f"t{n}", slots=2) for n in range(20)])
    now_s = learn_service_time(scheduler)
    for number in range(1040):
        scheduler.submit(
            make_request(now_s, goal_s=60.0, timeout_s=90.0), now_s + number / 1e3
        )
    now_s += 1.05
    asked = []
    service_time_s = scheduler._times.service_time_s
    monkeypatch.setattr(
        scheduler._times,
        "service_time_s",
        lambda *known: asked.append(1) or service_time_s(*known),
    )
    for number in range(100):
        at_s = now_s + number / 1e4
        scheduler.submit(make_request(now_s, goal_s=60.0, timeout_s=90.0), at_s)
    assert scheduler.waiting == 1100
    assert len(asked) < 3000


def test_long_queue_is_judged_as_a_whole_within_a_tick():
    scheduler = make_scheduler(make_target("a", slots=1))
    now_s = learn_service_time(scheduler)
    patient = 40
    for _ in range(patient):
        scheduler.submit(make_request(now_s, goal_s=60.0, timeout_s=90.0), now_s)
    for _ in range(200):
        scheduler.submit(make_request(now_s, timeout_s=3.0, priority=2), now_s)
    assert scheduler.waiting > 200
    scheduler.advance(now_s + 0.025)
    # No more than one slot can serve in that time.
    assert scheduler.waiting <= patient + 3.0 / 0.05


def test_looking_for_overdue_attempts_costs_one_look_at_the_slots(monkeypatch):
    scheduler = make_scheduler(
        *[make_target(f"t{n}", slots=2) for n in range(20)], retry_slack=0.0
    )
    now_s = learn_service_time(scheduler)
    for _ in range(15):
        scheduler.submit(make_request(now_s, goal_s=60.0, timeout_s=90.0), now_s)
    looks = []
    slots = scheduler._slots
    monkeypatch.setattr(
        scheduler, "_slots", lambda at_s: looks.append(at_s) or slots(at_s)
    )
    scheduler.advance(now_s + 1.0)
    assert len(looks) <= 1
    (command,) = scheduler.submit(make_request(now_s, timeout_s=90.0), now_s + 1.01)
    scheduler.finish_attempt(attempt_ended(command), now_s + 1.06)
    assert len(looks) <= 3
