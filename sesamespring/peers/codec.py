"""Encode and decode messages in Thrift's compact protocol, with a size limit."""

from sesamespring.peers.generated.ttypes import Message
from sesamespring.thrift_codec import FrameError, UnionCodec

__all__ = ["FRAME_BYTES_MAX", "FrameError", "decode", "encode"]

FRAME_BYTES_MAX = 1024 * 1024

_codec = UnionCodec(Message, FRAME_BYTES_MAX)


def encode(body):
    """Return ``body``, such as a Heartbeat, encoded as a Message."""
    return _codec.encode(body)


def decode(data):
    """Return the body of the Message encoded in ``data``.

    Raises:
        FrameError: The bytes are not exactly one valid message.
    """
    return _codec.decode(data)
