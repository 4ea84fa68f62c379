"""Tell when the requests of a service begin and end to leave a data centre.

Load it answers: single requests leave at any time, as each is decided alone. Operators
want to know of the times in which a data centre does not serve its own callers.
"""

import math

import attrs

from sesamespring.routing.leaving import Prospect

__all__ = ["DepartureChange", "DepartureMonitor"]

# Requests count for about this long.
MEMORY_S = 1.5
# Share of requests from which a service counts as leaving, and below which it does not.
BEGIN_SHARE = 0.1
END_SHARE = 0.03
# A few requests are no sign, whatever their share.
BEGIN_COUNT = 3.0


@attrs.frozen
class DepartureChange:
    """The requests of a service begin or end to leave a data centre.

    Attributes:
        data_centre: The data centre that they leave.
        is_leaving: Whether they do now.
        share: Share of the latest attempts that left it.
        left: Number of attempts that left it; since they began to, where they end to.
        to: Data centre to which most of these went.
        reason: What most of their callers could have expected in it, a Prospect.
        lasted_s: For how long they left it, in seconds; 0 where they begin to.
    """

    data_centre: str
    is_leaving: bool
    share: float
    left: int
    to: str
    reason: Prospect
    lasted_s: float = 0.0


@attrs.define
class _Place:
    """What is known of one data centre.

    Attributes:
        sent: Number of the latest attempts of its requests, which decays with time.
        left: How many of them left it, which decays too.
        updated_s: Time for which both hold.
        began_s: Time since which requests leave, or None.
        by_destination: Dict of the number of attempts by data centre since about then.
        by_reason: Dict of the same by Prospect.
    """

    sent: float = 0.0
    left: float = 0.0
    updated_s: float = -math.inf
    began_s: float | None = None
    by_destination: dict = attrs.field(factory=dict)
    by_reason: dict = attrs.field(factory=dict)

    @property
    def share(self):
        return self.left / self.sent if self.sent else 0.0

    def decay(self, now_s):
        factor = math.exp(-(now_s - self.updated_s) / MEMORY_S)
        self.sent *= factor
        self.left *= factor
        self.updated_s = now_s


class DepartureMonitor:
    """Watches the attempts of one service, whose times are on one clock."""

    def __init__(self):
        self._places = {}

    @property
    def leaving(self):
        """Number of the data centres that requests of the service leave."""
        return sum(place.began_s is not None for place in self._places.values())

    def record(self, data_centre, destination, near_prospect, now_s):
        """Record an attempt.

        Args:
            data_centre: Data centre of the request.
            destination: Data centre of the target.
            near_prospect: The Prospect of the request in its own data centre if it
                leaves that, else None.
            now_s: Current time.
        """
        place = self._places.setdefault(data_centre, _Place())
        place.decay(now_s)
        place.sent += 1
        if near_prospect is not None:
            place.left += 1
            _count(place.by_destination, destination)
            _count(place.by_reason, near_prospect)

    def changes(self, now_s):
        """Return the list of the DepartureChanges since the last call."""
        found = []
        for name, place in self._places.items():
            place.decay(now_s)
            is_leaving = place.began_s is not None
            if not is_leaving:
                if place.left >= BEGIN_COUNT and place.share >= BEGIN_SHARE:
                    found.append(_change(name, place, True, 0.0))
                    place.began_s = now_s
                elif place.left < 1.0:
                    place.by_destination.clear()
                    place.by_reason.clear()
            elif place.share <= END_SHARE or place.left < 0.1:
                found.append(_change(name, place, False, now_s - place.began_s))
                place.began_s = None
                place.by_destination.clear()
                place.by_reason.clear()
        return found


def _change(name, place, is_leaving, lasted_s):
    return DepartureChange(
        data_centre=name,
        is_leaving=is_leaving,
        share=place.share,
        left=sum(place.by_destination.values()),
        to=max(place.by_destination, key=place.by_destination.get),
        reason=max(place.by_reason, key=place.by_reason.get),
        lasted_s=lasted_s,
    )


def _count(numbers, key):
    numbers[key] = numbers.get(key, 0) + 1
