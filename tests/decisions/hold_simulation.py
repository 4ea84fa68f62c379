"""Simulate HoldManagers on several VMs and a faulty table, in virtual time."""

import random

import attrs

from sesamespring.decisions.groups import Candidate, choose_holder, eligible_candidates
from sesamespring.decisions.hold_manager import HoldManager
from sesamespring.decisions.hold_messages import (
    HoldRow,
    HoldsRead,
    HoldsWritten,
    HoldView,
    OperationFailed,
    PeerMessageReceived,
    PeerProbed,
    PeerState,
    ProbePeer,
    ReadHolds,
    ReadSession,
    SendToVm,
    SessionRead,
    SessionWritten,
    TargetKey,
    Tick,
    Witness,
    WriteHolds,
    WriteResult,
    WriteSession,
)

TICK_S = 0.05
TTL_S = 3.0
CALL_TIMEOUT_TICKS = 6
SLOW_TICKS = 40
HEARTBEAT_TIMEOUT_S = 1.0
WORK_S = 0.5
KEYS = tuple(TargetKey("roster", f"t{n}") for n in range(4))


@attrs.define
class Node:
    """One run of a daemon.

    Attributes:
        clock_s: Offset of its monotonic clock from the simulation's time, in seconds.
        silent_since_s: Simulation time at which it last ran.
        linked: Time of the link to each live peer, by the peer's incarnation.
        view: The last HoldView passed to its manager.
    """

    vm: str
    incarnation: str
    clock_s: float
    manager: object
    alive: bool = True
    paused: bool = False
    silent_since_s: float = 0.0
    linked: dict = attrs.field(factory=dict)
    view: object = None


