"""Model the network links between data centres, with constant delays."""

__all__ = ["Links"]


class Links:
    """The links of a trace; messages over a cut link are lost.

    Args:
        header: The HeaderRecord, which has the delays.

    Attributes:
        caller_delay_s: One-way delay between callers and entry VMs.
    """

    def __init__(self, header):
        self._between_s = header.between_data_centres_ms / 1000
        self._within_s = header.within_data_centre_ms / 1000
        self._cut = set()
        self.caller_delay_s = header.callers_ms / 1000

    def delay_s(self, data_centre, other):
        """Return the one-way delay between two data centres, or None if cut.

        The two may be the same one, whose internal links are never cut.
        """
        if data_centre == other:
            return self._within_s
        if self._cut and frozenset((data_centre, other)) in self._cut:
            return None
        return self._between_s

    def cut(self, data_centre, other):
        """Cut the links between two data centres."""
        self._cut.add(frozenset((data_centre, other)))

    def restore(self, data_centre, other):
        """Restore the links between two data centres."""
        self._cut.discard(frozenset((data_centre, other)))
