"""Test in virtual time that accounts keep to quotas and get what lies within them.

The windows' bound is the rule's. What lies within the quota is what one bucket for the
whole fleet would have admitted. Bounds for what is refused of it, by kind of fault:

- none: what an account got lags behind what one bucket would have given by the tokens
  in the deciders' reserves, and by what is earned while borrowers refuse without an
  ask and an ask is on its way. The lag does not add up. Where datagrams are lost, three
  lost asks in a row leave a lender out for ``SILENCE_S``: 1 in 100 is the bound there.
- the lender of an account fails: the account has no lender for about ``SILENT_S``, and
  for ``START_S`` a part of its rate; then it earns its burst anew, all within a window.
- VMs are gone for good: the others can't tell that from a divided network.
- the network is divided: each part has its share of the quota as long as it lasts; what
  one part does not use, another one does not get.
"""

import itertools

import pytest

from sesamespring.routing.account_admission import REFUSE_S, Verdict
from sesamespring.routing.lender_asks import SendAsk
from sesamespring.routing.quotas import QuotaTerms, home_service, part_of_network
from sesamespring.routing.records import Account
from sesamespring.routing.token_borrower import ANSWER_VALID_S, AskSeries
from sesamespring.routing.token_lender import START_S, Ask, Gift, TokenLender
from tests.routing.quota_fleet import ROUND_TRIP_S, TERMS, Fleet, ideal

WINDOW_S = TERMS.window_s
STEADY_LOSS_MAX = 0.01
START_LOAD_S = 10.0
FAULT_S = 20.0
END_S = 42.0
FAULTS_APART_S = 0.5
FROZEN_S = 5.0
LARGE = Account("large", None, 40.0, 40.0)


def skewed(count):
    """Return accounts of which a few are large."""
    return [
        Account(f"a{n}", None, max(1.0, 40 / (1 + n)), max(2.0, 40 / (1 + n)))
        for n in range(count)
    ]


def loaded(vms, accounts, load, seed=1, lossy=True, hot="", services=4):
    """Return a Fleet under a load relative to the quotas, ten times that for one."""
    fleet = Fleet(vms, accounts, services, seed, lossy)
    for number, account in enumerate(accounts):
        used = fleet.services[: 1 + number % services]
        factor = 10 if account.name == hot else 1
        per_s = account.rate_per_s * load * factor / len(used)
        for service in used:
            fleet.load(account.name, service, per_s, START_LOAD_S, END_S)
    return fleet


def decider(fleet, service):
    name = next(n for n in fleet.names if n in fleet.up)
    return fleet.orders[name][service][0]


def each_decider(fault):
    def schedule(fleet):
        for number, service in enumerate(fleet.services):
            at_s = FAULT_S + FAULTS_APART_S * number
            fleet.at(at_s, lambda s=service: fault(fleet, decider(fleet, s)))

    return schedule


def kill_and_start(fleet, name):
    fleet.kill(name)
    fleet.at(fleet.now_s + 1.0, fleet.start, name)


def divide(parts):
    def schedule(fleet):
        fleet.at(FAULT_S, fleet.divide, parts)
        fleet.at(FAULT_S + 7, fleet.divide, 1)

    return schedule


def start_all_again(fleet):
    def fault():
        for name in fleet.names:
            fleet.kill(name)
            fleet.at(fleet.now_s + fleet.rng.uniform(0.5, 2), fleet.start, name)

    fleet.at(FAULT_S, fault)


FAULTS = {
    "killed": each_decider(lambda fleet, name: fleet.kill(name)),
    "restarted": each_decider(kill_and_start),
    "paused": each_decider(lambda fleet, name: fleet.pause(name, 0.5)),
    "frozen": each_decider(lambda fleet, name: fleet.pause(name, FROZEN_S)),
    "two-parts": divide(2),
    "three-parts": divide(3),
    "four-parts": divide(4),
    "all-again": start_all_again,
}


@pytest.mark.parametrize(("vms", "load"), [(12, 0.7), (94, 0.7), (94, 3.0), (312, 0.7)])
def test_account_within_its_quota_is_not_refused(vms, load):
    fleet = loaded(vms, skewed(72), load, lossy=False, hot="a0")
    fleet.run(END_S)
    assert fleet.worst() <= 1
    for name, account in fleet.accounts.items():
        reserves = len(fleet.services) * TERMS.reserve_max(account, 4)
        lag = 1 + reserves + account.rate_per_s * (REFUSE_S + 2 * ROUND_TRIP_S)
        assert len(fleet.ran[name]) >= len(ideal(fleet.asked[name], account)) - lag


