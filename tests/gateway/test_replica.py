"""Test that a copy of a table never goes back, and what it passes on."""

import json

from hypothesis import given
from hypothesis import strategies as st

from sesamespring.gateway.replica import TableReplica
from sesamespring.platform.registrations import same_registration
from sesamespring.platform.rows import StoredRow, TableChanges


def registration(sequence, state="ready", cold_ms=0):
    fields = {
        "service": "s",
        "address": "10.0.0.1:80",
        "zone": "z",
        "slots": 2,
        "state": state,
        "warmupLeftMs": cold_ms,
        "sequence": sequence,
    }
    return json.dumps(fields).encode()


def changes(version, *rows):
    return TableChanges(tuple(StoredRow(*row) for row in rows), version)


def test_heartbeats_are_not_passed_on_and_states_are():
    replica = TableReplica("servers", same_registration)
    assert replica.apply(changes(1, ("a", 1, registration(1)))) == {"a"}
    assert replica.apply(changes(2, ("a", 2, registration(2)))) == set()
    assert replica.changes_after(1).rows == ()
    assert replica.apply(changes(3, ("a", 3, registration(3, "draining")))) == {"a"}
    (row,) = replica.changes_after(1).rows
    assert row.version == 3


def test_turning_cold_matters_and_warming_up_does_not():
    replica = TableReplica("servers", same_registration)
    replica.apply(changes(1, ("a", 1, registration(1, cold_ms=500))))
    assert replica.apply(changes(2, ("a", 2, registration(2, cold_ms=100)))) == set()
    assert replica.apply(changes(3, ("a", 3, registration(3, cold_ms=900)))) == {"a"}


def test_late_news_of_a_removed_row_does_not_bring_it_back():
    replica = TableReplica("t")
    replica.apply(changes(1, ("a", 1, b"1")))
    replica.apply(changes(3, ("a", 3, None)))
    assert replica.apply(changes(3, ("a", 2, b"2"))) == set()
    assert replica.rows == {}


def test_whole_table_that_is_older_changes_nothing():
    replica = TableReplica("t")
    replica.apply(changes(5, ("a", 5, b"5")))
    assert replica.replace(changes(4, ("b", 4, b"4"))) == set()
    assert set(replica.rows) == {"a"}


def test_history_is_lost_to_those_who_missed_unseen_removals():
    replica = TableReplica("t")
    replica.apply(changes(2, ("a", 1, b"1"), ("b", 2, b"2")))
    assert replica.replace(changes(9, ("b", 2, b"2"))) == {"a"}
    assert replica.changes_after(5) is None
    assert replica.changes_after(9).rows == ()


@given(
    st.lists(
        st.tuples(st.sampled_from("abc"), st.integers(1, 30), st.booleans()),
        max_size=30,
    )
)
def test_rows_in_any_order_end_in_their_newest_versions(news):
    replica = TableReplica("t")
    newest = {}
    for key, version, present in news:
        # A version has one content only.
        content = str(version).encode() if present and version % 3 else None
        replica.apply(changes(version, (key, version, content)))
        if version > newest.get(key, (0, None))[0]:
            newest[key] = (version, content)
    expected = {key: row[1] for key, row in newest.items() if row[1] is not None}
    assert {key: row.content for key, row in replica.rows.items()} == expected
