"""Test that the checks of the soak test detect each broken promise."""

import types

import pytest

from soak.cluster import RESPONSE_PADDING
from soak.disturbances import STORE, DisturbanceLog
from soak.load import Call
from soak.promises import check_promises, check_recovery
from soak.records import Evacuation, FatalRun, LimitedPeriod, LostLinks
from standins.platform_target import Arrival, ReceivedRequest


def response_to(request_id):
    """Return the whole body with which a target of the soak answers a request."""
    return b"answer to " + request_id.encode() + RESPONSE_PADDING


def target(name="t1", **fields):
    server = types.SimpleNamespace(id=name, arrivals=[], received=[], health_checks=[])
    defaults = {
        "name": name,
        "service": "orders",
        "data_centre": "dc-a",
        "server": server,
        "draining_since_s": None,
        "cold_until_s": 0.0,
        "states_leaving_since_s": None,
        "limits": [],
    }
    return types.SimpleNamespace(**{**defaults, **fields})


def cluster(*targets, **fields):
    defaults = {
        "targets": list(targets),
        "vms": [
            types.SimpleNamespace(name=f"vm-{number}", ip=f"ip-{number}")
            for number in range(2)
        ],
        "lost_links": [],
        "disturbances": DisturbanceLog(),
        "configurations": [(1, 0.0)],
        "has_accounts": True,
        "evacuations": [],
        "fatal_paths": [],
        "fatal_runs": [],
    }
    return types.SimpleNamespace(**{**defaults, **fields})


def call(request_id="r1", **fields):
    defaults = {
        "path": "/order/1",
        "idempotent": False,
        "vm": "vm-0",
        "lifetime": 1,
        "sent_s": 10.0,
        "ended_s": 10.1,
        "status": 200,
        "body": response_to("r1"),
    }
    return Call(request_id, **{**defaults, **fields})


def broken_promises(cluster, *calls):
    breaches = check_promises(cluster, types.SimpleNamespace(calls=list(calls)))
    return {breach.promise for breach in breaches}


def run_at(fake_target, request_id="r1", at_s=10.05, accepted=True):
    fake_target.server.arrivals.append(Arrival(at_s, request_id, accepted))
    return fake_target


def test_no_breach_without_a_fault():
    assert broken_promises(cluster(run_at(target())), call()) == set()


def test_detects_a_second_run():
    targets = run_at(target("t1")), run_at(target("t2"))
    assert "at-most-once" in broken_promises(cluster(*targets), call())


@pytest.mark.parametrize("status", [401, 408, 421, 429, 503])
def test_detects_a_refusal_of_what_ran(status):
    assert "not-run" in broken_promises(cluster(run_at(target())), call(status=status))


def test_detects_an_answer_to_another_request():
    wrong = call(body=response_to("r2"))
    assert "whole-answer" in broken_promises(cluster(run_at(target())), wrong)
    assert "whole-answer" in broken_promises(cluster(target()), call())


def test_detects_an_answer_without_its_end():
    shortened = call(body=response_to("r1")[:-1])
    assert "whole-answer" in broken_promises(cluster(run_at(target())), shortened)


def test_detects_a_request_that_a_planned_stop_cut():
    fake_target = run_at(target())
    faulty_cluster = cluster(fake_target)
    faulty_cluster.disturbances.begin("vm-0", "terminated").start_s = 9.0
    assert "nothing-cut" in broken_promises(faulty_cluster, call(status=0))
    faulty_cluster.disturbances.begin("vm-0", "killed").start_s = 9.0
    assert "nothing-cut" not in broken_promises(faulty_cluster, call(status=0))


def test_detects_a_request_without_a_final_answer():
    unanswered = call(status=None, ended_s=13.4)
    assert "final-answer" in broken_promises(cluster(target()), unanswered)
    unanswered.silenced = True
    assert "final-answer" not in broken_promises(cluster(target()), unanswered)


def test_detects_work_for_a_leaving_target():
    fake_target = run_at(target(draining_since_s=5.0))
    faulty_cluster = cluster(fake_target)
    assert "leaving" in broken_promises(faulty_cluster, call())
    faulty_cluster.disturbances.begin(STORE, "away").start_s = 6.0
    assert "leaving" not in broken_promises(faulty_cluster, call())


def test_detects_work_in_a_closed_data_centre():
    fake_target = run_at(target())
    faulty_cluster = cluster(fake_target, evacuations=[Evacuation("dc-a", 4.0)])
    assert "closed-data-centre" in broken_promises(faulty_cluster, call())
    for over in (Evacuation("dc-a", 6.0), Evacuation("dc-a", 4.0, 10.0)):
        assert (
            broken_promises(cluster(fake_target, evacuations=[over]), call()) == set()
        )
    faulty_cluster.disturbances.begin("vm-0", "killed").start_s = 9.0
    assert broken_promises(faulty_cluster, call()) == set()


