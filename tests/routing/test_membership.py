"""Test failure detection by heartbeats, also after a pause of this process."""

import attrs

from sesamespring.routing.membership import Member, Membership

MEMBER = Member("b", ("ip", 1), 80, "dc", 1, 1, 1.0, True, False, True, 1, 1)


def test_vm_is_not_alive_after_one_second_without_heartbeat():
    membership = Membership("a")
    assert membership.record_heartbeat(MEMBER, 0.0)
    assert membership.is_alive("b", 0.9)
    assert not membership.is_alive("b", 1.1)


def test_outdated_heartbeat_is_ignored():
    membership = Membership("a")
    later = attrs.evolve(MEMBER, sequence=5)
    membership.record_heartbeat(later, 0.0)
    assert not membership.record_heartbeat(MEMBER, 0.8)
    assert not membership.is_alive("b", 1.2)


def test_first_heartbeat_of_a_new_incarnation_is_accepted():
    membership = Membership("a")
    membership.record_heartbeat(attrs.evolve(MEMBER, sequence=90), 0.0)
    assert membership.record_heartbeat(attrs.evolve(MEMBER, incarnation=2), 0.5)
    assert membership.is_alive("b", 1.4)


def test_pause_of_this_process_does_not_count_as_silence_of_others():
    membership = Membership("a")
    membership.tick(0.0)
    membership.record_heartbeat(MEMBER, 0.0)
    membership.tick(4.0)
    assert membership.is_alive("b", 4.0)
    for step in range(10):
        membership.tick(4.0 + step * 0.3)
    assert not membership.is_alive("b", 6.7)


def test_heartbeat_timeout_grows_with_the_number_of_vms():
    membership = Membership("a")
    for number in range(96):
        membership.record_heartbeat(attrs.evolve(MEMBER, name=f"vm-{number}"), 0.0)
    assert membership.is_alive("vm-3", 1.9)
    assert not membership.is_alive("vm-3", 2.1)


def test_member_expires_after_long_silence():
    membership = Membership("a")
    membership.record_heartbeat(attrs.evolve(MEMBER, sequence=50), 0.0)
    for step in range(2100):
        membership.tick(step * 0.3)
    assert membership.record_heartbeat(MEMBER, 630.0)


def test_restart_with_an_earlier_clock_is_accepted_after_the_timeout():
    membership = Membership("a")
    membership.record_heartbeat(attrs.evolve(MEMBER, incarnation=9, sequence=50), 0.0)
    restarted = attrs.evolve(MEMBER, incarnation=7)
    assert not membership.record_heartbeat(restarted, 0.5)
    assert membership.record_heartbeat(attrs.evolve(restarted, sequence=3), 1.1)
    assert membership.is_alive("b", 1.5)
    assert not membership.record_heartbeat(attrs.evolve(restarted, sequence=2), 2.6)
