"""Collect the calls of a replay and the times of counted occurrences."""

import enum

import attrs

__all__ = ["Call", "CallOutcome", "Count", "Tally"]


class CallOutcome(enum.Enum):
    """How a caller's request ended.

    ``NOT_RUN`` means that it certainly did not run, ``UNKNOWN`` that it may have run,
    and ``LATE`` that it had not ended by its deadline.
    """

    ANSWERED = "answered"
    FAILED = "failed"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    LATE = "late"


class Count(enum.Enum):
    """Kinds of occurrences that are counted with their times.

    ``SENT`` is the first attempt of a request at an entry VM, ``EXTRA`` a further one.
    ``OVERRUN`` is a request at a target whose slots are all taken. ``COLD_OVERRUN`` is
    the same in cold start, and ``COLD_OVERRUN_AFTER_SIGN`` one of these after the
    signal that the target is cold has reached all senders. ``WORK_AFTER_LEAVING`` is a
    request at a target that has left.
    """

    SENT = "sent"
    EXTRA = "extra"
    OVERRUN = "overrun"
    COLD_OVERRUN = "cold-overrun"
    COLD_OVERRUN_AFTER_SIGN = "cold-overrun-after-sign"
    WORK_AFTER_LEAVING = "work-after-leaving"


@attrs.define(eq=False)
class Call:
    """A caller's request and its state.

    Attributes:
        record: Its CallRecord.
        start_s: When the caller sent it first.
        deadline_s: When the caller stops waiting.
        request_count: How often it was sent to an entry VM.
        last_vm: Name of the VM that it was last sent to, or None.
        runs: How often a target accepted it.
        outcome: Its CallOutcome, or None while it is in progress.
        finished_s: When its outcome was set.
    """

    record: object
    start_s: float
    deadline_s: float
    request_count: int = 0
    last_vm: str | None = None
    runs: int = 0
    outcome: CallOutcome | None = None
    finished_s: float = 0.0


class Tally:
    """All calls of a replay, and the times of all counted occurrences.

    Attributes:
        calls: List of Call in order of the trace.
        times_s: Dictionary from each Count to a list of virtual times.
    """

    def __init__(self):
        self.calls = []
        self.times_s = {count: [] for count in Count}

    def add(self, count, now_s):
        """Add one occurrence of a Count at the virtual time ``now_s``."""
        self.times_s[count].append(now_s)
