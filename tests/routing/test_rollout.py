"""Play roll-outs of good and bad versions in virtual time.

The bounds are the users': what a bad version may get in all, and when the last request.
``ROLLOUT_SEEDS`` plays more seeds.
"""

import os

import pytest

from sesamespring.routing.messages import Outcome
from sesamespring.routing.rollout import (
    Phase,
    RolloutOrder,
    RolloutRecord,
    merge_records,
)
from sesamespring.routing.rollout_decider import RolloutDecider
from sesamespring.routing.rollout_steering import RolloutSteering, Use
from tests.routing.rollout_simulation import NEW, Simulation, Terms, good
from tests.routing.support import (
    attempt_ended,
    make_request,
    make_scheduler,
    make_target,
)

SEEDS = int(os.environ.get("ROLLOUT_SEEDS", "6"))
GOOD_SEEDS = max(20, SEEDS)
DURATION_S = 25.0
LATER_S = 10.0
WRONG_SHARE_MAX = 0.05
TERMS = Terms()


def fails(share, is_hit=lambda elapsed_s, route, running: True):
    """Return the behaviour of a version that fails a share of certain requests."""
    return lambda at_s, route, running, rng: (
        is_hit(at_s, route, running) and rng.random() < share,
        1.0,
    )


def slow(factor, share, is_hit=lambda elapsed_s, route, running: True):
    """Return the behaviour of a version that is slower in a share of requests."""
    return lambda at_s, route, running, rng: (
        False,
        factor if is_hit(at_s, route, running) and rng.random() < share else 1.0,
    )


def later(at_s, route, running):
    return at_s > LATER_S


def on_one_route(at_s, route, running):
    return route == "upload"


def under_load(at_s, route, running):
    return running >= 3


def while_moving(at_s, route, running):
    return at_s > DURATION_S - 1.8


BAD = {
    "fails at once": fails(0.35),
    "fails some": fails(0.15),
    "fails later": fails(0.4, later),
    "fails under load": fails(0.5, under_load),
    "fails on one route": fails(0.5, on_one_route),
    "fails while moving": fails(0.5, while_moving),
    "slow at once": slow(3.0, 1.0),
    "slow in part": slow(4.0, 0.3),
    "slow later": slow(4.0, 1.0, later),
    "slow on one route": slow(4.0, 1.0, on_one_route),
    "slow under load": slow(4.0, 1.0, under_load),
}


def play(behaviour, seeds=SEEDS, **options):
    options = {"duration_s": DURATION_S, **options}
    return [Simulation(behaviour, seed, **options).run() for seed in range(seeds)]


@pytest.mark.parametrize("kind", BAD)
def test_bad_version_is_rolled_back_within_its_exposure(kind):
    results = play(BAD[kind])
    wrong = sum(result.phase is not Phase.ROLLED_BACK for result in results)
    exposures = [r.exposed / allowed(r) for r in results]
    print(f"{kind}: {wrong} of {SEEDS} wrong, exposure up to {max(exposures):.2f}")
    assert max(exposures) <= 1.0
    assert max(result.after_bad_s for result in results) <= TERMS.rollback_s
    assert wrong <= WRONG_SHARE_MAX * SEEDS


def allowed(result):
    return TERMS.exposure_share * result.requests + TERMS.exposure_slack


@pytest.mark.parametrize("old_failures", [0.0, 0.1])
def test_good_version_is_complete_in_time_with_no_old_attempt(old_failures):
    behaviour = fails(old_failures)
    results = play(behaviour, GOOD_SEEDS, old_behaviour=behaviour)
    wrong = sum(result.phase is not Phase.COMPLETE for result in results)
    print(f"good with {old_failures} failures: {wrong} of {GOOD_SEEDS} wrong")
    assert wrong <= WRONG_SHARE_MAX * GOOD_SEEDS
    for result in results:
        assert result.phase is not Phase.COMPLETE or result.phase_s <= DURATION_S
        assert result.old_at_complete == 0


def test_one_failing_target_does_not_condemn_its_version():
    simulation = Simulation(good, 1, duration_s=DURATION_S)
    sick = simulation.entries[-1].key
    send = simulation.send

    def send_and_fail(command, now_s):
        at_sick = command.entry.key == sick
        simulation.behaviours[NEW] = fails(0.5) if at_sick else good
        send(command, now_s)

    simulation.send = send_and_fail
    assert simulation.run().phase is Phase.COMPLETE


