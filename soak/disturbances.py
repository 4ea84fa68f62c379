"""Record when faults disturbed which component.

Some promises hold only for components that no fault disturbs, so their checks look up
whether a component was undisturbed.
"""

import time

import attrs

__all__ = ["STORE", "DisturbanceLog"]

STORE = "store"
# A component counts as disturbed for this time after a disturbance has ended.
RECOVERY_S = 3.0


@attrs.define
class _Span:
    component: str
    kind: str
    start_s: float
    end_s: float = float("inf")


class DisturbanceLog:
    """A log of the time spans in which components were disturbed.

    A component is the name of a VM or target, or STORE.
    """

    def __init__(self):
        self._spans = []
        self._notes = []

    @property
    def lines(self):
        """A line of text for each span and note, in order of start.

        Times are in seconds after the start of the first span.
        """
        first_s = self._spans[0].start_s if self._spans else 0.0
        spans = sorted((*self._spans, *self._notes), key=lambda span: span.start_s)
        return [
            f"{span.start_s - first_s:6.2f} to {span.end_s - first_s:6.2f} "
            f"{span.component} {span.kind}"
            for span in spans
        ]

    def begin(self, component, kind):
        """Record the start of a disturbance.

        Args:
            component: The component that it affects.
            kind: A word or two for ``lines`` and for ``without``.

        Returns:
            The span to pass to ``end``.
        """
        span = _Span(component, kind, time.monotonic())
        self._spans.append(span)
        return span

    def note(self, component, text):
        """Add a line to ``lines`` that is no disturbance."""
        now_s = time.monotonic()
        self._notes.append(_Span(component, text, now_s, now_s))

    def end(self, span):
        """Record the end of a disturbance."""
        span.end_s = time.monotonic()

    def is_undisturbed(self, component, from_s, to_s, without=()):
        """Return whether no disturbance affected a component in a span of time.

        Args:
            component: The component.
            from_s: Start of the span, on the monotonic clock.
            to_s: End of the span, on the monotonic clock.
            without: Kinds of disturbance to ignore.
        """
        return not any(
            span.component == component
            and span.kind not in without
            and span.start_s <= to_s
            and span.end_s + RECOVERY_S >= from_s
            for span in self._spans
        )
