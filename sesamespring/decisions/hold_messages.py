"""Define the messages, commands and table rows of the decisions on holds.

A hold is the exclusive right of one entry VM to send requests to a target. Holds are
rows of the platform's table that refer to the holder's session, a lease that the
holder renews. All times are seconds of the receiver's own monotonic clock unless
stated otherwise.
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
    "PeerMessageReceived",
    "PeerProbed",
    "PeerState",
    "ProbePeer",
    "PromiseGranted",
    "PromiseRequested",
    "ReadHolds",
    "ReadSession",
    "ReleaseGranted",
    "ReleaseRequested",
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
    """Identity of a target: the name of its service, and its name in the service."""

    service: str
    target: str


@attrs.frozen
class Witness:
    """A VM whose promise extends a session while the platform is unavailable.

    Attributes:
        vm: Name of the VM.
        address: Its address for peers, a pair of IP and port.
        incarnation: The run of its daemon that has certainly not released the session,
            or None if unknown.
    """

    vm: str
    address: tuple
    incarnation: str | None = None


@attrs.frozen
class SessionRow:
    """The table's row of a session, which is the lease of one run of a daemon.

    Attributes:
        session: Identity of the session.
        vm: Name of the VM.
        incarnation: Identity of the run.
        address: Its address for peers, a pair of IP and port.
        counter: Number of the renewal, increased by each one.
        ttl_s: Seconds for which a renewal is valid.
        witnesses: Tuple of Witness.
        version: Version of the row; in a write, the version that the row must have.
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
        epoch: Number that increases with each change of the holder.
        version: Version of the row; in a write, the version that the row must have.
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
        address: Its address for peers, a pair of IP and port.
        linked_s: Time at which its Hello was received.
        platform_reachable: Whether the platform responds to it.
    """

    incarnation: str
    address: tuple
    linked_s: float
    platform_reachable: bool = True


@attrs.frozen
class HoldView:
    """This VM's view of the cluster; the views of VMs may differ.

    Attributes:
        preferred: Name of the VM that should hold each target in service, by
            TargetKey.
        peers: PeerState of each live peer, by name of the VM.
    """

    preferred: dict
    peers: dict


class WriteResult(enum.Enum):
    """Result of a conditional write; an ``UNKNOWN`` one may still take effect."""

    DONE = "done"
    CONFLICT = "conflict"
    UNKNOWN = "unknown"


@attrs.frozen
class WriteSession:
    """Command: write a SessionRow if the stored row has the row's version."""

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
    """Command: write hold rows in one conditional transaction.

    Attributes:
        rows: Tuple of HoldRow; each stored row must have the version given.
        sessions: Tuple of SessionRow; each stored row must still have this version.
    """

    rows: tuple
    sessions: tuple


@attrs.frozen
class ProbePeer:
    """Command: try to connect to a VM's address for peers, a pair of IP and port."""

    address: tuple


@attrs.frozen
class SendToVm:
    """Command: send a message to a VM; dropped if there is no link to it."""

    vm: str
    body: object


@attrs.frozen
class SessionWritten:
    """A WriteSession ended; if it is DONE, ``version`` is the row's new version."""

    command: WriteSession
    result: WriteResult
    version: int = 0


@attrs.frozen
class SessionRead:
    """A ReadSession ended; ``row`` is None if the table has no such row."""

    command: ReadSession
    row: SessionRow | None


@attrs.frozen
class HoldsRead:
    """A ReadHolds ended; ``rows`` is a tuple of HoldRow."""

    command: ReadHolds
    rows: tuple


@attrs.frozen
class HoldsWritten:
    """A WriteHolds ended; if it is DONE, ``version`` is the rows' new version."""

    command: WriteHolds
    result: WriteResult
    version: int = 0


@attrs.frozen
class OperationFailed:
    """The platform did not respond to a read."""

    command: object


@attrs.frozen
class PeerProbed:
    """A ProbePeer ended.

    Attributes:
        address: The probed address.
        sent_s: Time at which the attempt began.
        refused: Whether the connection was refused. A paused process or a broken link
            does not refuse connections.
    """

    address: tuple
    sent_s: float
    refused: bool


@attrs.frozen
class PeerMessageReceived:
    """A message from a peer was received.

    Attributes:
        vm: Name of the VM.
        incarnation: Identity of its run.
        body: The message, for example a PromiseRequested.
    """

    vm: str
    incarnation: str
    body: object


@attrs.frozen
class PromiseRequested:
    """Request to a witness to promise not to release a session for some time.

    Attributes:
        session: The session.
        counter: Number of its last confirmed renewal.
        ttl_s: Seconds for which the promise is to last.
        asked_s: Time of the request on the sender's clock, echoed by the witness.
    """

    session: str
    counter: int
    ttl_s: float
    asked_s: float


@attrs.frozen
class PromiseGranted:
    """Promise of a witness, in response to a PromiseRequested."""

    session: str
    counter: int
    asked_s: float


@attrs.frozen
class ReleaseRequested:
    """Request to a witness to release a session, as its renewal has expired."""

    session: str
    counter: int


@attrs.frozen
class ReleaseGranted:
    """Release by a witness: it gives no promise for this or earlier renewals."""

    session: str
    counter: int


@attrs.frozen
class HoldHandedOver:
    """Handover of a hold to the receiver; the sender no longer uses the target.

    Attributes:
        key: The TargetKey.
        session: Session that the table's row of the hold names.
        counter: Number of that session's last confirmed renewal.
        ttl_s: Seconds for which a renewal of that session is valid.
        epoch: Number that increases with each change of the holder.
        version: Version of the table's row of the hold.
        warm: Whether the target is warm.
        quorum: Number of witnesses that must promise.
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
    """Time has passed; calls, requests and timeouts may be due."""
