"""Test who gets the extra attempts when there are too few for all."""

import pytest

from sesamespring.routing.retry_budget import RetryBudget
from sesamespring.routing.wanted_attempts import WantedAttempts
from tests.routing.leaving_play import Kind, Place, Play

KINDS = (
    Kind("urgent", 2, 0, 0.14, 0.5, 1.5),
    Kind("middle", 2, 1, 0.08, 0.3, 1.0),
    Kind("patient", 5, 2, 0.21, 0.6, 1.2),
)
SHED_SHARE = 0.55
PER_S = 70.0
END_S = 10.0


def play(seed):
    """Play data centres in which all targets shed load."""
    place = Place(12, lambda now_s: PER_S, shed=lambda now_s: SHED_SHARE)
    places = dict.fromkeys(("dc-a", "dc-b", "dc-c"), place)
    return Play(seed, places, KINDS, END_S, slots=3).run()


@pytest.mark.parametrize("seed", range(3))
def test_most_urgent_are_refused_least_while_all_targets_shed(seed, monkeypatch):
    played = play(seed)
    urgent, *others = (played.share(kind.name, "refused") for kind in KINDS)
    assert urgent < min(others)
    with monkeypatch.context() as patched:
        patched.setattr(WantedAttempts, "more_urgent", lambda *args: 0.0)
        blind = play(seed)
    assert urgent < blind.share("urgent", "refused")
    assert played.share("all", "in goal") >= blind.share("all", "in goal") - 0.03


def budget_with(requests, window_s=10.0):
    budget = RetryBudget(0.2, 0.0, window_s)
    for number in range(requests):
        budget.record_request(number * window_s / requests)
    return budget


def test_attempt_is_kept_for_the_more_urgent_only_while_they_want_it():
    budget = budget_with(500)
    assert budget.allows(10.0, 1, priority=2)
    for _ in range(20):
        budget.record_wanted(0, 10.0)
    spent = [budget.spend(10.0, 1, priority=2) for _ in range(10)]
    assert spent == [True] * 5 + [False] * 5
    assert budget.allows(10.0, 1, priority=0)
    assert budget.allows(16.0, 1, priority=2)


def test_attempts_of_equal_urgency_are_given_as_they_come():
    budget, other = budget_with(500), budget_with(500)
    for _ in range(20):
        budget.record_wanted(2, 10.0)
    assert [budget.spend(10.0, 1, 2) for _ in range(15)] == [
        other.spend(10.0, 1) for _ in range(15)
    ]
