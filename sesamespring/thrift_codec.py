"""Encode thrift unions in the compact protocol; decode them with size limits."""

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
    """A frame is oversized, truncated, malformed or not authenticated.

    Attributes:
        reason: What is wrong with it, as one word for metrics and logs.
    """

    def __init__(self, reason):
        super().__init__(reason)
        self.reason = reason


class UnionCodec:
    """Encodes and decodes the messages that a thrift union can hold.

    Args:
        union: The generated class of the union.
        bytes_max: Maximum length of each string in a message, in bytes.
    """

    def __init__(self, union, bytes_max):
        self._union = union
        self._factory = TCompactProtocolAcceleratedFactory(
            string_length_limit=bytes_max, container_length_limit=65_536, fallback=True
        )
        specs = [spec for spec in union.thrift_spec if spec is not None]
        self._field_of_type = {spec[3][0]: spec[2] for spec in specs}

    def encode(self, body):
        """Return the encoded union with ``body``, a message of one of its types."""
        field = self._field_of_type[type(body)]
        return serialize(self._union(**{field: body}), self._factory)

    def decode(self, data):
        """Return the message in the encoded union ``data``.

        Raises:
            FrameError: The bytes are not one complete, valid message.
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
