"""Test which targets and services a VM takes for unreachable."""

from sesamespring.routing.reachability import CONTACT_LIFETIME_S, Reachability
from tests.routing.support import make_target


def make_reachability(count):
    entries = [make_target(f"t{number}") for number in range(count)]
    reachability = Reachability()
    reachability.set_targets(entries)
    return reachability, entries


def test_target_is_unreachable_until_it_accepts_a_connection():
    reachability, (entry, other) = make_reachability(2)
    reachability.record_connected(other.key, 0.0)
    assert reachability.record_failure(entry.key)
    assert not reachability.record_failure(entry.key)
    assert not reachability.reaches(entry)
    reachability.record_contact(entry.key, 1.0)
    assert not reachability.reaches(entry)
    reachability.record_connected(entry.key, 2.0)
    assert reachability.reaches(entry)


def test_service_is_unreachable_if_more_targets_fail_than_are_reached():
    reachability, entries = make_reachability(5)
    for entry in entries[:2]:
        reachability.record_connected(entry.key, 0.0)
    for entry in entries[2:4]:
        reachability.record_failure(entry.key)
    assert not reachability.judge(0.1)
    reachability.record_failure(entries[4].key)
    assert reachability.judge(0.1)
    assert reachability.unreachable_services == ("s",)
    assert not reachability.reaches(entries[0])
    reachability.record_connected(entries[4].key, 0.2)
    assert reachability.judge(0.2)
    assert reachability.reaches(entries[0])


def test_one_failed_target_of_several_says_nothing_about_the_service():
    reachability, entries = make_reachability(3)
    reachability.record_failure(entries[0].key)
    assert not reachability.judge(0.0)
    assert reachability.reaches(entries[1])


def test_only_target_of_a_service_decides():
    reachability, (entry,) = make_reachability(1)
    reachability.record_failure(entry.key)
    assert reachability.judge(0.0)


def test_contact_of_long_ago_does_not_count():
    reachability, entries = make_reachability(5)
    for entry in entries[:3]:
        reachability.record_connected(entry.key, 0.0)
    for entry in entries[3:]:
        reachability.record_failure(entry.key)
    assert not reachability.judge(CONTACT_LIFETIME_S - 0.1)
    assert reachability.judge(CONTACT_LIFETIME_S)


def test_target_that_fails_everywhere_is_not_held_against_the_links():
    reachability, entries = make_reachability(3)
    for entry in entries[:2]:
        reachability.record_failure(entry.key)
    reachability.forget_failure(entries[0].key)
    assert not reachability.judge(0.0)


def test_new_lifetime_of_a_target_starts_without_failure():
    reachability, (entry,) = make_reachability(1)
    reachability.record_failure(entry.key)
    restarted = make_target("t0", born_ms=2)
    reachability.set_targets([restarted])
    reachability.judge(0.0)
    assert reachability.reaches(restarted)


def test_failure_of_a_target_that_is_gone_is_forgotten():
    reachability, entries = make_reachability(2)
    for entry in entries:
        reachability.record_failure(entry.key)
    assert reachability.judge(0.0)
    assert reachability.failing_services() == {"s"}
    reachability.set_targets([make_target("t9")])
    assert reachability.failing_services() == set()
    assert reachability.judge(0.1)
    assert reachability.unreachable_services == ()
    # Its next lifetime has a key of its own, and starts as one that is reached.
    reachability.set_targets([make_target("t0", born_ms=2)])
    assert not reachability.has_failed(("t0", 2))
