"""Authenticated Thrift messages between entry VMs over TCP."""

from sesamespring.peers.codec import FrameError, decode, encode
from sesamespring.peers.generated.ttypes import (
    Heartbeat,
    Hello,
    KeyAnswer,
    KeyQuery,
    Message,
)
from sesamespring.peers.link import PeerLink, accept_link, open_link

__all__ = [
    "FrameError",
    "Heartbeat",
    "Hello",
    "KeyAnswer",
    "KeyQuery",
    "Message",
    "PeerLink",
    "accept_link",
    "decode",
    "encode",
    "open_link",
]
