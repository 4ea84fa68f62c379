"""Data of one attempt at a target: what is sent, and how it ends."""

import attrs

from sesamespring.http.headers import FRAMING_HEADERS
from sesamespring.routing.messages import AttemptEnded

__all__ = [
    "AttemptResult",
    "OutgoingRequest",
    "RelayEndpoint",
    "TargetResponse",
    "without_framing",
]

RELAY_IDLE_CONNECTIONS = 8


@attrs.define
class OutgoingRequest:
    """A request in the form in which it is sent to targets.

    Attributes:
        method: HTTP method.
        target: Request target (path and query).
        headers: End-to-end headers of the caller, without framing.
        request_id: The caller's request id in bytes.
        body: The BufferedBody or StreamedBody.
        framing: The caller's headers that frame the body.
        idempotent: Whether it may run more than once.
        caller: Address of the caller, text.
        account: Name of the caller's account, or an empty string.
    """

    method: str
    target: str
    # May have the caller's key.
    headers: list = attrs.field(repr=False)
    request_id: bytes
    body: object
    framing: list
    idempotent: bool
    caller: str
    account: str = ""


@attrs.define
class TargetResponse:
    """A target's response.

    Attributes:
        status: HTTP status.
        headers: Pairs of lower-case name and value, in bytes.
        body: The complete body, or None if it must be read from ``channel``.
        channel: The Channel that still delivers the body, or None.
    """

    status: int
    headers: list
    body: bytes | None
    channel: object = None


@attrs.frozen
class RelayEndpoint:
    """Another VM that makes attempts, in the form that a TargetConnectionPool needs.

    Attributes:
        key: Pair of its name and incarnation.
        address: Pair of IP and port.
        slots: Number of idle connections to keep to it.
    """

    key: tuple
    address: tuple
    slots: int = RELAY_IDLE_CONNECTIONS


@attrs.frozen
class AttemptResult:
    """The result of one attempt.

    Attributes:
        end: The AttemptEnded for the scheduler.
        entry: The TargetEntry that the request was sent to.
        response: The TargetResponse, or None if there is none to pass on.
        reason: Cause of a failure, for the log.
        target_crashed: Whether the target's process ended while it had the request.
        relay: The RelayEndpoint of the VM that sent the request, or None if this did.
        rejection: The TargetResponse with which the target rejected the request, for a
            VM that makes the attempt for another one, or None.
    """

    end: AttemptEnded
    entry: object
    response: TargetResponse | None
    reason: str = ""
    target_crashed: bool = False
    relay: RelayEndpoint | None = None
    rejection: TargetResponse | None = None

    @property
    def is_streamed(self):
        """Whether the response has a body that is still being received."""
        return self.response is not None and self.response.body is None


def without_framing(headers):
    """Return headers without those that frame a body."""
    return [pair for pair in headers if pair[0] not in FRAMING_HEADERS]
