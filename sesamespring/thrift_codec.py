"""Encode a thrift union in the compact protocol, and decode it with bounded sizes."""

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.protocol.TProtocol import TProtocolException
from thrift.Thrift import TException
from thrift.TSerialization import deserialize, serialize

__all__ = ["FrameError", "UnionCodec"]

_DECODE_ERRORS = (
    TException,
    TProtocolException,
    EOFError,
    TypeError,
    ValueError,
    OverflowError,
    MemoryError,
    RecursionError,
    IndexError,
    KeyError,
)


class FrameError(Exception):
    """Report a frame that is oversized, truncated, malformed or not authenticated.

    Attributes:
        reason: One word for metrics and logs.
    """

    def __init__(self, reason):
        super().__init__(reason)
        self.reason = reason


class UnionCodec:
    """Turns the bodies of a union's messages into bytes and back.

    Args:
        union: The generated class of the union.
        bytes_max: Length limit of every text in a message.
    """

    def __init__(self, union, bytes_max):
        self._union = union
        self._factory = TCompactProtocolAcceleratedFactory(
            string_length_limit=bytes_max, container_length_limit=65_536, fallback=True
        )
        specs = [spec for spec in union.thrift_spec if spec is not None]
        self._field_of_type = {spec[3][0]: spec[2] for spec in specs}

    def encode(self, body):
        """Return the bytes of a union that carries ``body``."""
        field = self._field_of_type[type(body)]
        return serialize(self._union(**{field: body}), self._factory)

    def decode(self, data):
        """Return the body of the union in ``data``.

        Raises:
            FrameError: The bytes are not one whole message.
        """
        try:
            message = deserialize(self._union(), data, self._factory)
            bodies = [body for body in vars(message).values() if body is not None]
            if len(bodies) != 1:
                raise FrameError("malformed")
            bodies[0].validate()
        except _DECODE_ERRORS as error:
            raise FrameError("malformed") from error
        return bodies[0]
