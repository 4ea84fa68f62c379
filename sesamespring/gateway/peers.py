"""Exchange heartbeats and slot messages with other VMs, and track which are alive."""

import asyncio
import contextlib
import json
import operator
import time

import attrs

from sesamespring.errors import ExternalError
from sesamespring.gateway.generated.ttypes import Heartbeat, KnownVms
from sesamespring.platform.rows import ABSENT_VERSION
from sesamespring.routing.membership import (
    HEARTBEAT_INTERVAL_S,
    MEMBER_EXPIRY_S,
    Member,
    Membership,
    heartbeat_interval_factor,
)
from sesamespring.routing.vm_selection import usable_cores

__all__ = ["Peers"]

VMS_TABLE = "vms"
KNOWN_VMS_MAX = 128
REGISTER_RETRY_DELAY_S = 1.0
# To a VM that has been silent for this long, heartbeats are sent only at this interval.
SILENT_HEARTBEAT_INTERVAL_S = 4.0
# Fields of a Member that most heartbeats change.
CHANGING_FIELDS = frozenset(
    {
        "sequence",
        "operator_version",
        "targets_version",
        "operator_era",
        "targets_era",
    }
)
_lasting_fields = operator.attrgetter(
    *(field.name for field in attrs.fields(Member) if field.name not in CHANGING_FIELDS)
)


