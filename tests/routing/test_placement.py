"""Test the slots of targets, which plans share for some milliseconds."""

import random

import attrs

from sesamespring.routing.assignment import assign
from sesamespring.routing.placement import open_slots
from sesamespring.routing.records import LoadReport
from sesamespring.routing.request_limits import NO_LIMIT
from sesamespring.routing.target_state import ActiveAttempt, TargetState
from tests.routing.support import make_request, make_target

SEED = 20261205
EVENTS = 400
TARGETS = 6
SATURATION = 1.3


def slots_of(states, now_s):
    return open_slots(states, now_s, 1.0, SATURATION, False, 5)


def without_cache(states, now_s):
    """Return the slots of copies of the states whose caches are empty."""
    copies = []
    for state in states:
        copied = attrs.evolve(state, slots_outdated_s=now_s)
        copies.append(copied)
    return slots_of(copies, now_s)


def free_keys(slots, now_s):
    return sorted(slot.key for slot in slots if slot.free_s <= now_s)


def test_free_slots_are_the_same_as_without_a_cache():
    rng = random.Random(SEED)
    states = [TargetState(make_target(f"t{n}", slots=2)) for n in range(TARGETS)]
    now_s = 0.0
    for number in range(EVENTS):
        now_s += rng.uniform(0.0, 0.015)
        state = rng.choice(states)
        match rng.choice(["start", "end", "load", "rejection", "failure"]):
            case "start" if len(state.active_attempts) < state.entry.slots:
                taken_s = rng.uniform(0.005, 0.1)
                attempt = ActiveAttempt(now_s, taken_s, 1.0, 1.0, False)
                state.start_attempt(number, attempt)
            case "end" if state.active_attempts:
                state.end_attempt(next(iter(state.active_attempts)))
            case "load":
                state.record_load(LoadReport(0, 0, 2, rng.uniform(1, 5)), now_s)
            case "rejection":
                state.record_rejection(now_s)
                state.back_off(now_s, 0.01)
            case "failure":
                state.record_failure(now_s)
        known = free_keys(without_cache(states, now_s), now_s)
        assert free_keys(slots_of(states, now_s), now_s) == known


def test_taken_slot_is_not_free_before_its_attempt_has_ended():
    state = TargetState(make_target("t", slots=1))
    state.start_attempt(1, ActiveAttempt(0.0, 0.01, 1.0, 1.0, False))
    for milliseconds in range(200):
        now_s = milliseconds / 1000
        (slot,) = slots_of([state], now_s)
        assert slot.free_s > now_s
    state.end_attempt(1)
    (slot,) = slots_of([state], 0.2)
    assert slot.free_s <= 0.2


def test_slots_are_computed_once_for_plans_without_events_between_them():
    states = [TargetState(make_target(f"t{n}")) for n in range(TARGETS)]
    first = slots_of(states, 0.0)
    second = slots_of(states, 0.01)
    assert all(a is b for a, b in zip(first, second, strict=True))
    assert slots_of(states, 0.05)[0] is not first[0]


def test_limit_that_a_target_names_binds_at_once():
    state = TargetState(make_target("t", slots=3))
    assert len(free_keys(slots_of([state], 0.0), 0.0)) == 3
    state.set_limit(1.0, 0.001)
    assert free_keys(slots_of([state], 0.001), 0.001) == []
    state.set_limit(NO_LIMIT, 0.002)
    assert len(free_keys(slots_of([state], 0.002), 0.002)) == 3


def test_request_goes_to_the_earliest_end_at_a_target_that_it_has_not_tried():
    states = [TargetState(make_target(f"t{n}", slots=1)) for n in range(3)]
    for state, slowdown in zip(states, (1.0, 2.0, 3.0), strict=True):
        state.record_load(LoadReport(0, 0, 1, slowdown), 0.0)
    slots = slots_of(states, 0.0)
    request = make_request(tried={("t0", 1)}, data_centre="dc-a")
    (assignment,) = assign([request], slots, lambda request: 0.1, 0.0)
    assert assignment.slot.key == ("t1", 1)
    assert assignment.starts_now
    request.tried |= {("t1", 1), ("t2", 1)}
    (assignment,) = assign([request], slots, lambda request: 0.1, 0.0)
    assert assignment.slot is None


def test_target_in_another_data_centre_is_used_only_if_it_is_much_faster():
    near = TargetState(make_target("near", data_centre="dc-a"))
    far = TargetState(make_target("far", data_centre="dc-b"))
    slots = slots_of([far, near], 0.0)
    request = make_request(data_centre="dc-a")
    (assignment,) = assign([request], slots, lambda request: 0.1, 0.0)
    assert assignment.slot.key[0] == "near"
    far.record_load(LoadReport(0, 0, 2, 0.9), 0.0)
    (assignment,) = assign([request], slots_of([far, near], 0.0), lambda r: 0.1, 0.0)
    assert assignment.slot.key[0] == "near"
    near.record_load(LoadReport(0, 0, 2, 3.0), 0.0)
    slots = slots_of([far, near], 0.0)
    (assignment,) = assign([request], slots, lambda request: 0.1, 0.0)
    assert assignment.slot.key[0] == "far"
