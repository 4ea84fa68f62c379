"""Detect which VMs are alive from the heartbeats that they exchange."""

import attrs

from sesamespring.routing.gossip import (
    VMS_ALL_TO_ALL_MAX,
    HeartbeatCounters,
    all_to_all_interval_factor,
    state_key,
)

__all__ = ["HEARTBEAT_INTERVAL_S", "MEMBER_EXPIRY_S", "Member", "Membership"]

HEARTBEAT_INTERVAL_S = 0.3
# Three heartbeat intervals plus the delay that a busy VM may add.
HEARTBEAT_TIMEOUT_S = 1.0
# Several intervals, as most heartbeats of a large fleet arrive through other VMs.
GOSSIP_TIMEOUT_S = 1.7
# For how long a VM takes others for VMs of a large fleet after one has said so.
GOSSIP_MEMORY_S = 5.0
PAUSE_MIN_S = 0.5
# A VM that was silent for this long is not expected to return at the same address.
MEMBER_EXPIRY_S = 600.0


@attrs.frozen
class Member:
    """The state that a VM reported in its last heartbeat.

    Attributes:
        name: Name of the VM.
        address: Pair of IP and port for other VMs.
        callers_port: Port for callers' requests at the same IP, or 0.
        data_centre: Data centre of the VM.
        incarnation: Identifies one run of its process; usually grows with each start.
        sequence: Number of the heartbeat within this incarnation.
        cores: Number of cores' worth of requests that it can serve.
        ready: Whether it serves requests.
        leaving: Whether it is about to stop.
        store_reached: Whether its last call of the store succeeded.
        operator_version: Version of the newest change of the operator's table that it
            has received.
        targets_version: The same for the targets' table.
        operator_era: Era of the store that ``operator_version`` belongs to, or -1 if
            unknown; versions of different eras have no order.
        targets_era: The same for the targets' table.
        unreachable_services: Tuple of the services whose targets it does not reach.
        reaches_no_target: Whether it does not reach the targets of any service.
        gossips: Whether its build passes on the heartbeats of others in large fleets.
        passes_on: Whether its build passes news on to the VMs of its data centre.
    """

    name: str
    address: tuple
    callers_port: int
    data_centre: str
    incarnation: int
    sequence: int
    cores: float
    ready: bool
    leaving: bool
    store_reached: bool
    operator_version: int
    targets_version: int
    operator_era: int = -1
    targets_era: int = -1
    unreachable_services: tuple = ()
    reaches_no_target: bool = False
    gossips: bool = True
    passes_on: bool = False

    def reaches(self, service):
        """Return whether it can send requests to a service's targets itself."""
        return not self.reaches_no_target and service not in self.unreachable_services


