"""Exchange heartbeats and slot messages with other VMs, and track which are alive."""

import asyncio
import copy
import operator
import random
import time

import attrs

from sesamespring.fields import MalformedField
from sesamespring.fields import address as check_address
from sesamespring.gateway.generated.ttypes import (
    Heartbeat,
    KnownVms,
    MemberState,
    MemberStates,
    StatesWanted,
)
from sesamespring.gateway.members.member_messages import (
    decode_member,
    encode_member,
    join_address,
)
from sesamespring.gateway.members.peer_addresses import PeerAddresses
from sesamespring.routing.gossip import (
    GOSSIP_INTERVAL_S,
    VMS_ALL_TO_ALL_MAX,
    all_to_all_interval_factor,
    broadcast_recipients,
    decode_counters,
    encode_counters,
    gossip_recipients,
)
from sesamespring.routing.membership import (
    HEARTBEAT_INTERVAL_S,
    Member,
    Membership,
)
from sesamespring.routing.vm_selection import usable_cores

__all__ = ["Peers"]

KNOWN_VMS_MAX = 128
STATES_WANTED_MAX = 16
# A VM to which this one has just sent a heartbeat needs no other one in return.
INTRODUCTION_S = 1.0
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
        limits,
        availability,
        quarantine,
        log,
        on_change,
    ):
        self._settings = settings
        self._local_state = local_state
        self._limits = limits
        self._availability = availability
        self._quarantine = quarantine
        self._log = log
        self._on_change = on_change
        self._incarnation = time.time_ns() // 1_000_000
        self._sequence = 0
        self._membership = Membership(settings.process_name)
        self._loop = asyncio.get_running_loop()
        self._addresses = PeerAddresses(
            settings.seed_addresses, settings.internal_address
        )
        self._rng = random.Random()
        self._round = 0
        self._alive = {}
        self._data_centres = {}
        self._socket = None
        self._handlers = {
            Heartbeat: self._handle_heartbeat,
            KnownVms: self._handle_known_vms,
            StatesWanted: self._handle_states_wanted,
            MemberStates: self._handle_member_states,
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
            passes_on=True,
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

    def data_centre_of(self, ip):
        """Return the data centre of the VM with an IP address, or None if unknown."""
        return self._data_centres.get(ip)

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
        members = self._alive.values()
        alive = {member.address for member in members}
        due = self._addresses.due(alive, now_s)
        heartbeat = self._heartbeat()
        if self._membership.is_large:
            own_data_centre = self._settings.data_centre
            direct, passing = broadcast_recipients(own_data_centre, members, self._rng)
            alive = [member.address for member in direct]
            heartbeat.pass_on = True
            self._socket.send(heartbeat, *(member.address for member in passing))
            heartbeat.pass_on = None
        self._socket.send(heartbeat, *alive, *due)

    async def run(self):
        """Send heartbeats and detect silent VMs until cancelled."""
        while True:
            self._membership.tick(self._loop.time())
            self._addresses.expire(self._loop.time())
            self._update_members()
            self.send_heartbeats()
            is_large = self._membership.is_large
            await asyncio.sleep(GOSSIP_INTERVAL_S if is_large else HEARTBEAT_INTERVAL_S)

    def send_heartbeats(self):
        """Send the heartbeats of one interval: to all, or to a few in large fleets."""
        if self._membership.is_large:
            self._gossip()
        else:
            self.broadcast_heartbeat()

    def _gossip(self):
        """Send a heartbeat to a few VMs, with the counters of those that are alive.

        Silent VMs get one at their longer interval, and builds without gossip at the
        one that they expect.
        """
        self._sequence += 1
        self._round += 1
        now_s = self._loop.time()
        members = list(self._alive.values())
        own_data_centre = self._settings.data_centre
        local = [m for m in members if m.data_centre == own_data_centre]
        local_counters = self._counters_of(local)
        all_counters = self._counters_of(members)
        heartbeat = self._heartbeat()
        lately = self._membership.heard_lately(now_s)
        for member in gossip_recipients(own_data_centre, lately, self._rng):
            is_local = member.data_centre == own_data_centre
            heartbeat.counters = all_counters if is_local else local_counters
            self.send(heartbeat, member.address)
        heartbeat.counters = None
        alive = {member.address for member in members}
        due = self._addresses.due(alive, now_s)
        if self._round % round(all_to_all_interval_factor(len(members))) == 0:
            due += [member.address for member in members if not member.gossips]
        self._socket.send(heartbeat, *due)

    def _counters_of(self, members):
        return encode_counters(self._membership.counters(members), self._rng)

    def _usable_cores(self):
        """Return the cores that other VMs may count on.

        A process that serves the directory only offers none.
        """
        if not self._settings.callers_port:
            return 0.0
        return usable_cores(self._settings.cores, self._settings.link_mbps)

    def _heartbeat(self):
        own = self.own
        self._membership.record_own(own)
        heartbeat = encode_member(own)
        heartbeat.limits = self._limits.for_heartbeat()
        heartbeat.leaving_targets = self._availability.for_heartbeat()
        heartbeat.crash_records = self._quarantine.for_heartbeat()
        heartbeat.vms_known = len(self._addresses)
        return heartbeat

    def _handle_heartbeat(self, message, address):
        now_s = self._loop.time()
        if message.origin is not None:
            address = check_address(message.origin)
        member = decode_member(message, address)
        if message.pass_on:
            self._pass_on(message, address)
        self._limits.record_heartbeat(message.limits or [], member.name)
        self._availability.record_heartbeat(message.leaving_targets or [], member.name)
        self._quarantine.record_heartbeat(message.crash_records or [], member.name)
        known = self._membership.member(member.name)
        is_new = known is None or known.incarnation != member.incarnation
        self._addresses.record_heard(address, now_s)
        self._record_member(member, now_s)
        if message.counters is not None:
            self._record_counters(message.counters, address, now_s)
        if is_new and address != self._settings.internal_address:
            self._introduce(address, message.vms_known or 0, now_s)

    def _pass_on(self, heartbeat, address):
        """Send another VM's heartbeat on to the VMs of this VM's data centre.

        Those whose build would take it for this VM's own get it from the other VM.
        """
        own_data_centre = self._settings.data_centre
        passed = copy.copy(heartbeat)
        passed.origin = join_address(address)
        passed.pass_on = None
        near = (
            member.address
            for member in self._alive.values()
            if member.data_centre == own_data_centre and member.passes_on
        )
        self._socket.send(passed, *near)

    def _record_member(self, member, now_s):
        if member.address == self._settings.internal_address:
            return
        self._addresses.add([member.address], now_s)
        has_changed = self._membership.record_heartbeat(member, now_s)
        if has_changed or member.name in self._alive:
            self._update_member(member.name)

    def _record_counters(self, content, address, now_s):
        """Record the counters of a heartbeat, and ask for states that are not known."""
        counters = decode_counters(content)
        unknown = self._membership.record_counters(counters, now_s)
        if unknown:
            self.send(StatesWanted(keys=unknown[:STATES_WANTED_MAX]), address)

    def _introduce(self, address, vms_known, now_s):
        """Tell a process that is heard for the first time of this VM, and of others.

        Args:
            address: Its address.
            vms_known: Number of VMs that it knows.
            now_s: Present time.
        """
        if not self._addresses.was_added_since(address, now_s - INTRODUCTION_S):
            self.send(self._heartbeat(), address)
        if VMS_ALL_TO_ALL_MAX < len(self._addresses) < 2 * vms_known:
            return
        texts = list(map(join_address, self._addresses.first(KNOWN_VMS_MAX)))
        self.send(KnownVms(addresses=texts), address)

    def _handle_states_wanted(self, message, address):
        found = map(self._membership.member_in_state, message.keys[:STATES_WANTED_MAX])
        states = [
            MemberState(heartbeat=encode_member(m), address=join_address(m.address))
            for m in found
            if m is not None
        ]
        if states:
            self.send(MemberStates(states=states), address)

    def _handle_member_states(self, message, address):
        now_s = self._loop.time()
        for member in self._decode_each(_decode_state, message.states, address):
            self._record_member(member, now_s)

    def _handle_known_vms(self, message, address):
        addresses = self._decode_each(check_address, message.addresses, address)
        self.add_addresses(addresses)

    def _decode_each(self, decode, items, sender):
        """Return the decoded items of a list; those that are malformed are refused."""
        decoded = []
        for item in items:
            try:
                decoded.append(decode(item))
            except MalformedField as error:
                self._log.routine("item-refused", peer=sender[0], reason=error)
        return decoded

    def add_addresses(self, addresses):
        """Introduce this VM at addresses that are new."""
        for address in self._addresses.add(addresses, self._loop.time()):
            self.send(self._heartbeat(), address)

    def _update_member(self, name):
        """Update one Member of which a heartbeat has arrived."""
        member = self._membership.member(name)
        before = self._alive.get(name)
        if member is None:
            return
        self._alive[name] = member
        if before is None:
            self._log_heard(member)
        if before is None or _lasting_fields(before) != _lasting_fields(member):
            self._on_change()

    def _log_heard(self, member):
        self._log.event("vm-heard", peer=member.name, incarnation=member.incarnation)
        self._quarantine.repeat_all()

    def _update_members(self):
        """Update the Members that are alive, log the changes and report them."""
        alive = {m.name: m for m in self._membership.alive(self._loop.time())}
        before, self._alive = self._alive, alive
        known = self._membership.known()
        self._data_centres = {m.address[0]: m.data_centre for m in known}
        for name in before.keys() - alive.keys():
            self._log.event("vm-silent", peer=name)
        for name in alive.keys() - before.keys():
            self._log_heard(alive[name])
        if before.keys() != alive.keys():
            self._on_change()


def _decode_state(state):
    """Return the Member of a MemberState; raises MalformedField."""
    return decode_member(state.heartbeat, check_address(state.address))