def test_nothing_is_sent_to_the_new_version_while_the_store_takes_no_record():
    def away(now_s):
        return 1000.0

    (result, *_) = play(good, store_delay_s=away)
    assert result.exposed == 0


def test_slow_store_delays_no_verdict():
    for result in play(fails(0.4), store_delay_s=lambda now_s: 3.0):
        assert result.after_bad_s <= TERMS.rollback_s
        assert result.exposed <= allowed(result)


ORDER = RolloutOrder("s", NEW, 30.0)


def version_targets(*versions, **changes):
    return [
        make_target(f"{version}-{number}", version=version, **changes)
        for version in versions
        for number in range(2)
    ]


def begin(*targets, stored=None, now_s=0.0, writer="vm-a"):
    """Return a scheduler and the decider of its roll-out."""
    scheduler = make_scheduler(*targets)
    steering = scheduler.targets.rollout
    steering.begin(NEW, scheduler.targets.states)
    decider = RolloutDecider(ORDER, TERMS, steering, writer)
    decider.adopt(stored, now_s, 0.0, now_s)
    return scheduler, decider


def sent_versions(scheduler, count, now_s=0.0):
    """Submit requests one at a time and return the versions that they are sent to."""
    versions = []
    for _ in range(count):
        (command,) = scheduler.submit(make_request(now_s), now_s)
        versions.append(command.entry.version)
        scheduler.finish_attempt(attempt_ended(command), now_s)
    return versions


def take(decider, now_s, **state):
    """Let the store take the next record, and return it."""
    state = {"old_in_progress": 0, "is_confirmed": True, **state}
    record = decider.next_record(now_s, **state)
    if record is not None:
        decider.written(record.writer, now_s)
    return record


def test_requests_to_the_new_version_wait_for_the_record_that_reserves_them():
    scheduler, decider = begin(*version_targets("v1", NEW))
    reserving = decider.next_record(0.0, 0, True)
    assert (reserving.phase, reserving.reserved > 0) == (Phase.TRIAL, True)
    assert set(sent_versions(scheduler, 4)) == {"v1"}
    decider.written(reserving.writer, 0.2)
    burst = reserving.reserved
    assert sent_versions(scheduler, burst + 2) == [NEW] * burst + ["v1"] * 2


def test_vm_that_takes_over_sends_nothing_that_was_reserved_before():
    _, first = begin(*version_targets("v1", NEW))
    reserved = take(first, 0.0)
    targets = version_targets("v1", NEW)
    scheduler, second = begin(*targets, stored=reserved, writer="vm-b")
    assert set(sent_versions(scheduler, 4)) == {"v1"}
    assert take(second, 0.2).reserved > reserved.reserved


def test_second_attempt_goes_to_the_old_version():
    scheduler, decider = begin(*version_targets("v1", NEW))
    take(decider, 0.0)
    request = make_request(0.2)
    (command,) = scheduler.submit(request, 0.2)
    assert command.entry.version == NEW
    scheduler.finish_attempt(attempt_ended(command, Outcome.FAILED), 0.25)
    (again,) = scheduler.submit(request, 0.25)
    assert again.entry.version == "v1"


def test_of_two_vms_that_decide_the_second_steps_back_and_counts_on():
    _, first = begin(*version_targets("v1", NEW))
    start = RolloutRecord(ORDER)
    first.adopt(start, 0.0, 0.0, 0.0)
    targets = version_targets("v1", NEW)
    scheduler, second = begin(*targets, stored=start, writer="vm-b")
    assert second.next_record(0.1, 0, True).reserved > 0
    theirs = take(first, 0.1)
    assert second.refused(theirs, 0.2)
    assert set(sent_versions(scheduler, 4)) == {"v1"}
    assert take(second, 0.3).reserved > theirs.reserved


def test_lost_answer_is_settled_by_reading_back():
    scheduler, decider = begin(*version_targets("v1", NEW))
    lost = decider.next_record(0.1, 0, True)
    assert decider.refused(lost, 0.5)
    assert sent_versions(scheduler, 1) == [NEW]