class Membership:
    """The other VMs whose heartbeats reach this VM, directly or through other VMs.

    Args:
        own_name: Name of this VM; its own heartbeats are ignored.
    """

    def __init__(self, own_name):
        self._own_name = own_name
        self._members = {}
        self._last_received_s = {}
        # Number of the newest heartbeat by name; it may be known without its content.
        self._sequences = {}
        self._keys = {}
        self._names = {}
        self._own_keys = set()
        self._not_gossiping = set()
        self._last_tick_s = None
        self._gossip_until_s = float("-inf")

    @property
    def is_large(self):
        """Whether this VM sends its heartbeats to a few of the others only."""
        return len(self._members) >= VMS_ALL_TO_ALL_MAX

    def record_heartbeat(self, member, now_s):
        """Process a heartbeat; late and repeated ones are ignored.

        Args:
            member: The Member that the heartbeat describes.
            now_s: Current time.

        Returns:
            Whether the VM has become alive, was restarted or changed its state.
        """
        if member.name == self._own_name:
            return False
        current = self._members.get(member.name)
        silent = not self.is_alive(member.name, now_s)
        if current is not None and not self._is_newer(member, current, silent):
            return False
        changed = current is None or _state(member) != _state(current)
        self._members[member.name] = member
        self._sequences[member.name] = member.sequence
        self._last_received_s[member.name] = now_s
        if changed:
            self._set_key(member)
        if member.gossips:
            self._not_gossiping.discard(member.name)
        else:
            self._not_gossiping.add(member.name)
        return silent or changed

    def record_own(self, member):
        """Note a state of this VM, as others pass its counters on to it."""
        self._own_keys.add(_key(member))

    def record_counters(self, counters, now_s):
        """Process the HeartbeatCounters that another VM passes on.

        Returns:
            The list of the keys of states that this VM does not know.
        """
        self._gossip_until_s = now_s + GOSSIP_MEMORY_S
        unknown = []
        for key, sequence in zip(counters.keys, counters.sequences, strict=True):
            name = self._names.get(key)
            if name is None:
                if key not in self._own_keys:
                    unknown.append(key)
            elif sequence > self._sequences[name]:
                self._sequences[name] = sequence
                self._last_received_s[name] = now_s
        return unknown

    def counters(self, members):
        """Return the HeartbeatCounters of Members, as far as this VM has heard them."""
        names = [m.name for m in members if m.name in self._keys]
        keys = tuple([self._keys[name] for name in names])
        return HeartbeatCounters(keys, tuple([self._sequences[n] for n in names]))

    def member_in_state(self, key):
        """Return the Member with a key, as of its newest heartbeat, or None."""
        name = self._names.get(key)
        if name is None:
            return None
        return attrs.evolve(self._members[name], sequence=self._sequences[name])

    def member(self, name):
        """Return the Member with a name as of its newest heartbeat, or None."""
        return self._members.get(name)

    def is_alive(self, name, now_s):
        """Return whether a heartbeat of a VM was sent within about the timeout."""
        received_s = self._last_received_s.get(name)
        return received_s is not None and now_s - received_s < self._timeout_s(now_s)

    def alive(self, now_s):
        """Return the Members whose last heartbeat is within the timeout."""
        oldest_s = now_s - self._timeout_s(now_s)
        received_s = self._last_received_s
        return [m for m in self._members.values() if received_s[m.name] > oldest_s]

    def known(self):
        """Return the Members that are alive or have fallen silent."""
        return list(self._members.values())

    def heard_lately(self, now_s):
        """Return the Members that are most likely to run, as recipients of gossip."""
        oldest_s = now_s - HEARTBEAT_TIMEOUT_S
        received_s = self._last_received_s
        return [m for m in self._members.values() if received_s[m.name] > oldest_s]

    def tick(self, now_s):
        """Compensate for pauses of this process and remove expired members.

        To be called several times a second. Heartbeats that arrived during a pause have
        not been read yet, so the pause does not count as silence of their senders.
        """
        if self._last_tick_s is not None and now_s - self._last_tick_s > PAUSE_MIN_S:
            paused_s = now_s - self._last_tick_s
            for name in self._last_received_s:
                self._last_received_s[name] = min(
                    now_s, self._last_received_s[name] + paused_s
                )
        self._last_tick_s = now_s
        for name in [
            n for n, s in self._last_received_s.items() if now_s - s > MEMBER_EXPIRY_S
        ]:
            del self._members[name], self._last_received_s[name]
            del self._sequences[name], self._names[self._keys.pop(name)]
            self._not_gossiping.discard(name)

    def _timeout_s(self, now_s):
        """Return after how many seconds without a heartbeat a VM counts as silent."""
        timeout_s = HEARTBEAT_TIMEOUT_S
        if self._not_gossiping:
            timeout_s *= all_to_all_interval_factor(len(self._members))
        if self.is_large or now_s < self._gossip_until_s:
            timeout_s = max(timeout_s, GOSSIP_TIMEOUT_S)
        return timeout_s

    def _set_key(self, member):
        self._names.pop(self._keys.get(member.name), None)
        key = _key(member)
        self._keys[member.name] = key
        self._names[key] = member.name

    def _is_newer(self, member, current, silent):
        """Return whether a heartbeat is newer than the last one of the same VM.

        An incarnation is a wall-clock time, and the clock may be set back. Therefore
        any other incarnation of a VM that has fallen silent counts as its restart, even
        if its number is smaller.
        """
        if member.incarnation == current.incarnation:
            return member.sequence > self._sequences[member.name]
        return silent or member.incarnation > current.incarnation


def _key(member):
    return state_key(member.name, member.incarnation, _state(member))


def _state(member):
    return (
        member.incarnation,
        member.ready,
        member.leaving,
        member.store_reached,
        member.unreachable_services,
        member.reaches_no_target,
    )
