"""Split configuration snapshots into peer messages and reassemble them."""

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
    """Packs configuration snapshots for peers and caches the last one."""

    def __init__(self):
        self._version = None
        self._pieces = ()

    def pieces(self, resources):
        """Return the tuple of SnapshotPieces for a Resources.

        The pieces are cached, so a version is packed only once.
        """
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
    """Identity of the snapshot that a piece belongs to."""

    sender: str
    version: int
    digest: str
    pieces: int


class SnapshotAssembly:
    """Reassembles one snapshot at a time from its pieces.

    The first piece of another snapshot discards the incomplete one.
    """

    def __init__(self):
        self._identity = None
        self._contents = []

    def add(self, sender, piece):
        """Add a SnapshotPiece.

        Links deliver pieces in order, so a piece that does not continue the current
        snapshot is ignored.

        Args:
            sender: Name of the VM that sent the piece.
            piece: The SnapshotPiece.

        Returns:
            A pair of Resources and digest if the piece completes a snapshot, else None.

        Raises:
            ValueError: The content is malformed or too large.
        """
        if not 0 < piece.pieces <= PIECES_MAX:
            raise ValueError(f"snapshot of {piece.pieces} pieces is out of range")
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
