"""Exchange thrift messages between VMs over UDP, without delivery guarantees."""

import asyncio

from sesamespring.gateway.generated.ttypes import Datagram
from sesamespring.thrift_codec import FrameError, UnionCodec

__all__ = ["DatagramSocket", "open_datagrams"]

DATAGRAM_BYTES_MAX = 8 * 1024

_codec = UnionCodec(Datagram, DATAGRAM_BYTES_MAX)


class DatagramSocket(asyncio.DatagramProtocol):
    """A UDP socket that carries one thrift message per datagram.

    Args:
        on_message: Function called with each message and its sender's address, a pair
            of IP and port.
        counters: The Counters.
    """

    def __init__(self, on_message, counters):
        self._on_message = on_message
        self._counters = counters
        self._transport = None

    @property
    def local_address(self):
        """Pair of IP and port that the socket is bound to."""
        return self._transport.get_extra_info("sockname")

    def connection_made(self, transport):
        """Keep the transport for sending."""
        self._transport = transport

    def datagram_received(self, data, address):
        """Decode a datagram and pass it on; a malformed one is counted and dropped."""
        try:
            message = _codec.decode(data)
        except FrameError:
            self._counters.add("bad_datagrams")
            return
        self._on_message(message, address)

    def error_received(self, exc):
        """Count a datagram that the system reports as undelivered."""
        self._counters.add("undelivered_datagrams")

    def send(self, message, *addresses):
        """Send a message to each of ``addresses``, pairs of IP and port.

        Nothing is sent after ``close``, as timers may still be due then.
        """
        if self._transport.is_closing():
            return
        data = _codec.encode(message)
        for address in addresses:
            self._transport.sendto(data, address)

    def close(self):
        """Close the socket."""
        self._transport.close()


async def open_datagrams(address, on_message, counters):
    """Return a DatagramSocket bound to a local address.

    Args:
        address: Pair of IP and port.
        on_message: See DatagramSocket.
        counters: The Counters.

    Raises:
        OSError: The address cannot be bound.
    """
    loop = asyncio.get_running_loop()
    _, protocol = await loop.create_datagram_endpoint(
        lambda: DatagramSocket(on_message, counters), local_addr=address
    )
    return protocol
