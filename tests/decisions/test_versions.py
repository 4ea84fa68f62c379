"""Search for fault orders in which a version reverts or never arrives."""

from hypothesis import settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from sesamespring.decisions.versions import Delta, OfferResult, VersionTracker
from sesamespring.resources.kinds import DataCentre, Resources

VMS = 3
vm_numbers = strategies.integers(0, VMS - 1)
shares = strategies.floats(0, 1)


class VersionDelivery(RuleBasedStateMachine):
    """VMs that get versions late, twice, partially, damaged or from stale peers."""

    @initialize()
    def start(self):
        self.history = [Resources()]
        self.deltas = []
        self.trackers = [VersionTracker() for _ in range(VMS)]
        self.seen = [0] * VMS

    @rule(name=strategies.sampled_from("abc"), state=strategies.sampled_from("xyz"))
    def accept(self, name, state):
        version = len(self.history)
        key = f"data-centre/{name}"
        last = self.history[-1]
        after = {key: None if state == "z" else DataCentre(name, state)}
        resources = Delta(version, "", after).applied_to(last)
        self.history.append(resources)
        self.deltas.append(Delta(version, resources.digest(), after))

    @rule(vm=vm_numbers, at=shares)
    def read_snapshot_maybe_stale(self, vm, at):
        resources = self.history[int(at * (len(self.history) - 1))]
        self.trackers[vm].offer_snapshot(resources, resources.digest())

    @rule(vm=vm_numbers, start=shares, end=shares)
    def get_deltas_in_part(self, vm, start, end):
        count = len(self.deltas)
        part = self.deltas[int(start * count) : int(end * count)]
        self.trackers[vm].offer_deltas(part)

    @precondition(lambda self: len(self.history) > 2)
    @rule(vm=vm_numbers, at=shares)
    def read_rows_that_do_not_belong_together(self, vm, at):
        version = 1 + int(at * (len(self.history) - 2))
        other = self.history[version - 1]
        digest = self.history[version].digest()
        mixed = Resources(version, other.by_key)
        offer = self.trackers[vm].offer_snapshot(mixed, digest)
        same = other.digest() == digest
        assert offer is OfferResult.STALE or (offer is OfferResult.TAKEN) == same

    @rule(puller=vm_numbers, source=vm_numbers)
    def pull_from_peer(self, puller, source):
        peer = self.trackers[source]
        own = self.trackers[puller]
        deltas = peer.deltas_after(own.version)
        if deltas is None:
            own.offer_snapshot(peer.resources, peer.resources.digest())
        else:
            own.offer_deltas(deltas)
        assert own.version >= peer.version

    @rule(vm=vm_numbers)
    def restart(self, vm):
        self.trackers[vm] = VersionTracker()
        self.seen[vm] = 0

    @invariant()
    def each_vm_holds_an_accepted_version_and_none_reverts(self):
        for vm, tracker in enumerate(self.trackers):
            assert tracker.version >= self.seen[vm]
            self.seen[vm] = tracker.version
            accepted = self.history[tracker.version]
            assert tracker.resources.by_key == accepted.by_key
            assert tracker.resources.digest() == Resources(0, accepted.by_key).digest()

    def teardown(self):
        """One complete snapshot brings each VM to the newest version."""
        if not hasattr(self, "history"):
            return
        newest = self.history[-1]
        for tracker in self.trackers:
            tracker.offer_snapshot(newest, newest.digest())
            assert tracker.version == newest.version


VersionDelivery.TestCase.settings = settings(max_examples=60, stateful_step_count=30)
TestVersionDelivery = VersionDelivery.TestCase


def test_one_pull_is_open_until_its_timeout_or_a_new_version():
    tracker = VersionTracker()
    assert tracker.should_pull(2, 10.0)
    assert not tracker.should_pull(2, 10.5)
    assert tracker.should_pull(2, 11.0)
    tracker.offer_snapshot(Resources(1), Resources().digest())
    assert tracker.should_pull(2, 11.1)
    assert not tracker.should_pull(1, 99.0)
