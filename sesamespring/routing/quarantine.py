"""Keep requests that crash the targets that run them away from other targets.

The load that this answers: a request whose content makes a target's process end, sent
again and again under new request ids, to any VM.
"""

import math

import attrs

from sesamespring.routing.request_content import base_content_id

__all__ = ["Admission", "CrashRecord", "Quarantine"]

# Distinct targets that a content must have crashed before it is quarantined.
CRASHES_MAX = 3
CRASHES_KEPT_MAX = 16
# Time from the quarantine to the first trial. A content that crashed targets only by
# coincidence is served again after this time at the latest.
FIRST_TRIAL_DELAY_S = 2.0
# The second trial comes within the time in which service has to be back after a fault,
# as the first one may have met another cause.
TRIAL_DELAY_FACTOR = 5.0
TRIALS_MAX = 3
# A request that was chosen for a trial is sent within this time, in which its outcome
# is expected too; then another one may be chosen.
RESERVATION_S = 3.0
# Contents that are quarantined at the same moment would be tried at the same moment as
# well, and one that is harmless would run beside the one that is not.
TRIAL_SPACING_S = 1.0
MEMORY_S = 3600.0
# How long other VMs, which may hold an older record, are told of a cleared one.
CLEARED_MEMORY_S = 30.0
RECORDS_MAX = 2000
# Contents that are remembered as run to their end, on each VM.
RUN_WELL_MAX = 4000


@attrs.frozen
class CrashRecord:
    """What is known of the targets that crashed while they ran one content.

    Records of two VMs merge in any order and any number of times to the same record.

    Attributes:
        content: Id of the content, see ``request_content``.
        clearances: How often it was cleared, as a target ran it without a crash. A
            record with more clearances replaces those with fewer.
        crashed: Keys of up to ``CRASHES_KEPT_MAX`` targets that crashed since then.
        trials: Number of trials since then that did not clear the content.
        reservations: How often a request was chosen for a trial since then.
        changed_s: Time of the latest crash, trial or clearance known to this VM.
        reserved_s: Time of the latest reservation known to this VM.
    """

    content: str
    clearances: int
    crashed: frozenset
    trials: int
    reservations: int
    changed_s: float
    reserved_s: float = -math.inf

    @property
    def next_trial_s(self):
        """Time from which one request with a quarantined content may be chosen."""
        if self.trials >= TRIALS_MAX:
            return self.changed_s + MEMORY_S
        delay_s = FIRST_TRIAL_DELAY_S * TRIAL_DELAY_FACTOR**self.trials
        return max(self.changed_s + delay_s, self.reserved_s + RESERVATION_S)

    def merge(self, other):
        """Return the record that follows from this one and another of its content."""
        if self.clearances != other.clearances:
            return max(self, other, key=lambda record: record.clearances)
        crashed = frozenset(sorted(self.crashed | other.crashed)[:CRASHES_KEPT_MAX])
        trials = max(self.trials, other.trials)
        changed_s, reserved_s = self.changed_s, self.reserved_s
        if crashed != self.crashed or trials != self.trials:
            changed_s = max(changed_s, other.changed_s)
        if other.reservations > self.reservations:
            reserved_s = other.reserved_s
        return CrashRecord(
            self.content,
            self.clearances,
            crashed,
            trials,
            max(self.reservations, other.reservations),
            changed_s,
            reserved_s,
        )


@attrs.frozen
class Admission:
    """Whether a request may wait for a target, and until when it may be sent.

    Attributes:
        admitted: Whether it may wait.
        trial: Number of the trial that the request was chosen for; None if its content
            was not quarantined.
        until_s: Time until which the trial may begin.
        clearances: How often the content had been cleared when the trial was reserved.
    """

    admitted: bool
    trial: int | None = None
    until_s: float = math.inf
    clearances: int = 0

    def is_for(self, record):
        """Return whether a CrashRecord has not changed since the trial was reserved."""
        return self.trial == record.trials and self.clearances == record.clearances