def test_detects_a_cold_target_overrun():
    fake_target = target(cold_until_s=12.0)
    for number in range(16):
        run_at(fake_target, f"r{number}", 10 + number / 20)
    calls = [call(f"r{number}", status=None) for number in range(16)]
    assert "cold" in broken_promises(cluster(fake_target), *calls)


def test_detects_too_many_extra_attempts():
    fake_target = target()
    for number in range(58):
        run_at(fake_target, "r1", 10 + number / 20, accepted=False)
    assert "retry-budget" in broken_promises(cluster(fake_target), call(status=503))


def test_detects_a_configuration_that_is_late_or_reverts():
    probe = {"path": "/tag-1/1", "idempotent": True, "body": response_to("r1")}
    late = call(status=404, **probe)
    assert "in-force" in broken_promises(cluster(target()), late)
    first = call(sent_s=0.5, ended_s=0.6, **probe)
    again = call(sent_s=1.0, ended_s=1.1, status=404, **probe)
    assert "never-reverts" in broken_promises(cluster(run_at(target())), first, again)


def test_detects_that_a_fatal_request_is_sent_on():
    path = "/lookup/fatal-0"
    fake_target = target()
    for number in range(8):
        run_at(fake_target, f"r{number}", 10.0 + number)
    calls = [
        call(f"r{n}", path=path, idempotent=True, status=502, sent_s=9.9 + n)
        for n in range(8)
    ]
    runs = [FatalRun(path, 8.0 + number) for number in range(3)]
    faulty_cluster = cluster(fake_target, fatal_paths=[path], fatal_runs=runs)
    # Four of the eight come when VMs must know, three are allowed.
    assert "fatal-request" in broken_promises(faulty_cluster, *calls)
    faulty_cluster.fatal_runs = runs[:2]
    assert "fatal-request" not in broken_promises(faulty_cluster, *calls)
    faulty_cluster.fatal_runs = [FatalRun(path, run.at_s + 1.0) for run in runs]
    assert "fatal-request" not in broken_promises(faulty_cluster, *calls)


def test_detects_that_too_little_is_served_after_the_faults():
    calls = [call(f"r{n}", status=200 if n else 503) for n in range(10)]
    assert check_recovery(types.SimpleNamespace(calls=calls), 9.0, 11.0)
    assert not check_recovery(types.SimpleNamespace(calls=calls[1:]), 9.0, 11.0)


def test_detects_callers_of_a_cut_off_vm_that_are_not_served():
    lost = LostLinks({"vm-0"}, 5.0, 20.0)
    calls = [
        call(
            f"r{number}", vm=f"vm-{number % 2}", status=503 if number % 2 == 0 else 404
        )
        for number in range(40)
    ]
    for served in calls[1::2]:
        served.status = 200
    faulty_cluster = cluster(target(), lost_links=[lost])
    assert "lost-links" in broken_promises(faulty_cluster, *calls)
    faulty_cluster.disturbances.begin("vm-0", "links lost").start_s = 5.0
    assert "lost-links" in broken_promises(faulty_cluster, *calls)
    both_cut = cluster(target(), lost_links=[lost])
    both_cut.disturbances.begin("vm-1", "links lost").start_s = 6.0
    assert "lost-links" not in broken_promises(both_cut, *calls)
    faulty_cluster.disturbances.begin("vm-0", "killed").start_s = 9.0
    assert "lost-links" not in broken_promises(faulty_cluster, *calls)


def test_vm_without_links_is_not_compared_when_no_other_has_any():
    lost = LostLinks({"vm-0"}, 5.0, 40.0)
    before = [call(f"b{n}", vm=f"vm-{n % 2}", sent_s=10.0) for n in range(40)]
    after = [call(f"a{n}", sent_s=20.0, ended_s=20.1, status=504) for n in range(40)]
    faulty_cluster = cluster(target(), lost_links=[lost])
    assert "lost-links" in broken_promises(faulty_cluster, *before, *after)
    faulty_cluster.disturbances.begin("vm-1", "links lost").start_s = 15.0
    assert "lost-links" not in broken_promises(faulty_cluster, *before, *after)
    for failed in before[::2]:
        failed.status = 504
    assert "lost-links" in broken_promises(faulty_cluster, *before, *after)


