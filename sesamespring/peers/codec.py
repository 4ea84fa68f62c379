"""Encode messages as thrift's compact protocol, with bounded sizes."""

from sesamespring.peers.generated.ttypes import Message
from sesamespring.thrift_codec import FrameError, UnionCodec

__all__ = ["FRAME_BYTES_MAX", "FrameError", "decode", "encode"]

FRAME_BYTES_MAX = 1024 * 1024

_codec = UnionCodec(Message, FRAME_BYTES_MAX)


def encode(body):
    """Return the bytes of a Message that carries ``body``, such as a Heartbeat."""
    return _codec.encode(body)


def decode(data):
    """Return the body of the message in ``data``.

    Raises:
        FrameError: The bytes are not one whole message.
    """
    return _codec.decode(data)
