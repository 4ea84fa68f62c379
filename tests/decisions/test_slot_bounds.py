"""Search for fault orders in which a target gets more requests than its slots."""

import collections

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from sesamespring.decisions.lending import LOAN_AGE_MAX_S
from sesamespring.decisions.messages import (
    AttemptEnded,
    AttemptResult,
    CancelAttempt,
    HeldTarget,
    HeldTargetsChanged,
    Peer,
    PeerMessage,
    PeersChanged,
    RequestArrived,
    SendAttempt,
    SendToPeer,
    Tick,
)
from sesamespring.decisions.router import ServiceRouter

VMS = ("a", "b", "c")
TARGETS = ("t1", "t2", "t3")
SLOTS = 2
COLD_SLOTS = 1
TIMEOUT_S = 0.5
HOLD_S = 1.0
RESULTS = (
    AttemptResult.ANSWERED,
    AttemptResult.FAILED,
    AttemptResult.SHED,
    AttemptResult.CUT_OFF,
)
vms = st.sampled_from(VMS)
links = st.tuples(vms, vms).filter(lambda pair: pair[0] != pair[1])


class SlotBounds(RuleBasedStateMachine):
    """Three entry VMs, of which the last holds no target at first.

    A hold lapses unless it is renewed. Its next holder sends no requests until those
    sent before the lapse have ended. Under this rule, no target may ever have more
    requests in progress than slots.
    """

    @initialize()
    def start(self):
        self.now_s = 100.0
        self.links = collections.defaultdict(collections.deque)
        self.attempts = {}
        self.paused = set()
        self.holders = {"t1": "a", "t2": "a", "t3": "b"}
        self.valid_until_s = dict.fromkeys(TARGETS, self.now_s + HOLD_S)
        self.quiet_until_s = dict.fromkeys(TARGETS, 0.0)
        self.cold = set()
        self.run = 0
        self.request_ids = iter(range(10**6))
        self.routers = {}
        for vm in VMS:
            self.start_vm(vm)

    def start_vm(self, vm):
        self.run += 1
        self.routers[vm] = ServiceRouter(
            10, longest_work_s=TIMEOUT_S, first_loan_id=self.run * 10**6
        )
        peers = tuple(Peer(other, False) for other in VMS if other != vm)
        self.post(vm, PeersChanged(peers))
        self.send_holds(vm)

    def send_holds(self, vm):
        held = tuple(
            HeldTarget(
                name,
                SLOTS,
                COLD_SLOTS,
                True,
                self.valid_until_s[name],
                self.quiet_until_s[name],
                cold=name in self.cold,
            )
            for name in TARGETS
            if self.holders[name] == vm
        )
        self.post(vm, HeldTargetsChanged(held))

    def post(self, vm, message):
        router = self.routers[vm]
        for command in router.handle(message, self.now_s):
            if isinstance(command, SendToPeer):
                self.links[vm, command.peer].append(command.body)
            elif isinstance(command, SendAttempt):
                self.attempts[router, command.attempt_id] = command
            elif isinstance(command, CancelAttempt):
                del self.attempts[router, command.attempt_id]
                ended = AttemptEnded(command.attempt_id, AttemptResult.CANCELLED)
                self.post(vm, ended)

    def awake(self):
        return [vm for vm in VMS if vm not in self.paused]

    @rule(vm=vms, idempotent=st.booleans())
    def arrive(self, vm, idempotent):
        if vm not in self.paused:
            deadline_s = self.now_s + TIMEOUT_S
            request_id = next(self.request_ids)
            self.post(vm, RequestArrived(request_id, deadline_s, idempotent, True))

    @rule(count=st.integers(1, 12), vm=vms)
    def burst(self, count, vm):
        for _ in range(count):
            self.arrive(vm=vm, idempotent=True)

    @rule(link=links, count=st.integers(1, 8))
    def deliver(self, link, count):
        sender, receiver = link
        queue = self.links[link]
        for _ in range(min(count, len(queue))):
            if receiver not in self.paused:
                self.post(receiver, PeerMessage(sender, queue.popleft()))

    @rule(link=links)
    def lose(self, link):
        self.links[link].clear()

    @rule(seconds=st.sampled_from((0.002, 0.02, 0.1, 0.3, 1.1)))
    def pass_time(self, seconds):
        self.now_s += seconds
        self.end_overdue_attempts()
        for vm in self.awake():
            self.post(vm, Tick())

    def end_overdue_attempts(self):
        for key, sent in tuple(self.attempts.items()):
            if sent.deadline_s <= self.now_s:
                self.end_attempt(key, AttemptResult.CANCELLED)

    def end_attempt(self, key, result):
        router, attempt_id = key
        del self.attempts[key]
        for vm in self.awake():
            if self.routers[vm] is router:
                self.post(vm, AttemptEnded(attempt_id, result))

    @precondition(lambda self: self.attempts)
    @rule(number=st.integers(0, 100), result=st.sampled_from(RESULTS))
    def end(self, number, result):
        keys = [
            (router, attempt_id)
            for router, attempt_id in self.attempts
            if any(self.routers[vm] is router for vm in self.awake())
        ]
        if keys:
            self.end_attempt(keys[number % len(keys)], result)

    @rule(vm=vms)
    def pause(self, vm):
        self.paused.add(vm)

    @rule(vm=vms)
    def resume(self, vm):
        self.paused.discard(vm)
        self.post(vm, Tick())

    @rule(vm=vms)
    def replace(self, vm):
        """Kill a VM; its requests continue, and its holds last until they lapse."""
        self.paused.discard(vm)
        for link in self.links:
            if vm in link:
                self.links[link].clear()
        for name in TARGETS:
            if self.holders[name] == vm:
                self.holders[name] = None
        self.start_vm(vm)

    @rule()
    def renew(self):
        for name in TARGETS:
            live = self.now_s < self.valid_until_s[name]
            if live and self.holders[name] in self.awake():
                self.valid_until_s[name] = self.now_s + HOLD_S
        for vm in self.awake():
            self.send_holds(vm)

    @rule(name=st.sampled_from(TARGETS), vm=vms, cold=st.booleans())
    def take_over(self, name, vm, cold):
        lapsed_s = self.valid_until_s[name]
        if self.now_s < lapsed_s or vm in self.paused:
            return
        self.quiet_until_s[name] = lapsed_s + TIMEOUT_S
        self.valid_until_s[name] = self.now_s + HOLD_S
        self.holders[name] = vm
        self.cold.discard(name)
        if cold:
            self.cold.add(name)
        self.send_holds(vm)

    @rule(name=st.sampled_from(TARGETS), vm=vms)
    def hand_over(self, name, vm):
        """Hand a hold over; its loans may be used for LOAN_AGE_MAX_S longer."""
        old = self.holders[name]
        if old == vm or {old, vm} & (self.paused | {None}):
            return
        still_s = self.now_s + LOAN_AGE_MAX_S + TIMEOUT_S
        self.quiet_until_s[name] = max(self.quiet_until_s[name], still_s)
        self.holders[name] = vm
        self.send_holds(old)
        self.send_holds(vm)

    @invariant()
    def slots_are_not_overrun(self):
        if not hasattr(self, "attempts"):
            return
        counts = collections.Counter(sent.target for sent in self.attempts.values())
        for name, count in counts.items():
            assert count <= SLOTS, name


TestSlotBounds = SlotBounds.TestCase
TestSlotBounds.settings = settings(max_examples=60, stateful_step_count=60)
