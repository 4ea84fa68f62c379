"""Divide the parsing of what a connection has received into turns of bounded work."""

import asyncio

__all__ = ["EVENTS_PER_TURN", "ParsingTurns"]

# A message without end may consist of tiny chunks or of interim heads. After this many
# events the process does something else, unless each has brought this many bytes of a
# body on average.
EVENTS_PER_TURN = 64
EVENT_BYTES_MIN = 32
# Time between two turns.
PAUSE_S = 0.005


class ParsingTurns:
    """Parses what one connection has received, a bounded number of events at a time.

    While a turn is ``pending``, the connection must read nothing. None is pending once
    there is nothing to parse, not even if a message ends exactly where a turn does.

    Args:
        has_more: Function that returns whether the next event may be parsed.
        parse_next: Function that parses the next event. It returns the bytes of a body
            that the event has brought, or None if there was no event, as further bytes
            must be received first.
        resume: Function without arguments, called when a pending turn begins; it calls
            ``run`` and decides again whether the connection reads.
    """

    def __init__(self, has_more, parse_next, resume):
        self._has_more = has_more
        self._parse_next = parse_next
        self._resume = resume
        # Timer of the next turn, or None.
        self._timer = None

    @property
    def pending(self):
        """Whether a turn is due, as the last one has not parsed all that it could."""
        return self._timer is not None

    def run(self):
        """Parse one turn's events, and let another turn follow if some are left.

        Raises:
            h11.RemoteProtocolError: The peer violated the protocol.
        """
        self.cancel()
        count = content_bytes = 0
        while self._has_more():
            if count >= EVENTS_PER_TURN and content_bytes < count * EVENT_BYTES_MIN:
                loop = asyncio.get_running_loop()
                self._timer = loop.call_later(PAUSE_S, self._begin_next)
                return
            event_bytes = self._parse_next()
            if event_bytes is None:
                return
            count += 1
            content_bytes += event_bytes

    def cancel(self):
        """Let no turn follow, as there is nothing to parse any more."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _begin_next(self):
        self._timer = None
        self._resume()
