"""Test when requests take tokens of a quota and give them back, without sockets."""

import asyncio
import types

from sesamespring.gateway.generated.ttypes import TokenGift, TokensGiven, TokensWanted
from sesamespring.gateway.slots.quota_gate import QuotaGate
from sesamespring.gateway.slots.runner import ServiceRunner
from sesamespring.routing.messages import (
    AttemptEnded,
    Dispatch,
    Outcome,
    RefusalReason,
)
from sesamespring.routing.quotas import QuotaTerms
from sesamespring.routing.records import Account
from tests.routing.support import (
    learn_service_time,
    make_request,
    make_scheduler,
    make_target,
)

OWN, OTHER = ("ip-a", 1), ("ip-b", 1)
TERMS = QuotaTerms(5.0, 0.1, 0.0)
# Earns no token in the time of a test.
RATE_PER_S = 0.001


class Peers:
    """A fake of Peers with one other VM."""

    incarnation = 1
    known_count = 2

    def __init__(self):
        member = types.SimpleNamespace(address=OTHER, callers_port=1, leaving=False)
        self.alive = {"other": member}
        self.handlers = {}
        self.sent = []

    def set_handler(self, message_type, handler):
        self.handlers[message_type] = handler

    def send(self, message, address):
        self.sent.append(message)


class Report:
    """A fake of QuotaReport."""

    def set_accounts(self, accounts):
        pass

    def admitted(self, account):
        pass

    def refused(self, decision, limit, now_s):
        pass


class Play:
    """A runner with one slot for requests of an account with two tokens."""

    def __init__(self, lender):
        self.peers = Peers()
        account = Account("a", None, RATE_PER_S, 2.0)
        configuration = types.SimpleNamespace(accounts={"a": account}, services=("s",))
        cluster_state = types.SimpleNamespace(configuration=configuration)
        self.gate = QuotaGate(TERMS, OWN, cluster_state, self.peers, Report())
        self.gate.update(lambda service: (lender,))
        now_s = asyncio.get_running_loop().time()
        scheduler = make_scheduler(make_target("t", slots=1), now_s=now_s)
        scheduler._take_token = self.gate.take_extra
        self.runner = ServiceRunner(scheduler, self.gate)
        self.commands = []
        if lender == OWN:
            bucket = self.gate._admission.tokens._bucket("a", now_s)
            bucket.give_back(2)

    def submit(self, timeout_s=9.0):
        now_s = asyncio.get_running_loop().time()
        request = make_request(now_s, timeout_s=timeout_s, account="a")
        self.runner.submit(request, self.commands.append)
        return request

    def set_targets(self, *names):
        targets = [make_target(name, slots=1) for name in names]
        now_s = asyncio.get_running_loop().time()
        self.runner.scheduler.targets.set_targets(targets, frozenset(), now_s)

    def tokens(self):
        now_s = asyncio.get_running_loop().time()
        return self.gate._admission.tokens._bucket("a", now_s).available

    def give(self, tokens):
        wanted = self.peers.sent[-1]
        gifts = [TokenGift("a", tokens, 0.0 if tokens else 1.0)]
        given = TokensGiven(wanted.epoch, wanted.number, gifts)
        self.peers.handlers[TokensGiven](given, OTHER)


def run(scenario, lender=OWN):
    async def main():
        play = Play(lender)
        await scenario(play)
        play.runner.close()
        play.gate.close()

    asyncio.run(main())


def test_attempt_that_may_have_run_keeps_its_token():
    async def scenario(play):
        play.submit()
        (dispatch,) = play.commands
        assert play.tokens() == 1
        failed = AttemptEnded(dispatch.attempt, Outcome.BROKEN, 0.1)
        play.runner.finish_attempt(failed)
        play.runner.withdraw(dispatch.request)
        assert play.tokens() == 1

    run(scenario)


def test_attempt_that_did_not_run_gives_its_token_back():
    async def scenario(play):
        play.set_targets("t", "u")
        play.submit()
        (dispatch,) = play.commands
        rejected = AttemptEnded(dispatch.attempt, Outcome.REJECTED, 0.1)
        play.runner.finish_attempt(rejected)
        assert play.tokens() == 2
        # The next attempt takes one again.
        play.runner.submit(dispatch.request, play.commands.append)
        assert isinstance(play.commands[-1], Dispatch)
        assert play.tokens() == 1

    run(scenario)


def test_request_beyond_the_quota_is_refused_and_takes_no_place():
    async def scenario(play):
        first, second = play.submit(), play.submit()
        assert play.runner.scheduler.waiting == 1
        play.submit()
        assert play.commands[-1].reason is RefusalReason.OVER_QUOTA
        assert play.runner.scheduler.waiting == 1
        play.runner.withdraw(second)
        assert play.tokens() == 1
        play.runner.withdraw(first)
        assert play.tokens() == 1

    run(scenario)


def test_request_refused_for_want_of_room_gives_its_token_back():
    async def scenario(play):
        play.submit()
        play.set_targets()
        play.submit()
        assert play.commands[-1].reason is RefusalReason.NO_TARGETS
        assert play.tokens() == 1

    run(scenario)


def test_hedge_takes_a_token_and_there_is_none_without():
    async def scenario(play):
        play.set_targets("t", "u")
        scheduler = play.runner.scheduler
        now_s = learn_service_time(scheduler, now_s=asyncio.get_running_loop().time())
        request = make_request(now_s, timeout_s=3.0, account="a")
        scheduler.submit(request, now_s)
        assert play.gate.take_extra(request)
        assert play.gate.take_extra(request)
        assert play.tokens() == 0
        assert scheduler.advance(now_s + 0.5) == []
        play.gate.not_run("a")
        (hedge,) = scheduler.advance(now_s + 0.5)
        assert hedge.hedge
        assert play.tokens() == 0

    run(scenario)


def test_parked_request_waits_for_the_lender_outside_the_queue():
    async def scenario(play):
        requests = [play.submit() for _ in range(3)]
        await asyncio.sleep(0.001)
        (wanted,) = play.peers.sent
        assert isinstance(wanted, TokensWanted)
        assert [ask.needed for ask in wanted.asks] == [3]
        assert play.runner.scheduler.waiting == 0
        play.runner.withdraw(requests[0])
        play.give(1)
        dispatch, refusal = play.commands
        assert isinstance(dispatch, Dispatch)
        assert dispatch.request is requests[1]
        assert refusal.request is requests[2]
        assert refusal.reason is RefusalReason.OVER_QUOTA

    run(scenario, OTHER)


def test_request_is_refused_if_no_lender_answers():
    async def scenario(play):
        play.submit()
        await asyncio.sleep(0.3)
        (refusal,) = play.commands
        assert refusal.reason is RefusalReason.QUOTA_UNKNOWN
        assert len(play.peers.sent) == 3

    run(scenario, OTHER)
