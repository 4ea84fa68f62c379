"""Hear other VMs by heartbeats, and carry messages on slots to and from them."""

import asyncio
import contextlib
import json
import time

import attrs

from sesamespring.errors import OutsideError
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
REGISTER_RETRY_S = 1.0
# A VM that was silent for so long is greeted only now and then.
GREETING_S = 4.0


class Peers:
    """The other VMs: who is alive, and how they are reached.

    Args:
        settings: The VmSettings.
        state: Function that returns the changing fields of this VM's Member as a dict.
        store: The StoreClient for this VM's registration.
        log: The EventLog.
        on_change: Function called when a VM appears, vanishes or changes its state.
    """

    def __init__(self, settings, state, store, log, on_change):
        self._settings = settings
        self._state = state
        self._store = store
        self._log = log
        self._on_change = on_change
        self._incarnation = time.time_ns() // 1_000_000
        self._sequence = 0
        self._membership = Membership(settings.process_name)
        self._loop = asyncio.get_running_loop()
        self._addresses = set(settings.seed_addresses)
        self._heard_s = {}
        self._greeted_s = {}
        self._learned_s = {}
        self._alive = {}
        self._socket = None
        self._handlers = {Heartbeat: self._heard, KnownVms: self._told}

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
            cores=self._cores(),
            **self._state(),
        )

    @property
    def alive(self):
        """Dict by name of the Members that are heard, without this VM."""
        return self._alive

    @property
    def incarnation(self):
        """The number of this start of the process, in milliseconds of Unix time."""
        return self._incarnation

    def is_alive(self, name):
        """Whether a VM is heard."""
        return self._membership.is_alive(name, self._loop.time())

    def use(self, datagrams):
        """Take the DatagramSocket."""
        self._socket = datagrams

    def on_message(self, message_type, handler):
        """Let ``handler(message, address)`` take messages of a type."""
        self._handlers[message_type] = handler

    def receive(self, message, address):
        """Take in a message from another VM."""
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(message, address)

    def send(self, message, address):
        """Send a message to the VM at an address, a pair of IP and port."""
        self._socket.send(message, address)

    def announce(self):
        """Send a heartbeat to all VMs now."""
        self._sequence += 1
        now_s = self._loop.time()
        wanted = [a for a in self._addresses if self._wants_greeting(a, now_s)]
        if wanted:
            self._socket.send(self._heartbeat(), *wanted)

    async def run(self):
        """Send heartbeats and notice silence until cancelled."""
        while True:
            self._membership.tick(self._loop.time())
            self._forget_addresses()
            self.announce()
            self._refresh()
            await asyncio.sleep(
                HEARTBEAT_INTERVAL_S * heartbeat_interval_factor(len(self._addresses))
            )

    async def register(self):
        """Learn the addresses of other VMs, and leave this one's for later ones."""
        ip, port = self._settings.internal_address
        own = json.dumps({"ip": ip, "port": port}).encode()
        name = self._settings.process_name
        while True:
            with contextlib.suppress(OutsideError):
                table = await self._store.read_table(VMS_TABLE)
                rows = {row.key: row for row in table.rows}
                self._learn(_address_of(row.content) for row in table.rows)
                row = rows.get(name)
                if row is not None and row.content == own:
                    return
                version = row.version if row else ABSENT_VERSION
                await self._store.write(VMS_TABLE, name, own, version)
            await asyncio.sleep(REGISTER_RETRY_S)

    def _cores(self):
        """Return the cores that count for work for others; a directory has none."""
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
            callers_port=own.callers_port,
        )

    def _forget_addresses(self):
        """Forget addresses that have not answered for long, but for the seeds."""
        oldest_s = self._loop.time() - MEMBER_EXPIRY_S
        for address in self._addresses - self._settings.seed_addresses:
            known_s = self._heard_s.get(address, self._learned_s.get(address, oldest_s))
            if known_s < oldest_s:
                self._addresses.discard(address)
                for times in (self._heard_s, self._learned_s, self._greeted_s):
                    times.pop(address, None)

    def _wants_greeting(self, address, now_s):
        heard_s = self._heard_s.get(address)
        if heard_s is not None and now_s - heard_s < GREETING_S:
            return True
        if now_s - self._greeted_s.get(address, float("-inf")) < GREETING_S:
            return False
        self._greeted_s[address] = now_s
        return True

    def _heard(self, message, address):
        now_s = self._loop.time()
        fields = {key: value for key, value in vars(message).items() if key != "vm"}
        member = Member(name=message.vm, address=address, **fields)
        is_new = address not in self._heard_s
        self._heard_s[address] = now_s
        self._addresses.add(address)
        if self._membership.record_heartbeat(member, now_s):
            self._refresh()
        else:
            self._alive_update(member)
        if is_new and address != self._settings.internal_address:
            self.send(self._heartbeat(), address)
            known = sorted(self._addresses)[:KNOWN_VMS_MAX]
            texts = [f"{ip}:{port}" for ip, port in known]
            self.send(KnownVms(addresses=texts), address)

    def _alive_update(self, member):
        if member.name in self._alive:
            self._alive[member.name] = member

    def _told(self, message, address):
        self._learn(map(_split_address, message.addresses))

    def _learn(self, addresses):
        known = self._addresses | {self._settings.internal_address, None}
        new = set(addresses) - known
        self._addresses |= new
        for address in new:
            self._learned_s[address] = self._loop.time()
            self.send(self._heartbeat(), address)

    def _refresh(self):
        """Compare who is alive with what was known, and tell of changes."""
        alive = {m.name: m for m in self._membership.alive(self._loop.time())}
        before, self._alive = self._alive, alive
        for name in before.keys() - alive.keys():
            self._log.event("vm-silent", peer=name)
        for name in alive.keys() - before.keys():
            self._log.event("vm-heard", peer=name, incarnation=alive[name].incarnation)
        if _states(before) != _states(alive):
            self._on_change()


def _states(members):
    return {
        name: attrs.evolve(member, sequence=0, operator_version=0, targets_version=0)
        for name, member in members.items()
    }


def _address_of(content):
    """Return the address in another VM's row, or None."""
    try:
        row = json.loads(content)
        return str(row["ip"]), int(row["port"])
    except (ValueError, KeyError, TypeError):
        return None


def _split_address(text):
    """Return the pair of IP and port in ``IP:PORT``, or None."""
    ip, _, port = text.rpartition(":")
    return (ip, int(port)) if port.isdigit() else None
