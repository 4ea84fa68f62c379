"""Tell how many slots of a data centre its own callers leave to those of others.

Load it answers: one data centre is short of targets while another has room, whose own
callers come in bursts. A slot that is free now is needed by the request that arrives
there next; taken by one from elsewhere, it would make that one miss its goal or leave
in its turn.
"""

import math

import attrs

__all__ = ["SpareSlots"]

# The demand of a data centre is known at once where it grows, and forgotten about so
# fast.
MEMORY_S = 1.0
# Requests arrive at random: the slots that they need vary by about the square root.
VARIATION_FACTOR = 1.0


@attrs.define
class _Level:
    """Number of requests at a time, and its moving average."""

    count: int = 0
    average: float = 0.0
    updated_s: float = 0.0

    def update(self, difference, now_s):
        self.average = self.average_at(now_s)
        self.updated_s = now_s
        self.count += difference

    def average_at(self, now_s):
        trust = math.exp(-max(0.0, now_s - self.updated_s) / MEMORY_S)
        return self.count + (self.average - self.count) * trust


class SpareSlots:
    """The demand of each data centre's callers for one service.

    Requests count while they wait or an attempt of theirs is in progress. Times are on
    one clock.
    """

    def __init__(self):
        # Numbers of the requests that count.
        self._present = set()
        # Dict of _Level by data centre and priority.
        self._demand = {}
        # Dict by data centre of the number of attempts there of others' requests.
        self._taken = {}

    def request_arrived(self, request, now_s):
        """Count a ScheduledRequest, once until its end."""
        if request.number not in self._present:
            self._present.add(request.number)
            self._level(request).update(1, now_s)

    def request_ended(self, request):
        """Count the end of a ScheduledRequest, from the time of the last arrival."""
        if request.number in self._present:
            self._present.remove(request.number)
            level = self._level(request)
            level.update(-1, level.updated_s)

    def attempt_started(self, request, data_centre):
        """Count an attempt of a ScheduledRequest at a target in a data centre."""
        self._take(request, data_centre, 1)

    def attempt_ended(self, request, data_centre):
        """Count the end of an attempt."""
        self._take(request, data_centre, -1)

    def count(self, data_centre, slots, priority, now_s):
        """Return how many more requests of others a data centre may take.

        Args:
            data_centre: Its name.
            slots: Number of its slots, free and taken.
            priority: Priority of the others' requests. Less urgent requests of its own
                callers leave them their slots.
            now_s: Current time.
        """
        own = sum(
            max(level.count, level.average_at(now_s))
            for (place, own_priority), level in self._demand.items()
            if place == data_centre and own_priority <= priority
        )
        needed = own + VARIATION_FACTOR * math.sqrt(own)
        return math.floor(slots - needed - self._taken.get(data_centre, 0))

    def _level(self, request):
        key = (request.data_centre, request.priority)
        return self._demand.setdefault(key, _Level())

    def _take(self, request, data_centre, difference):
        if data_centre != request.data_centre:
            taken = self._taken.get(data_centre, 0) + difference
            self._taken[data_centre] = taken
