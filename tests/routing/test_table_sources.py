"""Test which VMs' copies of the tables a VM follows, and what of them crosses."""

import attrs
import pytest

from sesamespring.routing.membership import Member
from sesamespring.routing.table_sources import vms_to_follow


def make_fleet(data_centres, vms_each, large_each=2):
    return [
        Member(
            name=f"vm-{place}-{number}",
            address=(f"10.0.{place}.{number}", 1),
            callers_port=80,
            data_centre=f"dc-{place}",
            incarnation=1,
            sequence=1,
            cores=2.0 if number < large_each else 0.25,
            ready=True,
            leaving=False,
            store_reached=True,
            operator_version=1,
            targets_version=1,
        )
        for place in range(data_centres)
        for number in range(vms_each)
    ]


def first_choices(fleet):
    """Return the dict by name of the Member that each VM follows; None at readers."""
    by_name = {member.name: member for member in fleet}
    chosen = {}
    for own in fleet:
        names = vms_to_follow(own, [m for m in fleet if m is not own])
        chosen[own.name] = by_name[names[0]] if names else None
    return chosen


@pytest.mark.parametrize(("data_centres", "vms_each"), [(4, 24), (3, 43), (1, 60)])
def test_changes_enter_each_data_centre_once_and_reach_all(data_centres, vms_each):
    fleet = make_fleet(data_centres, vms_each)
    chosen = first_choices(fleet)
    data_centre_of = {member.name: member.data_centre for member in fleet}
    crossing = [
        name
        for name, source in chosen.items()
        if source is not None and source.data_centre != data_centre_of[name]
    ]
    assert len(crossing) <= max(0, data_centres - 2)
    for name in chosen:
        steps = 0
        source = chosen[name]
        while source is not None:
            steps += 1
            source = chosen[source.name]
        assert steps <= 2


def test_small_fleet_follows_a_reader_at_once():
    chosen = first_choices(make_fleet(4, 3))
    readers = {name for name, source in chosen.items() if source is None}
    assert len(readers) == 2
    assert all(source is None or source.name in readers for source in chosen.values())


def test_readers_come_after_the_distributor():
    fleet = make_fleet(4, 12)
    chosen = first_choices(fleet)
    readers = {name for name, source in chosen.items() if source is None}
    for own in fleet:
        if own.name not in readers:
            names = vms_to_follow(own, [m for m in fleet if m is not own])
            assert set(names[-2:]) == readers


def test_vm_that_has_lost_the_store_distributes_no_more():
    fleet = make_fleet(4, 12)
    chosen = first_choices(fleet)
    readers = {name for name, source in chosen.items() if source is None}
    distributors = {s.name for s in chosen.values() if s is not None} - readers
    assert len(distributors) == 2
    lost = [attrs.evolve(m, store_reached=m.name not in distributors) for m in fleet]
    sources = {s.name for s in first_choices(lost).values() if s is not None}
    assert not sources & distributors
