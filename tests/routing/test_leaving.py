"""Test which requests leave their data centre, and what their callers get."""

import attrs
import pytest

from sesamespring.routing import assignment
from sesamespring.routing.assignment import assign
from sesamespring.routing.departures import DepartureMonitor
from sesamespring.routing.leaving import Prospect
from sesamespring.routing.placement import open_slots
from sesamespring.routing.records import LoadReport
from sesamespring.routing.target_state import (
    FAILURE_DECAY_S,
    ActiveAttempt,
    TargetState,
)
from tests.routing.leaving_play import Kind, Place, Play
from tests.routing.support import make_request, make_target

SERVICE_TIME_S = 0.1
GOAL_S = 0.3
PLACES = ("dc-a", "dc-b", "dc-c", "dc-d")
TARGETS = 13
# Requests per second that keep about half of a data centre's slots busy.
HALF_PER_S = 28.0
CHANGE_S, BACK_S, END_S = 5.0, 10.0, 14.0
KINDS = (
    Kind("urgent", 6, 0, 0.2, 0.5, 2.0),
    Kind("middle", 2, 1, 0.3, 0.8, 2.5),
    Kind("patient", 2, 2, 0.6, 2.5, 5.0),
)
# How much worse fewer bytes may make what callers get: less than the noise of a run.
GOALS_LOST_MAX = 0.01


def make_state(name, data_centre, slowdown=1.0, busy_s=0.0):
    """Return the TargetState of a target with one slot, taken for some seconds."""
    state = TargetState(make_target(name, data_centre, slots=1))
    state.record_load(LoadReport(0, 0, 1, slowdown), 0.0)
    if busy_s:
        state.start_attempt(1, ActiveAttempt(0.0, busy_s, 1.0, 1.0, False))
    return state


def place(requests, *states):
    """Return the ids of the targets that requests get, with a sign if they wait."""
    slots = open_slots(states, 0.0, 1.0, 1.0, False, 5)
    assignments = assign(requests, slots, lambda request: SERVICE_TIME_S, 0.0)
    return [(a.slot.key[0], a.starts_now) for a in assignments]


def caller(data_centre, priority=1, **changes):
    return make_request(
        goal_s=GOAL_S, data_centre=data_centre, priority=priority, **changes
    )


def test_request_that_makes_its_goal_waits_near_also_if_a_faster_target_is_free():
    near = make_state("near", "dc-a", 1.2, busy_s=0.05)
    far = make_state("far", "dc-b", 0.8)
    assert place([caller("dc-a")], near, far) == [("near", False)]


@pytest.mark.parametrize(("slowdown", "busy_s"), [(5.0, 0.0), (1.0, 0.25)])
def test_request_that_would_miss_its_goal_near_leaves(slowdown, busy_s):
    near = make_state("near", "dc-a", slowdown, busy_s)
    far = make_state("far", "dc-b")
    assert place([caller("dc-a")], near, far) == [("far", True)]


def test_request_stays_where_all_data_centres_are_full():
    near = make_state("near", "dc-a", busy_s=0.5)
    far = make_state("far", "dc-b", busy_s=0.4)
    assert place([caller("dc-a")], near, far) == [("near", False)]


def test_slot_is_left_to_a_request_of_its_data_centre_that_needs_it():
    near = make_state("near", "dc-a", busy_s=0.5)
    far = make_state("far", "dc-b")
    requests = [caller("dc-a"), caller("dc-b")]
    assert place(requests, near, far) == [("far", False), ("far", True)]


def test_more_urgent_request_takes_a_slot_elsewhere_before_a_less_urgent_one():
    near = make_state("near", "dc-a", busy_s=0.5)
    far = make_state("far", "dc-b")
    (urgent, other) = place([caller("dc-a", 0), caller("dc-b", 1)], near, far)
    assert urgent == ("far", True)
    assert other == ("far", False)


def test_request_leaves_targets_that_have_failed_others():
    near = make_state("near", "dc-a")
    far = make_state("far", "dc-b")
    for _ in range(3):
        near.record_rejection(0.0)
    assert place([caller("dc-a")], near, far) == [("far", True)]
    for _ in range(3):
        far.record_rejection(0.0)
    assert place([caller("dc-a")], near, far) == [("near", True)]


def test_request_of_a_data_centre_without_targets_leaves():
    far = make_state("far", "dc-b")
    assert place([caller("dc-a")], far) == [("far", True)]


def even(per_s=HALF_PER_S, **changes):
    """Return the dict of Place with the same load, and ``changes`` to the first."""
    places = {name: Place(TARGETS, lambda now_s: per_s) for name in PLACES}
    if changes:
        fields = {"targets": TARGETS, "per_s": lambda now_s: per_s, **changes}
        places[PLACES[0]] = Place(**fields)
    return places


