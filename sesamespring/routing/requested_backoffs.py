"""Remember until when targets have asked one VM to back off."""

__all__ = ["REQUESTED_BACKOFF_MAX_S", "RequestedBackoffs"]

# No target is left alone for longer at one request of its.
REQUESTED_BACKOFF_MAX_S = 300.0


class RequestedBackoffs:
    """The ends of the backoffs that targets have asked one VM for, by target key.

    >>> backoffs = RequestedBackoffs()
    >>> backoffs.record("t", 2.0, 10.0)
    >>> backoffs.is_backing_off("t", 11.9), backoffs.is_backing_off("t", 12.0)
    (True, False)
    """

    def __init__(self):
        self._ends_s = {}

    def record(self, key, backoff_s, now_s):
        """Record a backoff; an earlier one that lasts longer still holds."""
        end_s = now_s + min(backoff_s, REQUESTED_BACKOFF_MAX_S)
        self._ends_s[key] = max(end_s, self._ends_s.get(key, 0.0))

    def is_backing_off(self, key, now_s):
        """Return whether a target gets no request now."""
        return now_s < self._ends_s.get(key, 0.0)

    def keys(self, now_s):
        """Return the keys of all targets that get no request now, as a set."""
        return {key for key, end_s in self._ends_s.items() if now_s < end_s}

    def first_end_s(self, keys, now_s):
        """Return the seconds until the first backoff among some targets ends, or 0."""
        left_s = [
            self._ends_s[k] - now_s for k in keys if self.is_backing_off(k, now_s)
        ]
        return min(left_s, default=0.0)

    def drop_outdated(self, now_s):
        """Forget the backoffs that are over."""
        self._ends_s = {k: end_s for k, end_s in self._ends_s.items() if now_s < end_s}