@pytest.mark.parametrize("phase", [Phase.COMPLETE, Phase.ROLLED_BACK])
def test_no_status_goes_back(phase):
    stored = RolloutRecord(ORDER, phase, 3)
    scheduler, decider = begin(*version_targets("v1", NEW), stored=stored)
    assert take(decider, 0.1) is None
    expected = NEW if phase is Phase.COMPLETE else "v1"
    assert set(sent_versions(scheduler, 4)) == {expected}
    # The store was restored from a copy with an earlier step.
    assert merge_records(stored, RolloutRecord(ORDER)).phase is phase
    # Another VM decided before this one.
    other = RolloutRecord(ORDER, Phase.MOVING, 9)
    assert merge_records(other, stored).phase is phase


def test_restored_store_gets_the_final_record_again():
    scheduler = make_scheduler(*version_targets("v1", NEW))
    steering = scheduler.targets.rollout
    steering.begin(NEW, scheduler.targets.states)
    decider = RolloutDecider(ORDER, TERMS, steering, "vm")
    known = RolloutRecord(ORDER, Phase.COMPLETE, 3)
    decider.adopt(RolloutRecord(ORDER), 0.0, 0.0, 0.0, known)
    assert take(decider, 0.1).phase is Phase.COMPLETE
    assert sent_versions(scheduler, 1) == [NEW]


def test_replaced_order_does_not_trust_the_version_before():
    stored = RolloutRecord(RolloutOrder("s", "v1.5", 30.0), Phase.MOVING, 2)
    targets = version_targets("v1", "v1.5", NEW)
    scheduler, decider = begin(*targets, stored=stored)
    record = take(decider, 0.0)
    assert (record.phase, record.rejected) == (Phase.TRIAL, ("v1.5",))
    assert set(sent_versions(scheduler, 30)) == {"v1", NEW}


def test_new_version_that_is_the_old_one_is_complete_soon():
    _, decider = begin(*version_targets(NEW))
    phases = [take(decider, 0.1 * n).phase for n in range(3)]
    assert phases == [Phase.TRIAL, Phase.MOVING, Phase.COMPLETE]


def test_new_version_whose_targets_never_come_stays_running():
    scheduler, decider = begin(*version_targets("v1"))
    take(decider, 0.0)
    assert take(decider, 100.0) is None
    assert sent_versions(scheduler, 1) == ["v1"]


def test_move_waits_for_old_attempts_and_goes_back_if_all_new_targets_leave():
    targets = version_targets("v1", NEW)
    scheduler, decider = begin(*targets)
    take(decider, 0.0)
    assert take(decider, 31.0).phase is Phase.MOVING
    assert sent_versions(scheduler, 1, 31.0) == [NEW]
    held = take(decider, 31.2, old_in_progress=1)
    assert held is None or held.phase is Phase.MOVING
    held = take(decider, 32.3, is_confirmed=False)
    assert held is None or held.phase is Phase.MOVING
    scheduler.targets.set_targets(targets[:2], frozenset(), 32.4)
    assert sent_versions(scheduler, 1, 32.4) == ["v1"]
    assert take(decider, 32.5).phase is Phase.TRIAL
    scheduler.targets.set_targets(targets, frozenset(), 32.6)
    assert take(decider, 33.0).phase is Phase.MOVING
    assert take(decider, 33.1).phase is Phase.COMPLETE


def test_old_targets_that_all_leave_are_replaced_by_new_ones():
    targets = version_targets("v1", NEW)
    scheduler, decider = begin(*targets)
    take(decider, 0.0)
    scheduler.targets.set_targets(targets[2:], frozenset(), 0.1)
    assert sent_versions(scheduler, 2, 0.2) == [NEW, NEW]


def test_without_an_order_versions_decide_nothing():
    scheduler, _ = begin(*version_targets("v1", NEW))
    steering = scheduler.targets.rollout
    steering.end()
    assert steering.use is Use.ALL
    commands = [scheduler.submit(make_request(), 0.0)[0] for _ in range(8)]
    assert {command.entry.version for command in commands} == {"v1", NEW}
    assert not RolloutSteering().active
