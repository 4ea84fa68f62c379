"""Exchange thrift messages between VMs over UDP, without delivery guarantees."""

import asyncio

from sesamespring.fields import MalformedField
from sesamespring.gateway.generated.ttypes import Datagram
from sesamespring.gateway.members.datagram_checks import check_message
from sesamespring.gateway.supervision import describe_error
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
        log: The EventLog.
        on_sent: Function of the type of a message that was sent, its bytes and the
            addresses.
    """

    def __init__(self, on_message, counters, log, on_sent=lambda *sent: None):
        self._on_message = on_message
        self._counters = counters
        self._log = log
        self._on_sent = on_sent
        self._transport = None

    @property
    def local_address(self):
        """Pair of IP and port that the socket is bound to."""
        return self._transport.get_extra_info("sockname")

    def connection_made(self, transport):
        """Keep the transport for sending."""
        self._transport = transport

    def datagram_received(self, data, address):
        """Decode a datagram and pass it on; one that cannot be used is refused."""
        try:
            message = _codec.decode(data)
            check_message(message)
            self._on_message(message, address)
        except (FrameError, MalformedField) as error:
            self._counters.add("bad_datagrams")
            # A routine line, so that a flood of datagrams leaves room for the others.
            self._log.routine("datagram-refused", peer=address[0], reason=error)
        except Exception as error:
            # A handler met what no check knows; the other datagrams are still handled.
            self._counters.add("failed_handlers")
            self._log.event("datagram-failed", peer=address[0], **describe_error(error))

    def error_received(self, exc):
        """Count a datagram that the system reports as undelivered."""
        self._counters.add("undelivered_datagrams")

    def send(self, message, *addresses):
        """Send a message to each of ``addresses``, pairs of IP and port.

        Nothing is sent after ``close``, as timers may still be due then.
        """
        if self._transport.is_closing():
            return
        try:
            data = _codec.encode(message)
        except Exception as error:
            # Whatever it was to tell, the process goes on without it.
            self._counters.add("unsent_datagrams")
            kind = type(message).__name__
            self._log.event("datagram-unsent", kind=kind, **describe_error(error))
            return
        for address in addresses:
            self._transport.sendto(data, address)
        self._on_sent(type(message), len(data), addresses)

    def close(self):
        """Close the socket."""
        self._transport.close()


async def open_datagrams(address, on_message, counters, log, on_sent):
    """Return a DatagramSocket bound to a local address.

    Args:
        address: Pair of IP and port.
        on_message: See DatagramSocket.
        counters: The Counters.
        log: The EventLog.
        on_sent: See DatagramSocket.

    Raises:
        OSError: The address cannot be bound.
    """
    loop = asyncio.get_running_loop()
    _, protocol = await loop.create_datagram_endpoint(
        lambda: DatagramSocket(on_message, counters, log, on_sent),
        local_addr=address,
    )
    return protocol
