"""Build small traces for the tests of replay."""

import random

from sesamespring.replay.records import (
    CallRecord,
    HeaderRecord,
    ServiceRecord,
    TargetRecord,
    Trace,
    VmRecord,
)

__all__ = ["small_trace"]

SEED = 5
DATA_CENTRES = ("a", "b")


def small_trace(events=(), outcomes=(), calls=200, interval_ms=10.0, idempotent=True):
    """Return a Trace of one service with four targets and four entry VMs."""
    source = random.Random(SEED)
    header = HeaderRecord(
        format=1,
        name="small",
        seed=SEED,
        data_centres=DATA_CENTRES,
        services=[ServiceRecord("s", 2, 100)],
        targets=[TargetRecord(f"t{n}", "s", "ab"[n % 2], 2, 1) for n in range(4)],
        vms=[VmRecord(f"v{n}", "ab"[n % 2]) for n in range(4)],
        between_data_centres_ms=1.5,
        within_data_centre_ms=0.2,
        callers_ms=1.0,
    )
    records = [
        CallRecord(
            at_ms=n * interval_ms,
            service="s",
            data_centre=DATA_CENTRES[n % 2],
            idempotent=idempotent,
            deadline_ms=1000.0,
            bytes=0,
            service_ms=round(source.uniform(5.0, 40.0), 2),
        )
        for n in range(calls)
    ]
    return Trace(header, tuple(records), tuple(events), tuple(outcomes))
