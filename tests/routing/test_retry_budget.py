"""Test how many extra attempts are made, at one VM and at several together."""

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


def test_nearly_the_whole_ratio_can_be_used():
    budget = RetryBudget(RATIO, SLACK, 10.0)
    for number in range(1000):
        budget.record_request(number / 100)
    spent = spend_all(budget, 9.99)
    assert 0.85 * RATIO * 1000 <= spent <= RATIO * 1000 + SLACK


def test_vms_that_do_not_know_of_each_other_keep_to_the_sum():
    budgets = [RetryBudget(RATIO, SLACK, 10.0) for _ in range(VMS)]
    for number in range(1000):
        budgets[number % VMS].record_request(number / 100)
    assert sum(spend_all(b, 9.99) for b in budgets) <= RATIO * 1000 + SLACK


def test_request_that_another_vm_may_have_counted_earns_nothing_here():
    scheduler = make_scheduler(make_target("a", slots=1), retry_slack=0.0)
    now_s = 0.0
    for number in range(50):
        now_s = number / 10
        scheduler.submit(
            make_request(now_s, timeout_s=9.0, counted_elsewhere=True), now_s
        )
    again = make_request(now_s, timeout_s=9.0)
    assert not scheduler.may_retry(again, now_s)
