"""Test that the soak's checks see each broken promise."""

import types

import pytest

from soak.cluster import Closure
from soak.disturbances import STORE, Disturbances
from soak.load import Call
from soak.promises import check_promises, check_recovery
from standins.platform_target import Arrival


def target(name="t1", **fields):
    server = types.SimpleNamespace(id=name, arrivals=[])
    usual = {
        "name": name,
        "service": "orders",
        "data_centre": "dc-a",
        "server": server,
        "leaving_since_s": None,
        "cold_until_s": 0.0,
    }
    return types.SimpleNamespace(**{**usual, **fields})


def cluster(*targets, **fields):
    usual = {
        "targets": list(targets),
        "vms": [types.SimpleNamespace(name="vm-0")],
        "disturbances": Disturbances(),
        "configurations": [(1, 0.0)],
        "closures": [],
    }
    return types.SimpleNamespace(**{**usual, **fields})


def call(request_id="r1", **fields):
    usual = {
        "path": "/order/1",
        "idempotent": False,
        "vm": "vm-0",
        "lifetime": 1,
        "sent_s": 10.0,
        "ended_s": 10.1,
        "status": 200,
        "body": b"answer to r1",
    }
    return Call(request_id, **{**usual, **fields})


def promises(cluster, *calls):
    found = check_promises(cluster, types.SimpleNamespace(calls=list(calls)))
    return {breach.promise for breach in found}


def ran(place, request_id="r1", at_s=10.05, accepted=True):
    place.server.arrivals.append(Arrival(at_s, request_id, accepted))
    return place


def test_nothing_is_broken_where_all_went_well():
    assert promises(cluster(ran(target())), call()) == set()


def test_sees_a_second_run():
    places = ran(target("t1")), ran(target("t2"))
    assert "at-most-once" in promises(cluster(*places), call())


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_sees_a_refusal_of_what_ran(status):
    assert "not-run" in promises(cluster(ran(target())), call(status=status))


def test_sees_an_answer_to_another_request():
    wrong = call(body=b"answer to r2")
    assert "whole-answer" in promises(cluster(ran(target())), wrong)
    assert "whole-answer" in promises(cluster(target()), call())


def test_sees_a_request_that_a_planned_stop_cut():
    place = ran(target())
    seen = cluster(place)
    seen.disturbances.begin("vm-0", "terminated").start_s = 9.0
    assert "nothing-cut" in promises(seen, call(status=0))
    seen.disturbances.begin("vm-0", "killed").start_s = 9.0
    assert "nothing-cut" not in promises(seen, call(status=0))


def test_sees_a_request_without_a_final_answer():
    silent = call(status=None, ended_s=13.4)
    assert "final-answer" in promises(cluster(target()), silent)


def test_sees_work_for_a_leaving_target():
    place = ran(target(leaving_since_s=5.0))
    seen = cluster(place)
    assert "leaving" in promises(seen, call())
    seen.disturbances.begin(STORE, "away").start_s = 6.0
    assert "leaving" not in promises(seen, call())


def test_sees_work_in_a_closed_data_centre():
    place = ran(target())
    seen = cluster(place, closures=[Closure("dc-a", 4.0)])
    assert "closed-data-centre" in promises(seen, call())
    for over in (Closure("dc-a", 6.0), Closure("dc-a", 4.0, 10.0)):
        assert promises(cluster(place, closures=[over]), call()) == set()
    seen.disturbances.begin("vm-0", "killed").start_s = 9.0
    assert promises(seen, call()) == set()


def test_sees_a_cold_target_overrun():
    place = target(cold_until_s=12.0)
    for number in range(16):
        ran(place, f"r{number}", 10 + number / 20)
    calls = [call(f"r{number}", status=None) for number in range(16)]
    assert "cold" in promises(cluster(place), *calls)


def test_sees_too_many_extra_attempts():
    place = target()
    for number in range(58):
        ran(place, "r1", 10 + number / 20, accepted=False)
    assert "retry-budget" in promises(cluster(place), call(status=503))


def test_sees_a_configuration_that_is_late_or_reverts():
    probe = {"path": "/tag-1/1", "idempotent": True, "body": b"answer to r1"}
    late = call(status=404, **probe)
    assert "in-force" in promises(cluster(target()), late)
    first = call(sent_s=0.5, ended_s=0.6, **probe)
    again = call(sent_s=1.0, ended_s=1.1, status=404, **probe)
    assert "never-reverts" in promises(cluster(ran(target())), first, again)


def test_sees_that_too_little_is_served_after_the_faults():
    calls = [call(f"r{n}", status=200 if n else 503) for n in range(10)]
    assert check_recovery(types.SimpleNamespace(calls=calls), 9.0, 11.0)
    assert not check_recovery(types.SimpleNamespace(calls=calls[1:]), 9.0, 11.0)
