"""Data classes for routes, services, targets and their load reports."""

import attrs

__all__ = [
    "Account",
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
    """The share of a route's requests that goes to one service.

    Attributes:
        service: Name of the service.
        weight: Weight of the service, relative to the sum of the route's weights.
    """

    service: str
    weight: float


@attrs.frozen
class Route:
    """A rule that maps requests for a host and path prefix to services.

    Attributes:
        name: Name of the route.
        host: The Host header that it matches.
        prefix: Path prefix that starts and ends with a slash.
        idempotent: Whether a request may be run more than once.
        timeout_s: Maximum time until the caller gets a response, in seconds.
        goal_s: Response-time goal, in seconds; a later response is worth less.
        priority: Priority of its requests; 0 is the most urgent.
        attempts_max: Maximum number of targets that one request may be sent to.
        shares: Non-empty tuple of Share.
        public: Whether its requests need no key, although there are accounts.
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
    public: bool = False


@attrs.frozen
class Account:
    """A client account as declared by the operator.

    Attributes:
        name: Name of the account.
        priority: Priority of its requests, which goes before that of their route; 0 is
            the most urgent. None if the route's priority holds.
        rate_per_s: Requests per second that it may send to all VMs together, or 0 if
            there is no limit.
        burst: Requests that it may send beyond that after a pause.
    """

    name: str
    priority: int | None
    rate_per_s: float = 0.0
    burst: float = 0.0


@attrs.frozen
class ServiceDeclaration:
    """A service as declared by the operator.

    Attributes:
        name: Name of the service.
        health_path: Path at which a target reports its health and load.
        connections_max: Maximum number of connections to a target from all VMs.
        cold_per_s: Requests per second that a target can take during cold start.
    """

    name: str
    health_path: str
    connections_max: int
    cold_per_s: float


@attrs.frozen
class Limits:
    """Limits on the size and duration of callers' requests.

    Attributes:
        head_bytes_max: Maximum size of a request head, in bytes.
        body_bytes_max: Maximum size of a request body, in bytes.
        head_timeout_s: Maximum time to receive a request head, in seconds.
        idle_timeout_s: Maximum time between two requests on a connection, in seconds.
    """

    head_bytes_max: int = 16 * 1024
    body_bytes_max: int = 64 * 1024 * 1024
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@attrs.frozen
class Configuration:
    """One version of the operator's configuration.

    Attributes:
        version: Version number; a greater number is newer.
        routes: Tuple of Route.
        services: Dict of ServiceDeclaration by name.
        limits: The Limits.
        accounts: Dict of Account by name, or None if requests need no key.
        account_names: Dict of account name by key; keys are secret, in bytes.
    """

    version: int
    routes: tuple
    services: dict
    limits: Limits
    accounts: dict | None = None
    account_names: dict = attrs.field(factory=dict, repr=False)


@attrs.frozen
class TargetEntry:
    """A target's registration, for one lifetime of its process.

    Attributes:
        id: Identity that each request names and the target checks before running it.
        born_ms: Unix time of its start, in milliseconds; differs between lifetimes.
        service: Name of the service that it belongs to.
        address: Pair of IP and port.
        data_centre: Data centre of the target.
        slots: Maximum number of requests that it runs concurrently.
        leaving: Whether it is draining and gets no new requests.
        cold_left_s: Remaining duration of its cold start, in seconds.
        version: Version of its software.
    """

    id: str
    born_ms: int
    service: str
    address: tuple
    data_centre: str
    slots: int
    leaving: bool
    cold_left_s: float
    version: str = ""

    @property
    def key(self):
        """Pair of id and start time, unique to this lifetime."""
        return (self.id, self.born_ms)


@attrs.frozen
class LoadReport:
    """The load that a target reported in a response.

    Attributes:
        running: Number of requests in progress.
        waiting: Number of requests in its queue.
        slots: Maximum number of requests that it runs concurrently.
        slowdown: Current service time as a multiple of the normal one.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float
