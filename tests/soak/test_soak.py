"""Run short seeds of the soak."""

import asyncio

import pytest

from soak.runner import run_soak

SECONDS = 5.0
SEEDS = [1]
# Each seed that ever broke a promise, with the cause and how long faults began.
FAILED_SEEDS = []


@pytest.mark.parametrize("seed", SEEDS)
def test_promises_hold(seed, tmp_path):
    result = asyncio.run(run_soak(seed, SECONDS, tmp_path, vms=3, callers=4))
    assert result.breaches == ()
    assert result.served > 0


@pytest.mark.parametrize(("seed", "seconds"), FAILED_SEEDS)
def test_seeds_that_failed_before_pass(seed, seconds, tmp_path):
    result = asyncio.run(run_soak(seed, seconds, tmp_path))
    assert result.breaches == ()
