"""Choose between the targets of a service's versions during a roll-out.

Answers the load of a roll-out: the new version may get few requests, which must show it
under load. So they come in bursts, each of which fills a few targets, other ones each
time, and no route takes all of them.
"""

import collections
import enum

from sesamespring.routing.rollout_evidence import RolloutEvidence, judged_answer

__all__ = ["RolloutSteering", "Use"]

# Targets of the new version that a large burst fills; a small one fills one target.
TARGETS_PER_BURST = 2
LARGE_BURST = 12
REQUESTS_PER_SLOT = 3
BURST_MIN = 4
# Part of all requests that the new version may get by now which one burst takes.
BURST_SHARE = 1 / 3
# A burst that finds no free slot for so long goes to other targets.
IDLE_BURST_S = 2.0
# Largest part of the new version's requests that one of several routes may take.
ROUTE_SHARE_MAX = 0.6
ROUTE_REQUESTS_MIN = 4


class Use(enum.Enum):
    """Which targets get requests.

    ``ALL``: any, without a roll-out. ``OLD``: those of other versions than the new one.
    ``TRIAL``: these, and a limited number of requests go to the new version. ``NEW``:
    those of the new version. Without any such target in service, the others get them.
    """

    ALL = "all"
    OLD = "old"
    TRIAL = "trial"
    NEW = "new"


