"""Test how memory is divided among callers' connections and addresses."""

import itertools
import random

import pytest

from sesamespring.routing.caller_memory import (
    CONNECTION_BYTES_MIN,
    REQUEST_BYTES,
    CallerMemory,
)

MB = 1024 * 1024
MEMORY_BYTES = 128 * MB
# A quarter is for callers; half and three quarters of it are the first two bounds.
LIMIT_BYTES = 32 * MB


def test_connection_waits_for_its_own_responses():
    account = CallerMemory(MEMORY_BYTES).open("a", "connection")
    account.update(REQUEST_BYTES)
    assert account.may_start_another
    account.update(CONNECTION_BYTES_MIN)
    assert not account.may_start_another
    account.update(CONNECTION_BYTES_MIN + 1)
    assert not account.may_buffer


def test_large_responses_reduce_how_many_requests_start_ahead():
    memory = CallerMemory(MEMORY_BYTES)
    account = memory.open("a", "connection")
    account.update(CONNECTION_BYTES_MIN // 2)
    assert account.may_start_another
    for _ in range(100):
        memory.observe_response(CONNECTION_BYTES_MIN)
    assert not account.may_start_another
    for _ in range(100):
        memory.observe_response(200)
    assert account.may_start_another


def test_first_bound_holds_for_the_address_with_the_larger_share():
    memory = CallerMemory(MEMORY_BYTES)
    crowd = [memory.open("crowd", n) for n in range(17)]
    ordinary = memory.open("ordinary", "o")
    for account in crowd:
        account.update(CONNECTION_BYTES_MIN - 1)
    assert not crowd[0].may_buffer
    assert not crowd[0].may_start_another
    assert ordinary.may_buffer
    assert ordinary.may_start_another


def test_second_bound_refuses_the_address_with_the_larger_share():
    memory = CallerMemory(MEMORY_BYTES)
    crowd = memory.open("crowd", "c")
    ordinary = memory.open("ordinary", "o")
    crowd.update(LIMIT_BYTES * 3 // 4)
    ordinary.update(MB)
    assert not crowd.is_admitted
    assert ordinary.is_admitted
    ordinary.update(LIMIT_BYTES * 3 // 8 + 1)
    assert not ordinary.is_admitted


def test_largest_connections_of_the_largest_address_are_closed():
    memory = CallerMemory(MEMORY_BYTES)
    memory.open("one", "one").update(12 * MB)
    for number in range(1, 7):
        memory.open("many", number).update(number * MB)
    assert memory.is_exceeded
    assert memory.excess() == [6]
    assert memory.excess() == []


@pytest.mark.parametrize("seed", range(20))
def test_sums_stay_true_and_closing_reaches_the_limit(seed):
    rng = random.Random(seed)
    memory = CallerMemory(MEMORY_BYTES)
    numbers = itertools.count()
    accounts = {}
    for _ in range(400):
        number = next(numbers)
        accounts[number] = memory.open(f"a{rng.randrange(9)}", number)
        for account in rng.sample(list(accounts.values()), min(8, len(accounts))):
            account.update(rng.randrange(2 * MB))
        if rng.random() < 0.3:
            accounts.pop(rng.choice(list(accounts))).close()
        for closed in memory.excess():
            accounts.pop(closed).close()
        assert memory.used_bytes == sum(a.used_bytes for a in accounts.values())
        assert not memory.is_exceeded
    for account in accounts.values():
        account.close()
        account.close()
    assert memory.used_bytes == 0


def test_without_a_memory_only_single_connections_are_bounded():
    memory = CallerMemory()
    account = memory.open("a", "connection")
    account.update(10_000 * MB)
    assert account.is_admitted
    assert not memory.is_exceeded
    assert not account.may_buffer
