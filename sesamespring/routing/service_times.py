"""Estimate service times of routes, independent of the speed of single targets."""

import attrs

__all__ = ["ServiceTimes"]

# Number of answers after which an estimate is reliable; later ones replace the earlier
# ones in it at this pace.
KNOWN_AFTER_ANSWERS = 8
# Low on purpose: with too high an initial estimate, requests of routes without any
# measurement would seem to miss their goal, and those queued behind them might be
# refused.
INITIAL_FRACTION_OF_GOAL = 0.1
SATURATION_WEIGHT = 0.02
SATURATION_INITIAL = 1.3
SATURATION_MAX = 4.0
RATIO_MAX = 4.0


@attrs.define
class _MovingAverage:
    value_s: float
    answers: int = 0

    def observe(self, seconds):
        self.answers += 1
        self.value_s += (seconds - self.value_s) / min(
            self.answers, KNOWN_AFTER_ANSWERS
        )


class ServiceTimes:
    """Moving averages of service times by route, and of the effect of saturation.

    Service times are those at an unloaded target with a slowdown of 1.

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
        """Factor on the duration of requests at a target whose slots are all taken."""
        return self._saturation_factor

    def is_known(self, route):
        """Return whether a route has enough measurements for a reliable estimate."""
        average = self._routes.get(route)
        return average is not None and average.answers >= KNOWN_AFTER_ANSWERS

    def service_time_s(self, route, goal_s):
        """Return the expected service time of a route's requests, in seconds.

        Args:
            route: Name of the route.
            goal_s: Response-time goal of the route, from which the estimate is derived
                as long as there is no measurement.
        """
        average = self._routes.get(route)
        return INITIAL_FRACTION_OF_GOAL * goal_s if average is None else average.value_s

    def observe(self, route, goal_s, taken_s, reported_slowdown, saturates):
        """Record the duration of a successful attempt.

        Args:
            route: Name of the route.
            goal_s: Response-time goal of the route.
            taken_s: Seconds from sending the request to the response.
            reported_slowdown: Slowdown that the target reported before the attempt.
            saturates: Whether the attempt took the last of several slots; such attempts
                update only the saturation factor.
        """
        unloaded_s = taken_s / max(reported_slowdown, 0.01)
        service_time_s = self.service_time_s(route, goal_s)
        if saturates:
            ratio = min(RATIO_MAX, unloaded_s / max(service_time_s, 0.0001))
            self._saturation_factor += SATURATION_WEIGHT * (
                ratio - self._saturation_factor
            )
            self._saturation_factor = min(
                SATURATION_MAX, max(1.0, self._saturation_factor)
            )
            return
        if route not in self._routes:
            self._routes[route] = _MovingAverage(unloaded_s)
        self._routes[route].observe(min(unloaded_s, RATIO_MAX * service_time_s))