class Quarantine:
    """The contents that crashed targets, as far as this VM knows.

    A quarantined content is sent to one target at a time as a trial, at growing
    intervals, and is cleared when a target runs it without a crash. Methods that
    change a record return it, so that other VMs can be told; they return None if
    nothing has changed.
    """

    def __init__(self):
        self._records = {}
        # Contents that targets have run to their end, the latest last.
        self._run_well = {}

    @property
    def empty(self):
        """Whether no content has crashed a target lately."""
        return not self._records

    def record(self, content):
        """Return the CrashRecord of a content, or None."""
        return self._records.get(content)

    def is_quarantined(self, content):
        """Return whether requests with this content are kept from targets."""
        record = self._records.get(content)
        if record is None or len(record.crashed) < CRASHES_MAX:
            return False
        if record.clearances == 0:
            return True
        explained = self._explained_crashes(without=base_content_id(content))
        return len(record.crashed - explained) >= CRASHES_MAX

    def retry_after_s(self, content, now_s):
        """Return the time until the next trial of a content, in seconds."""
        record = self._records.get(content)
        return 0.0 if record is None else max(0.0, record.next_trial_s - now_s)

    def reserve_trial(self, content, now_s):
        """Choose a request with a quarantined content for a trial, if one is due.

        Returns:
            The CrashRecord with the reservation, or None.
        """
        known = self._records[content]
        if now_s < known.next_trial_s or self._has_just_reserved(now_s):
            return None
        count = known.reservations + 1
        return self._put(attrs.evolve(known, reservations=count, reserved_s=now_s))

    def permits(self, content, admission, now_s):
        """Return whether a request may be sent to a target now.

        Args:
            content: Id of its content.
            admission: Its Admission.
            now_s: Current time.
        """
        if not self.is_quarantined(content):
            return True
        record = self._records[content]
        return admission.is_for(record) and now_s < admission.until_s

    def record_trial(self, content, admission, now_s):
        """Record that a trial of a content has not cleared it.

        A trial from before a clearance says nothing of the crashes since then.
        """
        known = self._records.get(content)
        if known is None or not admission.is_for(known):
            return None
        trials = known.trials + 1
        return self._put(attrs.evolve(known, trials=trials, changed_s=now_s))

    def record_crash(self, content, target, now_s):
        """Record that a target crashed while it ran a content.

        A content that targets have run to their end counts as cleared from the start:
        crashes beside one that is not do not count.

        Args:
            content: Id of the content.
            target: Key of the target's lifetime.
            now_s: Current time.
        """
        known = self._records.get(content)
        if known is None:
            clearances = int(content in self._run_well)
        else:
            clearances = known.clearances
        crash = CrashRecord(content, clearances, frozenset({target}), 0, 0, now_s)
        return self.merge(crash)

    def record_completion(self, content, now_s):
        """Record that a target ran a content without a crash."""
        self._run_well.pop(content, None)
        self._run_well[content] = None
        if len(self._run_well) > RUN_WELL_MAX:
            del self._run_well[next(iter(self._run_well))]
        known = self._records.get(content)
        if known is None or not known.crashed:
            return None
        cleared = CrashRecord(content, known.clearances + 1, frozenset(), 0, 0, now_s)
        return self._put(cleared)

    def merge(self, record):
        """Add what another VM, or an attempt of this one, knows of a content."""
        known = self._records.get(record.content)
        merged = record if known is None else known.merge(record)
        return None if merged == known else self._put(merged)

    def changed_since(self, since_s, count):
        """Return up to ``count`` records that changed after a time.

        Those with the most crashes come first, and among these the newest.
        """
        records = [r for r in self._records.values() if r.changed_s > since_s]
        records.sort(key=lambda r: (len(r.crashed), r.changed_s), reverse=True)
        return records[:count]

    def drop_expired(self, now_s):
        """Forget records that have not changed for long."""
        self._records = {
            content: record
            for content, record in self._records.items()
            if now_s < record.changed_s + _memory_s(record)
        }

    def _has_just_reserved(self, now_s):
        """Return whether a trial of any content has just been reserved."""
        return any(
            now_s - record.reserved_s < TRIAL_SPACING_S
            for record in self._records.values()
        )

    def _explained_crashes(self, without):
        """Return the keys of the targets that contents without a clearance crashed.

        Another content that ran there, and that targets are known to run to its end,
        was beside the cause.

        Args:
            without: Id of a content that explains nothing, whoever sends it.
        """
        explained = set()
        for record in self._records.values():
            if (
                record.clearances == 0
                and len(record.crashed) >= CRASHES_MAX
                and base_content_id(record.content) != without
            ):
                explained |= record.crashed
        return explained

    def _put(self, record):
        self._records[record.content] = record
        if len(self._records) > RECORDS_MAX:
            weakest = min(
                self._records.values(), key=lambda r: (len(r.crashed), r.changed_s)
            )
            del self._records[weakest.content]
        return record


def _memory_s(record):
    """Return how long a record is kept after its last change, in seconds."""
    return MEMORY_S if record.crashed else CLEARED_MEMORY_S
