"""Tell which VMs are alive from the heartbeats that they send to each other."""

import attrs

__all__ = [
    "MEMBER_EXPIRY_S",
    "HEARTBEAT_INTERVAL_S",
    "Member",
    "Membership",
    "heartbeat_interval_factor",
]

HEARTBEAT_INTERVAL_S = 0.3
# Three heartbeats and what a busy VM may be late.
SILENCE_S = 1.0
# Every VM hears every other one, so beyond this many they speak less often.
VMS_AT_FULL_PACE = 48
PAUSE_S = 0.5
# A VM that was silent for so long is not expected back under its address.
MEMBER_EXPIRY_S = 600.0


@attrs.frozen
class Member:
    """What a VM last said of itself.

    Attributes:
        name: Name of the VM.
        address: Pair of IP and port for other VMs.
        callers_port: Port at the same IP for callers' requests, or 0.
        data_centre: Its data centre.
        incarnation: Names a start of its process; mostly grows with each one.
        sequence: Number of the heartbeat in this incarnation.
        cores: How many cores' worth of requests it can serve.
        ready: Whether it serves requests.
        leaving: Whether it is about to stop.
        store_reached: Whether its last call of the store was answered.
        operator_version: Version of the newest change it knows of the operator's table.
        targets_version: The same of the targets' table.
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


def heartbeat_interval_factor(vms):
    """Return how many times longer than usual heartbeats are apart.

    >>> heartbeat_interval_factor(18), heartbeat_interval_factor(96)
    (1.0, 2.0)
    """
    return max(1.0, vms / VMS_AT_FULL_PACE)


class Membership:
    """The VMs that this one hears.

    Args:
        own_name: Name of this VM.
    """

    def __init__(self, own_name):
        self._own_name = own_name
        self._members = {}
        self._heard_s = {}
        self._checked_s = None

    def record_heartbeat(self, member, now_s):
        """Take in a heartbeat; return whether the VM or its state is new."""
        if member.name == self._own_name:
            return False
        current = self._members.get(member.name)
        silent = not self.is_alive(member.name, now_s)
        if current is not None and not _is_newer(member, current, silent):
            return False
        self._members[member.name] = member
        self._heard_s[member.name] = now_s
        return silent or current is None or _role(member) != _role(current)

    def is_alive(self, name, now_s):
        """Whether a VM was heard of late."""
        heard_s = self._heard_s.get(name)
        silence_s = SILENCE_S * heartbeat_interval_factor(len(self._members))
        return heard_s is not None and now_s - heard_s < silence_s

    def alive(self, now_s):
        """Return the Members that were heard of late."""
        return [m for m in self._members.values() if self.is_alive(m.name, now_s)]

    def tick(self, now_s):
        """Notice pauses of this process; call it several times a second.

        What the others sent in the meantime has not been read yet, so their silence
        says nothing.
        """
        if self._checked_s is not None and now_s - self._checked_s > PAUSE_S:
            paused_s = now_s - self._checked_s
            for name in self._heard_s:
                self._heard_s[name] = min(now_s, self._heard_s[name] + paused_s)
        self._checked_s = now_s
        for name in [
            n for n, s in self._heard_s.items() if now_s - s > MEMBER_EXPIRY_S
        ]:
            del self._members[name], self._heard_s[name]


def _is_newer(member, current, silent):
    """Whether a heartbeat is newer than the one that is known of its VM.

    An incarnation is a time of day, and a clock may go back. Another incarnation of a
    VM that has fallen silent is taken for its restart, whatever its number.
    """
    if member.incarnation == current.incarnation:
        return member.sequence > current.sequence
    return silent or member.incarnation > current.incarnation


def _role(member):
    return (member.incarnation, member.ready, member.leaving, member.store_reached)