def during(value, otherwise):
    """Return the function of the time that is ``value`` while things have changed."""
    return lambda now_s: value if CHANGE_S <= now_s < BACK_S else otherwise


def moving():
    """Return the places of which half of the callers of one move to the next."""
    places = even()
    half = HALF_PER_S / 2
    places["dc-a"] = Place(TARGETS, during(half, 2 * half))
    places["dc-b"] = Place(TARGETS, during(3 * half, 2 * half))
    return places


SCENARIOS = {
    "even": even,
    "short": lambda: even(targets=TARGETS // 4),
    "moving": moving,
    "slow": lambda: even(slowdown=during(5.0, 1.0)),
    "shedding": lambda: even(shed=during(0.5, 0.0)),
}


def with_fixed_penalty(monkeypatch):
    """Let requests leave for each target that is faster by a quarter."""
    monkeypatch.setattr(
        assignment, "prospect", lambda request, start_s, *rest: Prospect.LATE
    )
    monkeypatch.setattr(
        assignment,
        "may_leave",
        lambda near, near_end_s, far, far_end_s, now_s: (
            near_end_s - now_s > 1.25 * (far_end_s - now_s)
        ),
    )


@pytest.mark.parametrize("name", SCENARIOS)
def test_fewer_leave_than_with_a_fixed_penalty_and_callers_lose_nothing(
    name, monkeypatch
):
    plays = []
    for change in (lambda monkeypatch: None, with_fixed_penalty):
        change(monkeypatch)
        plays.append(Play(1, SCENARIOS[name](), KINDS, END_S).run())
    play, fixed = plays
    left, left_fixed = (p.share("all", "left", "sent") for p in plays)
    assert left <= 0.7 * left_fixed
    for subject in ("all", *PLACES, *(kind.name for kind in KINDS)):
        lost = fixed.share(subject, "in goal") - play.share(subject, "in goal")
        assert lost <= GOALS_LOST_MAX * (1 if subject == "all" else 3)


@pytest.mark.parametrize("seed", range(2))
def test_almost_none_leave_while_all_data_centres_have_room(seed):
    play = Play(seed, even(HALF_PER_S / 2), KINDS, END_S, noise=0.0).run()
    assert play.share("all", "left", "sent") <= 0.02
    assert play.share("all", "in goal") >= 0.99


@pytest.mark.parametrize(
    ("name", "place", "known_s"),
    [
        ("moving", "dc-b", 1.0),
        ("slow", "dc-a", 1.0),
        # Nothing tells that targets reject no more, but that their rejections are past.
        ("shedding", "dc-a", FAILURE_DECAY_S),
    ],
)
def test_requests_leave_while_it_pays_and_no_longer(name, place, known_s):
    end_s = BACK_S + known_s + 4.0
    play = Play(3, SCENARIOS[name](), KINDS, end_s).run()
    before = play.left_share(place, 0.0, CHANGE_S)
    meanwhile = play.left_share(place, CHANGE_S, BACK_S)
    after = play.left_share(place, BACK_S + known_s, end_s)
    assert meanwhile >= 2 * before
    assert after <= before + 0.05


def test_data_centre_that_its_own_callers_need_takes_none_in():
    places = even(4 * HALF_PER_S)
    places["dc-a"] = Place(TARGETS, lambda now_s: HALF_PER_S)
    kinds = [attrs.evolve(kind, priority=1) for kind in KINDS]
    play = Play(1, places, kinds, 6.0, noise=0.0).run()
    # The callers of the one with room keep what they have when they are alone.
    alone = {"dc-a": places["dc-a"]}
    alone = Play(1, alone, kinds, 6.0, noise=0.0).run()
    assert play.share("dc-a", "in goal") >= alone.share("dc-a", "in goal") - 0.05


def changes_of(monitor, shares, step_s=0.25, per_step=10):
    """Return the DepartureChanges while shares of requests leave, one for each step."""
    found = []
    for step, share in enumerate(shares):
        now_s = step * step_s
        for number in range(per_step):
            leaves = number < share * per_step
            near_prospect = Prospect.LATE if leaves else None
            monitor.record("dc-a", "dc-b", near_prospect, now_s)
        found += monitor.changes(now_s)
    return found


def test_beginning_and_end_are_told_once():
    shares = [0.0] * 8 + [0.5, 0.1, 0.4, 0.0, 0.3, 0.2] * 4 + [0.0] * 40
    began, ended = changes_of(DepartureMonitor(), shares)
    assert began.is_leaving and not ended.is_leaving
    assert (began.data_centre, began.to) == ("dc-a", "dc-b")
    assert began.reason is Prospect.LATE
    assert ended.lasted_s > 4.0
    assert ended.left > 40


def test_single_requests_that_leave_are_not_told():
    assert changes_of(DepartureMonitor(), [0.05, 0.0, 0.0, 0.1, 0.0] * 20) == []
