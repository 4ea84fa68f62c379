"""Define what the routing decisions know of routes, services and targets."""

import attrs

__all__ = [
    "Configuration",
    "Limits",
    "LoadReport",
    "Route",
    "ServiceDeclaration",
    "Share",
    "TargetEntry",
]


@attrs.frozen
class Share:
    """A service that gets a part of a route's requests.

    Attributes:
        service: Name of the service.
        weight: Its part, relative to the sum of all weights of the route.
    """

    service: str
    weight: float


@attrs.frozen
class Route:
    """A rule that sends requests of a host and path prefix to services.

    Attributes:
        name: Name of the route.
        host: The Host header that it matches.
        prefix: Path prefix, with a slash at both ends.
        idempotent: Whether a request may run more than once.
        timeout_s: Longest time that a caller is kept waiting, in seconds.
        goal_s: Response time within which an answer is worth most, in seconds.
        priority: Rank; 0 is the most urgent.
        attempts_max: How many targets one request may be sent to.
        shares: Tuple of Share, at least one.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    timeout_s: float
    goal_s: float
    priority: int
    attempts_max: int
    shares: tuple


@attrs.frozen
class ServiceDeclaration:
    """A service as the operator declared it.

    Attributes:
        name: Name of the service.
        health_path: Path that tells a target's health and load.
        connections_max: How many connections a target accepts from all VMs.
        cold_per_s: Requests a second that a target bears in cold start.
    """

    name: str
    health_path: str
    connections_max: int
    cold_per_s: float


@attrs.frozen
class Limits:
    """Bounds on what a caller may send and how long it may take.

    Attributes:
        head_bytes_max: Largest request head.
        body_bytes_max: Largest request body.
        head_timeout_s: Longest time for a request head, in seconds.
        idle_timeout_s: Longest time between two requests of a connection, in seconds.
    """

    head_bytes_max: int = 16 * 1024
    body_bytes_max: int = 64 * 1024 * 1024
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@attrs.frozen
class Configuration:
    """One version of what the operator declared.

    Attributes:
        version: Number of the version; a greater one is newer.
        routes: Tuple of Route.
        services: Dict of ServiceDeclaration by name.
        limits: The Limits.
    """

    version: int
    routes: tuple
    services: dict
    limits: Limits


@attrs.frozen
class TargetEntry:
    """One lifetime of a target, as it registered itself.

    Attributes:
        id: Identity that the target checks before it runs a request.
        born_ms: Unix time of its start in milliseconds; differs between lifetimes.
        service: Name of the service that it belongs to.
        address: Pair of IP and port.
        data_centre: Its data centre.
        slots: How many requests it runs at once.
        leaving: Whether it takes no new work.
        cold_left_s: How much longer it is in cold start, in seconds.
    """

    id: str
    born_ms: int
    service: str
    address: tuple
    data_centre: str
    slots: int
    leaving: bool
    cold_left_s: float

    @property
    def key(self):
        """Pair that names this lifetime."""
        return (self.id, self.born_ms)


@attrs.frozen
class LoadReport:
    """What a target said of its load in an answer.

    Attributes:
        running: Requests that it runs.
        waiting: Requests that wait at it.
        slots: How many it runs at once.
        slowdown: How long work takes there now, as a multiple of the usual.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float
