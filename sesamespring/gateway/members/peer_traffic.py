"""Count the bytes that a VM sends to other VMs, and how many leave its data centre."""

import re

__all__ = ["PeerTraffic"]

LOCAL = "local"
REMOTE = "remote"
# Where this VM does not know the receiver yet.
UNKNOWN = "unknown"
_WORD_START = re.compile(r"(?<=[a-z])(?=[A-Z])")


class PeerTraffic:
    """Counts what this VM sends to other VMs, by kind of message and place.

    Args:
        counters: The Counters.
        data_centre: Data centre of this VM.
        data_centre_of: Function that returns the data centre of the VM with an IP
            address, or None if it is unknown.
    """

    def __init__(self, counters, data_centre, data_centre_of):
        self._counters = counters
        self._data_centre = data_centre
        self._data_centre_of = data_centre_of
        # Dict of the name of a kind by message type.
        self._kinds = {}

    def record_datagram(self, message_type, size, addresses):
        """Record a datagram.

        Args:
            message_type: Class of the message.
            size: Its size in bytes.
            addresses: Pairs of IP and port to which it is sent.
        """
        kind = self._kinds.get(message_type)
        if kind is None:
            kind = _WORD_START.sub("-", message_type.__name__).lower()
            self._kinds[message_type] = kind
        places = [self._place(ip) for ip, _ in addresses]
        for place in set(places):
            self._add(kind, place, size * places.count(place))

    def record_page(self, ip, size):
        """Record the body of a response with rows of a table, sent to an IP address."""
        self._add("table-page", self._place(ip), size)

    def _add(self, kind, place, size):
        self._counters.add("peer_sent_bytes", size, kind=kind, place=place)

    def _place(self, ip):
        data_centre = self._data_centre_of(ip)
        if data_centre is None:
            return UNKNOWN
        return LOCAL if data_centre == self._data_centre else REMOTE
