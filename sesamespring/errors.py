"""List every kind of error, and the answer that each kind gets."""

import enum
from http import HTTPStatus

import attrs

__all__ = [
    "ERROR_RESPONSES",
    "ErrorResponse",
    "ErrorKind",
    "Outcome",
    "ExternalError",
    "UserError",
]


class Outcome(enum.Enum):
    """What the caller may conclude about its request.

    ``NOT_RUN`` is a promise. ``UNKNOWN`` says that the request may have run.
    ``RAN`` says that it ran to its end, where the answer is no longer at hand.
    """

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    RAN = "ran"


class ErrorKind(enum.Enum):
    """The closed list of reasons for which a request gets no target's answer."""

    MALFORMED = "malformed"
    HEAD_TOO_LARGE = "head-too-large"
    HEAD_TOO_SLOW = "head-too-slow"
    BODY_TOO_LARGE = "body-too-large"
    BODY_TOO_SLOW = "body-too-slow"
    UNAUTHENTICATED = "unauthenticated"
    NO_SUCH_RESOURCE = "no-such-resource"
    NO_SUCH_SERVICE = "no-such-service"
    CONFLICT = "conflict"
    IDENTITY_REUSED = "identity-reused"
    INVALID_RESOURCES = "invalid-resources"
    DEADLINE_UNREACHABLE = "deadline-unreachable"
    QUEUE_FULL = "queue-full"
    NO_CAPACITY = "no-capacity"
    DEADLINE_PASSED = "deadline-passed"
    NOT_CONNECTED = "not-connected"
    CUT_OFF = "cut-off"
    KEY_IN_PROGRESS = "key-in-progress"
    KEY_ALREADY_RAN = "key-already-ran"
    KEY_UNKNOWN = "key-unknown"
    KEY_STORE_AWAY = "key-store-away"
    KEY_REFUSED = "key-refused"
    KEY_MISMATCH = "key-mismatch"
    PLATFORM_AWAY = "platform-away"
    STOPPING = "stopping"


@attrs.frozen
class ErrorResponse:
    """The final answer to a request of one error kind.

    Attributes:
        status: HTTP status code.
        outcome: What the caller may conclude, or None for the callers' own errors
            in calls that run nothing.
        retry_after_s: Seconds after which coming back helps, or None where it
            does not.
    """

    status: HTTPStatus
    outcome: Outcome | None
    retry_after_s: int | None = None


ERROR_RESPONSES = {
    ErrorKind.MALFORMED: ErrorResponse(HTTPStatus.BAD_REQUEST, Outcome.NOT_RUN),
    ErrorKind.HEAD_TOO_LARGE: ErrorResponse(
        HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, Outcome.NOT_RUN
    ),
    ErrorKind.HEAD_TOO_SLOW: ErrorResponse(HTTPStatus.REQUEST_TIMEOUT, Outcome.NOT_RUN),
    ErrorKind.BODY_TOO_LARGE: ErrorResponse(
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE, Outcome.NOT_RUN
    ),
    ErrorKind.BODY_TOO_SLOW: ErrorResponse(HTTPStatus.REQUEST_TIMEOUT, Outcome.NOT_RUN),
    ErrorKind.UNAUTHENTICATED: ErrorResponse(HTTPStatus.UNAUTHORIZED, Outcome.NOT_RUN),
    ErrorKind.NO_SUCH_RESOURCE: ErrorResponse(HTTPStatus.NOT_FOUND, Outcome.NOT_RUN),
    ErrorKind.NO_SUCH_SERVICE: ErrorResponse(HTTPStatus.NOT_FOUND, Outcome.NOT_RUN),
    ErrorKind.CONFLICT: ErrorResponse(HTTPStatus.CONFLICT, Outcome.NOT_RUN),
    ErrorKind.IDENTITY_REUSED: ErrorResponse(HTTPStatus.CONFLICT, Outcome.NOT_RUN),
    ErrorKind.INVALID_RESOURCES: ErrorResponse(
        HTTPStatus.UNPROCESSABLE_ENTITY, Outcome.NOT_RUN
    ),
    ErrorKind.DEADLINE_UNREACHABLE: ErrorResponse(
        HTTPStatus.SERVICE_UNAVAILABLE, Outcome.NOT_RUN, 1
    ),
    ErrorKind.QUEUE_FULL: ErrorResponse(
        HTTPStatus.SERVICE_UNAVAILABLE, Outcome.NOT_RUN, 1
    ),
    ErrorKind.NO_CAPACITY: ErrorResponse(
        HTTPStatus.SERVICE_UNAVAILABLE, Outcome.NOT_RUN, 2
    ),
    ErrorKind.DEADLINE_PASSED: ErrorResponse(
        HTTPStatus.GATEWAY_TIMEOUT, Outcome.UNKNOWN, 1
    ),
    ErrorKind.NOT_CONNECTED: ErrorResponse(HTTPStatus.BAD_GATEWAY, Outcome.NOT_RUN, 1),
    ErrorKind.CUT_OFF: ErrorResponse(HTTPStatus.BAD_GATEWAY, Outcome.UNKNOWN, 1),
    ErrorKind.KEY_IN_PROGRESS: ErrorResponse(HTTPStatus.CONFLICT, Outcome.UNKNOWN, 1),
    ErrorKind.KEY_ALREADY_RAN: ErrorResponse(HTTPStatus.CONFLICT, Outcome.RAN),
    ErrorKind.KEY_UNKNOWN: ErrorResponse(HTTPStatus.CONFLICT, Outcome.UNKNOWN),
    ErrorKind.KEY_STORE_AWAY: ErrorResponse(
        HTTPStatus.SERVICE_UNAVAILABLE, Outcome.NOT_RUN, 5
    ),
    ErrorKind.KEY_REFUSED: ErrorResponse(HTTPStatus.CONFLICT, Outcome.NOT_RUN, 0),
    ErrorKind.KEY_MISMATCH: ErrorResponse(
        HTTPStatus.UNPROCESSABLE_ENTITY, Outcome.NOT_RUN
    ),
    ErrorKind.PLATFORM_AWAY: ErrorResponse(HTTPStatus.SERVICE_UNAVAILABLE, None, 5),
    ErrorKind.STOPPING: ErrorResponse(
        HTTPStatus.SERVICE_UNAVAILABLE, Outcome.NOT_RUN, 1
    ),
}


class UserError(Exception):
    """Report what the user can mend, one line an entry, without a traceback."""

    def __init__(self, *lines):
        super().__init__("\n".join(lines))
        self.lines = lines


class ExternalError(Exception):
    """Report that a system outside this process failed or did not answer.

    Attributes:
        kind: The error kind under which the failure is answered and counted.
    """

    def __init__(self, kind, detail=""):
        super().__init__(f"{kind.value}: {detail}" if detail else kind.value)
        self.kind = kind
