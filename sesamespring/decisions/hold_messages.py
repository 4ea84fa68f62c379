"""Define what goes into and comes out of the decisions on holds.

All times are seconds of the receiver's own monotonic clock unless said otherwise.
"""

import enum

import attrs

__all__ = [
    "HoldHandedOver",
    "HoldRow",
    "HoldView",
    "HoldsRead",
    "HoldsWritten",
    "OperationFailed",
    "PeerProbed",
    "PeerMessageReceived",
    "PeerState",
    "ProbePeer",
    "PromiseRequested",
    "PromiseGranted",
    "ReadHolds",
    "ReadSession",
    "ReleaseRequested",
    "ReleaseGranted",
    "SendToVm",
    "SessionRead",
    "SessionRow",
    "SessionWritten",
    "TargetKey",
    "Tick",
    "Witness",
    "WriteHolds",
    "WriteResult",
    "WriteSession",
]


@attrs.frozen(order=True)
class TargetKey:
    """Identity of a target: its service and its name there."""

    service: str
    target: str


@attrs.frozen
class Witness:
    """A VM whose word is needed while the platform is away.

    Attributes:
        vm: Name of the VM.
        address: Its peers' address, a pair of IP and port.
        incarnation: The run of its daemon that is known not to have released the
            session, or None where that is not known.
    """

    vm: str
    address: tuple
    incarnation: str | None = None


@attrs.frozen
class SessionRow:
    """The table's row of a session, the lease of one run of a daemon.

    Attributes:
        session: Identity of the session.
        vm: Name of the VM.
        incarnation: Identity of the run.
        address: Its peers' address, a pair of IP and port.
        counter: Grows with each renewal.
        ttl_s: Seconds that a renewal lasts.
        witnesses: Tuple of Witness.
        version: Version of the row; in a write, the version that it must have.
    """

    session: str
    vm: str
    incarnation: str
    address: tuple
    counter: int
    ttl_s: float
    witnesses: tuple
    version: int


@attrs.frozen
class HoldRow:
    """The table's row of a target's hold.

    Attributes:
        key: The TargetKey.
        session: Session of the holder, or None.
        epoch: Grows with each change of the holder.
        version: Version of the row; in a write, the version that it must have.
    """

    key: TargetKey
    session: str | None
    epoch: int
    version: int


@attrs.frozen
class PeerState:
    """A live peer.

    Attributes:
        incarnation: Identity of its run.
        address: Its peers' address, a pair of IP and port.
        linked_s: When it said hello.
        platform_reachable: Whether the platform answers it.
    """

    incarnation: str
    address: tuple
    linked_s: float
    platform_reachable: bool = True


@attrs.frozen
class HoldView:
    """What this VM believes now; views of VMs may differ.

    Attributes:
        preferred: Name of the VM that should hold each target in service, by
            TargetKey.
        peers: PeerState of each live peer, by name of the VM.
    """

    preferred: dict
    peers: dict


class WriteResult(enum.Enum):
    """How a conditional write ended; ``UNKNOWN`` may yet take effect."""

    DONE = "done"
    CONFLICT = "conflict"
    UNKNOWN = "unknown"


@attrs.frozen
class WriteSession:
    """Command: write a SessionRow if the row has the version that it names."""

    row: SessionRow


@attrs.frozen
class ReadSession:
    """Command: read a session's row."""

    session: str


@attrs.frozen
class ReadHolds:
    """Command: read the hold rows of a service."""

    service: str


@attrs.frozen
class WriteHolds:
    """Command: write hold rows in one transaction.

    Attributes:
        rows: Tuple of HoldRow; each must have the version that it names.
        sessions: Tuple of SessionRow that must still have their versions.
    """

    rows: tuple
    sessions: tuple


@attrs.frozen
class ProbePeer:
    """Command: try to connect to a VM's peers' address, a pair of IP and port."""

    address: tuple


@attrs.frozen
class SendToVm:
    """Command: send a message to a VM, if there is a link."""

    vm: str
    body: object


@attrs.frozen
class SessionWritten:
    """A WriteSession ended; ``version`` is the row's new one where it was written."""

    command: WriteSession
    result: WriteResult
    version: int = 0


@attrs.frozen
class SessionRead:
    """A ReadSession ended; ``row`` is None where the table has none."""

    command: ReadSession
    row: SessionRow | None


@attrs.frozen
class HoldsRead:
    """A ReadHolds ended; ``rows`` is a tuple of HoldRow."""

    command: ReadHolds
    rows: tuple


@attrs.frozen
class HoldsWritten:
    """A WriteHolds ended; ``version`` is the rows' new one where it was written."""

    command: WriteHolds
    result: WriteResult
    version: int = 0


@attrs.frozen
class OperationFailed:
    """The platform did not answer a read."""

    command: object


@attrs.frozen
class PeerProbed:
    """A ProbePeer ended.

    Attributes:
        address: The address that was tried.
        sent_s: When the try began.
        refused: Whether the connection was refused, which a paused process or a
            cut link does not do.
    """

    address: tuple
    sent_s: float
    refused: bool


@attrs.frozen
class PeerMessageReceived:
    """A message came from a peer.

    Attributes:
        vm: Name of the VM.
        incarnation: Identity of its run.
        body: The message.
    """

    vm: str
    incarnation: str
    body: object


@attrs.frozen
class PromiseRequested:
    """Said to a witness: promise not to release a session for its ttl.

    Attributes:
        session: The session.
        counter: Its last renewal that is confirmed.
        ttl_s: Seconds that the promise shall last.
        asked_s: Time of asking on the asker's clock, echoed.
    """

    session: str
    counter: int
    ttl_s: float
    asked_s: float


@attrs.frozen
class PromiseGranted:
    """Said by a witness: it promises; see PromiseRequested."""

    session: str
    counter: int
    asked_s: float


@attrs.frozen
class ReleaseRequested:
    """Said to a witness: the session lapsed at this renewal, let go of it."""

    session: str
    counter: int


@attrs.frozen
class ReleaseGranted:
    """Said by a witness: it will not promise for this renewal or earlier ones."""

    session: str
    counter: int


@attrs.frozen
class HoldHandedOver:
    """Said to a peer: the hold of a target is yours, the sender has given it up.

    Attributes:
        key: The TargetKey.
        session: Session under which the hold stands in the table.
        counter: That session's last confirmed renewal.
        ttl_s: That session's seconds a renewal.
        epoch: Grows with each change of the holder.
        version: Version of the table's row under which it stands.
        warm: Whether the target is warm.
        quorum: How many of the witnesses must promise.
        witnesses: Tuple of that session's Witnesses.
    """

    key: TargetKey
    session: str
    counter: int
    ttl_s: float
    epoch: int
    version: int
    warm: bool
    quorum: int
    witnesses: tuple


@attrs.frozen
class Tick:
    """Time has passed."""
