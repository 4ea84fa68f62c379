"""Test how many slots a data centre has for the requests of others."""

from sesamespring.routing.spare_slots import MEMORY_S, SpareSlots
from tests.routing.support import make_request

SLOTS = 20


def arrived(spare, count, now_s=0.0, **changes):
    requests = [make_request(data_centre="dc-a", **changes) for _ in range(count)]
    for request in requests:
        spare.request_arrived(request, now_s)
    return requests


def count(spare, now_s=0.0, priority=1):
    return spare.count("dc-a", SLOTS, priority, now_s)


def test_own_callers_keep_their_slots_and_room_for_the_next_ones():
    spare = SpareSlots()
    assert count(spare) == SLOTS
    arrived(spare, 9)
    assert count(spare) == SLOTS - 9 - 3
    arrived(spare, 7)
    assert count(spare) == 0


def test_demand_is_forgotten_after_a_while():
    spare = SpareSlots()
    requests = arrived(spare, 16)
    arrived(spare, 0, 3 * MEMORY_S)
    last = arrived(spare, 1, 10 * MEMORY_S)
    for request in requests + last:
        spare.request_ended(request)
    assert count(spare, 10 * MEMORY_S) <= 0
    assert count(spare, 20 * MEMORY_S) >= SLOTS - 1


def test_request_counts_once_and_what_others_take_is_left_out():
    spare = SpareSlots()
    (request,) = arrived(spare, 1)
    spare.request_arrived(request, 0.0)
    assert count(spare) == SLOTS - 2
    other = make_request(data_centre="dc-b")
    spare.attempt_started(other, "dc-a")
    spare.attempt_started(request, "dc-a")
    assert count(spare) == SLOTS - 3
    spare.attempt_ended(other, "dc-a")
    spare.request_ended(request)
    spare.request_ended(request)
    assert count(spare, 20 * MEMORY_S) >= SLOTS - 1


def test_less_urgent_requests_do_not_count_for_more_urgent_ones_of_others():
    spare = SpareSlots()
    arrived(spare, 16, priority=2)
    assert count(spare, priority=2) == 0
    assert count(spare, priority=1) == SLOTS
