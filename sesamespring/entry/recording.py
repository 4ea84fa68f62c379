"""Keep the last requests that got a response in memory, as input for replay traces."""

import collections

import attrs

__all__ = ["CallRecorder", "RecordedCall"]

RECORDED_CALLS_MAX = 10_000


@attrs.frozen
class RecordedCall:
    """A request to which a target responded.

    Attributes:
        arrived_s: Arrival time on the monotonic clock, in seconds.
        service: Name of the service.
        idempotent: Whether the request may be executed more than once.
        deadline_s: Seconds from the arrival to the deadline.
        size: Content-Length of the request body in bytes, 0 if not declared.
        taken_s: Duration of the attempt that received the response, in seconds.
    """

    arrived_s: float
    service: str
    idempotent: bool
    deadline_s: float
    size: int
    taken_s: float


class CallRecorder:
    """Ring buffer of the last RECORDED_CALLS_MAX requests of this entry VM.

    Args:
        data_centre: Data centre of this VM.
        clock: Function that returns the monotonic time in seconds.
    """

    def __init__(self, data_centre, clock):
        self._data_centre = data_centre
        self._clock = clock
        self._calls = collections.deque(maxlen=RECORDED_CALLS_MAX)

    def record(self, call):
        """Add a RecordedCall, replacing the oldest one if the buffer is full."""
        self._calls.append(call)

    def as_json(self):
        """Return the recorded calls as a JSON-serializable dict.

        ``ago_ms`` is the time in milliseconds between the arrival and this call.
        """
        now_s = self._clock()
        return {
            "data_centre": self._data_centre,
            "calls": [
                {
                    "ago_ms": round((now_s - call.arrived_s) * 1000, 2),
                    "service": call.service,
                    "idempotent": call.idempotent,
                    "deadline_ms": round(call.deadline_s * 1000, 2),
                    "bytes": call.size,
                    "service_ms": round(call.taken_s * 1000, 2),
                }
                for call in self._calls
            ],
        }
