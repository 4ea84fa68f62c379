"""What a soak test records of its targets and of the faults that affect them."""

import attrs

from soak.link import Link
from standins.platform_target import PlatformTarget

__all__ = ["Evacuation", "FatalRun", "LimitedPeriod", "LostLinks", "SoakTarget"]


@attrs.define(eq=False)
class SoakTarget:
    """A target, its link and its registration in the store.

    Times are on the monotonic clock, here and in Evacuation.

    Attributes:
        service: Name of its service.
        data_centre: Its data centre.
        address_index: Index of its address, which a replacement takes over.
        server: The PlatformTarget.
        link: The Link through which entry VMs connect to it.
        draining_since_s: Time at which the store acknowledged its draining state,
            infinite while that write is under way, or None.
        cold_until_s: Time at which its cold start ends.
        alive: Whether it is running.
        states_leaving_since_s: Time from which its responses say that it is leaving,
            or None.
        limits: List of LimitedPeriod.
    """

    service: str
    data_centre: str
    address_index: int
    server: PlatformTarget
    link: Link
    draining_since_s: float | None = None
    cold_until_s: float = 0.0
    alive: bool = True
    states_leaving_since_s: float | None = None
    limits: list = attrs.field(factory=list)

    @property
    def name(self):
        """Its identity, the key of its registration."""
        return self.server.id


@attrs.define(eq=False)
class LimitedPeriod:
    """A period in which a target states a limit in its responses.

    Attributes:
        per_s: The limit, in requests per second from all VMs together.
        since_s: Time at which it began.
        until_s: Time at which it ended.
    """

    per_s: float
    since_s: float
    until_s: float = float("inf")


@attrs.define(eq=False)
class LostLinks:
    """A period in which VMs were cut off from all targets.

    Attributes:
        vms: Set of the names of the VMs.
        since_s: Time at which the cut began.
        until_s: Time at which it ended.
    """

    vms: set
    since_s: float
    until_s: float = float("inf")

    @property
    def over(self):
        """Whether it has ended."""
        return self.until_s < float("inf")


@attrs.frozen
class FatalRun:
    """A run of a request that ended its target.

    Attributes:
        path: Target of the request.
        at_s: Time of the end, on the monotonic clock.
    """

    path: str
    at_s: float


@attrs.define(eq=False)
class Evacuation:
    """A period in which a data centre is out of service.

    Attributes:
        data_centre: Name of the data centre.
        since_s: Time at which the store acknowledged it.
        until_s: Time at which the data centre was put back into service.
    """

    data_centre: str
    since_s: float
    until_s: float = float("inf")
