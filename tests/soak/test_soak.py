"""Run short seeds of the soak."""

import asyncio

import pytest

from soak.runner import run_soak

# Pairs of a seed and how long its faults begin, in seconds. Each seed that ever broke a
# promise stays here, with a line on the cause.
SEEDS = [
    (1, 5.0),
    # SIGHUP ended a process that had just started and had no handler for it yet.
    (1012, 3.0),
]


@pytest.mark.parametrize(("seed", "seconds"), SEEDS)
def test_promises_hold(seed, seconds, tmp_path):
    result = asyncio.run(run_soak(seed, seconds, tmp_path))
    assert result.breaches == ()
    assert result.served > 0
