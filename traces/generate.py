"""Generate all traces: ``.venv/bin/python -m traces.generate``."""

import itertools
import pathlib
import random

from sesamespring.replay import write_trace
from sesamespring.replay.records import Trace
from traces.deployments import COMPANEROS, ROTA, ServiceTimes, draw_calls, make_header
from traces.faults import FAULTS, draw_speed_noise
from traces.outcomes import (
    ANSWERED,
    COMMON_OUTCOMES,
    NEAR_ONE_QUEUE,
    NO_OVERRUN,
    at_most,
    goodput_at_double_load,
    outcomes_of_fault,
)

SEED = 20_261
FOLDER = pathlib.Path(__file__).parent
NOISY_SERVICE_TIMES = ServiceTimes(median_ms=8.0, sigma=0.6)
# Mean speed of a target whose slowdown is drawn log-uniformly from 1 to 4.
NOISY_SPEED = 0.541
NOISY_LOADS = (0.5, 0.7, 0.85)
NOISY_DURATIONS_MS = {"rota": 5000.0, "companeros": 3000.0}
FAULT_SIGMA = 0.35
FAULT_AT_MS = 3000.0
SECOND_FAULT_AT_MS = 4000.0
FAULT_DURATION_MS = 11_500.0
FAULT_LOADS = {"half-shed": 0.35, "all-turn-cold": 0.4, "platform-down": 0.5}
FAULT_LOAD = 0.6
PAIR_LOAD = 0.4
PAIR_COUNT = 6
BURST_FROM_MS, BURST_TO_MS = 2000.0, 2500.0
BURST_DURATION_MS = 5000.0
BURST_LOAD = 0.4
FULL_LOAD_MS = (1000.0, 4000.0)
DOUBLE_LOAD_MS = (5000.0, 8000.0)


def main():
    """Write every trace to this folder; the result is always the same."""
    for deployment in (ROTA, COMPANEROS):
        for name, trace in _traces(deployment):
            write_trace(str(FOLDER / f"{name}.jsonl.gz"), trace)
            print(f"{name}: {len(trace.calls)} calls, {len(trace.events)} events")


def _traces(deployment):
    for load in NOISY_LOADS:
        yield _noisy_trace(deployment, load)
    yield _burst_trace(deployment)
    yield _overload_trace(deployment)
    for fault in FAULTS:
        yield _fault_trace(
            deployment, fault, (fault,), FAULT_LOADS.get(fault, FAULT_LOAD)
        )
    pairs = list(itertools.combinations(FAULTS, 2))
    for pair in random.Random(f"{SEED} {deployment.name}").sample(pairs, PAIR_COUNT):
        yield _fault_trace(deployment, "-and-".join(pair), pair, PAIR_LOAD)


def _start_trace(deployment, kind):
    name = f"{deployment.name}-{kind}"
    source = random.Random(f"{SEED} {name}")
    return name, source, make_header(deployment, name, SEED)


def _noisy_trace(deployment, load):
    name, source, header = _start_trace(deployment, f"noisy-{round(load * 100)}")
    duration_ms = NOISY_DURATIONS_MS[deployment.name]
    events = draw_speed_noise(deployment, source, duration_ms)
    speed = load * NOISY_SPEED
    calls = draw_calls(
        deployment, source, NOISY_SERVICE_TIMES, lambda _: speed, duration_ms
    )
    outcomes = (*COMMON_OUTCOMES, NO_OVERRUN, ANSWERED, NEAR_ONE_QUEUE)
    return name, Trace(header, calls, tuple(events), outcomes)


def _burst_trace(deployment):
    name, source, header = _start_trace(deployment, "burst")
    service_times = ServiceTimes(deployment.fault_median_ms, FAULT_SIGMA)

    def load_at(at_ms):
        return BURST_LOAD * (3 if BURST_FROM_MS <= at_ms < BURST_TO_MS else 1)

    calls = draw_calls(deployment, source, service_times, load_at, BURST_DURATION_MS)
    outcomes = (*COMMON_OUTCOMES, NO_OVERRUN, ANSWERED, NEAR_ONE_QUEUE)
    return name, Trace(header, calls, (), outcomes)


def _overload_trace(deployment):
    name, source, header = _start_trace(deployment, "overload")
    service_times = ServiceTimes(deployment.fault_median_ms, FAULT_SIGMA)

    def load_at(at_ms):
        return 1.0 if at_ms < FULL_LOAD_MS[1] else 2.0

    calls = draw_calls(deployment, source, service_times, load_at, DOUBLE_LOAD_MS[1])
    outcomes = (
        *COMMON_OUTCOMES,
        NO_OVERRUN,
        goodput_at_double_load(FULL_LOAD_MS, DOUBLE_LOAD_MS),
    )
    return name, Trace(header, calls, (), outcomes)


def _fault_trace(deployment, kind, faults, load):
    name, source, header = _start_trace(deployment, kind)
    times_ms = (FAULT_AT_MS, SECOND_FAULT_AT_MS)
    events = []
    for fault, at_ms in zip(faults, times_ms, strict=False):
        events.extend(FAULTS[fault](deployment, source, at_ms))
    events.sort(key=lambda event: event.at_ms)
    service_times = ServiceTimes(deployment.fault_median_ms, FAULT_SIGMA)
    calls = draw_calls(
        deployment, source, service_times, lambda _: load, FAULT_DURATION_MS
    )
    if len(faults) == 1:
        outcomes = outcomes_of_fault(kind, FAULT_AT_MS)
    else:
        outcomes = (*COMMON_OUTCOMES, at_most("overruns", 0, to_ms=FAULT_AT_MS))
    return name, Trace(header, calls, tuple(events), outcomes)


if __name__ == "__main__":
    main()