class Peers:
    """The other VMs: which are alive, and their addresses.

    Args:
        settings: The VmSettings.
        local_state: Function that returns the changing fields of this VM's Member, as a
            dict.
        store: The StoreClient with which this VM registers its address.
        limits: The TargetLimits that heartbeats carry.
        availability: The TargetAvailability that heartbeats carry.
        quarantine: The RequestQuarantine whose records heartbeats carry.
        log: The EventLog.
        on_change: Function without arguments, called when a VM appears, becomes silent
            or changes its state.
    """

    def __init__(
        self,
        settings,
        local_state,
        store,
        limits,
        availability,
        quarantine,
        log,
        on_change,
    ):
        self._settings = settings
        self._local_state = local_state
        self._store = store
        self._limits = limits
        self._availability = availability
        self._quarantine = quarantine
        self._log = log
        self._on_change = on_change
        self._incarnation = time.time_ns() // 1_000_000
        self._sequence = 0
        self._membership = Membership(settings.process_name)
        self._loop = asyncio.get_running_loop()
        self._addresses = set(settings.seed_addresses)
        self._last_received_s = {}
        self._silent_sent_s = {}
        self._added_s = {}
        self._must_register = asyncio.Event()
        self._must_register.set()
        self._alive = {}
        self._socket = None
        self._handlers = {
            Heartbeat: self._handle_heartbeat,
            KnownVms: self._handle_known_vms,
        }

    @property
    def own(self):
        """This VM's Member."""
        return Member(
            name=self._settings.process_name,
            address=self._settings.internal_address,
            callers_port=self._settings.callers_port,
            data_centre=self._settings.data_centre,
            incarnation=self._incarnation,
            sequence=self._sequence,
            cores=self._usable_cores(),
            **self._local_state(),
        )

    @property
    def alive(self):
        """Dict by name of the Members that send heartbeats, without this VM."""
        return self._alive

    @property
    def known_count(self):
        """Number of VMs that serve callers, with this one and those now silent."""
        known = {
            member.name
            for member in self._membership.known()
            if member.callers_port and not member.leaving
        }
        return len(known | {self._settings.process_name})

    @property
    def incarnation(self):
        """Start time of this process in milliseconds of Unix time."""
        return self._incarnation

    def is_alive(self, name):
        """Whether heartbeats of the VM ``name`` arrive."""
        return self._membership.is_alive(name, self._loop.time())

    def set_socket(self, datagrams):
        """Set the DatagramSocket; must be called before any message is sent."""
        self._socket = datagrams

    def set_handler(self, message_type, handler):
        """Call ``handler(message, address)`` for each message of a type."""
        self._handlers[message_type] = handler

    def handle_message(self, message, address):
        """Pass a message from another VM to its handler; without one it is ignored."""
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(message, address)

    def send(self, message, address):
        """Send a message to the VM at ``address``, a pair of IP and port."""
        self._socket.send(message, address)

    def broadcast(self, message):
        """Send a message to all VMs that are alive."""
        self._socket.send(message, *(m.address for m in self._alive.values()))

    def broadcast_heartbeat(self):
        """Send a heartbeat to all VMs, to silent ones only at their longer interval."""
        self._sequence += 1
        now_s = self._loop.time()
        due = [a for a in self._addresses if self._is_heartbeat_due(a, now_s)]
        if due:
            self._socket.send(self._heartbeat(), *due)

    async def run(self):
        """Send heartbeats and detect silent VMs until cancelled."""
        while True:
            self._membership.tick(self._loop.time())
            self._expire_addresses()
            self.broadcast_heartbeat()
            self._update_members()
            await asyncio.sleep(
                HEARTBEAT_INTERVAL_S * heartbeat_interval_factor(len(self._addresses))
            )

    def register_again(self):
        """Make ``register`` check this VM's row, which the store may have lost."""
        self._must_register.set()

    async def register(self):
        """Read the other VMs' addresses from the store and write this VM's there.

        Retries until the row in the store holds this VM's address, at the start and
        after each call of ``register_again``. Runs until cancelled.
        """
        while True:
            await self._must_register.wait()
            self._must_register.clear()
            await self._register_once()

    async def _register_once(self):
        ip, port = self._settings.internal_address
        own = json.dumps({"ip": ip, "port": port}).encode()
        name = self._settings.process_name
        while True:
            with contextlib.suppress(ExternalError):
                table = await self._store.read_table(VMS_TABLE)
                rows = {row.key: row for row in table.rows}
                self._add_addresses(_address_of(row.content) for row in table.rows)
                row = rows.get(name)
                if row is not None and row.content == own:
                    return
                version = row.version if row else ABSENT_VERSION
                await self._store.write(VMS_TABLE, name, own, version)
            await asyncio.sleep(REGISTER_RETRY_DELAY_S)

    def _usable_cores(self):
        """Return the cores that other VMs may count on.

        A process that serves the directory only offers none.
        """
        if not self._settings.callers_port:
            return 0.0
        return usable_cores(self._settings.cores, self._settings.link_mbps)

    def _heartbeat(self):
        own = self.own
        return Heartbeat(
            vm=own.name,
            data_centre=own.data_centre,
            incarnation=own.incarnation,
            sequence=own.sequence,
            cores=own.cores,
            ready=own.ready,
            leaving=own.leaving,
            store_reached=own.store_reached,
            operator_version=own.operator_version,
            targets_version=own.targets_version,
            operator_era=own.operator_era,
            targets_era=own.targets_era,
            callers_port=own.callers_port,
            limits=self._limits.for_heartbeat(),
            leaving_targets=self._availability.for_heartbeat(),
            crash_records=self._quarantine.for_heartbeat(),
            unreachable_services=list(own.unreachable_services),
            reaches_no_target=own.reaches_no_target,
        )

    def _expire_addresses(self):
        """Remove addresses silent for MEMBER_EXPIRY_S, except the seed addresses."""
        oldest_s = self._loop.time() - MEMBER_EXPIRY_S
        for address in self._addresses - self._settings.seed_addresses:
            last_seen_s = self._last_received_s.get(
                address, self._added_s.get(address, oldest_s)
            )
            if last_seen_s < oldest_s:
                self._addresses.discard(address)
                for times in (
                    self._last_received_s,
                    self._added_s,
                    self._silent_sent_s,
                ):
                    times.pop(address, None)

    def _is_heartbeat_due(self, address, now_s):
        """Whether to send a heartbeat to an address; if silent, record the time."""
        received_s = self._last_received_s.get(address)
        if received_s is not None and now_s - received_s < SILENT_HEARTBEAT_INTERVAL_S:
            return True
        if (
            now_s - self._silent_sent_s.get(address, float("-inf"))
            < SILENT_HEARTBEAT_INTERVAL_S
        ):
            return False
        self._silent_sent_s[address] = now_s
        return True

    def _handle_heartbeat(self, message, address):
        now_s = self._loop.time()
        fields = dict(vars(message))
        limits = fields.pop("limits") or []
        leaving_targets = fields.pop("leaving_targets") or []
        crash_records = fields.pop("crash_records") or []
        fields["unreachable_services"] = tuple(fields["unreachable_services"] or ())
        member = Member(name=fields.pop("vm"), address=address, **fields)
        self._limits.record_heartbeat(limits, member.name)
        self._availability.record_heartbeat(leaving_targets, member.name)
        self._quarantine.record_heartbeat(crash_records, member.name)
        is_new = address not in self._last_received_s
        self._last_received_s[address] = now_s
        self._addresses.add(address)
        if self._membership.record_heartbeat(member, now_s):
            self._update_members()
        else:
            self._update_alive(member)
        if is_new and address != self._settings.internal_address:
            self.send(self._heartbeat(), address)
            known = sorted(self._addresses)[:KNOWN_VMS_MAX]
            texts = [f"{ip}:{port}" for ip, port in known]
            self.send(KnownVms(addresses=texts), address)

    def _update_alive(self, member):
        if member.name in self._alive:
            self._alive[member.name] = member

    def _handle_known_vms(self, message, address):
        self._add_addresses(map(_split_address, message.addresses))

    def _add_addresses(self, addresses):
        known = self._addresses | {self._settings.internal_address, None}
        new = set(addresses) - known
        self._addresses |= new
        for address in new:
            self._added_s[address] = self._loop.time()
            self.send(self._heartbeat(), address)

    def _update_members(self):
        """Update the Members that are alive, log the changes and report them."""
        alive = {m.name: m for m in self._membership.alive(self._loop.time())}
        before, self._alive = self._alive, alive
        for name in before.keys() - alive.keys():
            self._log.event("vm-silent", peer=name)
        for name in alive.keys() - before.keys():
            self._log.event("vm-heard", peer=name, incarnation=alive[name].incarnation)
            self._quarantine.repeat_all()
        if _states(before) != _states(alive):
            self._on_change()


def _states(members):
    """Return the Members' fields by name, but for those that most heartbeats change."""
    return {name: _lasting_fields(member) for name, member in members.items()}


def _address_of(content):
    """Return the pair of IP and port in a VM's row, or None if it is malformed."""
    try:
        row = json.loads(content)
        return str(row["ip"]), int(row["port"])
    except (ValueError, KeyError, TypeError):
        return None


def _split_address(text):
    """Return the pair of IP and port in ``IP:PORT``, or None."""
    ip, _, port = text.rpartition(":")
    return (ip, int(port)) if port.isdigit() else None
