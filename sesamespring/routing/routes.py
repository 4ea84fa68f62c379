"""Match requests to routes and distribute them among the services of a route."""

import attrs

__all__ = ["RouteTable"]


@attrs.define
class _WeightedRoundRobin:
    """Smooth weighted round robin over the services of one route."""

    credits: list

    def next(self, shares):
        total = sum(share.weight for share in shares)
        for index, share in enumerate(shares):
            self.credits[index] += share.weight
        chosen = max(range(len(shares)), key=self.credits.__getitem__)
        self.credits[chosen] -= total
        return shares[chosen].service


class RouteTable:
    """The routes of one configuration.

    Args:
        routes: Tuple of Route.
        earlier: The RouteTable that it replaces, or None. Routes with unchanged shares
            keep their round-robin state.

    >>> from sesamespring.routing.records import Route, Share
    >>> shares = (Share("a", 3), Share("b", 1))
    >>> route = Route("r", "h", "/x/", True, 1.0, 0.2, 1, 2, shares)
    >>> table = RouteTable((route,))
    >>> table.select("h", "/x/1?q=/y/") is route, table.select("h", "/y") is None
    (True, True)
    >>> [table.choose_service(route) for _ in range(4)]
    ['a', 'a', 'b', 'a']
    """

    def __init__(self, routes, earlier=None):
        self._by_host = {}
        self._balancers = {}
        for route in routes:
            prefixes = self._by_host.setdefault(route.host, {})
            prefixes[route.prefix] = route
            balancer = earlier and earlier._balancers.get((route.name, route.shares))
            self._balancers[route.name, route.shares] = balancer or _WeightedRoundRobin(
                [0.0] * len(route.shares)
            )

    def select(self, host, target):
        """Return the Route with the longest prefix of the path, or None.

        Args:
            host: The Host header, in lower case.
            target: Request target; its query is ignored.
        """
        prefixes = self._by_host.get(host)
        if prefixes is None:
            return None
        path = target.partition("?")[0]
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None

    def choose_service(self, route):
        """Return the name of the service for the next request of a route."""
        if len(route.shares) == 1:
            return route.shares[0].service
        return self._balancers[route.name, route.shares].next(route.shares)

    def main_service(self, host):
        """Return the service with the largest total share of a host's routes, or None.

        Each route counts equally; ties go to the first name in alphabetical order.
        """
        prefixes = self._by_host.get(host)
        if not prefixes:
            return None
        fractions = {}
        for route in prefixes.values():
            total = sum(share.weight for share in route.shares) or 1.0
            for share in route.shares:
                fraction = fractions.get(share.service, 0.0) + share.weight / total
                fractions[share.service] = fraction
        return max(sorted(fractions), key=fractions.__getitem__)
