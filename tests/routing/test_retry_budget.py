"""Test the limit on extra attempts, at one VM and over several VMs."""

from sesamespring.routing.retry_budget import RetryBudget
from tests.routing.support import make_request, make_scheduler, make_target

RATIO = 0.2
SLACK = 20
VMS = 10


def spend_all(budget, now_s):
    count = 0
    while budget.spend(now_s, VMS):
        count += 1
    return count


def test_at_least_85_percent_of_the_ratio_can_be_spent():
    budget = RetryBudget(RATIO, SLACK, 10.0)
    for number in range(1000):
        budget.record_request(number / 100)
    spent = spend_all(budget, 9.99)
    assert 0.85 * RATIO * 1000 <= spent <= RATIO * 1000 + SLACK


def test_several_vms_together_stay_within_the_total_budget():
    budgets = [RetryBudget(RATIO, SLACK, 10.0) for _ in range(VMS)]
    for number in range(1000):
        budgets[number % VMS].record_request(number / 100)
    assert sum(spend_all(b, 9.99) for b in budgets) <= RATIO * 1000 + SLACK


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
