"""Test invariants of the product under random sequences of faults."""

from hypothesis import given, settings
from hypothesis import strategies as st

from sesamespring.replay import PRODUCT_POLICY, measure, replay
from sesamespring.replay.event_records import (
    DataCentreIn,
    DataCentreOut,
    LinksCut,
    LinksRestored,
    PlatformDown,
    PlatformSlow,
    PlatformUp,
    TargetCold,
    TargetDrains,
    TargetFailsFast,
    TargetReturns,
    TargetSheds,
    TargetSlows,
    VmDies,
    VmPauses,
    VmResumes,
    VmStarts,
    VmStops,
)
from tests.replay.support import small_trace

LENGTH_MS = 3000
TIMES_MS = st.integers(0, LENGTH_MS)
TARGETS = st.sampled_from(["t0", "t1", "t2", "t3"])
VMS = st.sampled_from(["v0", "v1", "v2", "v3"])
DATA_CENTRES = st.sampled_from(["a", "b"])
TARGET_FAULTS = st.one_of(
    st.builds(TargetSlows, TIMES_MS, TARGETS, st.sampled_from([0.5, 4.0])),
    st.builds(TargetCold, TIMES_MS, TARGETS, st.integers(1, 10)),
    st.builds(TargetSheds, TIMES_MS, TARGETS, st.sampled_from([0.5, 1.0])),
    st.builds(TargetFailsFast, TIMES_MS, TARGETS, st.sampled_from([0.5, 1.0])),
    st.builds(TargetDrains, TIMES_MS, TARGETS),
    st.builds(TargetReturns, TIMES_MS, TARGETS),
    st.builds(DataCentreOut, TIMES_MS, DATA_CENTRES),
    st.builds(DataCentreIn, TIMES_MS, DATA_CENTRES),
    st.builds(PlatformDown, TIMES_MS),
    st.builds(PlatformUp, TIMES_MS),
)
VM_FAULTS = st.one_of(
    st.builds(VmDies, TIMES_MS, VMS),
    st.builds(VmPauses, TIMES_MS, VMS),
    st.builds(VmResumes, TIMES_MS, VMS),
    st.builds(VmStarts, TIMES_MS, VMS),
    st.builds(VmStops, TIMES_MS, VMS),
    st.builds(LinksCut, TIMES_MS, st.just("a"), st.just("b")),
    st.builds(LinksRestored, TIMES_MS, st.just("a"), st.just("b")),
    st.builds(PlatformSlow, TIMES_MS),
)


def figures_of(events, idempotent, interval_ms):
    calls = int(LENGTH_MS / interval_ms)
    trace = small_trace(
        events, calls=calls, interval_ms=interval_ms, idempotent=idempotent
    )
    return measure(replay(trace, PRODUCT_POLICY))


def check_guarantees(figures):
    call_outcomes = ("answered", "failed", "late", "not_run", "unknown")
    assert sum(figures[outcome] for outcome in call_outcomes) == figures["calls"]
    assert figures["run_twice"] == 0
    assert figures["ran_despite_not_run"] == 0


@settings(max_examples=40)
@given(st.lists(TARGET_FAULTS, max_size=8), st.booleans(), st.sampled_from([5.0, 15.0]))
def test_no_overrun_without_faults_of_vms_and_links(events, idempotent, interval_ms):
    figures = figures_of(events, idempotent, interval_ms)
    check_guarantees(figures)
    assert figures["overruns"] == 0


@settings(max_examples=60)
@given(
    st.lists(TARGET_FAULTS | VM_FAULTS, max_size=10),
    st.booleans(),
    st.sampled_from([5.0, 15.0]),
)
def test_guarantees_to_callers_hold_through_all_faults(events, idempotent, interval_ms):
    check_guarantees(figures_of(events, idempotent, interval_ms))
