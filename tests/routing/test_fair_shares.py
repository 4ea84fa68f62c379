"""Test who gets the slots when client accounts compete for too few of them."""

import collections
import heapq
import itertools
import random

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from sesamespring.routing.fair_shares import FairShares
from sesamespring.routing.messages import Dispatch
from sesamespring.routing.records import Account
from tests.routing.support import (
    attempt_ended,
    learn_service_time,
    make_request,
    make_scheduler,
    make_target,
)

ACCOUNTS = 72
LARGE = 6
WORK_S = 0.2
GOAL_S = 0.5
TIMEOUT_S = 4.0
REPLAN_S = 0.025
TARGETS = 8
CAPACITY_PER_S = TARGETS * 2 / WORK_S
PLAY_S = 25.0


def usual_rates(load):
    """Return the requests per second of each account, a few of them large.

    Args:
        load: All of them together, as a multiple of what the targets bear.
    """
    sizes = [12.0 if number < LARGE else 1.0 for number in range(ACCOUNTS)]
    scale = load * CAPACITY_PER_S / sum(sizes)
    return {f"a{number:02}": size * scale for number, size in enumerate(sizes)}


@attrs.define
class Tally:
    """What became of the requests of one account."""

    asked: int = 0
    in_time: int = 0
    served: int = 0


def play(rates, accounts, seed=1, repeats=frozenset()):
    """Play Poisson arrivals in virtual time and return the Tally of each account.

    Args:
        rates: Dict of requests per second by account.
        accounts: Dict of Account by name, or None to schedule without accounts.
        seed: Seed of the arrivals.
        repeats: Names of accounts that repeat a refused request at once.
    """
    generator = random.Random(seed)
    scheduler = make_scheduler(*(make_target(f"t{n}") for n in range(TARGETS)))
    start_s = learn_service_time(scheduler, taken_s=WORK_S * 0.7)
    scheduler.shares.set_accounts(accounts)
    tallies = collections.defaultdict(Tally)
    order = itertools.count()
    events = [(start_s, next(order), "replan", None)]
    arrived = {}

    def push(at_s, kind, what):
        heapq.heappush(events, (at_s, next(order), kind, what))

    def ask(name, arrived_s, now_s):
        request = make_request(arrived_s, GOAL_S, TIMEOUT_S, account=name)
        request.queued_s = now_s
        arrived[request.number] = arrived_s
        handle(scheduler.submit(request, now_s), now_s)

    def handle(commands, now_s):
        for command in commands:
            name = command.request.account
            if isinstance(command, Dispatch):
                taken_s = WORK_S * generator.uniform(0.8, 1.2)
                push(now_s + taken_s, "end", (command, taken_s))
            elif name in repeats:
                push(
                    now_s + 0.001, "repeat", (name, arrived.pop(command.request.number))
                )

    for name, rate in rates.items():
        at_s = start_s
        while (at_s := at_s + generator.expovariate(rate)) < start_s + PLAY_S:
            push(at_s, "arrival", name)
    while events:
        now_s, _, kind, what = heapq.heappop(events)
        if kind == "arrival":
            tallies[what].asked += 1
            ask(what, now_s, now_s)
        elif kind == "repeat":
            name, first_s = what
            if now_s < first_s + TIMEOUT_S:
                ask(name, first_s, now_s)
        elif kind == "end":
            command, taken_s = what
            request = command.request
            scheduler.withdraw(request)
            # The first answer counts, also of a request that was hedged.
            if arrived.pop(request.number, None) is not None:
                tallies[request.account].served += 1
                tallies[request.account].in_time += now_s <= request.due_s
            handle(
                scheduler.finish_attempt(
                    attempt_ended(command, taken_s=taken_s), now_s
                ),
                now_s,
            )
        else:
            handle(scheduler.advance(now_s), now_s)
            if now_s < start_s + PLAY_S + TIMEOUT_S:
                push(now_s + REPLAN_S, "replan", None)
    return tallies


def worst_tenth(tallies, without=()):
    """Return the mean share in time of the tenth of accounts that fares worst."""
    shares = sorted(
        tally.in_time / tally.asked
        for name, tally in tallies.items()
        if name not in without
    )
    count = len(shares) // 10
    return sum(shares[:count]) / count


def with_quotas(rates):
    return {n: Account(n, None, rate * 1.3, rate * 1.3) for n, rate in rates.items()}


