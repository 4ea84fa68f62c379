"""Remember until when targets want no request of one VM."""

__all__ = ["REST_MAX_S", "RestTimes"]

# No target is left alone for longer at one demand.
REST_MAX_S = 300.0


class RestTimes:
    """The ends of the rests that targets have asked one VM for, by target key.

    >>> rests = RestTimes()
    >>> rests.record("t", 2.0, 10.0)
    >>> rests.is_resting("t", 11.9), rests.is_resting("t", 12.0)
    (True, False)
    """

    def __init__(self):
        self._ends_s = {}

    def record(self, key, rest_s, now_s):
        """Record a demand for rest; an earlier one that lasts longer still holds."""
        end_s = now_s + min(rest_s, REST_MAX_S)
        self._ends_s[key] = max(end_s, self._ends_s.get(key, 0.0))

    def is_resting(self, key, now_s):
        """Return whether a target wants no request now."""
        return now_s < self._ends_s.get(key, 0.0)

    def keys(self, now_s):
        """Return the set of the keys of all targets that want no request now."""
        return {key for key, end_s in self._ends_s.items() if now_s < end_s}

    def first_end_s(self, keys, now_s):
        """Return the seconds until the first rest among some targets ends, or 0."""
        left_s = [self._ends_s[k] - now_s for k in keys if self.is_resting(k, now_s)]
        return min(left_s, default=0.0)

    def drop_outdated(self, now_s):
        """Forget the rests that are over."""
        self._ends_s = {k: end_s for k, end_s in self._ends_s.items() if now_s < end_s}
