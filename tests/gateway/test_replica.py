"""Test that a table copy keeps the newest rows, and which changes it passes on."""

import json

from hypothesis import given
from hypothesis import strategies as st

from sesamespring.gateway.store.replica import TableReplica
from sesamespring.platform.registrations import (
    is_earlier_registration,
    same_registration,
)
from sesamespring.platform.rows import UNKNOWN_ERA, StoredRow, TableChanges


def registration(sequence, state="ready", cold_ms=0):
    fields = {
        "service": "s",
        "address": "10.0.0.1:80",
        "zone": "z",
        "version": "v1",
        "slots": 2,
        "state": state,
        "warmupLeftMs": cold_ms,
        "sequence": sequence,
    }
    return json.dumps(fields).encode()


def changes(version, *rows, era=UNKNOWN_ERA):
    return TableChanges(tuple(StoredRow(*row) for row in rows), version, era=era)


def test_state_changes_are_passed_on_but_heartbeats_are_not():
    replica = TableReplica("servers", same_registration)
    assert replica.apply(changes(1, ("a", 1, registration(1)))) == {"a"}
    assert replica.apply(changes(2, ("a", 2, registration(2)))) == set()
    assert replica.changes_after(1).rows == ()
    assert replica.apply(changes(3, ("a", 3, registration(3, "draining")))) == {"a"}
    (row,) = replica.changes_after(1).rows
    assert row.version == 3


def test_longer_cold_start_is_a_relevant_change_but_its_progress_is_not():
    replica = TableReplica("servers", same_registration)
    replica.apply(changes(1, ("a", 1, registration(1, cold_ms=500))))
    assert replica.apply(changes(2, ("a", 2, registration(2, cold_ms=100)))) == set()
    assert replica.apply(changes(3, ("a", 3, registration(3, cold_ms=900)))) == {"a"}


def test_late_change_of_a_removed_row_does_not_restore_it():
    replica = TableReplica("t")
    replica.apply(changes(1, ("a", 1, b"1")))
    replica.apply(changes(3, ("a", 3, None)))
    assert replica.apply(changes(3, ("a", 2, b"2"))) == set()
    assert replica.rows == {}


def test_older_whole_table_is_ignored():
    replica = TableReplica("t")
    replica.apply(changes(5, ("a", 5, b"5")))
    assert replica.replace(changes(4, ("b", 4, b"4"))) == set()
    assert set(replica.rows) == {"a"}


def test_changes_before_a_missed_removal_are_unavailable():
    replica = TableReplica("t")
    replica.apply(changes(2, ("a", 1, b"1"), ("b", 2, b"2")))
    assert replica.replace(changes(9, ("b", 2, b"2"))) == {"a"}
    assert replica.changes_after(5) is None
    assert replica.changes_after(9).rows == ()


def test_whole_table_of_a_later_era_replaces_rows_with_greater_versions():
    replica = TableReplica("t")
    replica.replace(changes(50, ("a", 40, b"1"), ("b", 50, b"1"), era=1))
    assert replica.replace(changes(30, ("a", 20, b"2"), era=2)) == {"a", "b"}
    assert replica.rows["a"].content == b"2"
    assert (replica.era, replica.version, set(replica.rows)) == (2, 30, {"a"})
    assert replica.apply(changes(31, ("a", 31, b"3"), era=2)) == {"a"}
    assert replica.replace(changes(60, ("a", 60, b"4"), era=1)) == set()


def test_source_of_the_first_or_of_an_unknown_era_is_earlier_than_the_second():
    replica = TableReplica("t")
    replica.replace(changes(30, ("a", 20, b"2"), era=1))
    for era in (UNKNOWN_ERA, 0):
        assert replica.is_of_earlier_era(changes(60, era=era))
    assert not replica.is_of_earlier_era(changes(60, era=1))
    assert replica.is_of_later_era(changes(10, era=2))


def test_report_written_before_the_last_known_one_does_not_return_with_a_later_era():
    replica = TableReplica("servers", same_registration, is_earlier_registration)
    rows = [(key, 9, registration(9, "draining")) for key in "ab"]
    replica.replace(changes(9, *rows, era=1))
    replica.apply(changes(10, ("b", 10, None), era=1))
    copied = [(key, 5, registration(5)) for key in "ab"]
    assert replica.replace(changes(5, *copied, era=2)) == set()
    assert replica.rows["a"].content == registration(9, "draining")
    assert replica.apply(changes(6, ("b", 6, registration(10)), era=2)) == {"b"}


def test_changes_before_the_first_read_are_unavailable_as_removals_are_unknown():
    replica = TableReplica("t")
    replica.replace(changes(9, ("b", 2, b"2")))
    assert replica.changes_after(5) is None
    assert replica.changes_after(9).rows == ()


@given(
    st.lists(
        st.tuples(st.sampled_from("abc"), st.integers(1, 30), st.booleans()),
        max_size=30,
    )
)
def test_rows_in_any_order_end_in_their_newest_versions(updates):
    replica = TableReplica("t")
    newest = {}
    for key, version, present in updates:
        # The content depends on the version alone, as in the store.
        content = str(version).encode() if present and version % 3 else None
        replica.apply(changes(version, (key, version, content)))
        if version > newest.get(key, (0, None))[0]:
            newest[key] = (version, content)
    expected = {key: row[1] for key, row in newest.items() if row[1] is not None}
    assert {key: row.content for key, row in replica.rows.items()} == expected


def test_end_of_an_outage_is_known_two_steps_from_the_store(monkeypatch):
    clock = [0.0]
    monkeypatch.setattr(
        "sesamespring.gateway.store.replica.time.monotonic", lambda: clock[0]
    )
    reader, distributor, follower = (TableReplica("t") for _ in range(3))
    reader.replace(changes(1, ("a", 1, b"1")))
    distributor.replace(reader.changes_after(None))
    follower.replace(distributor.changes_after(None))
    # A calm time without news, after which two long polls confirm the copies.
    clock[0] = 2.0
    reader.apply(changes(1))
    clock[0] = 4.0
    distributor.apply(reader.changes_after(1))
    follower.apply(distributor.changes_after(1))
    assert follower.gap_ended_s is None
    clock[0] = 9.0
    reader.record_store_failure()
    reader.apply(changes(2, ("a", 2, None)))
    distributor.apply(reader.changes_after(1))
    follower.apply(distributor.changes_after(1))
    assert follower.gap_ended_s == reader.gap_ended_s == 9.0
    assert follower.rows == {}
