"""Authenticated connections between two entry VMs that share a key.

Each side sends a Hello with a nonce and a MAC; a client without an accepted key is not
sent a single byte. A key for each direction is derived from the shared key and both
Hellos. Each frame carries a MAC over its sequence number and its payload, so that
frames cannot be forged, replayed or reordered. Several keys may be accepted at once, so
that keys can be rotated without downtime: the connecting side uses its first key, and
the accepting side responds with the same one.
"""

import asyncio
import hashlib
import hmac
import secrets
import struct

import attrs

from sesamespring.peers.codec import FRAME_BYTES_MAX, FrameError, decode, encode
from sesamespring.peers.generated.ttypes import Hello

__all__ = ["NONCE_BYTES", "PeerLink", "accept_link", "new_nonce", "open_link"]

NONCE_BYTES = 16
MAC_BYTES = 16
HELLO_BYTES_MAX = 1024
HELLO_TIMEOUT_S = 2.0
WRITE_BUFFER_BYTES_MAX = 4 * 1024 * 1024
_HEADER = struct.Struct("!I")
_SEQUENCE_NUMBER = struct.Struct("!Q")


def new_nonce():
    """Return a random nonce for a Hello."""
    return secrets.token_bytes(NONCE_BYTES)


@attrs.define
class _FrameAuthenticator:
    """Computes the MACs of the frames sent in one direction, in their order.

    Attributes:
        key: Key of the direction.
        frame_count: Number of frames so far, which is the next sequence number.
    """

    key: bytes
    frame_count: int = 0

    def next_mac(self, payload):
        """Return the MAC of the next frame and advance the sequence number."""
        numbered = _SEQUENCE_NUMBER.pack(self.frame_count) + payload
        self.frame_count += 1
        return hmac.digest(self.key, numbered, hashlib.sha256)[:MAC_BYTES]


class PeerLink:
    """An authenticated connection to another entry VM.

    Args:
        reader: The asyncio StreamReader.
        writer: The asyncio StreamWriter.
        peer: The peer's Hello.
        outgoing_key: Key for frames to the peer.
        incoming_key: Key for frames from the peer.
    """

    def __init__(self, reader, writer, peer, outgoing_key, incoming_key):
        self._reader = reader
        self._writer = writer
        self._peer = peer
        self._outgoing = _FrameAuthenticator(outgoing_key)
        self._incoming = _FrameAuthenticator(incoming_key)

    @property
    def peer(self):
        """The peer's Hello."""
        return self._peer

    def send(self, body):
        """Queue a message for the peer.

        If more than WRITE_BUFFER_BYTES_MAX bytes are waiting, because the peer does not
        read, the link is aborted instead.

        Returns:
            Number of bytes queued; 0 if the link was aborted.
        """
        payload = encode(body)
        frame = payload + self._outgoing.next_mac(payload)
        transport = self._writer.transport
        if transport.get_write_buffer_size() > WRITE_BUFFER_BYTES_MAX:
            transport.abort()
            return 0
        self._writer.write(_HEADER.pack(len(frame)) + frame)
        return len(frame) + _HEADER.size

    async def receive(self):
        """Return the next message from the peer.

        Raises:
            FrameError: The frame is invalid; the link must be closed.
            ConnectionError: The connection closed or failed.
        """
        frame = await _read_frame(self._reader)
        payload, mac = frame[:-MAC_BYTES], frame[-MAC_BYTES:]
        if not hmac.compare_digest(self._incoming.next_mac(payload), mac):
            raise FrameError("unauthenticated")
        return decode(payload)

    def close(self):
        """Close the link at once and discard queued messages."""
        self._writer.transport.abort()


