"""Run short soak tests."""

import asyncio

import pytest

from soak.runner import run_soak

# Pairs of a seed and the period in which its faults start, in seconds. Each seed that
# once broke a promise stays in the list, with a comment on the cause.
SEEDS = [
    (1, 5.0),
    # SIGHUP arrived before a new process had set its handler, and ended the process.
    (1012, 3.0),
    # A path that many callers read was kept back for crashes by a fatal request.
    (9102, 12.0),
]


@pytest.mark.parametrize(("seed", "seconds"), SEEDS)
def test_promises_hold(seed, seconds, tmp_path):
    result = asyncio.run(run_soak(seed, seconds, tmp_path))
    assert result.breaches == ()
    assert result.served > 0
