"""Detect which VMs are alive from the heartbeats that they exchange."""

import attrs

__all__ = [
    "HEARTBEAT_INTERVAL_S",
    "MEMBER_EXPIRY_S",
    "Member",
    "Membership",
    "heartbeat_interval_factor",
]

HEARTBEAT_INTERVAL_S = 0.3
# Three heartbeat intervals plus the delay that a busy VM may add.
HEARTBEAT_TIMEOUT_S = 1.0
# Every VM receives the heartbeats of every other one, so that the number of messages
# grows with the square of the VMs. Above this number the interval is stretched.
VMS_AT_SHORTEST_INTERVAL = 48
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

    def reaches(self, service):
        """Return whether it can send requests to a service's targets itself."""
        return not self.reaches_no_target and service not in self.unreachable_services


def heartbeat_interval_factor(vms):
    """Return the factor by which the heartbeat interval is stretched for many VMs.

    >>> heartbeat_interval_factor(18), heartbeat_interval_factor(96)
    (1.0, 2.0)
    """
    return max(1.0, vms / VMS_AT_SHORTEST_INTERVAL)


class Membership:
    """The other VMs from which this VM receives heartbeats.

    Args:
        own_name: Name of this VM; its own heartbeats are ignored.
    """

    def __init__(self, own_name):
        self._own_name = own_name
        self._members = {}
        self._last_received_s = {}
        self._last_tick_s = None

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
        if current is not None and not _is_newer(member, current, silent):
            return False
        self._members[member.name] = member
        self._last_received_s[member.name] = now_s
        return silent or current is None or _state(member) != _state(current)

    def is_alive(self, name, now_s):
        """Return whether a heartbeat of a VM was received within the timeout."""
        received_s = self._last_received_s.get(name)
        timeout_s = HEARTBEAT_TIMEOUT_S * heartbeat_interval_factor(len(self._members))
        return received_s is not None and now_s - received_s < timeout_s

    def alive(self, now_s):
        """Return the Members whose last heartbeat is within the timeout."""
        return [m for m in self._members.values() if self.is_alive(m.name, now_s)]

    def known(self):
        """Return the Members that are alive or have fallen silent."""
        return list(self._members.values())

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


def _is_newer(member, current, silent):
    """Return whether a heartbeat is newer than the last one of the same VM.

    An incarnation is a wall-clock time, and the clock may be set back. Therefore any
    other incarnation of a VM that has fallen silent counts as its restart, even if its
    number is smaller.
    """
    if member.incarnation == current.incarnation:
        return member.sequence > current.sequence
    return silent or member.incarnation > current.incarnation


def _state(member):
    return (
        member.incarnation,
        member.ready,
        member.leaving,
        member.store_reached,
        member.unreachable_services,
        member.reaches_no_target,
    )
