"""Test that a search finds what breaks a promise, and that its clock shows hangs."""

import asyncio

import pytest
from hypothesis import strategies as st

from search import clock
from search.runner import Search, run_search


def check_is_small(number):
    assert number < 17, "too large"


def test_finds_the_shortest_input():
    search = Search(st.integers(0, 1000), check_is_small)
    result = run_search(search, 1, 100)
    assert result.finding.input == 17
    assert str(result.finding.error).startswith("too large")
    assert 1 <= result.finding.after == result.played <= 100


def test_keeps_the_input_as_drawn_if_it_is_not_to_be_shortened():
    search = Search(st.integers(0, 10**9), check_is_small)
    first = run_search(search, 1, 100, shortens=False)
    again = run_search(search, 1, 100, shortens=False)
    assert first.finding.input == again.finding.input > 17


def test_plays_as_many_inputs_as_wanted_if_none_breaks_a_promise():
    result = run_search(Search(st.integers(0, 10**9), lambda number: None), 1, 100)
    assert result.finding is None
    assert result.played == 100


def test_time_passes_at_once_and_hangs_are_noticed():
    async def wait():
        await asyncio.sleep(3600)
        return asyncio.get_running_loop().time()

    async def hang():
        await asyncio.Event().wait()

    async def spin():
        while True:
            await asyncio.sleep(0)

    assert clock.run(wait()) == 3600
    with pytest.raises(clock.NothingLeft):
        clock.run(hang())
    with pytest.raises(clock.Busy):
        clock.run(spin())


def test_error_in_a_callback_breaks_a_scenario():
    async def fail_later():
        asyncio.get_running_loop().call_soon(check_is_small, 17)
        await asyncio.sleep(1)

    with pytest.raises(AssertionError, match="too large"):
        clock.run(fail_later())