async def open_link(address, hello, keys):
    """Connect to a peer and return the PeerLink.

    Args:
        address: Pair of IP and port.
        hello: This VM's Hello, with a new nonce.
        keys: The accepted keys, in bytes; the first one is used.

    Raises:
        OSError: The connection failed or the peer closed it.
        FrameError: The peer does not have the key or sent an invalid frame.
        TimeoutError: The handshake took longer than HELLO_TIMEOUT_S.
    """
    async with asyncio.timeout(HELLO_TIMEOUT_S):
        reader, writer = await asyncio.open_connection(*address)
        try:
            own_encoded = encode(hello)
            _send_hello(writer, own_encoded, keys[0])
            peer_encoded, peer, key = await _receive_hello(reader, keys[:1])
            opener_key, accepter_key = _direction_keys(key, own_encoded, peer_encoded)
            link = PeerLink(reader, writer, peer, opener_key, accepter_key)
            await _confirm_key(link)
            return link
        except BaseException:
            writer.transport.abort()
            raise


async def accept_link(reader, writer, hello, keys):
    """Perform the handshake with a peer that connected and return the PeerLink.

    Args:
        reader: The asyncio StreamReader.
        writer: The asyncio StreamWriter.
        hello: This VM's Hello, with a new nonce.
        keys: The accepted keys, in bytes; the one that the peer uses is used.

    Raises:
        OSError: The connection failed or the peer closed it.
        FrameError: The peer has no accepted key or sent an invalid frame.
        TimeoutError: The handshake took longer than HELLO_TIMEOUT_S.
    """
    try:
        async with asyncio.timeout(HELLO_TIMEOUT_S):
            peer_encoded, peer, key = await _receive_hello(reader, keys)
            own_encoded = encode(hello)
            _send_hello(writer, own_encoded, key)
            opener_key, accepter_key = _direction_keys(key, peer_encoded, own_encoded)
            link = PeerLink(reader, writer, peer, accepter_key, opener_key)
            await _confirm_key(link)
            return link
    except BaseException:
        writer.transport.abort()
        raise


def _send_hello(writer, encoded, key):
    frame = encoded + _hello_mac(key, encoded)
    writer.write(_HEADER.pack(len(frame)) + frame)


async def _receive_hello(reader, keys):
    """Return the bytes of a Hello, the Hello, and the key that its MAC was made with.

    Raises:
        FrameError: No key matches the MAC, or the message is not a valid Hello.
    """
    frame = await _read_frame(reader, HELLO_BYTES_MAX)
    encoded, mac = frame[:-MAC_BYTES], frame[-MAC_BYTES:]
    matching = [k for k in keys if hmac.compare_digest(_hello_mac(k, encoded), mac)]
    if not matching:
        raise FrameError("unauthenticated")
    peer = decode(encoded)
    if not isinstance(peer, Hello) or len(peer.nonce) != NONCE_BYTES:
        raise FrameError("malformed")
    return encoded, peer, matching[0]


def _hello_mac(key, encoded):
    return hmac.digest(key, b"h" + encoded, hashlib.sha256)[:MAC_BYTES]


def _direction_keys(key, opener_hello, accepter_hello):
    """Return the keys for frames of the connecting (opener) and the accepting side."""
    return [
        _derive_key(key, role, opener_hello, accepter_hello) for role in (b"o", b"a")
    ]


async def _confirm_key(link):
    """Exchange one frame each way to prove that the peer has the key.

    A Hello alone proves nothing, as it could be a replayed one.
    """
    link.send(Hello(**vars(link.peer)))
    echo = await link.receive()
    if not isinstance(echo, Hello):
        raise FrameError("malformed")


def _derive_key(key, role, opener_hello, accepter_hello):
    digest = hashlib.sha256(opener_hello).digest()
    digest += hashlib.sha256(accepter_hello).digest()
    return hmac.digest(key, role + digest, hashlib.sha256)


async def _read_frame(reader, bytes_max=FRAME_BYTES_MAX):
    try:
        (size,) = _HEADER.unpack(await reader.readexactly(_HEADER.size))
        if size > bytes_max:
            raise FrameError("oversized")
        if size < MAC_BYTES:
            raise FrameError("truncated")
        return await reader.readexactly(size)
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise FrameError("truncated") from error
        raise ConnectionResetError("connection closed by the peer") from error