def without_quotas(rates):
    return {name: Account(name, None) for name in rates}


def test_account_that_sends_ten_times_its_usual_costs_only_itself():
    usual = usual_rates(0.7)
    hot = {**usual, "a00": usual["a00"] * 10}
    quotas = with_quotas(usual)
    calm = worst_tenth(play(usual, quotas), {"a00"})
    assert worst_tenth(play(hot, None), {"a00"}) < calm - 0.3
    for accounts in (quotas, without_quotas(usual)):
        tallies = play(hot, accounts)
        assert worst_tenth(tallies, {"a00"}) > calm - 0.03
        assert tallies["a00"].served > tallies["a00"].asked / 4


@pytest.mark.parametrize("load", [1.5, 2.5])
def test_no_account_is_starved_while_all_ask_for_too_much(load):
    rates = usual_rates(load)
    before, after = play(rates, None), play(rates, with_quotas(rates))
    assert worst_tenth(after) > worst_tenth(before) + 0.1
    served = sum(tally.served for tally in after.values())
    share = served / sum(tally.asked for tally in after.values())
    assert all(t.served / t.asked > share / 4 for t in after.values())


def test_accounts_that_repeat_at_once_gain_nothing():
    rates = usual_rates(1.5)
    repeats = {f"a{number:02}" for number in (0, 1, 20, 21, 22, 23)}

    def in_time(tallies, names):
        asked = sum(tallies[name].asked for name in names)
        return sum(tallies[name].in_time for name in names) / asked

    patient = play(rates, with_quotas(rates))
    abusive = play(rates, with_quotas(rates), repeats=repeats)
    assert in_time(abusive, repeats) < in_time(patient, repeats) + 0.03
    others = rates.keys() - repeats
    assert in_time(abusive, others) > in_time(patient, others) - 0.03


def test_requests_without_an_account_are_scheduled_as_before():
    plays = []
    for accounts in (None, with_quotas({"x": 1.0})):
        tallies = play({"": 1.5 * CAPACITY_PER_S}, accounts)
        plays.append(attrs.astuple(tallies[""]))
    assert plays[0] == plays[1]


def requests_of(letters, **changes):
    return [make_request(account=letter, **changes) for letter in letters]


def names(requests):
    return "".join(request.account for request in requests)


def one_second(request):
    return 1.0


def make_shares(**rates):
    shares = FairShares()
    shares.set_accounts({n: Account(n, None, rate) for n, rate in rates.items()})
    return shares


def test_accounts_take_turns_by_weight():
    shares = make_shares(a=2.0, b=1.0)
    order = names(shares.order(requests_of("a" * 60 + "b" * 60), one_second))
    # Burst included, which differs by a request between the two.
    assert all(abs(order[:n].count("a") - n * 2 / 3) <= 2 for n in range(90))


def test_account_that_asked_for_less_goes_first_but_saves_up_only_a_burst():
    shares = make_shares(a=1.0, b=1.0)
    for request in requests_of("a" * 50):
        shares.record(request, 1.0)
    assert names(shares.order(requests_of("aaaabbbbb"), one_second))[:3] == "bbb"
    assert (
        names(shares.order(requests_of("aaaabbbbb"), one_second))[3:7].count("a") == 2
    )


def test_more_urgent_requests_go_first_and_unknown_accounts_share_a_weight():
    shares = make_shares(a=1.0)
    urgent = requests_of("zz", priority=0)
    order = shares.order([*urgent, *requests_of("xyxya")], one_second)
    assert order[:2] == urgent
    assert names(order[2:]) == "xayxy"
    assert names(shares.order(requests_of("xyxya"), one_second, limit=2)) == "xa"


@given(st.lists(st.tuples(st.integers(0, 2), st.sampled_from("abcx")), max_size=30))
def test_order_keeps_all_requests_and_the_order_of_each_account(pairs):
    shares = make_shares(a=1.0, b=3.0, c=0.0)
    requests = [make_request(priority=p, account=name) for p, name in sorted(pairs)]
    for request in requests[::2]:
        shares.record(request, 0.3)
    order = shares.order(requests, one_second, ahead=requests[:3])
    assert sorted(r.number for r in order) == [r.number for r in requests]
    for name in "abc":
        numbers = [r.number for r in order if r.account == name]
        assert numbers == sorted(numbers)
    assert [r.priority for r in order] == [r.priority for r in requests]