class Simulation:
    """Several VMs, the links between them and the platform's table.

    ``platform`` is the state of the platform for each VM: ``up``, ``down``, ``slow``
    (calls take effect after their timeout), ``lose`` (writes take effect, but their
    responses are lost) or ``flaky`` (a random one of up, slow and down for each call).

    Args:
        names: Names of the VMs.
        seed: Seed of the random choices; also selects the number of witnesses.
    """

    def __init__(self, names, seed):
        self.now_s = 0.0
        self.seed = seed
        self.random = random.Random(seed)
        self.names = names
        self.platform = dict.fromkeys(names, "up")
        self.cut = set()
        self.nodes = {}
        self._sessions = {}
        self._rows = {}
        self._calls = []
        self._messages = []
        self._writes = []
        self._runs = 0
        for name in names:
            self.start(name)

    def start(self, vm):
        """Start a new run of a VM's daemon."""
        self._runs += 1
        clock_s = self.random.uniform(0, 1000)
        incarnation = f"run{self._runs}"
        manager = HoldManager(
            vm,
            incarnation,
            (vm, 1),
            TTL_S,
            is_busy=lambda key: False,
            is_warm=lambda key: True,
            longest_work_s=lambda key: WORK_S,
            started_s=self.now_s + clock_s,
        )
        self.nodes[vm] = Node(vm, incarnation, clock_s, manager)

    def run(self, seconds):
        """Advance time in ticks, and check at each that no target has two holders."""
        for _ in range(round(seconds / TICK_S)):
            self.now_s += TICK_S
            self._run_calls()
            self._deliver_messages()
            for node in tuple(self.nodes.values()):
                if node.alive and not node.paused:
                    node.silent_since_s = self.now_s
                    self._update_view(node)
                    self.deliver(node, Tick())
            self.check()

    def record_writes(self):
        """Return a list to which each later WriteHolds is appended."""
        self._writes = []
        return self._writes

    def check(self):
        """Fail if two runs may send requests to one target."""
        for key in KEYS:
            holders = self.holders(key)
            assert len(holders) <= 1, (round(self.now_s, 2), key, holders)

    def holders(self, key):
        """Return the runs that may send requests to a target, including paused ones."""
        found = []
        for node in self.nodes.values():
            hold = node.manager.holds.get(key)
            now_s = self.now_s + node.clock_s
            if node.alive and hold and node.manager.valid_until_s(hold) > now_s:
                found.append((node.vm, hold))
        return found

    def deliver(self, node, message):
        """Pass a message to a node's manager and run the resulting commands."""
        now_s = self.now_s + node.clock_s
        for command in node.manager.handle(message, now_s):
            self._act(node, command)

    def linked(self, one, other):
        """Return whether the link between two VMs is up."""
        return frozenset((one, other)) not in self.cut

    def _act(self, node, command):
        if isinstance(command, SendToVm):
            delay = self.random.choice((1, 1, 2, 8))
            receiver = self.nodes[command.vm].incarnation
            self._messages.append([delay, node, command.vm, receiver, command.body])
        elif isinstance(command, ProbePeer):
            other = self.nodes[command.address[0]]
            refused = not other.alive and self.linked(node.vm, other.vm)
            sent_s = self.now_s + node.clock_s
            self.deliver(node, PeerProbed(command.address, sent_s, refused))
        else:
            self._calls.append(self._new_call(node, command))

    def _new_call(self, node, command):
        mode = self.platform[node.vm]
        apply_in = {"slow": SLOW_TICKS, "down": None}.get(mode, 1)
        if mode == "flaky":
            apply_in = self.random.choice((1, SLOW_TICKS, None))
        return [node, command, apply_in, CALL_TIMEOUT_TICKS, mode, False]

    def _run_calls(self):
        for call in tuple(self._calls):
            node, command, apply_in, timeout, mode, completed = call
            result = None
            if apply_in is not None:
                call[2] = apply_in - 1
                if call[2] <= 0:
                    result = self._apply(command)
                    call[2] = None
            call[3] = timeout - 1
            if mode == "lose" and isinstance(command, WriteSession | WriteHolds):
                result = None
            if not completed and (result is not None or call[3] <= 0):
                call[5] = True
                response = result if result is not None else _failed(command)
                if node.alive and not node.paused:
                    self.deliver(node, response)
                elif node.alive:
                    self._messages.append(
                        [1, node, node.vm, node.incarnation, response]
                    )
            if call[5] and call[2] is None:
                self._calls.remove(call)

    def _apply(self, command):
        if isinstance(command, ReadSession):
            return SessionRead(command, self._sessions.get(command.session))
        if isinstance(command, ReadHolds):
            rows = [r for r in self._rows.values() if r.key.service == command.service]
            return HoldsRead(command, tuple(rows))
        if isinstance(command, WriteSession):
            row = command.row
            if self._session_version(row.session) != row.version:
                return SessionWritten(command, WriteResult.CONFLICT)
            self._sessions[row.session] = attrs.evolve(row, version=row.version + 1)
            return SessionWritten(command, WriteResult.DONE, row.version + 1)
        self._writes.append(command)
        stale = any(
            self._session_version(row.session) != row.version
            for row in command.sessions
        ) or any(self._hold_version(row.key) != row.version for row in command.rows)
        if stale:
            return HoldsWritten(command, WriteResult.CONFLICT)
        version = 1 + max(row.version for row in (*command.rows, *self._rows.values()))
        for row in command.rows:
            after = HoldRow(row.key, row.session, row.epoch, version)
            self._rows[row.key] = after
        return HoldsWritten(command, WriteResult.DONE, version)

    def _session_version(self, session):
        row = self._sessions.get(session)
        return 0 if row is None else row.version

    def _hold_version(self, key):
        row = self._rows.get(key)
        return 0 if row is None else row.version

    def _deliver_messages(self):
        for entry in tuple(self._messages):
            entry[0] -= 1
            sender, vm, incarnation, body = entry[1:]
            node = self.nodes[vm]
            if node.paused and node.incarnation == incarnation:
                continue
            if entry[0] > 0:
                continue
            self._messages.remove(entry)
            same_run = node.alive and node.incarnation == incarnation
            if not same_run or not self.linked(sender.vm, vm):
                continue
            if sender is node:
                self.deliver(node, body)
            else:
                self.deliver(
                    node, PeerMessageReceived(sender.vm, sender.incarnation, body)
                )

    def _update_view(self, node):
        now_s = self.now_s + node.clock_s
        peers = {}
        for other in self.nodes.values():
            silent_s = self.now_s - other.silent_since_s
            responsive = other.alive and silent_s < HEARTBEAT_TIMEOUT_S
            if other is node or not responsive or not self.linked(node.vm, other.vm):
                node.linked.pop(other.incarnation, None)
                continue
            linked_s = node.linked.setdefault(other.incarnation, now_s)
            reaches = not other.manager.platform_away
            peers[other.vm] = PeerState(
                other.incarnation, (other.vm, 1), linked_s, reaches
            )
        group = [
            Candidate(vm, vm, not self.nodes[vm].manager.platform_away)
            for vm in (node.vm, *peers)
            if not self.nodes[vm].manager.leaving
        ]
        group = eligible_candidates(group)
        preferred = {}
        if group:
            preferred = {key: choose_holder(key.target, "", group) for key in KEYS}
        view = HoldView(preferred, peers)
        if view != node.view:
            node.view = view
            node.manager.set_view(view, now_s)
            witness_count = 1 + self.seed % 3
            witnesses = tuple(
                Witness(vm, (vm, 1)) for vm in sorted(peers)[:witness_count]
            )
            node.manager.set_witnesses(witnesses)


def _failed(command):
    if isinstance(command, WriteSession):
        return SessionWritten(command, WriteResult.UNKNOWN)
    if isinstance(command, WriteHolds):
        return HoldsWritten(command, WriteResult.UNKNOWN)
    return OperationFailed(command)
