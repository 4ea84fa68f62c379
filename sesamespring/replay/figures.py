"""Compute the figures of a replay, over all of it or over a window of time."""

import math

import attrs

from sesamespring.replay.tally import CallOutcome, Count

__all__ = ["FIGURES", "Window", "format_figures", "measure"]


@attrs.frozen
class Window:
    """A window of time, to which calls belong by their start and counts by their time.

    Attributes:
        from_s: Its start, in seconds of virtual time.
        to_s: Its end, not included; None for the end of the replay.
    """

    from_s: float = 0.0
    to_s: float | None = None


class _WindowView:
    """The calls and counts of a Tally that fall into a Window."""

    def __init__(self, tally, window):
        self._tally = tally
        last_s = max((call.deadline_s for call in tally.calls), default=0.0)
        self._from_s = window.from_s
        self._to_s = last_s if window.to_s is None else window.to_s
        self.calls = [call for call in tally.calls if self._contains(call.start_s)]

    def count(self, count):
        """Return how often a Count was added in the window."""
        return sum(1 for time_s in self._tally.times_s[count] if self._contains(time_s))

    def outcomes(self, outcome):
        """Return how many calls of the window ended with a CallOutcome."""
        return sum(1 for call in self.calls if call.outcome is outcome)

    def goodput_per_s(self):
        """Return the complete responses that callers got in time, per second."""
        answered = sum(
            1
            for call in self._tally.calls
            if call.outcome is CallOutcome.ANSWERED and self._contains(call.finished_s)
        )
        return answered / max(self._to_s - self._from_s, 1e-9)

    def _contains(self, time_s):
        return self._from_s <= time_s < self._to_s or (
            time_s == self._to_s == self._from_s
        )


def _share(part, whole):
    return part / whole if whole else 0.0


def _outcome_figure(outcome):
    return lambda view: view.outcomes(outcome)


def _count_figure(count):
    return lambda view: view.count(count)


def _answered_share(view):
    return _share(view.outcomes(CallOutcome.ANSWERED), len(view.calls))


def _run_twice(view):
    calls = (call for call in view.calls if not call.record.idempotent)
    return sum(1 for call in calls if call.runs > 1)


def _ran_despite_not_run(view):
    calls = (call for call in view.calls if call.outcome is CallOutcome.NOT_RUN)
    return sum(1 for call in calls if call.runs and not call.record.idempotent)


def _extra_share(view):
    return _share(view.count(Count.EXTRA), len(view.calls))


def _percentile(percentile, reads_only):
    """Return the figure of a latency percentile, in milliseconds.

    A call without a response counts with its whole deadline.
    """

    def figure(view):
        latencies_s = []
        for call in view.calls:
            if call.record.idempotent or not reads_only:
                end_s = call.deadline_s
                if call.outcome is CallOutcome.ANSWERED:
                    end_s = call.finished_s
                latencies_s.append(end_s - call.start_s)
        return 1000 * _nearest_rank(latencies_s, percentile)

    return figure


def _nearest_rank(values, percentile):
    """Return the percentile of a list of values by the nearest-rank method.

    It is computed here because hdrhistogram has a compiled part, which cannot be
    imported from the binary.
    """
    ordered = sorted(values)
    rank = math.ceil(percentile / 100 * len(ordered))
    return ordered[max(0, rank - 1)] if ordered else 0.0


FIGURES = {
    "calls": lambda view: len(view.calls),
    "answered": _outcome_figure(CallOutcome.ANSWERED),
    "failed": _outcome_figure(CallOutcome.FAILED),
    "late": _outcome_figure(CallOutcome.LATE),
    "not_run": _outcome_figure(CallOutcome.NOT_RUN),
    "unknown": _outcome_figure(CallOutcome.UNKNOWN),
    "run_twice": _run_twice,
    "ran_despite_not_run": _ran_despite_not_run,
    "overruns": _count_figure(Count.OVERRUN),
    "cold_overruns": _count_figure(Count.COLD_OVERRUN),
    "cold_overruns_after_sign": _count_figure(Count.COLD_OVERRUN_AFTER_SIGN),
    "work_after_leaving": _count_figure(Count.WORK_AFTER_LEAVING),
    "answered_share": _answered_share,
    "extra_share": _extra_share,
    "goodput_per_s": lambda view: view.goodput_per_s(),
    "p50_ms": _percentile(50, reads_only=False),
    "p99_ms": _percentile(99, reads_only=False),
    "p999_ms": _percentile(99.9, reads_only=False),
    "read_p50_ms": _percentile(50, reads_only=True),
    "read_p99_ms": _percentile(99, reads_only=True),
    "read_p999_ms": _percentile(99.9, reads_only=True),
}


def measure(tally, names=tuple(FIGURES), window=None):
    """Compute figures of a replay and return them as a dictionary by name.

    Args:
        tally: The Tally of a replay.
        names: Keys of FIGURES.
        window: A Window; the whole replay by default.
    """
    view = _WindowView(tally, window or Window())
    return {name: FIGURES[name](view) for name in names}


def format_figures(figures):
    """Return figures as key=value words on one line.

    >>> format_figures({"answered": 3, "answered_share": 0.75})
    'answered=3 answered_share=0.75'
    """
    return " ".join(f"{name}={value:.6g}" for name, value in figures.items())
