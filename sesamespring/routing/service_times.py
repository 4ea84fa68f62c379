"""Learn how long the requests of a route take, apart from the target's own speed."""

import attrs

__all__ = ["ServiceTimes"]

WEIGHT = 0.05
FIRST_ANSWERS = 8
# A guess that is too long would refuse requests that nothing is known of.
INITIAL_SHARE_OF_GOAL = 0.1
SATURATION_WEIGHT = 0.02
SATURATION_INITIAL = 1.3
SATURATION_MAX = 4.0
RATIO_MAX = 4.0


@attrs.define
class _Average:
    value_s: float
    answers: int = 0

    def observe(self, seconds):
        self.answers += 1
        weight = max(WEIGHT, 1 / min(self.answers, FIRST_ANSWERS))
        self.value_s += weight * (seconds - self.value_s)


class ServiceTimes:
    """Usual times of a service's requests by route, and what a full target adds.

    >>> times = ServiceTimes()
    >>> for _ in range(100):
    ...     times.observe("r", 0.2, 0.05, 1.0, False)
    >>> round(times.service_time_s("r", 0.2), 3)
    0.05
    """

    def __init__(self):
        self._routes = {}
        self._saturation_factor = SATURATION_INITIAL

    @property
    def saturation_factor(self):
        """How many times longer work takes at a target whose slots are all taken."""
        return self._saturation_factor

    def is_known(self, route):
        """Whether enough requests of the route were answered to judge others by."""
        average = self._routes.get(route)
        return average is not None and average.answers >= FIRST_ANSWERS

    def service_time_s(self, route, goal_s):
        """Return the usual seconds of a route's requests at a calm target.

        Args:
            route: Name of the route.
            goal_s: Its response-time goal, for routes without answers.
        """
        average = self._routes.get(route)
        return INITIAL_SHARE_OF_GOAL * goal_s if average is None else average.value_s

    def observe(self, route, goal_s, taken_s, factor, full):
        """Take in an answer.

        Args:
            route: Name of the route.
            goal_s: Its response-time goal.
            taken_s: Seconds from sending to the answer.
            factor: What the target's reports said to multiply.
            full: Whether it took the last of several slots.
        """
        calm_s = taken_s / max(factor, 0.01)
        service_time_s = self.service_time_s(route, goal_s)
        if full:
            ratio = min(RATIO_MAX, calm_s / max(service_time_s, 0.0001))
            self._saturation_factor += SATURATION_WEIGHT * (
                ratio - self._saturation_factor
            )
            self._saturation_factor = min(
                SATURATION_MAX, max(1.0, self._saturation_factor)
            )
            return
        if route not in self._routes:
            self._routes[route] = _Average(calm_s)
        self._routes[route].observe(min(calm_s, RATIO_MAX * service_time_s))
