"""Test that holds never overlap, and recover, under any order of faults."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from sesamespring.decisions.witness import SessionExtension, WitnessState
from tests.decisions.hold_simulation import KEYS, TTL_S, Simulation

NAMES = ("vm1", "vm2", "vm3", "vm4")
vms = st.sampled_from(NAMES)
modes = st.sampled_from(("up", "down", "slow", "lose", "flaky"))


class HoldFaults(RuleBasedStateMachine):
    """Inject faults in any order; the simulation checks for overlaps at each tick."""

    @initialize(seed=st.integers(0, 2**16))
    def start(self, seed):
        self.simulation = Simulation(NAMES, seed)
        self.simulation.run(TTL_S)

    @rule(seconds=st.sampled_from((0.1, 0.5, 1.0, 2.0, 3.5, 7.0)))
    def wait(self, seconds):
        self.simulation.run(seconds)

    @rule(mode=modes)
    def change_platform(self, mode):
        self.simulation.platform = dict.fromkeys(NAMES, mode)

    @rule(vm=vms, mode=modes)
    def change_platform_for_one(self, vm, mode):
        self.simulation.platform[vm] = mode

    @rule(vm=vms)
    def pause_or_resume(self, vm):
        node = self.simulation.nodes[vm]
        node.paused = not node.paused and node.alive

    @rule(vm=vms)
    def kill(self, vm):
        self.simulation.nodes[vm].alive = False

    @rule(vm=vms)
    def leave(self, vm):
        self.simulation.nodes[vm].manager.hand_over_all()

    @rule(vm=vms)
    def replace(self, vm):
        self.simulation.nodes[vm].alive = False
        self.simulation.start(vm)

    @rule(one=vms, other=vms)
    def cut_or_mend(self, one, other):
        if one != other:
            self.simulation.cut ^= {frozenset((one, other))}

    @rule(lone=vms, other=vms, mode=st.sampled_from(("up", "slow")))
    def leave_the_platform_to_one(self, lone, other, mode):
        self.simulation.platform = dict.fromkeys(NAMES, "down")
        self.simulation.platform[lone] = mode
        if lone != other:
            self.simulation.cut = {frozenset((lone, other))}

    def teardown(self):
        if not hasattr(self, "simulation"):
            return
        simulation = self.simulation
        simulation.platform = dict.fromkeys(NAMES, "up")
        simulation.cut = set()
        for node in tuple(simulation.nodes.values()):
            node.paused = False
            if not node.alive or node.manager.leaving:
                node.alive = False
                simulation.start(node.vm)
        simulation.run(8 * TTL_S)
        held = [len(simulation.holders(key)) for key in KEYS]
        assert held == [1] * len(KEYS), held


HoldFaults.TestCase.settings = settings(
    max_examples=12, stateful_step_count=25, deadline=None
)
TestHoldFaults = HoldFaults.TestCase


def test_a_witness_that_promised_does_not_release():
    witness = WitnessState(started_s=0.0, ttl_s=3.0)
    assert not witness.release("s", 1, now_s=2.9)
    assert witness.promise("s", 1, 3.0, now_s=10.0)
    assert not witness.release("s", 1, now_s=12.9)
    assert witness.release("s", 1, now_s=13.1)
    assert not witness.promise("s", 1, 3.0, now_s=13.2)
    assert witness.promise("s", 2, 3.0, now_s=13.3)


def test_a_restarted_witness_counts_only_while_its_promise_lasts():
    extension = SessionExtension(
        counter=1, ttl_s=3.0, quorum=1, incarnations={"w": None}
    )
    extension.record_promise("w", "run1", asked_s=5.0, now_s=5.1, lease_until_s=6.0)
    extension.record_promise("w", "run2", asked_s=8.5, now_s=8.6, lease_until_s=6.0)
    assert extension.valid_until_s == 8.0
    extension.record_promise("w", "run1", asked_s=9.0, now_s=9.1, lease_until_s=6.0)
    extension.record_promise("w", "run3", asked_s=9.5, now_s=9.6, lease_until_s=6.0)
    assert extension.valid_until_s == 12.5


def run_outage(simulation, seconds):
    simulation.platform = dict.fromkeys(NAMES, "down")
    simulation.run(seconds)


def test_all_targets_stay_held_while_the_platform_is_down():
    simulation = Simulation(NAMES, seed=1)
    simulation.run(4 * TTL_S)
    run_outage(simulation, 20 * TTL_S)
    assert [len(simulation.holders(key)) for key in KEYS] == [1] * len(KEYS)


def test_holds_survive_the_replacement_of_all_vms_while_the_platform_is_down():
    simulation = Simulation(NAMES, seed=1)
    simulation.run(4 * TTL_S)
    run_outage(simulation, 3 * TTL_S)
    for name in NAMES:
        simulation.nodes[name].manager.hand_over_all()
        simulation.run(1.0)
        simulation.nodes[name].alive = False
        simulation.run(0.5)
        simulation.start(name)
        simulation.run(2 * TTL_S)
    assert [len(simulation.holders(key)) for key in KEYS] == [1] * len(KEYS)


def test_other_vms_take_over_from_a_vm_that_alone_lost_the_platform():
    simulation = Simulation(NAMES, seed=1)
    simulation.run(4 * TTL_S)
    ((loser, _),) = simulation.holders(KEYS[0])
    simulation.platform[loser] = "down"
    simulation.run(4 * TTL_S)
    ((winner, _),) = simulation.holders(KEYS[0])
    assert winner != loser


def test_a_takeover_fails_if_the_holder_renewed_in_between():
    simulation = Simulation(NAMES, seed=1)
    simulation.run(8 * TTL_S)
    ((killed, hold),) = simulation.holders(KEYS[0])
    writes = simulation.record_writes()
    simulation.nodes[killed].alive = False
    simulation.run(4 * TTL_S)
    take, *_ = [w for w in writes if any(row.key == hold.key for row in w.rows)]
    assert hold.session in {session.session for session in take.sessions}
