"""Define the state of a held target and its limits and costs."""

import math

import attrs

from sesamespring.decisions.coldstart import ColdStart
from sesamespring.decisions.estimates import ServiceTime
from sesamespring.decisions.messages import HeldTarget

__all__ = ["OccupiedSlot", "TargetState"]

# Added to the expected cost of a request to a target in another data centre.
REMOTE_COST_S = 0.003
# Multiples of the service time for a cold target, and for each request in progress.
COLD_COST_FACTOR = 3.0
SHARING_COST_FACTOR = 0.2
FAILURES_MAX = 3
BACKOFF_MIN_S = 0.05
BACKOFF_MAX_S = 2.0


@attrs.define(eq=False)
class OccupiedSlot:
    """A slot in use, by a request of this VM or by a loan to a peer.

    Attributes:
        state: The TargetState.
        sent_s: Time at which the request was sent or the slot was lent.
        done: Whether the slot was freed.
    """

    state: object
    sent_s: float
    done: bool = False


@attrs.define(eq=False)
class TargetState:
    """A target that this VM holds, or held and has requests in progress at.

    Attributes:
        target: The HeldTarget.
        cold_start: Its ColdStart.
        service_time: Its ServiceTime.
        held: Whether this VM holds it.
        in_progress: Number of requests that may be in progress, including loans and
            requests that were cut off.
        backoff_until_s: Time until which it gets no requests after it shed or failed.
        failures: Failures since the last good response.
        backoffs: Back-off periods since the last good response.
        trial_scheduled: Whether a Timer is set that makes a trial due.
        trial_due: Whether it gets the next request although it seems slow.
        on_trial: Whether the trial request is in progress.
        proven_warm_s: Time at which the newest request with a quick response was sent.
        version: Version of its place in the order of choice, increased by each change.
    """

    target: HeldTarget
    cold_start: ColdStart
    service_time: ServiceTime = attrs.field(factory=ServiceTime)
    held: bool = True
    in_progress: int = 0
    backoff_until_s: float = -math.inf
    failures: int = 0
    backoffs: int = 0
    trial_scheduled: bool = False
    trial_due: bool = False
    on_trial: bool = False
    proven_warm_s: float = -math.inf
    version: int = 0

    def has_room(self, now_s, suspect_since_s):
        """Return whether another request may be sent to the target.

        Args:
            now_s: The current time in seconds.
            suspect_since_s: Time of the last sign that any target of the pool turned
                cold. Until a request sent later gets a quick response, a target gets
                its cold slots only.
        """
        target = self.target
        if not self.held or not target.quiet_until_s <= now_s < target.valid_until_s:
            return False
        if now_s < self.backoff_until_s:
            return False
        if self.cold_start.cold and not target.usable_when_cold:
            return False
        limit = self.cold_start.limit(target.slots, target.cold_slots)
        if self.proven_warm_s < suspect_since_s:
            limit = min(limit, target.cold_slots)
        return self.in_progress < limit

    def cost_s(self, average_s):
        """Return the expected cost of a request, in seconds.

        Args:
            average_s: Average service time over all targets, in seconds.
        """
        if self.trial_due:
            return 0.0
        cost_s = self.service_time.recent_s
        if self.cold_start.cold:
            cost_s = COLD_COST_FACTOR * max(cost_s, average_s)
        cost_s *= 1 + self.failures
        cost_s += SHARING_COST_FACTOR * average_s * self.in_progress
        return cost_s if self.target.local else cost_s + REMOTE_COST_S

    def back_off(self, now_s):
        """Stop requests for a period that doubles with each back-off; count as cold."""
        backoff_s = min(BACKOFF_MAX_S, BACKOFF_MIN_S * 2**self.backoffs)
        self.backoffs += 1
        self.backoff_until_s = now_s + backoff_s
        self.cold_start.mark_cold()

    def recover(self):
        """Reset the failure and back-off counts after a good response."""
        self.failures = 0
        self.backoffs = 0
