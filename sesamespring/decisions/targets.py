"""Keep what is known of one held target."""

import math

import attrs

from sesamespring.decisions.coldstart import ColdStart
from sesamespring.decisions.estimates import ServiceTime
from sesamespring.decisions.messages import HeldTarget

__all__ = ["TargetState", "OccupiedSlot"]

REMOTE_COST_S = 0.003
COLD_COST_FACTOR = 3.0
SHARING_COST_FACTOR = 0.2
FAILURES_MAX = 3
BACKOFF_MIN_S = 0.05
BACKOFF_MAX_S = 2.0


@attrs.define(eq=False)
class OccupiedSlot:
    """One request in progress at a target, of this VM or under a loan.

    Attributes:
        state: The TargetState.
        sent_s: Time at which it was sent or lent.
        done: Whether it ended.
    """

    state: object
    sent_s: float
    done: bool = False


@attrs.define(eq=False)
class TargetState:
    """A target that this VM holds, or held and still has work at.

    Attributes:
        target: The HeldTarget.
        cold_start: Its ColdStart.
        service_time: Its ServiceTime.
        held: Whether this VM holds it now.
        in_progress: Requests that may be in progress, also lent and cut off ones.
        backoff_until_s: Time until which it gets no work after refusals or failures.
        failures: Failures since the last good answer.
        refusals: Rests since the last good answer.
        trial_planned: Whether a Timer will let it be tried although it seems slow.
        trial_due: Whether it gets the next request although it seems slow.
        on_trial: Whether that request was sent and has not been answered.
        proved_s: Time at which the newest request with a quick answer was sent.
        version: Grows with each change of its place in the order of choice.
    """

    target: HeldTarget
    cold_start: ColdStart
    service_time: ServiceTime = attrs.field(factory=ServiceTime)
    held: bool = True
    in_progress: int = 0
    backoff_until_s: float = -math.inf
    failures: int = 0
    refusals: int = 0
    trial_planned: bool = False
    trial_due: bool = False
    on_trial: bool = False
    proved_s: float = -math.inf
    version: int = 0

    def has_room(self, now_s, suspected_s):
        """Return whether a request may be sent to it now.

        Args:
            now_s: The time now.
            suspected_s: Time since which only a quick answer proves a target warm.
        """
        target = self.target
        if not self.held or not target.quiet_until_s <= now_s < target.valid_until_s:
            return False
        if now_s < self.backoff_until_s:
            return False
        if self.cold_start.cold and not target.usable_when_cold:
            return False
        limit = self.cold_start.limit(target.slots, target.cold_slots)
        if self.proved_s < suspected_s:
            limit = min(limit, target.cold_slots)
        return self.in_progress < limit

    def cost_s(self, average_s):
        """Return the expected cost of a request, in seconds.

        Args:
            average_s: Usual service time over all targets.
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
        """Give it no work for a while, longer with each time in a row."""
        backoff_s = min(BACKOFF_MAX_S, BACKOFF_MIN_S * 2**self.refusals)
        self.refusals += 1
        self.backoff_until_s = now_s + backoff_s
        self.cold_start.turn_cold()

    def recover(self):
        """Take in a good answer."""
        self.failures = 0
        self.refusals = 0