class RolloutSteering:
    """The versions between which one scheduler chooses, and what it sees of them.

    Attributes:
        requests: Requests that were sent to any target since ``begin``.
        sent: Attempts sent to the new version since then.
        allowance: How many more may be sent in the trial.
        evidence: The RolloutEvidence.
        had_old: Whether a target of another version was in service since then.
    """

    def __init__(self):
        self._use = Use.ALL
        self._to = None
        self._rejected = ()
        self._states = {}
        self._bursts = 0
        self._burst_targets = 1
        self._last_pick_s = 0.0
        # Whether waiting requests have exclusions of a roll-out that has ended.
        self._must_clear = False
        self._reset()

    @property
    def active(self):
        """Whether there is a roll-out."""
        return self._use is not Use.ALL

    @property
    def use(self):
        """The Use."""
        return self._use

    @property
    def has_new(self):
        """Whether a target of the new version is in service."""
        return bool(self._new_states())

    @property
    def has_old(self):
        """Whether a trusted target of another version is in service."""
        return any(s.in_service and self._is_old(s) for s in self._states.values())

    def begin(self, to, states):
        """Begin a roll-out, with nothing sent to the new version yet.

        Args:
            to: The new version.
            states: The scheduler's dict of TargetState by key, which it keeps current.
        """
        self._reset()
        self._to = to
        self._use = Use.OLD
        self.set_states(states)

    def end(self):
        """End the roll-out, after which versions decide nothing."""
        self._reset()
        self._use = Use.ALL
        self._to = None
        self._states = {}

    def set_use(self, use, rejected=()):
        """Change the Use.

        Args:
            use: The Use.
            rejected: Other versions that get requests only if nothing else is left.
        """
        self._use = use
        self._rejected = rejected

    def start_burst(self, requests):
        """Allow further requests to the new version, at other targets than before."""
        self.allowance += requests
        self._bursts += 1
        is_large = self.allowance >= LARGE_BURST
        self._burst_targets = TARGETS_PER_BURST if is_large else 1

    def burst(self, limit):
        """Return how many requests a burst takes to fill its targets.

        Args:
            limit: Requests that the new version may have had in all by now.
        """
        slots = max((s.entry.slots for s in self._new_states()), default=0)
        full = REQUESTS_PER_SLOT * TARGETS_PER_BURST * slots
        return max(BURST_MIN, min(full, int(BURST_SHARE * limit)))

    def old_in_progress(self, removed):
        """Return the number of attempts in progress at targets of other versions.

        Args:
            removed: TargetStates of removed targets with attempts in progress.
        """
        states = [*self._states.values(), *removed]
        return sum(len(s.active_attempts) for s in states if not self._is_new(s))

    def set_states(self, states):
        """Replace the dict of TargetState by key."""
        self._states = states
        if self.active and self.has_old:
            self.had_old = True

    def usable(self, slots):
        """Return those of a list of Slots that requests may use outside the trial."""
        if self._use is Use.ALL:
            return slots
        if self._use is Use.NEW:
            return self._filtered(slots, self._is_new) if self.has_new else slots
        return self._filtered(slots, self._is_old) if self.has_old else slots

    def choose(self, waiting, slots, now_s):
        """Return the Slots for a plan, and exclude targets for each waiting request.

        Args:
            waiting: The waiting ScheduledRequests.
            slots: All Slots.
            now_s: Current time.
        """
        usable = self.usable(slots)
        if self._use is not Use.TRIAL or not self.has_old:
            self._clear(waiting)
            return usable
        self._must_clear = True
        chosen = {state.entry.key for state in self._burst_states(now_s)}
        free = [s for s in slots if s.key in chosen and s.free_s <= now_s]
        free = free[: self.allowance]
        new = frozenset(k for k, s in self._states.items() if self._is_new(s))
        old = frozenset(self._states.keys() - new)
        left = len(free)
        for request in waiting:
            picked = left > 0 and self._may_pick(request)
            left -= picked
            request.excluded = old if picked else new
        return [*usable, *free]

    def sent_to(self, request, state, now_s):
        """Record that a request is sent to the target of a TargetState."""
        if not self.active:
            return
        if not request.extra:
            self.requests += 1
            self._route_requests[request.route] += 1
        if self._is_new(state):
            self.sent += 1
            self.allowance = max(0, self.allowance - 1)
            self._route_sent[request.route] += 1
            self._last_pick_s = now_s

    def ended(self, request, state, active, ended, saturation, now_s):
        """Record the end of an attempt.

        Args:
            request: The ScheduledRequest.
            state: The TargetState.
            active: The ActiveAttempt.
            ended: The AttemptEnded.
            saturation: Factor on the duration, as the attempt took the last slot, or 1.
            now_s: Current time.
        """
        if not self.active:
            return
        answer = judged_answer(
            state.entry.key, request.route, active, ended, saturation, now_s
        )
        if answer is None:
            return
        if not self._is_new(state):
            self.evidence.observe_old(answer)
            return
        several = len(self._new_states()) > 1
        self.evidence.observe_new(answer, several)

    def _reset(self):
        self.requests = 0
        self.sent = 0
        self.allowance = 0
        self.had_old = False
        self.evidence = RolloutEvidence()
        self._rejected = ()
        self._route_requests = collections.Counter()
        self._route_sent = collections.Counter()

    def _clear(self, waiting):
        if self._must_clear:
            self._must_clear = False
            for request in waiting:
                request.excluded = frozenset()

    def _is_new(self, state):
        return state.entry.version == self._to

    def _is_old(self, state):
        version = state.entry.version
        return version != self._to and version not in self._rejected

    @staticmethod
    def _filtered(slots, keep):
        return [slot for slot in slots if keep(slot.state)]

    def _new_states(self):
        """Return the TargetStates of the new version that are in service."""
        states = self._states.values()
        return [s for s in states if s.in_service and self._is_new(s)]

    def _burst_states(self, now_s):
        """Return the TargetStates that a burst fills, without those in cold start."""
        if now_s - self._last_pick_s > IDLE_BURST_S:
            self._last_pick_s = now_s
            self._bursts += 1
        states = [s for s in self._new_states() if not s.is_cold(now_s)]
        count = self._burst_targets
        if len(states) <= count:
            return states
        states.sort(key=lambda state: state.entry.key)
        first = self._bursts * count
        return [states[(first + index) % len(states)] for index in range(count)]

    def _may_pick(self, request):
        """Return whether a request may go to the new version in the trial.

        One that has failed anywhere goes to the old targets, which are known.
        """
        if request.extra or request.tried:
            return False
        if len(self._route_requests) < 2:
            return True
        total = self.sent + self.allowance
        most = max(ROUTE_REQUESTS_MIN, ROUTE_SHARE_MAX * total)
        return self._route_sent[request.route] < most
