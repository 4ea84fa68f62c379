"""A simulated TCP connection between the product and a peer that a search plays.

It behaves as Linux and asyncio do: buffers are bounded, a reset is noticed by who reads
or writes, and closing a socket with unread bytes resets the connection, by which the
other side loses what is still under way.
"""

import asyncio
import errno

import attrs

__all__ = ["Link", "LinkShape"]

RECEIVED_BYTES_MAX = 256 * 1024


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


class _Stream:
    """One direction: the sender's process, its kernel, and the receiver's kernel."""

    def __init__(self, shape):
        self._shape = shape
        self.unsent = bytearray()
        self.sent = bytearray()
        self.arrived = bytearray()
        self.ended = False
        self.is_reset = False

    def move(self):
        """Hand bytes on as far as the buffers have room."""
        _move(self.sent, self.arrived, self._shape.window)
        _move(self.unsent, self.sent, self._shape.send_buffer)
        _move(self.sent, self.arrived, self._shape.window)

    def reset(self):
        """Lose what is under way; what has arrived can still be read."""
        self.is_reset = True
        self.unsent.clear()
        self.sent.clear()

    @property
    def at_end(self):
        """Whether all was read that comes before the end."""
        left = self.unsent or self.sent or self.arrived
        return self.ended and not left


def _move(source, destination, capacity):
    count = min(len(source), capacity - len(destination))
    if count > 0:
        destination += source[:count]
        del source[:count]


class Link:
    """A connection; the product has its ``transport``, the search its ``peer``.

    Args:
        protocol: The product's protocol.
        shape: The LinkShape.
    """

    def __init__(self, protocol, shape):
        self._loop = asyncio.get_running_loop()
        self._is_due = False
        inbound, outbound = _Stream(shape), _Stream(shape)
        self._streams = (inbound, outbound)
        self.transport = _Transport(self, protocol, inbound, outbound, shape.segments)
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


class _Transport(asyncio.Transport):
    """The product's side, with the behaviour of asyncio's socket transport.

    Attributes:
        delivered_bytes: Bytes that the product has read.
    """

    def __init__(self, link, protocol, inbound, outbound, segments):
        super().__init__()
        self._link = link
        self._loop = asyncio.get_running_loop()
        self._protocol = protocol
        self._inbound = inbound
        self._outbound = outbound
        self._segments = iter(segments)
        self.delivered_bytes = 0
        self._high, self._low = 64 * 1024, 16 * 1024
        self._reads = True
        # Whether the end was read; reading again after a pause reads it once more.
        self._has_read_end = False
        self._is_output_paused = False
        self._closing = False
        self._lost = False
        self._ends_output = False

    def get_extra_info(self, name, default=None):
        """Return the address of the peer, or what can be asked of the socket."""
        return {"peername": ("192.0.2.1", 1), "socket": self}.get(name, default)

    def getsockopt(self, level, option):
        """Return the socket's error, the only option that is asked for."""
        return errno.ECONNRESET if self._inbound.is_reset else 0

    def setsockopt(self, *args):
        """Set nothing, as no option matters here."""

    def is_closing(self):
        """Return whether it was closed."""
        return self._closing

    def is_reading(self):
        """Return whether bytes are read."""
        return self._reads and not self._closing

    def pause_reading(self):
        """Read nothing, not even the end or a reset."""
        if self.is_reading():
            self._reads = False

    def resume_reading(self):
        """Read again."""
        if not self._closing and not self._reads:
            self._reads = True
            self._has_read_end = False
            self._link.changed()

    def set_write_buffer_limits(self, high=None, low=None):
        """Set when the protocol is told to stop writing, and to go on."""
        self._high, self._low = high, high // 4 if low is None else low

    def get_write_buffer_size(self):
        """Return the bytes that the kernel has not taken."""
        return len(self._outbound.unsent)

    def write(self, data):
        """Write bytes, as far as the kernel takes them."""
        assert not self._ends_output, "written after the end"
        if self._lost or self._outbound.ended or not data:
            return
        self._outbound.unsent += data
        self._outbound.move()
        if len(self._outbound.unsent) > self._high and not self._is_output_paused:
            self._is_output_paused = True
            self._protocol.pause_writing()
        self._link.changed()

    def can_write_eof(self):
        """Return that the end can be sent alone."""
        return True

    def write_eof(self):
        """End the output behind what was written."""
        if not self._closing and not self._ends_output:
            self._ends_output = True
            self._link.changed()

    def close(self):
        """Close the connection when all was handed to the kernel."""
        self._closing = True
        self._link.changed()

    def abort(self):
        """Close the connection at once, and lose what the kernel has not taken."""
        self._lose(None)

    def run(self):
        """Do what the loop would do when the socket is ready."""
        if self._lost:
            self._answer_late_bytes()
            return
        if self._inbound.is_reset and self._outbound.unsent:
            self._lose(ConnectionResetError(errno.ECONNRESET, "reset"))
            return
        self._write_on()
        if self._closing and not self._outbound.unsent:
            self._lose(None)
            return
        self._inbound.move()
        self._read()

    def _write_on(self):
        self._outbound.move()
        left = len(self._outbound.unsent)
        if self._is_output_paused and left <= self._low:
            self._is_output_paused = False
            self._protocol.resume_writing()
        if self._ends_output and not left:
            self._outbound.ended = True

    def _read(self):
        if not self.is_reading():
            return
        inbound = self._inbound
        if inbound.arrived:
            self._deliver(next(self._segments, RECEIVED_BYTES_MAX))
            self._link.changed()
        elif inbound.is_reset:
            self._lose(ConnectionResetError(errno.ECONNRESET, "reset"))
        elif inbound.at_end and not self._has_read_end:
            self._has_read_end = True
            if not self._protocol.eof_received():
                self.close()

    def _deliver(self, size):
        arrived = self._inbound.arrived
        if isinstance(self._protocol, asyncio.BufferedProtocol):
            buffer = self._protocol.get_buffer(-1)
            data = bytes(arrived[: min(size, len(buffer))])
            buffer[: len(data)] = data
            del arrived[: len(data)]
            self.delivered_bytes += len(data)
            self._protocol.buffer_updated(len(data))
        else:
            data = bytes(arrived[: min(size, RECEIVED_BYTES_MAX)])
            del arrived[: len(data)]
            self.delivered_bytes += len(data)
            self._protocol.data_received(data)

    def _lose(self, error):
        if self._lost:
            return
        self._closing = self._lost = True
        self._outbound.unsent.clear()
        self._answer_late_bytes()
        self._outbound.ended = True
        self._loop.call_soon(self._protocol.connection_lost, error)
        self._link.changed()

    def _answer_late_bytes(self):
        """Reset the connection if bytes are there that the closed socket won't read."""
        inbound = self._inbound
        inbound.move()
        if (inbound.arrived or inbound.sent) and not self._outbound.is_reset:
            inbound.reset()
            inbound.arrived.clear()
            self._outbound.reset()
            self._link.changed()
