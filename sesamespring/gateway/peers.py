"""Hear other VMs by heartbeats, and carry messages on slots to and from them."""

import asyncio
import contextlib
import json
import time

import attrs

from sesamespring.errors import OutsideError
from sesamespring.gateway.generated.ttypes import Heartbeat, KnownVms
from sesamespring.platform.store import ABSENT_VERSION
from sesamespring.routing.deciders import usable_cores
from sesamespring.routing.membership import Member, Membership

__all__ = ["HEARTBEAT_S", "Peers"]

HEARTBEAT_S = 0.3
VMS_TABLE = "vms"
KNOWN_VMS_MAX = 128
REGISTER_RETRY_S = 1.0
# A VM that was silent for so long is greeted only now and then.
GREETING_S = 2.0


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
        self._membership = Membership(settings.name)
        self._loop = asyncio.get_running_loop()
        self._ips = set(settings.seed_ips)
        self._heard_ips = {}
        self._greeted_s = {}
        self._alive = {}
        self._socket = None
        self._handlers = {Heartbeat: self._heard, KnownVms: self._told}

    @property
    def own(self):
        """This VM's Member."""
        return Member(
            name=self._settings.name,
            ip=self._settings.ip,
            data_centre=self._settings.data_centre,
            incarnation=self._incarnation,
            sequence=self._sequence,
            cores=usable_cores(self._settings.cores, self._settings.link_mbps),
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
        """Let ``handler(message, ip)`` take messages of a type."""
        self._handlers[message_type] = handler

    def receive(self, message, ip):
        """Take in a message from another VM."""
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(message, ip)

    def send(self, message, ip):
        """Send a message to the VM at an IP address."""
        self._socket.send(message, (ip, self._settings.internal_ports[0]))

    def announce(self):
        """Send a heartbeat to all VMs now."""
        self._sequence += 1
        now_s = self._loop.time()
        port = self._settings.internal_ports[0]
        ips = [ip for ip in self._ips if self._wants_greeting(ip, now_s)]
        if ips:
            self._socket.send(self._heartbeat(), *[(ip, port) for ip in ips])

    async def run(self):
        """Send heartbeats and notice silence until cancelled."""
        while True:
            self._membership.check(self._loop.time())
            self.announce()
            self._refresh()
            await asyncio.sleep(HEARTBEAT_S)

    async def register(self):
        """Write this VM's address where VMs that start later find it."""
        own = json.dumps({"ip": self._settings.ip}).encode()
        while True:
            with contextlib.suppress(OutsideError):
                table = await self._store.read_table(VMS_TABLE)
                rows = {row.key: row for row in table.rows}
                self._learn(_ip_of(row.content) for row in table.rows)
                row = rows.get(self._settings.name)
                if row is not None and row.content == own:
                    return
                version = row.version if row else ABSENT_VERSION
                await self._store.write(VMS_TABLE, self._settings.name, own, version)
            await asyncio.sleep(REGISTER_RETRY_S)

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
        )

    def _wants_greeting(self, ip, now_s):
        heard_s = self._heard_ips.get(ip)
        if heard_s is not None and now_s - heard_s < GREETING_S:
            return True
        if now_s - self._greeted_s.get(ip, float("-inf")) < GREETING_S:
            return False
        self._greeted_s[ip] = now_s
        return True

    def _heard(self, message, ip):
        now_s = self._loop.time()
        fields = {key: value for key, value in vars(message).items() if key != "vm"}
        member = Member(name=message.vm, ip=ip, **fields)
        is_new = ip not in self._heard_ips
        self._heard_ips[ip] = now_s
        self._ips.add(ip)
        if self._membership.heard(member, now_s):
            self._refresh()
        else:
            self._alive_update(member)
        if is_new and ip != self._settings.ip:
            self.send(self._heartbeat(), ip)
            self.send(KnownVms(ips=sorted(self._ips)[:KNOWN_VMS_MAX]), ip)

    def _alive_update(self, member):
        if member.name in self._alive:
            self._alive[member.name] = member

    def _told(self, message, ip):
        self._learn(message.ips)

    def _learn(self, ips):
        new = {ip for ip in ips if ip} - self._ips - {self._settings.ip}
        self._ips |= new
        for ip in new:
            self.send(self._heartbeat(), ip)

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


def _ip_of(content):
    try:
        return str(json.loads(content)["ip"])
    except (ValueError, KeyError, TypeError):
        return ""
