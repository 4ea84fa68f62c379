"""Test that replay is deterministic and that its figures count violations."""

import pathlib

import pytest

from sesamespring.cli.main import main
from sesamespring.replay import (
    POLICIES,
    PRODUCT_POLICY,
    check_outcomes,
    measure,
    read_trace,
    replay,
    write_trace,
)
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
    TargetReports,
    TargetReturns,
    TargetSheds,
    TargetSlows,
    VmDies,
    VmPauses,
    VmResumes,
    VmStarts,
    VmStops,
)
from sesamespring.replay.records import OutcomeRecord
from sesamespring.replay.simulation import Simulation
from tests.replay.support import small_trace

TRACES = pathlib.Path(__file__).parents[2] / "traces"
QUICK_TRACES = (
    "rota-noisy-50",
    "companeros-noisy-50",
    "rota-vm-dies",
    "rota-target-leaves",
    "rota-half-shed",
    "companeros-data-centre-out",
)
EVENTS = (
    TargetSlows(100, "t0", 3.0),
    TargetCold(150, "t1", 5),
    TargetSheds(200, "t2", 0.5),
    TargetFailsFast(250, "t3", 0.5),
    TargetReports(250, "t3", 0),
    TargetReturns(500, "t2"),
    TargetDrains(600, "t3"),
    LinksCut(650, "a", "b"),
    LinksRestored(700, "a", "b"),
    PlatformDown(700),
    VmDies(750, "v0"),
    PlatformSlow(800),
    VmPauses(850, "v1"),
    VmResumes(1400, "v1"),
    VmStarts(1500, "v0"),
    PlatformUp(1500),
    DataCentreOut(1500, "b"),
    DataCentreIn(1800, "b"),
    VmStops(1900, "v2"),
)


def figures_of(trace, policy):
    return measure(replay(trace, policy))


@pytest.mark.parametrize("policy", POLICIES)
@pytest.mark.parametrize("idempotent", [True, False])
def test_every_policy_ends_every_call_and_is_deterministic(policy, idempotent):
    trace = small_trace(EVENTS, interval_ms=12.0, idempotent=idempotent)
    figures = figures_of(trace, policy)
    call_outcomes = ("answered", "failed", "late", "not_run", "unknown")
    assert sum(figures[outcome] for outcome in call_outcomes) == figures["calls"] == 200
    assert figures["run_twice"] == figures["ran_despite_not_run"] == 0
    assert figures_of(trace, policy) == figures


def test_latency_is_link_delays_plus_service_time():
    trace = small_trace(calls=1)
    (call,) = replay(trace, "one-queue").calls
    service_s = trace.calls[0].service_ms / 1000
    assert call.finished_s == pytest.approx(2 * 0.001 + 2 * 0.0002 + service_s)


def test_slowed_target_multiplies_its_service_time():
    events = [TargetSlows(0, f"t{n}", 4.0) for n in range(4)]
    plain = replay(small_trace(calls=1), "one-queue").calls[0].finished_s
    slowed = replay(small_trace(events, calls=1), "one-queue").calls[0].finished_s
    service_s = small_trace(calls=1).calls[0].service_ms / 1000
    assert slowed - plain == pytest.approx(3 * service_s)


def test_policy_with_a_local_view_overruns_and_one_queue_does_not():
    trace = small_trace(interval_ms=3.0)
    assert figures_of(trace, "random")["overruns"] > 0
    assert figures_of(trace, "one-queue")["overruns"] == 0


def test_requests_beyond_cold_slots_count_as_cold_overruns():
    events = [TargetCold(0, f"t{n}", 5) for n in range(4)]
    trace = small_trace(events, interval_ms=5.0)
    assert figures_of(trace, "random")["cold_overruns"] > 0
    assert figures_of(trace, "one-queue")["cold_overruns"] == 0


def test_work_after_leaving_is_counted_only_if_no_vm_is_notified():
    trace = small_trace([TargetDrains(0, "t0")], calls=500)
    for policy in POLICIES:
        assert figures_of(trace, policy)["work_after_leaving"] == 0
    simulation = Simulation(small_trace(calls=500), POLICIES["random"], seed=1)
    simulation.schedule.at(0.0, simulation.targets["t0"].leave)
    assert measure(simulation.run())["work_after_leaving"] > 0


def test_caller_retries_at_another_vm_when_one_has_died():
    trace = small_trace([VmDies(500, "v0")], idempotent=False)
    figures = figures_of(trace, "one-queue")
    assert figures["not_run"] == figures["late"] == figures["run_twice"] == 0
    assert figures["answered"] + figures["unknown"] == 200


def test_command_exits_with_1_if_an_outcome_is_broken(tmp_path, capsys):
    path = str(tmp_path / "trace.jsonl")
    write_trace(path, small_trace(outcomes=[OutcomeRecord("answered", at_most=0)]))
    with pytest.raises(SystemExit) as exited:
        main(["replay", path, "--policy", "one-queue"])
    assert exited.value.code == 1
    printed = capsys.readouterr()
    assert printed.err == "broken: answered 200 <= 0\n"
    assert printed.out.startswith("trace=small policy=one-queue calls=200")


@pytest.mark.parametrize("name", QUICK_TRACES)
def test_product_keeps_the_outcomes_of_quick_traces(name):
    trace = read_trace(str(TRACES / f"{name}.jsonl.gz")).unwrap()
    tally = replay(trace, PRODUCT_POLICY)
    verdicts = check_outcomes(trace, PRODUCT_POLICY, None, tally)
    assert [str(verdict) for verdict in verdicts if not verdict.kept] == []
