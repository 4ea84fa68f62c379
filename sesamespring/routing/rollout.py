"""Decide when a service's requests move to a new version, and when they move back.

Answers the load of a version that may be bad: until late, the new version gets no more
requests than it may get if it is bad, which is enough to judge it; then all requests
move at once, and it is judged further until the roll-out is complete.
"""

import enum

import attrs

__all__ = [
    "USED_SHARE",
    "Phase",
    "RolloutOrder",
    "RolloutRecord",
    "RolloutView",
    "merge_records",
    "move_lead_s",
    "next_phase",
    "trial_limit",
]

# Part of the exposure that may be used at all, as not every VM may be heard of, and the
# part of it that the new version gets before the move in any case. The rest is for the
# move, during which a version may still turn bad.
USED_SHARE = 0.9
TRIAL_SHARE_MIN = 0.5
# The same for a version that is suspected, of which more has to be known.
SUSPECT_SHARE = 0.7
SUSPECTED = 0.4
# A version under this much suspicion is not moved to.
UNTRUSTED = 0.5
# Answers without which a version is not taken for good, and the part of the requests
# that it may get which must be answered where they are fewer.
ANSWERS_MIN = 30
ANSWERS_SHARE_MIN = 0.5
# Part of all requests that a trial may be expected to get where there are few.
REQUESTS_SHARE = 0.5
# Answers after the move that show a version under all of the load.
MOVED_ANSWERS_MIN = 40
# Time kept for writing that a roll-out is complete, as part of its duration.
MARGIN_SHARE = 0.05
MARGIN_MIN_S = 1.0
MARGIN_MAX_S = 3.0
# Time for requests in progress at the old targets to end, in typical durations.
DRAIN_DURATIONS = 3.0
DRAIN_MIN_S = 0.5
LEAD_SHARE_MAX = 0.4
# The move is put off to this part of its time at most, so that a version that turns bad
# then stays within its exposure.
LEAD_SHARE_MIN = 0.5
REJECTED_VERSIONS_MAX = 8
RATE_MIN = 0.001


class Phase(enum.IntEnum):
    """How far a roll-out has come; the numbers go over the wire.

    ``TRIAL``: a few requests go to the new version. ``MOVING``: no new request goes to
    the old targets. ``COMPLETE`` and ``ROLLED_BACK`` are final.
    """

    TRIAL = 1
    MOVING = 2
    COMPLETE = 3
    ROLLED_BACK = 4

    @property
    def is_final(self):
        """Whether no other phase follows."""
        return self in (Phase.COMPLETE, Phase.ROLLED_BACK)


@attrs.frozen
class RolloutOrder:
    """The operator's order to move a service to a version.

    Attributes:
        service: Name of the service.
        to: The new version.
        duration_s: Time within which it has to be complete, in seconds.
    """

    service: str
    to: str
    duration_s: float


@attrs.frozen
class RolloutRecord:
    """What lasts of a roll-out, also if the VM that decides ends.

    Attributes:
        order: The RolloutOrder.
        phase: The Phase.
        step: Number of changes of the phase so far.
        started_unix_s: When a VM first took up the order, in seconds of Unix time.
        requests: Requests that the service had since then.
        reserved: Requests that the new version may have had.
        answers: Judged answers of the new version.
        suspicion: See ``RolloutEvidence``.
        rejected: Tuple of other versions that are not trusted.
        writer: Who wrote it: a text that is new in each write.
        vms_heard: Number of other VMs that the writer heard.
    """

    order: RolloutOrder
    phase: Phase = Phase.TRIAL
    step: int = 1
    started_unix_s: float = 0.0
    requests: int = 0
    reserved: int = 0
    answers: int = 0
    suspicion: float = 0.0
    rejected: tuple = ()
    writer: str = ""
    vms_heard: int = 0

    def in_phase(self, phase):
        """Return the record with a Phase, in the next step if it is another one."""
        if phase is self.phase:
            return self
        return attrs.evolve(self, phase=phase, step=self.step + 1)

    def replaced_by(self, order, started_unix_s):
        """Return the first record of an order that replaces this one's.

        A version whose roll-out was not completed is not trusted further on.
        """
        rejected = self.rejected
        if self.phase is not Phase.COMPLETE:
            rejected = (*rejected, self.order.to)
        kept = [version for version in rejected if version != order.to]
        return RolloutRecord(
            order,
            started_unix_s=started_unix_s,
            rejected=tuple(dict.fromkeys(kept))[-REJECTED_VERSIONS_MAX:],
        )


def merge_records(own, stored):
    """Return the newest of two RolloutRecords of one order, with the higher counts.

    A stored final phase stays. Otherwise the record with more steps holds: the store
    may have been restored from a copy that lacks the latest ones.
    """
    newest = own if own.step > stored.step and not stored.phase.is_final else stored
    return attrs.evolve(
        newest,
        started_unix_s=min(own.started_unix_s, stored.started_unix_s),
        requests=max(own.requests, stored.requests),
        reserved=max(own.reserved, stored.reserved),
        answers=max(own.answers, stored.answers),
        suspicion=max(own.suspicion, stored.suspicion),
    )


