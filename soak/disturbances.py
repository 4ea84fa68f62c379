"""Remember which parts were disturbed when, so that promises are asked of calm ones."""

import time

import attrs

__all__ = ["STORE", "Disturbances"]

STORE = "store"
# A part counts as calm once it has been without disturbance for so long.
CALM_AFTER_S = 3.0


@attrs.define
class _Span:
    part: str
    kind: str
    start_s: float
    end_s: float = float("inf")


class Disturbances:
    """Spans of time in which a part was disturbed.

    A part is the name of a VM or target, or STORE.
    """

    def __init__(self):
        self._spans = []

    @property
    def lines(self):
        """A text for each span, in order."""
        first_s = self._spans[0].start_s if self._spans else 0.0
        return [
            f"{span.start_s - first_s:6.2f} to {span.end_s - first_s:6.2f} "
            f"{span.part} {span.kind}"
            for span in self._spans
        ]

    def begin(self, part, kind):
        """Note that a part is disturbed from now on; return what ``end`` takes."""
        span = _Span(part, kind, time.monotonic())
        self._spans.append(span)
        return span

    def end(self, span):
        """Note that a disturbance is over."""
        span.end_s = time.monotonic()

    def is_calm(self, part, from_s, to_s, without=()):
        """Whether a part was calm in a span of time.

        Args:
            part: The part.
            from_s: Begin of the span, on the monotonic clock.
            to_s: Its end.
            without: Kinds of disturbance that do not count.
        """
        return not any(
            span.part == part
            and span.kind not in without
            and span.start_s <= to_s
            and span.end_s + CALM_AFTER_S >= from_s
            for span in self._spans
        )
