"""What the roll-outs of a VM share."""

import attrs

__all__ = ["RolloutContext"]


@attrs.frozen
class RolloutContext:
    """What the roll-outs of all services use.

    Attributes:
        bounds: The Bounds.
        services: The Services.
        peers: The Peers.
        slot_client: The SlotClient.
        store: The RolloutStore.
        era: Function without arguments that returns the store's era.
        counters: The Counters.
        log: The EventLog.
    """

    bounds: object
    services: object
    peers: object
    slot_client: object
    store: object
    era: object
    counters: object
    log: object
