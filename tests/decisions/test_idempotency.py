"""Search for fault orders that run a request twice or report a false state."""

from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)
from returns.result import Success

from sesamespring.decisions.idempotency import (
    KEY_LIFETIME_S,
    KeyLedger,
    KeyState,
    StoredResponse,
)

RESPONSE = StoredResponse(200, "text/plain", b"done")
KEYS = st.sampled_from(["a", "b"])


class TicketedKeys(RuleBasedStateMachine):
    """One issuer, which may die, and copies of requests that arrive in any order."""

    attempts = Bundle("attempts")

    def __init__(self):
        super().__init__()
        self.ledger = KeyLedger(keys_max=3, stored_bytes_max=6)
        self.issuer_lives = True
        self.runs = {}
        self.refused = set()
        self.in_progress = {}
        self.finished = set()
        self.now_s = 0.0

    @rule(target=attempts, key=KEYS)
    def copy_arrives(self, key):
        """A first, repeated, delayed or reordered copy reaches the issuer."""
        if not self.issuer_lives:
            return None
        begun = self.ledger.begin(key, "f", self.now_s)
        if isinstance(begun, Success):
            assert key not in self.in_progress
            attempt = object()
            self.in_progress[key] = attempt
            return key, attempt
        self.check_status(key, begun.failure())
        return None

    @rule(key=KEYS)
    def other_vm_asks(self, key):
        if self.issuer_lives:
            found = self.ledger.look_up_or_refuse(key, "f", self.now_s)
            self.check_status(key, found)
            if found.state is KeyState.REFUSED:
                self.refused.add(key)

    @rule(key=KEYS)
    def another_request_has_the_key(self, key):
        found = self.ledger.look_up(key, "other", self.now_s)
        assert found is None or found.state is KeyState.MISMATCH

    def check_status(self, key, found):
        if found.state is KeyState.FINISHED:
            assert key in self.finished
        if found.state is KeyState.REFUSED:
            assert not self.runs.get(key)
        if key in self.finished and self.issuer_lives:
            assert found.state is KeyState.FINISHED

    @rule(attempt=attempts, end=st.sampled_from(["finish", "lose", "release"]))
    def attempt_ends(self, attempt, end):
        if attempt is None or not self.issuer_lives:
            return
        key, identity = attempt
        if self.in_progress.get(key) is not identity:
            return
        del self.in_progress[key]
        if end == "release":
            self.ledger.release(key)
            return
        self.runs[key] = self.runs.get(key, 0) + 1
        if end == "finish":
            self.finished.add(key)
            self.ledger.finish(key, RESPONSE, self.now_s)
        else:
            self.ledger.mark_lost(key, self.now_s)

    @rule(share=st.floats(0.0, 0.4))
    def time_passes_within_the_lifetime(self, share):
        """Callers repeat within the lifetime, so every key is looked up again."""
        self.now_s += share * KEY_LIFETIME_S
        for key in ("a", "b"):
            self.ledger.look_up(key, "f", self.now_s)
        self.ledger.expire(self.now_s)

    @rule()
    def issuer_dies(self):
        """Requests in progress may have run; no other VM ever sends their keys."""
        self.issuer_lives = False
        self.in_progress.clear()

    @invariant()
    def at_most_one_run(self):
        assert all(count <= 1 for count in self.runs.values())

    @invariant()
    def refused_keys_never_run(self):
        assert not any(self.runs.get(key) for key in self.refused)

    @invariant()
    def memory_is_bounded(self):
        assert self.ledger.count <= 3
        assert self.ledger.stored_bytes <= 6


def test_no_fault_order_runs_a_key_twice():
    run_state_machine_as_test(TicketedKeys)


def test_keys_and_bodies_are_removed_after_their_lifetime():
    ledger = KeyLedger()
    for key in ("a", "b"):
        ledger.begin(key, "f", 0.0)
        ledger.finish(key, RESPONSE, 0.0)
    ledger.begin("running", "f", 0.0)
    ledger.look_up("a", "f", 300.0)
    ledger.expire(KEY_LIFETIME_S)
    assert ledger.look_up("b", "f", KEY_LIFETIME_S) is None
    assert ledger.look_up("a", "f", KEY_LIFETIME_S).response == RESPONSE
    assert ledger.look_up("running", "f", KEY_LIFETIME_S).state is KeyState.IN_PROGRESS
    assert ledger.stored_bytes == len(RESPONSE.body)


def test_the_oldest_bodies_are_dropped_first_and_their_keys_stay_finished():
    ledger = KeyLedger(stored_bytes_max=len(RESPONSE.body))
    for key in ("a", "b"):
        ledger.begin(key, "f", 0.0)
        ledger.finish(key, RESPONSE, 0.0)
    assert ledger.look_up("a", "f", 0.0).response.body is None
    assert ledger.look_up("a", "f", 0.0).state is KeyState.FINISHED
    assert ledger.look_up("b", "f", 0.0).response == RESPONSE


def test_a_request_is_not_run_if_its_key_cannot_be_stored():
    ledger = KeyLedger(keys_max=1)
    ledger.begin("a", "f", 0.0)
    assert ledger.begin("b", "f", 0.0).failure().state is KeyState.FULL
    assert ledger.look_up_or_refuse("b", "f", 0.0).state is KeyState.FULL
