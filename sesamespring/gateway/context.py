"""State that all requests of a VM share."""

import attrs

from sesamespring.gateway.callers.account_series import AccountSeries

__all__ = ["GatewayContext"]


@attrs.define
class GatewayContext:
    """State shared by all requests of a VM.

    Attributes:
        cluster_state: The ClusterState.
        routes: The RouteTable, or None before the first configuration.
        slot_client: The SlotClient.
        target_connections: The TargetConnectionPool.
        paths: The TargetPaths.
        limits: The TargetLimits.
        availability: The TargetAvailability.
        quarantine: The RequestQuarantine.
        counters: The Counters.
        log: The EventLog.
        data_centre: Name of this VM's data centre.
        longest_timeouts_s: Dict by route name of the longest timeout that a caller has
            stated, in seconds.
        account_series: The AccountSeries.
        forwarders: Set of the RequestForwarders that wait for a target or a response.
    """

    cluster_state: object
    routes: object
    slot_client: object
    target_connections: object
    paths: object
    limits: object
    availability: object
    quarantine: object
    counters: object
    log: object
    data_centre: str
    longest_timeouts_s: dict = attrs.field(factory=dict)
    account_series: AccountSeries = attrs.field(factory=AccountSeries)
    forwarders: set = attrs.field(factory=set)

    def content_quarantined(self, content):
        """End the requests with this content that wait for a target."""
        for forwarder in tuple(self.forwarders):
            forwarder.content_quarantined(content)
