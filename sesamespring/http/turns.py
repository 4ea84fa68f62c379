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
    """The turns in which one connection parses what it has received.

    While a turn is ``pending``, the connection must read nothing. None becomes pending
    where the owner parses no further, also if a message ends exactly with a turn; an
    owner that stops parsing later cancels it.
    """

    def __init__(self):
        # Timer of the next turn, or None.
        self._timer = None

    @property
    def pending(self):
        """Whether a turn is due, as the last one has not parsed all that it could."""
        return self._timer is not None

    def run(self, may_parse, parse_next, resume):
        """Parse one turn's events, and let another turn follow if some are left.

        Args:
            may_parse: Function that returns whether the next event may be parsed.
            parse_next: Function that parses the next event. It returns the bytes of a
                body that the event has brought, or None if there was no event, as
                further bytes must be received first.
            resume: Function called when the next turn begins, if one follows; it calls
                ``run`` and decides again whether the connection reads.

        Raises:
            h11.RemoteProtocolError: The peer violated the protocol.
        """
        self.cancel()
        count = content_bytes = 0
        while may_parse():
            if count >= EVENTS_PER_TURN and content_bytes < count * EVENT_BYTES_MIN:
                loop = asyncio.get_running_loop()
                self._timer = loop.call_later(PAUSE_S, self._begin_next, resume)
                return
            event_bytes = parse_next()
            if event_bytes is None:
                return
            count += 1
            content_bytes += event_bytes

    def cancel(self):
        """Let no turn follow, as there is nothing to parse any more."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _begin_next(self, resume):
        self._timer = None
        resume()