@pytest.mark.parametrize("load", [0.7, 3.0])
def test_lost_datagrams_cost_little(load):
    fleet = loaded(94, skewed(72), load, hot="a0")
    fleet.run(END_S)
    assert fleet.worst() <= 1
    assert fleet.refused_within_quota(START_LOAD_S) <= STEADY_LOSS_MAX


def test_many_accounts_in_a_large_fleet():
    accounts = [*skewed(72), *(Account(f"b{n}", None, 0.5, 3.0) for n in range(4928))]
    fleet = Fleet(312, accounts, 4, lossy=True)
    for number, account in enumerate(accounts):
        service = fleet.services[number % 4]
        fleet.load(account.name, service, 0.5 * account.rate_per_s, 10.0, 16.0)
        if number < 4:
            fleet.load(account.name, service, 10 * account.rate_per_s, 10.0, 16.0)
    fleet.run(16.0)
    assert fleet.worst() <= 1
    assert fleet.refused_within_quota() <= STEADY_LOSS_MAX
    assert fleet.datagrams < 2 * sum(map(len, fleet.asked.values()))


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize(("vms", "load"), [(24, 3.0), (94, 0.8)])
def test_no_window_exceeds_the_quota_through_faults(fault, vms, load):
    accounts = [
        *skewed(20),
        LARGE,
        Account("tiny", None, 0.5, 0.0),
        Account("steady", None, 40.0, 0.0),
    ]
    for seed in (1, 2):
        fleet = loaded(vms, accounts, load, seed, hot="large")
        fleet.load("tiny", "s0", 5.0, START_LOAD_S, END_S)
        FAULTS[fault](fleet)
        fleet.run(END_S)
        assert fleet.worst() <= 1
        if "parts" not in fault:
            # The last VM is back, and its accounts have earned their burst.
            after_s = FAULT_S + 3 * FAULTS_APART_S + FROZEN_S + 2 * WINDOW_S
            gone = 1 - len(fleet.up) / vms
            assert fleet.refused_within_quota(after_s) <= STEADY_LOSS_MAX + gone


def test_lower_quota_binds_after_a_window():
    fleet = loaded(24, [LARGE], 4.0)
    lower = Account("large", None, 2.0, 1.0)
    fleet.at(FAULT_S, fleet.configure, [lower])
    fleet.run(END_S)
    since_s = FAULT_S + 2.5
    assert fleet.worst(since_s) <= 1
    fleet.accounts = {"large": LARGE}
    assert fleet.worst() <= 1


def test_higher_quota_serves():
    fleet = loaded(24, [Account("large", None, 2.0, 1.0)], 10.0)
    fleet.at(FAULT_S, fleet.configure, [LARGE])
    fleet.run(END_S)
    since_s = FAULT_S + 2.5 + 2.0
    asked = [t for t in fleet.asked["large"] if t > since_s]
    ran = [t for t in fleet.ran["large"] if t > since_s]
    assert len(ran) >= 0.99 * len(asked)


def test_refused_callers_return_at_different_times():
    fleet = Fleet(1, [Account("a", None, 2.0, 1.0)], 1)
    fleet.run(20.0)
    admission = fleet.vms["vm0"]
    now_s = fleet.clock("vm0")
    decisions = [admission.admit(n, "a", now_s) for n in range(8)]
    assert decisions[0].verdict is Verdict.ADMITTED
    waits = [d.retry_after_s for d in decisions[1:]]
    assert {d.verdict for d in decisions[1:]} == {Verdict.OVER_QUOTA}
    assert 0 < waits[0] <= 0.5
    steps = [later - earlier for earlier, later in itertools.pairwise(waits)]
    assert steps == pytest.approx([0.5] * 6)


def lender(rate_per_s=1.0, burst=10.0):
    """Return the TokenLender of account "a" with a full bucket, and the time."""
    tokens = TokenLender(TERMS, 0.0)
    tokens.set_configuration([Account("a", None, rate_per_s, burst)], ["s"], 0.0)
    tokens.set_view({"s": 0}, 1.0, 0.0)
    now_s = 0.0
    while now_s < 30.0:
        now_s += 0.25
        tokens.tick(now_s)
    return tokens, now_s


def given(gifts):
    return [gift.tokens for gift in gifts]


def test_repeated_and_late_asks_get_nothing():
    tokens, now_s = lender()
    ask = [Ask("a", 3)]
    assert given(tokens.answer("b", 7, 2, 0, ask, now_s)) == [3]
    assert tokens.answer("b", 7, 2, 0, ask, now_s) is None
    assert tokens.answer("b", 7, 1, 0, ask, now_s) is None
    assert tokens.answer("b", 6, 9, 0, ask, now_s) is None
    # A borrower that starts anew says nothing about what it got before.
    assert given(tokens.answer("b", 8, 1, 0, [Ask("a", 9)], now_s)) == [7]


