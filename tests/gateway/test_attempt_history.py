"""Test which final response follows from the attempts of a request."""

import types

import pytest

from sesamespring.gateway.callers.attempt_history import AttemptHistory, LocalResponse
from sesamespring.gateway.targets.attempt_data import AttemptResult, TargetResponse
from sesamespring.routing.messages import AttemptEnded, Outcome


def history_of(*outcomes, status=500):
    history = AttemptHistory()
    for outcome in outcomes:
        response = None
        if outcome is Outcome.FAILED:
            response = TargetResponse(status, [], b"")
        entry = types.SimpleNamespace()
        end = AttemptEnded(1, outcome, 0.1)
        history.record(AttemptResult(end, entry, response))
    return history


@pytest.mark.parametrize(
    "outcomes",
    [(), (Outcome.REJECTED,), (Outcome.NOT_SENT, Outcome.MISDIRECTED)],
)
def test_request_that_has_not_run_is_refused_with_a_time_to_come_back(outcomes):
    response = history_of(*outcomes).final_response("quarantined", 2.0)
    assert response == LocalResponse(503, "quarantined", 2.0)


@pytest.mark.parametrize(
    "outcomes",
    [
        (Outcome.BROKEN,),
        (Outcome.BROKEN, Outcome.REJECTED),
        (Outcome.TIMED_OUT, Outcome.NOT_SENT),
    ],
)
def test_request_that_may_have_run_is_not_said_to_be_refused(outcomes):
    response = history_of(*outcomes).final_response("quarantined", 2.0)
    assert (response.status, response.retry_after_s) == (502, None)


def test_failure_of_a_target_is_passed_on():
    response = history_of(Outcome.FAILED, Outcome.BROKEN).final_response("r", 1.0)
    assert isinstance(response, TargetResponse)
    assert response.status == 500


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_failure_of_a_target_that_looks_like_a_refusal_is_not_passed_on(status):
    response = history_of(Outcome.FAILED, status=status).final_response("r", 1.0)
    assert (response.status, response.retry_after_s) == (502, None)
