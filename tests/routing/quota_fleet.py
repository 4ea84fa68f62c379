"""Play quotas over a fleet of VMs in virtual time, with faults."""

import bisect
import collections
import heapq
import itertools
import random

from sesamespring.routing.account_admission import AccountAdmission, Verdict
from sesamespring.routing.lender_asks import SendAsk
from sesamespring.routing.quotas import QuotaTerms, part_of_network
from sesamespring.routing.rendezvous import rank

TERMS = QuotaTerms(5.0, 0.1, 20.0)
POLL_S = 0.005
TICK_S = 0.25
# A VM learns that others are silent, or appear, after a time between these.
SILENT_S = (0.7, 1.7)
APPEAR_S = (0.0, 0.6)
DECIDER_TIMEOUT_S = 0.06
# Share of datagrams that are lost, repeated and late.
LOSS, REPEAT, LATE = 0.02, 0.02, 0.01
LATE_S = 3.0
# Longest time of an ask and its answer.
ROUND_TRIP_S = 0.01


class Fleet:
    """VMs that admit requests; ``ran`` and ``refused`` hold times by account."""

    def __init__(self, vms, accounts, services, seed=1, lossy=False):
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.accounts = {account.name: account for account in accounts}
        self.services = tuple(f"s{number}" for number in range(services))
        self.lossy = lossy
        self.names = [f"vm{number}" for number in range(vms)]
        self.up = set(self.names)
        self.paused = {}
        self.part = dict.fromkeys(self.names, 0)
        # VMs that each VM takes for alive.
        self.views = {name: set(self.names) for name in self.names}
        self.offset_s = {name: self.rng.uniform(0, 1e5) for name in self.names}
        self.drift = {name: self.rng.uniform(0.9999, 1.0001) for name in self.names}
        self.vms = {}
        self.orders = {}
        self.ran = collections.defaultdict(list)
        self.asked = collections.defaultdict(list)
        self.verdicts = collections.Counter()
        self.datagrams = 0
        self._epochs = itertools.count(1)
        self._events = []
        self._order = itertools.count()
        self._tickets = itertools.count()
        for name in self.names:
            self._start(name)

    def at(self, time_s, action, *arguments):
        heapq.heappush(self._events, (time_s, next(self._order), action, arguments))

    def run(self, until_s):
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        self.now_s = until_s

    def clock(self, name):
        return self.offset_s[name] + self.now_s * self.drift[name]

    # Faults

    def start(self, name):
        self._start(name)
        self._notice()

    def _start(self, name):
        now_s = self.clock(name)
        admission = AccountAdmission(TERMS, name, 1000 * next(self._epochs), now_s)
        self.vms[name] = admission
        self.up.add(name)
        admission.set_configuration(self.accounts.values(), self.services, now_s)
        self.views[name] = set(self.names) & self._reachable(name)
        self._update(name)
        self.at(self.now_s + TICK_S, self._tick, name, admission)

    def kill(self, name):
        self.up.discard(name)
        self._notice()

    def pause(self, name, seconds):
        self.paused[name] = self.now_s + seconds
        self._notice()
        self.at(self.now_s + seconds, self._notice)

    def divide(self, parts):
        for name in self.names:
            self.part[name] = self.rng.randrange(parts)
        self._notice()

    def configure(self, accounts):
        """Set the accounts, at each VM at another time within 2.5 s."""
        self.accounts = {account.name: account for account in accounts}
        for name in self.names:
            self.at(self.now_s + self.rng.uniform(0, 2.5), self._configure, name)

    def _configure(self, name):
        now_s = self.clock(name)
        accounts = self.accounts.values()
        self.vms[name].set_configuration(accounts, self.services, now_s)

    def _runs(self, name):
        return name in self.up and self.paused.get(name, 0) <= self.now_s

    def _reachable(self, name):
        return {n for n in self.up if self.part[n] == self.part[name]}

    def _notice(self):
        for name in self.names:
            self.at(self.now_s + self.rng.uniform(*SILENT_S), self._see, name)
            self.at(self.now_s + self.rng.uniform(*APPEAR_S), self._see, name, True)

    def _see(self, name, only_new=False):
        if not self._runs(name):
            return
        alive = {n for n in self._reachable(name) if self._runs(n)} | {name}
        if only_new:
            alive |= self.views[name]
        if alive != self.views[name]:
            self.views[name] = alive
            self._update(name)

    def _update(self, name):
        alive = dict.fromkeys(sorted(self.views[name]), 1.0)
        orders = {s: tuple(rank(s, alive)[:2]) for s in self.services}
        share = part_of_network(len(alive), len(self.names))
        self.vms[name].set_view(orders, share, self.clock(name))
        self.orders[name] = orders

    def _tick(self, name, admission):
        if self.vms[name] is not admission or name not in self.up:
            return
        if self._runs(name):
            admission.tick(self.clock(name))
            self._poll(name)
        self.at(self.now_s + TICK_S, self._tick, name, admission)

    # Requests

    def load(self, account, service, per_s, start_s, end_s, burst=1):
        """Send groups of ``burst`` requests at random times."""
        time_s = start_s
        while True:
            time_s += self.rng.expovariate(per_s / burst)
            if time_s >= end_s:
                return
            for _ in range(burst):
                self.at(time_s, self.request, account, service)

    def request(self, account, service):
        """Send a request to a random VM, which asks the decider or decides alone."""
        name = self.rng.choice(self.names)
        if not self._runs(name):
            return
        self.asked[account].append(self.now_s)
        decider = self.orders[name][service][0]
        reached = self.part[decider] == self.part[name] and self._runs(decider)
        if reached:
            self._admit(decider, account)
        else:
            self.at(self.now_s + DECIDER_TIMEOUT_S, self._admit, name, account)

    def _admit(self, name, account):
        ticket = next(self._tickets)
        decision = self.vms[name].admit(ticket, account, self.clock(name))
        self._decide(decision)
        if decision.verdict is Verdict.PARKED:
            self.at(self.now_s, self._poll, name)

    def _decide(self, decision):
        self.verdicts[decision.verdict] += 1
        if decision.verdict is Verdict.ADMITTED:
            self.ran[decision.account].append(self.now_s)

    def _poll(self, name):
        if not self._runs(name):
            return
        admission = self.vms[name]
        self._deliver(name, admission.poll(self.clock(name)))
        if admission.needs_poll:
            self.at(self.now_s + POLL_S, self._poll, name)

    def _deliver(self, name, outputs):
        for output in outputs:
            if isinstance(output, SendAsk):
                self._send(name, output.address, self._ask, name, output)
            else:
                self._decide(output)

    def _send(self, sender, receiver, handler, *arguments):
        self.datagrams += 1
        copies = 1
        if self.lossy:
            copies = self.rng.choices((0, 1, 2), (LOSS, 1 - LOSS - REPEAT, REPEAT))[0]
        for _ in range(copies):
            delay_s = self.rng.uniform(0.1, 1) * ROUND_TRIP_S / 2
            if self.lossy and self.rng.random() < LATE:
                delay_s = self.rng.uniform(0, LATE_S)
            arguments_there = (sender, receiver, handler, arguments)
            self.at(self.now_s + delay_s, self._receive, *arguments_there)

    def _receive(self, sender, receiver, handler, arguments):
        if self._runs(receiver) and self.part[sender] == self.part[receiver]:
            handler(receiver, *arguments)

    def _ask(self, lender, name, ask):
        gifts = self.vms[lender].tokens.answer(
            name, ask.epoch, ask.number, ask.answered, ask.asks, self.clock(lender)
        )
        if gifts is not None:
            self._send(lender, name, self._answer, lender, ask, gifts)

    def _answer(self, name, lender, ask, gifts):
        admission = self.vms[name]
        now_s = self.clock(name)
        outputs = admission.take_answer(lender, ask.epoch, ask.number, gifts, now_s)
        self._deliver(name, outputs)
        self._poll(name)

    # Results

    def worst(self, since_s=0.0):
        """Return the largest part of the rule's bound that any window used."""
        worst = 0.0
        for name, account in self.accounts.items():
            times = [t for t in self.ran[name] if t >= since_s]
            used = max_in_window(times, TERMS.window_s)
            worst = max(worst, used / TERMS.bound(account))
        return worst

    def refused_within_quota(self, since_s=0.0, until_s=float("inf")):
        """Return the part of requests within quota that did not run.

        What one bucket for the whole fleet would have admitted is within quota.
        """
        owed = ran = 0
        for name, account in self.accounts.items():
            allowed = ideal(self.asked[name], account)
            count = sum(since_s <= t < until_s for t in allowed)
            owed += count
            ran += min(count, sum(since_s <= t < until_s for t in self.ran[name]))
        return 1 - ran / max(1, owed)


def max_in_window(times, window_s):
    """Return the largest number of sorted times in any window."""
    most = 0
    for number, time_s in enumerate(times):
        end = bisect.bisect_left(times, time_s + window_s)
        most = max(most, end - number)
    return most


def ideal(times, account):
    """Return the times of the requests that one token bucket would admit."""
    tokens, last_s, admitted = account.burst, 0.0, []
    for time_s in times:
        tokens = min(account.burst, tokens + (time_s - last_s) * account.rate_per_s)
        last_s = time_s
        if tokens >= 1:
            tokens -= 1
            admitted.append(time_s)
    return admitted
