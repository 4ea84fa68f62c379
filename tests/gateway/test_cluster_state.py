"""Test when targets whose rows vanish are kept, with a clock that the test sets."""

import json
import math

import pytest

from sesamespring.gateway.store import replica as replica_module
from sesamespring.gateway.store.cluster_state import ClusterState
from sesamespring.gateway.store.replica import GAP_MIN_S, TableReplica
from sesamespring.platform.rows import StoredRow, TableChanges

START_S = 1000.0


class Clock:
    """The monotonic clock."""

    def __init__(self):
        self.now_s = START_S

    def __call__(self):
        return self.now_s


class Log:
    def event(self, event, **fields):
        pass


@pytest.fixture
def clock(monkeypatch):
    clock = Clock()
    monkeypatch.setattr(replica_module.time, "monotonic", clock)
    return clock


def target_row(key, version):
    content = {
        "service": "s",
        "address": "10.0.0.1:80",
        "zone": "z",
        "version": "v1",
        "slots": 2,
        "state": "ready",
        "warmupLeftMs": 0,
        "sequence": 1,
    }
    return StoredRow(key, version, json.dumps(content).encode())


def make_state():
    state = ClusterState(Log(), lambda: None)
    replica = state.registrations
    rows = (target_row("a", 1), target_row("b", 2))
    state.apply_changes(replica, replica.replace(TableChanges(rows, 2)))
    return state, replica


def apply_removal(state, replica, **changes):
    """Let row ``a`` vanish and return the ids of the targets that remain."""
    removed = TableChanges((StoredRow("a", 3, None),), 3, **changes)
    state.apply_changes(replica, replica.apply(removed))
    return {key for key in "ab" if state.target((key, 0)) is not None}


def test_target_that_left_while_the_followed_vm_was_silent_is_gone_at_once(clock):
    state, replica = make_state()
    clock.now_s += GAP_MIN_S + 1.0
    assert apply_removal(state, replica, gap_age_s=math.inf) == {"b"}


def test_target_that_left_while_no_vm_could_be_followed_is_gone_at_once(clock):
    state, replica = make_state()
    clock.now_s += GAP_MIN_S + 1.0
    assert apply_removal(state, replica) == {"b"}


def test_earlier_outage_of_the_store_does_not_keep_a_target(clock):
    state, replica = make_state()
    clock.now_s += GAP_MIN_S + 1.0
    assert apply_removal(state, replica, gap_age_s=60.0) == {"b"}


def test_outage_that_only_the_followed_vm_had_does_not_keep_a_target(clock):
    state, replica = make_state()
    clock.now_s += 1.0
    assert apply_removal(state, replica, gap_age_s=0.1) == {"b"}


def test_target_that_may_have_lapsed_in_an_outage_is_kept_for_a_while(clock):
    state, replica = make_state()
    clock.now_s += GAP_MIN_S + 1.0
    assert apply_removal(state, replica, gap_age_s=0.1) == {"a", "b"}
    clock.now_s += 3.0
    state.drop_expired()
    assert state.target(("a", 0)) is None


def test_outage_that_this_vm_met_itself_keeps_a_target(clock):
    state, replica = make_state()
    clock.now_s += GAP_MIN_S + 1.0
    replica.record_store_failure()
    assert apply_removal(state, replica) == {"a", "b"}


def test_outage_that_a_build_without_the_field_tells_by_its_age_keeps_a_target(clock):
    state, replica = make_state()
    clock.now_s += GAP_MIN_S
    outdated = TableChanges((), 2, age_s=GAP_MIN_S)
    state.apply_changes(replica, replica.apply(outdated))
    clock.now_s += 0.5
    assert apply_removal(state, replica) == {"a", "b"}


def test_copy_that_is_handed_on_states_the_outage(clock):
    replica = TableReplica("t")
    replica.replace(TableChanges((), 1))
    assert replica.changes_after(1).gap_age_s == math.inf
    replica.record_store_failure()
    clock.now_s += GAP_MIN_S + 1.0
    replica.apply(TableChanges((), 2))
    clock.now_s += 0.5
    assert replica.changes_after(2).gap_age_s == 0.5
