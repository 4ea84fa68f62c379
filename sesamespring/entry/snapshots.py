"""Cut whole configurations into messages and put them together again."""

import attrs

from sesamespring.peers.generated.ttypes import SnapshotPiece
from sesamespring.resources.serialization import (
    pack_snapshot,
    split_into_pieces,
    unpack_snapshot,
)

__all__ = ["SnapshotAssembly", "SnapshotSource"]

PIECES_MAX = 64


class SnapshotSource:
    """The messages of the last snapshot that a peer wanted."""

    def __init__(self):
        self._version = None
        self._pieces = ()

    def pieces(self, resources):
        """Return the SnapshotPieces of Resources; packed once for each version."""
        if self._version != resources.version:
            contents = split_into_pieces(pack_snapshot(resources))
            self._version = resources.version
            self._pieces = tuple(
                SnapshotPiece(
                    resources.version,
                    resources.digest(),
                    number,
                    len(contents),
                    content,
                )
                for number, content in enumerate(contents)
            )
        return self._pieces


@attrs.frozen
class _Identity:
    """Which snapshot a piece belongs to."""

    sender: str
    version: int
    digest: str
    pieces: int


class SnapshotAssembly:
    """The pieces of one snapshot as they come in; a newer one replaces it."""

    def __init__(self):
        self._identity = None
        self._contents = []

    def add(self, sender, piece):
        """Add a SnapshotPiece; links deliver pieces in order.

        Args:
            sender: Name of the VM that sent it.
            piece: The SnapshotPiece.

        Returns:
            A pair of Resources and digest where the snapshot is whole, or None.

        Raises:
            ValueError: The content is malformed or too large.
        """
        if not 0 < piece.pieces <= PIECES_MAX:
            raise ValueError(f"{piece.pieces} pieces")
        identity = _Identity(sender, piece.version, piece.digest, piece.pieces)
        if piece.piece == 0:
            self._identity = identity
            self._contents = []
        if identity != self._identity or piece.piece != len(self._contents):
            return None
        self._contents.append(piece.content)
        if len(self._contents) < piece.pieces:
            return None
        packed = b"".join(self._contents)
        self._identity = None
        self._contents = []
        return unpack_snapshot(piece.version, packed), piece.digest
