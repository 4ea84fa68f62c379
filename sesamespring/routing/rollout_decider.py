"""Lead one service's roll-out on the VM that decides for the service.

Answers the load of VMs that end, freeze or decide twice, and of a store that is slow or
away: each step takes effect only when the store has taken its record, under the
condition that no other VM has written one meanwhile. Requests to the new version are
reserved in the record before they are sent, so that a VM that takes over knows how many
there may have been.
"""

import attrs

from sesamespring.routing.rollout import (
    USED_SHARE,
    Phase,
    RolloutRecord,
    RolloutView,
    merge_records,
    move_lead_s,
    next_phase,
    trial_limit,
)
from sesamespring.routing.rollout_steering import Use

__all__ = ["RolloutDecider", "use_of"]

# Time after which counts are written although nothing else has changed.
COUNTS_INTERVAL_S = 1.0
# Shortest time from which the rate of requests is taken.
RATE_TIME_MIN_S = 1.0
# Records whose write was not confirmed.
UNSETTLED_MAX = 16

_USES = {
    Phase.TRIAL: Use.TRIAL,
    Phase.MOVING: Use.NEW,
    Phase.COMPLETE: Use.NEW,
    Phase.ROLLED_BACK: Use.OLD,
}


def use_of(phase, decides):
    """Return the Use that follows from a Phase.

    Args:
        phase: The Phase, or None if it is not known.
        decides: Whether this VM decides for the service; only then it knows how many
            requests the new version may get in the trial.
    """
    use = Use.OLD if phase is None else _USES[phase]
    return Use.OLD if use is Use.TRIAL and not decides else use