def test_tokens_that_did_not_arrive_are_put_back():
    tokens, now_s = lender()
    assert given(tokens.answer("b", 7, 1, 0, [Ask("a", 10)], now_s)) == [10]
    assert given(tokens.answer("c", 7, 1, 0, [Ask("a", 10)], now_s)) == [0]
    assert given(tokens.answer("b", 7, 2, 0, [Ask("a", 4)], now_s)) == [4]
    assert given(tokens.answer("b", 7, 3, 2, [Ask("a", 9)], now_s)) == [6]


def test_odd_asks_bind_nothing():
    tokens, now_s = lender()
    odd = [Ask("a", -5, -5, -5), Ask("a", 0, 10**9, 10**9), Ask("nobody", 1)]
    assert sum(given(tokens.answer("b", 7, 1, 0, odd, now_s))) <= 5
    assert tokens.answer("c", 7, 1, 0, [Ask("a", 100)], now_s)[0].tokens <= 10


def test_only_the_answer_to_the_latest_ask_is_taken_and_only_soon():
    series = AskSeries(5)
    series.begin(1.0)
    series.begin(1.05)
    assert not series.take_answer(5, 1, 1.06)
    assert not series.take_answer(4, 2, 1.06)
    assert not series.take_answer(5, 2, 1.06 + ANSWER_VALID_S)
    assert series.answered == 0
    assert series.take_answer(5, 2, 1.06)
    assert not series.take_answer(5, 2, 1.06)


def test_lender_begins_without_burst_and_with_its_part_of_the_quota():
    tokens, now_s = lender(rate_per_s=10.0, burst=100.0)
    tokens.set_view({}, 1.0, now_s)
    tokens.set_view({"s": 0}, 0.25, now_s)
    later_s = now_s + START_S
    taken = 0
    while now_s < later_s + 2.0:
        now_s += 0.1
        taken += tokens.take("a", now_s)
    standing_in = TERMS.stand_in_burst + START_S * TERMS.stand_in_rate_per_s
    assert taken <= 0.25 * 10.0 * (START_S + 2.0) + standing_in


def test_small_slack_and_unlimited_accounts():
    terms = QuotaTerms(5.0, 0.1, 0.0)
    tokens = TokenLender(terms, 0.0)
    tokens.set_configuration([Account("a", None, 0.0, 5.0)], [], 0.0)
    assert tokens.limit("a") is None
    assert not tokens.take("a", 0.0)
    assert terms.reserve_max(Account("b", None, 1.0, 1.0), 4) == 0
    assert part_of_network(20, 12) == 1.0
    homes = {home_service(f"a{n}", ["x", "y", "z"]) for n in range(50)}
    assert homes == {"x", "y", "z"}


def test_ask_fits_into_a_datagram():
    accounts = [Account(f"{n:03}" + "x" * 60, None, 5.0, 5.0) for n in range(200)]
    fleet = Fleet(2, accounts, 1)
    fleet.run(20.0)
    borrower = next(n for n in fleet.names if n != fleet.orders[n]["s0"][0])
    now_s = fleet.clock(borrower)
    for account in accounts:
        fleet.vms[borrower].admit(account.name, account.name, now_s)
    (ask,) = fleet.vms[borrower].poll(now_s)
    assert isinstance(ask, SendAsk)
    assert sum(len(one.account) for one in ask.asks) < 4000
    fleet._deliver(borrower, [ask])
    fleet._poll(borrower)
    fleet.run(20.5)
    assert fleet.verdicts[Verdict.ADMITTED] == 200


def test_parked_request_is_admitted_when_the_limit_is_lifted():
    fleet = Fleet(2, [Account("a", None, 1.0, 0.0)], 1)
    fleet.run(20.0)
    borrower = next(n for n in fleet.names if n != fleet.orders[n]["s0"][0])
    admission, now_s = fleet.vms[borrower], fleet.clock(borrower)
    for ticket in "xyz":
        admission.admit(ticket, "a", now_s)
    (ask,) = admission.poll(now_s)
    assert admission.withdraw("z", "a")
    admission.set_configuration([Account("a", None, 0.0, 0.0)], ["s0"], now_s)
    gifts = [Gift("a", 0, 1.0)]
    answer = (ask.address, ask.epoch, ask.number, gifts, now_s)
    decisions = [*admission.take_answer(*answer), *admission.poll(now_s)]
    assert [d.verdict for d in decisions] == [Verdict.ADMITTED] * 2
    assert not admission.needs_poll
