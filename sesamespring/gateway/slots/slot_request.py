"""A request of this VM that needs slots, and the slots that other VMs granted to it."""

import attrs

from sesamespring.routing.messages import ScheduledRequest

__all__ = ["Grant", "SlotRequest"]


@attrs.frozen
class Grant:
    """An attempt in a slot that another VM granted.

    Attributes:
        address: Address of that VM, a pair of IP and port.
        attempt: Number of the attempt at that VM.
    """

    address: tuple
    attempt: int


@attrs.define(eq=False)
class SlotRequest:
    """A request of this VM that needs slots, one for each attempt.

    Attributes:
        service: Name of the service.
        request: The ScheduledRequest.
        on_command: Function called with each Dispatch and Refusal.
        number: Number that identifies the request in messages to other VMs.
        decider: The Member that schedules the request, or None if this VM does.
        silent_decider: The Member that did not answer in this round, so that this VM
            schedules the request, or None.
        round: Number of times that a slot was requested; matches messages to requests.
        unanswered_sends: How often SlotWanted was sent in this round since the decider
            last responded.
        timer: Handle of the timer of the next check, or None.
        granted: Dict by attempt number of the Grant of each attempt in progress.
        waiting: Whether it is waiting for a slot.
        accepted: Number of slots that it has used.
    """

    service: str
    request: ScheduledRequest
    on_command: object
    number: int
    decider: object = None
    silent_decider: object = None
    round: int = 0
    unanswered_sends: int = 0
    timer: object = None
    granted: dict = attrs.field(factory=dict)
    waiting: bool = False
    accepted: int = 0
