"""Test the limit on extra attempts, at one VM and over several VMs."""

import pytest

from sesamespring.routing.messages import Dispatch, RefusalReason
from sesamespring.routing.retry_budget import RetryBudget
from tests.routing.support import make_request, make_scheduler, make_target

RATIO = 0.2
SLACK = 20
WINDOW_S = 10.0
VMS = 10


def spend_all(budget, now_s):
    count = 0
    while budget.spend(now_s, VMS):
        count += 1
    return count


def test_at_least_85_percent_of_the_ratio_can_be_spent():
    budget = RetryBudget(RATIO, SLACK, WINDOW_S)
    spent = 0
    for number in range(1000):
        budget.record_request(number / 100)
        spent += spend_all(budget, number / 100)
    assert 0.85 * RATIO * 1000 <= spent <= RATIO * 1000 + SLACK


def test_slack_that_was_used_is_there_again_after_a_window():
    budget = RetryBudget(RATIO, SLACK, WINDOW_S)
    assert [spend_all(budget, now_s) for now_s in (0.0, 9.0, 11.0, 30.0)] == [
        1,
        0,
        1,
        1,
    ]


def test_service_with_few_requests_earns_an_extra_attempt():
    budget = RetryBudget(RATIO, 0.0, WINDOW_S)
    for number in range(10):
        budget.record_request(float(number))
    assert spend_all(budget, 9.5) == 1


def test_several_vms_together_stay_within_the_total_budget():
    budgets = [RetryBudget(RATIO, SLACK, WINDOW_S) for _ in range(VMS)]
    for number in range(1000):
        budgets[number % VMS].record_request(number / 100)
    assert sum(spend_all(b, 9.99) for b in budgets) <= RATIO * 1000 + SLACK


@pytest.mark.parametrize("restart_s", [10.5, 13.0, 17.0])
@pytest.mark.parametrize("fault_s", [0.0, 8.0, 10.0, 12.0])
def test_restart_of_all_vms_does_not_double_the_budget(fault_s, restart_s):
    rate = 100
    budgets = [RetryBudget(RATIO, SLACK, WINDOW_S) for _ in range(VMS)]
    spent = []
    for number in range(30 * rate):
        now_s = number / rate
        if now_s == restart_s:
            budgets = [RetryBudget(RATIO, SLACK, WINDOW_S) for _ in range(VMS)]
        # One VM decides; the others use their shares of the slack.
        budgets[0].record_request(now_s)
        if now_s >= fault_s:
            count = sum(spend_all(budget, now_s) for budget in budgets)
            spent += [now_s] * count
    for first, start_s in enumerate(spent):
        window = [at_s for at_s in spent[first:] if at_s < start_s + WINDOW_S]
        assert len(window) <= RATIO * rate * WINDOW_S + SLACK


def test_request_counted_elsewhere_does_not_raise_the_budget():
    scheduler = make_scheduler(make_target("a", slots=1), retry_slack=0.0)
    now_s = 0.0
    for number in range(50):
        now_s = number / 10
        scheduler.submit(
            make_request(now_s, timeout_s=9.0, counted_elsewhere=True), now_s
        )
    retried = make_request(now_s, timeout_s=9.0)
    assert not scheduler.may_retry(retried, now_s)


def extra_attempts(scheduler, now_s):
    """Return how many extra attempts a scheduler dispatches at once."""
    count = 0
    while True:
        request = make_request(now_s, timeout_s=9.0, extra=True, counted_elsewhere=True)
        (command,) = scheduler.submit(request, now_s)
        if not isinstance(command, Dispatch):
            return count
        count += 1


@pytest.mark.parametrize("vms", [12, 97])
@pytest.mark.parametrize("parts", [1, 2, 3, 4, 12])
def test_parts_of_a_divided_network_together_stay_within_the_slack(vms, parts):
    slack = 56.0
    total = 0
    for number in range(vms):
        heard = vms // parts + (number % parts < vms % parts)
        scheduler = make_scheduler(make_target("a", slots=1000), retry_slack=slack)
        is_decider = number < parts
        scheduler.targets.set_vms(heard, not is_decider, vms_known=vms)
        total += extra_attempts(scheduler, 1.0)
    assert total <= slack


@pytest.mark.parametrize("vms", [12, 133])
@pytest.mark.parametrize("parts", [1, 2, 4])
def test_deciders_of_long_standing_use_half_of_the_slack_and_no_more(vms, parts):
    slack = 200.0
    total = 0
    for number in range(vms):
        heard = vms // parts + (number % parts < vms % parts)
        scheduler = make_scheduler(make_target("a", slots=1000), retry_slack=slack)
        is_decider = number < parts
        scheduler.targets.set_vms(heard, not is_decider, vms_known=vms)
        (command,) = scheduler.submit(make_request(0.0, timeout_s=99.0), 0.0)
        assert isinstance(command, Dispatch)
        spent = extra_attempts(scheduler, 2 * WINDOW_S)
        if is_decider:
            assert spent >= 0.5 * slack * heard / vms - 1
        total += spent
    assert total <= slack


@pytest.mark.parametrize("takeover_s", [0.5, 4.0, 9.0])
def test_deciders_that_follow_one_another_stay_within_the_slack(takeover_s):
    vms, slack = 133, 200.0
    total = 0
    begins_s = 2 * WINDOW_S
    for number in range(5):
        scheduler = make_scheduler(make_target("a", slots=1000), retry_slack=slack)
        scheduler.targets.set_vms(vms, False, vms_known=vms)
        # The first one has decided for long, each other one since the last one ended.
        since_s = begins_s + number * takeover_s if number else 0.0
        scheduler.submit(make_request(since_s, timeout_s=99.0), since_s)
        spends_s = max(begins_s, since_s)
        if spends_s < begins_s + WINDOW_S:
            total += extra_attempts(scheduler, spends_s)
    assert total <= slack


def test_service_with_few_requests_keeps_nothing_that_nobody_wants():
    budget = RetryBudget(RATIO, 0.0, WINDOW_S)
    for number in range(10):
        budget.record_request(float(number))
    budget.record_wanted(0, 8.0)
    assert budget.spend(9.5, VMS, priority=1)


def test_retry_that_the_budget_does_not_allow_is_refused_at_once():
    scheduler = make_scheduler(make_target("a", slots=1), retry_slack=0.0)
    scheduler.submit(make_request(), 0.0)
    (command,) = scheduler.submit(make_request(timeout_s=9.0, extra=True), 0.1)
    assert command.reason is RefusalReason.NO_ATTEMPT_LEFT
    assert scheduler.waiting == 0
