"""The targets of one service: their states, and the slots that may be used now."""

from sesamespring.routing.placement import open_slots
from sesamespring.routing.request_limits import StatedLimits, rate_of_this_vm
from sesamespring.routing.rollout_steering import RolloutSteering
from sesamespring.routing.target_state import TargetState

__all__ = ["ServiceTargets"]

SLOWDOWN_WEIGHT = 0.02
# Share of a cold target's limit that the decider may use. VMs that decide on their own
# have as much together.
COLD_RATE_SHARE = 0.5
# Time in which a VM that begins to decide comes to its whole share. What others sent to
# a cold target in the last second, it does not know.
COLD_RAMP_S = 1.0


class ServiceTargets:
    """The states of a service's targets, and this VM's share of what they can take.

    Args:
        declaration: The ServiceDeclaration.
        bounds: Object with the attributes ``cold_ratio`` and ``cold_slack``, see
            ``platform.settings.Bounds``.
        limits: The StatedLimits of the targets, or None for none.
    """

    def __init__(self, declaration, bounds, limits=None):
        self._declaration = declaration
        self._bounds = bounds
        self._limits = StatedLimits() if limits is None else limits
        self._states = {}
        # States of removed targets with attempts in progress.
        self._removed = {}
        self._rollout = RolloutSteering()
        self._average_slowdown = 1.0
        self._shared = False
        # Time of the first plan in the present role, as decider or alone.
        self._planning_since_s = None
        self._vms = 1
        self._vms_known = 1

    @property
    def states(self):
        """Dict of TargetState by key of the target."""
        return self._states

    @property
    def rollout(self):
        """The RolloutSteering between versions."""
        return self._rollout

    @property
    def removed(self):
        """TargetStates of removed targets with attempts in progress."""
        return self._removed.values()

    def sharing_vms(self, now_s, window_s):
        """Return the number of VMs that may spend a half of the slack as this one may.

        VMs not heard count too, as they may be serving in another part of a divided
        network. One that has decided for a whole window shares that half only with the
        deciders of such parts, in proportion to the VMs that each of them hears; the
        other half is for VMs that decide alone, and for deciders before that.

        Args:
            now_s: Current time.
            window_s: Length of the window in which the slack holds, in seconds.
        """
        known = max(1, self._vms, self._vms_known)
        since_s = self._planning_since_s
        if self._shared or since_s is None or now_s - since_s < window_s:
            return known
        return known / max(1, self._vms)

    @property
    def average_slowdown(self):
        """Moving average of the slowdown that the targets report."""
        return self._average_slowdown

    @property
    def any_in_service(self):
        """Whether registration and data centre of some target permit requests."""
        return any(state.in_service for state in self._states.values())

    def set_declaration(self, declaration):
        """Replace the ServiceDeclaration."""
        self._declaration = declaration

    def set_vms(self, vms, shared, vms_known=1):
        """Update the view of the VMs; takes effect for limits with ``apply_limits``.

        Args:
            vms: Number of VMs that serve requests.
            shared: Whether other VMs send to the targets without this VM's decision.
            vms_known: Number of VMs including those that have fallen silent.
        """
        if shared != self._shared:
            self._planning_since_s = None
        self._vms = vms
        self._shared = shared
        self._vms_known = vms_known

    def apply_limits(self, now_s):
        """Pace the requests to all targets by the limits that they name."""
        vms, vms_known = self._vms, self._vms_known
        for key, state in self._states.items():
            limit = self._limits.per_s(key)
            rate = rate_of_this_vm(limit, vms, vms_known, not self._shared)
            state.set_limit(rate, now_s)

    def set_targets(self, entries, closed_data_centres, now_s):
        """Replace the targets of the service.

        Args:
            entries: The TargetEntries.
            closed_data_centres: Names of the data centres that get no requests.
            now_s: Current time.
        """
        kept = {}
        for entry in entries:
            state = self._states.get(entry.key) or self._removed.pop(entry.key, None)
            if state is None:
                state = TargetState(entry)
                state.cold_until_s = now_s + entry.cold_left_s
            elif entry.cold_left_s > 0:
                left_s = now_s + entry.cold_left_s
                state.cold_until_s = max(state.cold_until_s, left_s)
            state.entry = entry
            closed = entry.data_centre in closed_data_centres
            state.in_service = not entry.leaving and not closed
            state.invalidate_cache()
            kept[entry.key] = state
        for key, state in self._states.items():
            if key not in kept:
                state.in_service = False
                # Its attempts go on, and occupy slots if the target returns.
                if state.active_attempts:
                    self._removed[key] = state
        self._states = kept
        self._rollout.set_states(kept)
        self.apply_limits(now_s)

    def record_load(self, key, load, cold_left_s, now_s):
        """Process what a target reported about its load.

        Args:
            key: Key of the target.
            load: The LoadReport, or None.
            cold_left_s: Remaining duration of its cold start, in seconds, or None.
            now_s: Current time.
        """
        state = self._states.get(key)
        if state is None:
            return
        if load is not None or cold_left_s is not None:
            state.heard_s = now_s
        if load is not None:
            state.record_load(load, now_s)
            difference = load.slowdown - self._average_slowdown
            self._average_slowdown += SLOWDOWN_WEIGHT * difference
        if cold_left_s is not None:
            state.cold_until_s = now_s + cold_left_s
            state.invalidate_cache()

    def back_off_unless_heard(self, key, seconds, since_s, now_s):
        """Send no requests to a target for some seconds, unless it responds to others.

        Args:
            key: Key of the target.
            seconds: Length of the backoff.
            since_s: Time since which a response to any VM shows that the target runs.
            now_s: Current time.
        """
        state = self._states.get(key)
        if state is not None and state.heard_s <= since_s:
            state.back_off(now_s, seconds)

    def open_slots(self, now_s, saturation_factor):
        """Return the Slots of the targets, see ``placement.open_slots``.

        Args:
            now_s: Current time.
            saturation_factor: Factor on the duration of requests at a target whose
                slots are all taken.
        """
        if self._planning_since_s is None:
            self._planning_since_s = now_s
        return open_slots(
            self._states.values(),
            now_s,
            self._average_slowdown,
            saturation_factor,
            self._shared,
            self._cold_limit(now_s),
        )

    def has_free_slot(self, now_s):
        """Return whether a request can be sent to some target now."""
        states = self._states.values()
        return any(state.free_slots(now_s, self._shared) > 0 for state in states)

    def has_tried_all(self, request):
        """Return whether no target in service is left that a request may be sent to."""
        return all(
            key in request.tried or key in request.excluded
            for key, state in self._states.items()
            if state.in_service
        )

    def drop_if_removed(self, state):
        """Forget a TargetState without attempts whose target was removed."""
        if not state.active_attempts:
            self._removed.pop(state.entry.key, None)

    def _cold_limit(self, now_s):
        """Return how many requests this VM may send to a cold target in a second."""
        limit = self._declaration.cold_per_s * self._bounds.cold_ratio
        limit = COLD_RATE_SHARE * (limit + self._bounds.cold_slack)
        limit *= min(1.0, (now_s - self._planning_since_s) / COLD_RAMP_S)
        return limit / max(1, self._vms_known - 1) if self._shared else limit