class RolloutDecider:
    """The steps of one roll-out, for the VM that decides for the service.

    Args:
        order: The RolloutOrder.
        bounds: Object with ``exposure_share`` and ``exposure_slack``, see
            ``platform.settings.Bounds``.
        steering: The RolloutSteering of the service's scheduler.
        writer: Text that no other VM uses, to recognise this VM's records.
    """

    def __init__(self, order, bounds, steering, writer):
        self._order = order
        self._bounds = bounds
        self._steering = steering
        self._writer = writer
        self._record = None
        self._started_s = 0.0
        self._counted = 0
        self._answers_before_move = 0
        self._written_s = 0.0
        self._must_write = False
        self._writes = 0
        # Dict of record and requests counted in it by writer.
        self._unsettled = {}
        self._reason = ""

    @property
    def record(self):
        """The RolloutRecord that the store took last, or None before it is read."""
        return self._record

    @property
    def reason(self):
        """Why the latest decision was taken, a word for the log."""
        return self._reason

    def elapsed_s(self, now_s):
        """Return the seconds since the order."""
        return now_s - self._started_s

    def leave(self):
        """Stop deciding; what the store knows has to be read before the next step."""
        self._record = None
        self._steering.allowance = 0

    def adopt(self, stored, started_s, started_unix_s, now_s, known=None):
        """Take over what the store knows.

        Args:
            stored: The RolloutRecord in the store, or None.
            started_s: When this VM takes the order to have started.
            started_unix_s: The same in seconds of Unix time, for a first record.
            now_s: Current time.
            known: RolloutRecord of this order with the phase and step that other VMs
                have told, or None.
        """
        record = stored
        self._must_write = stored is None or stored.order != self._order
        if stored is None:
            record = RolloutRecord(self._order, started_unix_s=started_unix_s)
        elif self._must_write:
            record = stored.replaced_by(self._order, started_unix_s)
        if known is not None and known.order == self._order:
            merged = merge_records(known, record)
            self._must_write = self._must_write or merged.step != record.step
            record = merged
        self._started_s = started_s
        self._written_s = now_s
        self._record = record
        self._counted = self._steering.requests
        evidence = self._steering.evidence
        if not evidence.answers:
            evidence.restore(record.answers, record.suspicion)
        self._answers_before_move = evidence.answers
        self._steering.allowance = 0
        self._apply_phase(stored is not None and stored.order == self._order)

    def stop_if_bad(self):
        """Send nothing more to a version that is found bad, and return whether it is.

        This holds at once, whatever the store does.
        """
        record = self._record
        if record is None or record.phase is Phase.COMPLETE:
            return False
        if not self._steering.evidence.is_bad or not self._steering.had_old:
            return False
        self._steering.set_use(Use.OLD, record.rejected)
        return True

    def next_record(self, now_s, old_in_progress, is_confirmed):
        """Return the RolloutRecord to write now, or None.

        Args:
            now_s: Current time.
            old_in_progress: Attempts in progress at targets of other versions.
            is_confirmed: Whether all VMs say that they send nothing to these targets.
        """
        record = self._record
        phase = record.phase
        if not self._must_write:
            view = self._view(now_s, old_in_progress, is_confirmed)
            phase, self._reason = next_phase(phase, view)
        if phase is Phase.ROLLED_BACK:
            # Holds at once, whatever the store does.
            self._steering.set_use(Use.OLD, record.rejected)
        burst = self._next_burst(now_s) if phase is record.phase else 0
        due = now_s - self._written_s >= COUNTS_INTERVAL_S and not phase.is_final
        changed = self._requests != record.requests
        if phase is record.phase and not (burst or self._must_write or due and changed):
            return None
        return self._make(record.in_phase(phase), burst)

    def written(self, writer, now_s):
        """Record that the store has taken the record with a writer's text."""
        record, self._counted = self._unsettled.pop(writer)
        before, self._record = self._record, record
        self._must_write = False
        self._written_s = now_s
        if record.phase is Phase.TRIAL and record.reserved > before.reserved:
            self._steering.start_burst(record.reserved - before.reserved)
        if record.phase is not before.phase:
            self._answers_before_move = self._steering.evidence.answers
        self._apply_phase(True)

    def refused(self, stored, now_s):
        """Take in the record that the store has in place of the one expected.

        Args:
            stored: The RolloutRecord in the store, or None.
            now_s: Current time.

        Returns:
            Whether it is a record that this VM wrote itself, or one of this order.
        """
        if stored is not None and stored.writer in self._unsettled:
            self.written(stored.writer, now_s)
            return True
        if stored is None or stored.order != self._order:
            return False
        merged = merge_records(self._record, stored)
        self._must_write = merged.phase is not stored.phase
        self._record = merged
        self._apply_phase(not self._must_write)
        return True

    @property
    def _requests(self):
        """Requests of the service since the order, as far as known."""
        return self._record.requests + self._steering.requests - self._counted

    def _view(self, now_s, old_in_progress, is_confirmed):
        steering, evidence = self._steering, self._steering.evidence
        return RolloutView(
            elapsed_s=self.elapsed_s(now_s),
            duration_s=self._order.duration_s,
            service_time_s=evidence.longest_s,
            trial_limit=self._trial_limit(now_s),
            per_s=self._per_s(now_s),
            exposure_left=self._exposure_left(now_s),
            answers=evidence.answers,
            moved_answers=evidence.answers - self._answers_before_move,
            suspicion=evidence.suspicion,
            has_new=steering.has_new,
            has_old=steering.has_old,
            had_old=steering.had_old,
            old_in_progress=old_in_progress,
            is_confirmed=is_confirmed,
        )

    def _trial_limit(self, now_s):
        evidence = self._steering.evidence
        lead_s = move_lead_s(self._order.duration_s, evidence.longest_s)
        move_requests = self._per_s(now_s) * lead_s
        exposure = self._exposure(self._requests)
        return trial_limit(exposure, move_requests, evidence.suspicion)

    def _per_s(self, now_s):
        """Return the average rate of the service's requests, per second."""
        return self._requests / max(RATE_TIME_MIN_S, self.elapsed_s(now_s))

    def _exposure(self, requests):
        """Return how many of the service's requests a bad version may get."""
        bounds = self._bounds
        return bounds.exposure_share * requests + bounds.exposure_slack

    def _exposure_left(self, now_s):
        left_s = max(0.0, self._order.duration_s - self.elapsed_s(now_s))
        requests = self._requests + self._per_s(now_s) * left_s
        used = max(self._record.reserved, self._steering.sent)
        return USED_SHARE * self._exposure(requests) - used

    def _next_burst(self, now_s):
        """Return how many more requests to reserve for the new version."""
        steering = self._steering
        if self._record.phase is not Phase.TRIAL or not steering.has_new:
            return 0
        limit = self._trial_limit(now_s)
        burst = steering.burst(limit)
        left = limit - self._record.reserved
        if left < burst or steering.allowance > burst // 2:
            return 0
        return burst

    def _make(self, record, burst):
        """Return a record with the present counts and a writer's text of its own."""
        evidence = self._steering.evidence
        self._writes += 1
        made = attrs.evolve(
            record,
            requests=self._requests,
            reserved=record.reserved + burst,
            answers=evidence.answers,
            suspicion=min(1.0, evidence.suspicion),
            writer=f"{self._writer}/{self._writes}",
        )
        self._unsettled[made.writer] = made, self._steering.requests
        while len(self._unsettled) > UNSETTLED_MAX:
            self._unsettled.pop(next(iter(self._unsettled)))
        return made

    def _apply_phase(self, is_stored):
        """Choose targets by the phase of the record once the store has taken it."""
        record = self._record
        known = is_stored or record.phase.is_final
        phase = record.phase if known else None
        self._steering.set_use(use_of(phase, True), record.rejected)
