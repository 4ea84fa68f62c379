"""Send thrift messages between VMs as datagrams, which may get lost."""

import asyncio

from sesamespring.gateway.generated.ttypes import Datagram
from sesamespring.thrift_codec import FrameError, UnionCodec

__all__ = ["DatagramSocket", "open_datagrams"]

DATAGRAM_BYTES_MAX = 8 * 1024

_codec = UnionCodec(Datagram, DATAGRAM_BYTES_MAX)


class DatagramSocket(asyncio.DatagramProtocol):
    """A UDP socket that carries one message a datagram.

    Args:
        on_message: Function called with the message and the sender's address.
        counters: The Counters.
    """

    def __init__(self, on_message, counters):
        self._on_message = on_message
        self._counters = counters
        self._transport = None

    def connection_made(self, transport):
        """Take in the transport."""
        self._transport = transport

    def datagram_received(self, data, address):
        """Take in a datagram; one that is no message is counted and dropped."""
        try:
            message = _codec.decode(data)
        except FrameError:
            self._counters.add("bad_datagrams")
            return
        self._on_message(message, address)

    def error_received(self, exc):
        """Take in that a datagram could not be delivered."""
        self._counters.add("undelivered_datagrams")

    def send(self, message, *addresses):
        """Send a message to addresses, pairs of IP and port."""
        data = _codec.encode(message)
        for address in addresses:
            self._transport.sendto(data, address)

    def close(self):
        """Close the socket."""
        self._transport.close()


async def open_datagrams(address, on_message, counters):
    """Return a DatagramSocket bound to ``address``; see there."""
    loop = asyncio.get_running_loop()
    _, protocol = await loop.create_datagram_endpoint(
        lambda: DatagramSocket(on_message, counters), local_addr=address
    )
    return protocol
