"""A simulated TCP connection between the product and a peer that a search plays.

It behaves as Linux and asyncio do: buffers are bounded, a reset is noticed by who reads
or writes, and closing a socket with unread bytes resets the connection, by which the
other side loses what is still under way.
"""

import asyncio

import attrs

from search.transport import SimulatedTransport, Stream

__all__ = ["Link", "LinkShape"]


@attrs.frozen
class LinkShape:
    """How a Link hands bytes on.

    Attributes:
        send_buffer: Bytes that the kernel of a sender holds.
        window: Bytes that the kernel of a receiver holds.
        segments: Sizes, in bytes, of what the product reads at first; after these it
            reads all that is there.
    """

    send_buffer: int
    window: int
    segments: list


class Link:
    """A connection; the product has its ``transport``, the search its ``peer``.

    Args:
        protocol: The product's protocol.
        shape: The LinkShape.
    """

    def __init__(self, protocol, shape):
        self._loop = asyncio.get_running_loop()
        self._is_due = False
        inbound, outbound = Stream(shape), Stream(shape)
        self._streams = (inbound, outbound)
        self.transport = SimulatedTransport(
            self, protocol, inbound, outbound, shape.segments
        )
        self.peer = Peer(self, outbound, inbound)
        protocol.connection_made(self.transport)

    def changed(self):
        """Let both sides notice what has changed."""
        if not self._is_due:
            self._is_due = True
            self._loop.call_soon(self._run)

    def _run(self):
        self._is_due = False
        for stream in self._streams:
            stream.move()
        self.transport.run()
        self.peer.run()


class Peer:
    """The other side of the connection, as a caller or a target has it.

    Attributes:
        received: Bytes that it has read.
        reads: Whether it reads at present.
        at_end: Whether nothing more will come, by an end or a reset.
    """

    def __init__(self, link, inbound, outbound):
        self._link = link
        self._inbound = inbound
        self._outbound = outbound
        self._closed = False
        self._changed = asyncio.Event()
        self.received = bytearray()
        self.reads = True
        self.at_end = False

    @property
    def is_reset(self):
        """Whether the other side has reset the connection."""
        return self._inbound.is_reset

    def send(self, data):
        """Send bytes, unless the connection is reset."""
        if not self._outbound.is_reset:
            self._outbound.unsent += data
            self._link.changed()

    def end(self):
        """Send nothing more, but go on reading."""
        self._outbound.ended = True
        self._link.changed()

    def close(self):
        """Close the socket, which resets the connection if bytes are unread."""
        self._closed = True
        if self._inbound.arrived or self._inbound.sent:
            self.reset()
        else:
            self.end()

    def reset(self):
        """Reset the connection."""
        self._closed = True
        self._outbound.reset()
        self._link.changed()

    def pause(self, pauses):
        """Stop reading, or read again."""
        self.reads = not pauses
        self._link.changed()

    async def wait(self):
        """Wait until more was read, or nothing more will come."""
        self._changed.clear()
        if not self.at_end:
            await self._changed.wait()

    def run(self):
        """Read what there is."""
        inbound = self._inbound
        if self._closed:
            if inbound.arrived or inbound.sent or inbound.unsent:
                # What a closed socket gets, it answers with a reset.
                inbound.arrived.clear()
                if not self._outbound.is_reset:
                    self.reset()
            return
        if not self.reads:
            return
        if inbound.arrived:
            self.received += inbound.arrived
            inbound.arrived.clear()
            self._changed.set()
            self._link.changed()
        if not self.at_end and (inbound.at_end or inbound.is_reset):
            self.at_end = True
            self._changed.set()
