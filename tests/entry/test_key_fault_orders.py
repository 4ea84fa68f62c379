"""Search for sequences of faults in which a key's request is executed twice.

Hypothesis drives three entry VMs that share a table, and pauses, kills and replaces
them and makes the table lose calls or responses.
"""

import asyncio
import itertools
from types import SimpleNamespace

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)
from returns.result import Failure, Success

from sesamespring.decisions.idempotency import StoredResponse, make_ticket
from sesamespring.entry import key_owners
from sesamespring.entry.idempotency import KeyAdmission
from sesamespring.errors import ErrorKind, ExternalError
from sesamespring.platform.json_table import Conflict, Row
from sesamespring.platform.rows import ABSENT_VERSION

NAMES = ("a", "b", "c")
MODES = ("up", "down", "call-lost", "answer-lost", "answer-lost-then-down")
ANSWER = StoredResponse(200, "text/plain", b"done")
VMS = st.sampled_from(NAMES)
KEYS = st.sampled_from(["plain", "ticketed"])


class Table:
    """Fake JsonTable; ``mode`` selects the fault of the next call."""

    def __init__(self):
        self.mode = "up"
        self._rows = {}
        self._version = 0

    async def read(self, key):
        if self.mode == "down":
            raise ExternalError(ErrorKind.NOT_CONNECTED)
        return self._row(key)

    async def transact(self, conditions, writes):
        if self.mode == "down":
            raise ExternalError(ErrorKind.NOT_CONNECTED)
        if self.mode == "call-lost":
            self.mode = "up"
            raise ExternalError(ErrorKind.CUT_OFF)
        failed = [
            self._row(condition.key)
            for condition in conditions
            if self._row(condition.key).version != condition.version
        ]
        if not failed:
            self._version += 1
            for write in writes:
                self._rows[write.key] = Row(write.key, self._version, write.value)
        if self.mode != "up":
            self.mode = "down" if self.mode == "answer-lost-then-down" else "up"
            raise ExternalError(ErrorKind.CUT_OFF)
        return Failure(Conflict(tuple(failed))) if failed else Success(self._version)

    def _row(self, key):
        return self._rows.get(key, Row(key, ABSENT_VERSION, None))


class Vm:
    """The KeyAdmission of one entry VM; also its fake PeersTask."""

    _numbers = itertools.count(1)

    def __init__(self, name, machine):
        self.incarnation = f"{next(self._numbers):016x}"
        self.paused = False
        self.claims = []
        self._name = name
        self._machine = machine
        self._handlers = {}
        self.admission = KeyAdmission(self, machine.table, lambda: False)
        self.task = machine.loop.create_task(self.admission.run())

    @property
    def views(self):
        return {
            name: SimpleNamespace(
                hello=SimpleNamespace(vm=name, incarnation=vm.incarnation)
            )
            for name, vm in self._machine.vms.items()
            if name != self._name
        }

    def on_message(self, message_type, handler):
        self._handlers[message_type] = handler

    def send(self, name, body):
        other = self._machine.vms.get(name)
        if other is None:
            return False
        if not other.paused:
            self._machine.loop.call_soon(
                other._handlers[type(body)], other.views[self._name], body
            )
        return True


class SeveralVms(RuleBasedStateMachine):
    """Copies of two requests sent through three VMs.

    One key is plain; the other one has a ticket of the first VM.
    """

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.table = Table()
        self.vms = {}
        for name in NAMES:
            self.vms[name] = Vm(name, self)
        ticket = make_ticket(self.vms["a"].incarnation)
        self.keys = {"plain": "plain", "ticketed": f"{ticket}.x"}
        self.may_have_run = dict.fromkeys(self.keys, 0)

    def teardown(self):
        tasks = asyncio.all_tasks(self.loop)
        for task in tasks:
            task.cancel()
        if tasks:
            self.loop.run_until_complete(asyncio.wait(tasks))
        self.loop.close()

    @rule(name=VMS, key=KEYS)
    def copy_arrives(self, name, key):
        vm = self.vms.get(name)
        if vm is None or vm.paused:
            return
        exchange = SimpleNamespace(method="POST", target="/s/x", headers=())
        admitting = vm.admission.admit("s", self.keys[key], exchange, b"swap")
        admission = self.loop.run_until_complete(admitting)
        if isinstance(admission, Success):
            vm.claims.append((key, admission.unwrap()))
        elif isinstance(admission.failure(), StoredResponse):
            assert self.may_have_run[key] == 1
        elif admission.failure().kind is ErrorKind.KEY_REFUSED:
            assert not self.may_have_run[key]

    @rule(name=VMS, end=st.sampled_from(["finish", "mark_lost", "release"]))
    def attempt_ends(self, name, end):
        vm = self.vms.get(name)
        if vm is None or vm.paused or not vm.claims:
            return
        key, claim = vm.claims.pop(0)
        if end == "release":
            claim.release()
            return
        self.may_have_run[key] += 1
        if end == "finish":
            claim.finish(ANSWER)
        else:
            claim.mark_lost()

    @rule()
    def rows_are_updated(self):
        async def some_turns():
            for _ in range(10):
                await asyncio.sleep(0)

        self.loop.run_until_complete(some_turns())

    @rule(name=VMS)
    def pauses_or_resumes(self, name):
        if name in self.vms:
            self.vms[name].paused = not self.vms[name].paused

    @rule(name=VMS, ran=st.booleans())
    def dies_or_is_replaced(self, name, ran):
        vm = self.vms.pop(name, None)
        if vm is None:
            self.vms[name] = Vm(name, self)
            return
        vm.task.cancel()
        for key, _ in vm.claims:
            self.may_have_run[key] += ran

    @rule(mode=st.sampled_from(MODES))
    def platform_changes(self, mode):
        self.table.mode = mode
        for vm in self.vms.values():
            # Skip the pause after a failed call, in which no claim would be written.
            vm.admission._rows._retry_at_s = 0.0

    @invariant()
    def at_most_one_execution(self):
        assert all(count <= 1 for count in self.may_have_run.values())

    @invariant()
    def at_most_one_claim(self):
        claimed = [key for vm in self.vms.values() for key, _ in vm.claims]
        assert len(claimed) == len(set(claimed))


def test_no_sequence_of_faults_executes_a_key_twice(monkeypatch):
    monkeypatch.setattr(key_owners, "OWNER_TIMEOUT_S", 0.002)
    run_state_machine_as_test(
        SeveralVms, settings=settings(max_examples=150, stateful_step_count=25)
    )
