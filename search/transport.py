"""The product's side of a simulated connection, and the buffers of both directions."""

import asyncio
import errno

__all__ = ["SimulatedTransport", "Stream"]

RECEIVED_BYTES_MAX = 256 * 1024


class Stream:
    """One direction: the sender's process, its kernel, and the receiver's kernel.

    Args:
        shape: The LinkShape, which bounds what the kernels hold.

    Attributes:
        unsent: Bytes that the sender's kernel has not taken yet.
        sent: Bytes that the sender's kernel holds.
        arrived: Bytes that the receiver's kernel holds until they are read.
        ended: Whether the sender sends nothing more.
        is_reset: Whether the connection was reset by the sender.
    """

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


class SimulatedTransport(asyncio.Transport):
    """The product's side, with the behaviour of asyncio's socket transport.

    Args:
        link: The Link, which is told when something has changed.
        protocol: The product's protocol.
        inbound: The Stream to the product.
        outbound: The Stream from the product.
        segments: Sizes, in bytes, of what the product reads at first.

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
