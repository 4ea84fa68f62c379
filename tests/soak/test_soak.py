"""Run short soak tests."""

import asyncio

import pytest

from soak import cluster as soak_cluster
from soak.faults import FAULTS
from soak.runner import run_soak

# A seed chooses from the faults of its time; later ones were added at the end.
FAULTS_AT_9102 = FAULTS[: FAULTS.index("lose_links")]
FAULTS_AT_1 = FAULTS[: FAULTS.index("limit_requests")]
# Tuples of a seed, the period in which its faults start, in seconds, and the faults to
# choose from. Each seed that once broke a promise stays in the list, with a comment on
# the cause.
SEEDS = [
    (1, 5.0, FAULTS_AT_1),
    # SIGHUP arrived before a new process had set its handler, and ended the process.
    (1012, 3.0, FAULTS_AT_9102),
    # A path that many callers read was kept back for crashes by a fatal request.
    (9102, 12.0, FAULTS_AT_9102),
    (20, 10.0, ("limit_requests", "respond_endlessly", "restore_store", "kill_vms")),
    (26, 10.0, ("lose_links", "request_backoff", "state_leaving")),
]


@pytest.mark.parametrize(("seed", "seconds", "faults"), SEEDS)
def test_promises_hold(seed, seconds, faults, tmp_path):
    result = asyncio.run(run_soak(seed, seconds, tmp_path, faults=faults))
    assert result.breaches == ()
    assert result.served > 0


def test_no_process_remains_after_a_start_that_failed(tmp_path, monkeypatch):
    monkeypatch.setattr(soak_cluster, "START_TIMEOUT_S", 0)
    cluster = soak_cluster.Cluster(2, tmp_path)

    async def main():
        with pytest.raises(TimeoutError):
            await cluster.__aenter__()

    asyncio.run(main())
    assert not any(vm.running for vm in cluster.vms)