def test_detects_requests_at_a_target_that_asked_for_a_backoff():
    fake_target = target()
    fake_target.server.arrivals.append(Arrival(10.0, "r0", False, "ip-0", 2.0))
    for number in range(3):
        arrival = Arrival(11.0 + number / 10, f"r{number}", True, "ip-0")
        fake_target.server.arrivals.append(arrival)
    calls = [call(f"r{number}") for number in range(3)]
    faulty_cluster = cluster(fake_target)
    assert "requested-backoff" in broken_promises(faulty_cluster, *calls)
    faulty_cluster.disturbances.begin("vm-0", "killed").start_s = 10.5
    assert "requested-backoff" not in broken_promises(faulty_cluster, *calls)


def test_detects_requests_at_a_target_that_says_it_is_leaving():
    fake_target = target(states_leaving_since_s=5.0)
    for number, at_s in enumerate((5.5, 7.6)):
        arrival = Arrival(at_s, f"r{number}", True, "ip-0")
        fake_target.server.arrivals.append(arrival)
    calls = [call("r0"), call("r1")]
    faulty_cluster = cluster(fake_target)
    assert "stated-leaving" in broken_promises(faulty_cluster, *calls)
    faulty_cluster.disturbances.begin("vm-0", "paused").start_s = 6.0
    assert "stated-leaving" not in broken_promises(faulty_cluster, *calls)


def test_detects_more_requests_than_the_limit_that_a_target_states():
    fake_target = target(limits=[LimitedPeriod(1.0, 10.0, 20.0)])
    # Windows that end sooner than 5 s after the statement do not count.
    early = [10.1 + number / 100 for number in range(20)]
    late = [15.0 + number / 10 for number in range(12)]
    for number, at_s in enumerate(early + late[:11]):
        arrival = Arrival(at_s, f"r{number}", True, "ip-0")
        fake_target.server.arrivals.append(arrival)
    assert "limit" not in broken_promises(cluster(fake_target), call("r0"))
    # Health checks count as well.
    fake_target.server.health_checks.append(late[11])
    faulty_cluster = cluster(fake_target)
    assert "limit" in broken_promises(faulty_cluster, call("r0"))
    faulty_cluster.disturbances.begin("t1", "garbles").start_s = 12.0
    assert "limit" not in broken_promises(faulty_cluster, call("r0"))


def ran_as(*fields):
    """Return a target that ran request "r1" with these headers."""
    fake_target = run_at(target())
    run = ReceivedRequest("r1", "GET", "/order/1", b"", 100, list(fields))
    fake_target.server.received.append(run)
    return fake_target


NORTH = ("sesamespring-tenant", "north")
LASTING = "k-north-5e1d"


def test_detects_a_run_without_its_account():
    for fields, key, broken in [
        ([NORTH], LASTING, set()),
        ([], LASTING, {"key-in-force"}),
        ([NORTH, NORTH], LASTING, {"key-in-force"}),
        ([("sesamespring-tenant", "forged")], LASTING, {"key-in-force"}),
        ([NORTH], "k-nobody-77af", {"key-in-force"}),
        ([NORTH, ("sesamespring-credential", LASTING)], LASTING, {"key-passed-on"}),
    ]:
        assert broken_promises(cluster(ran_as(*fields)), call(key=key)) == broken
    refused = call(key=LASTING, status=401, body=b"")
    assert broken_promises(cluster(target()), refused) == {"key-refused"}


def test_detects_a_run_with_a_key_that_was_taken_away():
    gone = cluster(ran_as(NORTH), configurations=[(1, 0.0), (4, 7.0)])
    assert broken_promises(gone, call(key="k-version-1")) == {"key-in-force"}
    assert broken_promises(gone, call(key="k-version-4")) == set()
    gone.disturbances.begin("vm-0", "killed").start_s = 8.0
    assert broken_promises(gone, call(key="k-version-1")) == set()


def test_detects_a_key_that_came_back():
    calls = [
        call(key="k-version-1", sent_s=at_s, ended_s=at_s + 0.1, status=status)
        for at_s, status in [(1.0, 200), (2.0, 401), (3.0, 200)]
    ]
    fake = cluster(run_at(target()))
    assert "key-never-back" in broken_promises(fake, *calls)
    assert "key-never-back" not in broken_promises(fake, *calls[:2])


def test_detects_an_account_that_is_starved():
    keys = {LASTING: 10, "k-south-09bc": 60}
    calls = [
        call(key=key, status=200 if number < served else 503, body=b"")
        for key, served in keys.items()
        for number in range(60)
    ]
    broken = broken_promises(cluster(target()), *calls)
    assert "account-starved" not in broken
    for each in calls[5:10]:
        each.status = 503
    assert "account-starved" in broken_promises(cluster(target()), *calls)