@attrs.frozen
class RolloutView:
    """What the deciding VM sees of a roll-out.

    Attributes:
        elapsed_s: Seconds since the order.
        duration_s: Seconds that the order allows.
        service_time_s: Typical duration of the service's slowest requests, in seconds.
        trial_limit: Requests that the new version may have had in the trial by now.
        per_s: Requests of the service in a second.
        exposure_left: Requests that the new version may still get by the end of the
            order's time if it is bad.
        answers: Judged answers of the new version.
        moved_answers: Those since the move.
        suspicion: See ``RolloutEvidence``; at 1 it is found bad.
        has_new: Whether a target of the new version is in service.
        has_old: Whether another target is in service.
        had_old: Whether one has been since the order.
        old_in_progress: Attempts in progress at targets of other versions.
        is_confirmed: Whether all VMs say that they send nothing to these targets.
    """

    elapsed_s: float
    duration_s: float
    service_time_s: float
    trial_limit: int
    per_s: float
    exposure_left: float
    answers: int
    moved_answers: int
    suspicion: float
    has_new: bool
    has_old: bool
    had_old: bool
    old_in_progress: int
    is_confirmed: bool

    @property
    def left_s(self):
        """Seconds until the order's time is over; negative afterwards."""
        return self.duration_s - self.elapsed_s

    @property
    def is_time_to_move(self):
        """Whether no more time is left than the move of all requests takes."""
        lead_s = move_lead_s(self.duration_s, self.service_time_s)
        safe_s = self.exposure_left / max(self.per_s, RATE_MIN)
        return self.left_s <= max(LEAD_SHARE_MIN * lead_s, min(lead_s, safe_s))

    @property
    def is_untrusted(self):
        """Whether the new version is too suspect to move to, and there is another."""
        return self.suspicion >= UNTRUSTED and self.had_old


def trial_limit(exposure, move_requests, suspicion):
    """Return how many requests the new version may have had before the move.

    Args:
        exposure: Requests that a bad version may get by now.
        move_requests: Requests of the service that are expected during the move.
        suspicion: See ``RolloutEvidence``.
    """
    if suspicion >= SUSPECTED:
        return int(SUSPECT_SHARE * exposure)
    return int(max(TRIAL_SHARE_MIN * exposure, USED_SHARE * exposure - move_requests))


def move_lead_s(duration_s, service_time_s):
    """Return how long before its time is over a roll-out moves all requests.

    Args:
        duration_s: Seconds that the order allows.
        service_time_s: Typical duration of the service's slowest requests, in seconds.
    """
    drain_s = max(DRAIN_MIN_S, DRAIN_DURATIONS * service_time_s)
    lead_s = drain_s + _margin_s(duration_s)
    return min(lead_s, LEAD_SHARE_MAX * duration_s)


def next_phase(phase, view):
    """Return the Phase that follows from a RolloutView, and the reason.

    Args:
        phase: The present Phase.
        view: The RolloutView.

    Returns:
        Pair of Phase and a word for the log.
    """
    if phase.is_final:
        return phase, "final"
    if view.suspicion >= 1.0 and view.had_old:
        return Phase.ROLLED_BACK, "bad"
    if phase is Phase.TRIAL:
        return _after_trial(view)
    return _after_move(view)


def _after_trial(view):
    if not view.has_new:
        return Phase.TRIAL, "no-new-target"
    if not view.had_old:
        return Phase.MOVING, "no-old-target"
    if not view.is_time_to_move:
        return Phase.TRIAL, "time-left"
    # Once the time is over, nothing is left to wait for.
    requests = view.per_s * max(0.0, view.elapsed_s)
    possible = min(view.trial_limit, REQUESTS_SHARE * requests)
    needed = min(ANSWERS_MIN, ANSWERS_SHARE_MIN * possible)
    if view.answers < needed and view.left_s > 0:
        return Phase.TRIAL, "few-answers"
    if view.is_untrusted:
        return Phase.ROLLED_BACK, "suspect"
    return Phase.MOVING, "good"


def _after_move(view):
    if not view.has_new and view.has_old:
        return Phase.TRIAL, "no-new-target"
    if view.old_in_progress or not view.is_confirmed:
        return Phase.MOVING, "old-in-progress"
    judged = view.moved_answers >= MOVED_ANSWERS_MIN or not view.had_old
    if not judged and view.left_s > _margin_s(view.duration_s) / 2:
        return Phase.MOVING, "few-answers"
    if view.is_untrusted:
        return Phase.ROLLED_BACK, "suspect"
    return Phase.COMPLETE, "good"


def _margin_s(duration_s):
    return min(MARGIN_MAX_S, max(MARGIN_MIN_S, MARGIN_SHARE * duration_s))
