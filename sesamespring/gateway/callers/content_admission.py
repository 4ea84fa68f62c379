"""Decide for one request whether its content may be sent to targets."""

from sesamespring.routing.messages import Outcome
from sesamespring.routing.quarantine import Admission

__all__ = ["ContentAdmission"]

REMEMBERED_BODY_BYTES_MAX = 1024
_SURVIVED = frozenset({Outcome.ANSWERED, Outcome.FAILED})


class ContentAdmission:
    """Keeps to the quarantine for one request, and reports what its attempts show.

    Crashes are recorded for the content and for the content as its caller sends it. The
    second binds this caller alone, and only its own requests lift it; the first binds
    all others.

    That a content has ended well is remembered also while none has crashed a target,
    unless its body is large: then its digest costs more, and it rarely comes again.

    Args:
        report: The RequestReport, which computes the ids of the content.
        context: The GatewayContext.
    """

    def __init__(self, report, context):
        self._report = report
        self._context = context
        self._quarantine = context.quarantine
        self._admission = Admission(True)
        self._admitted_id = None
        self._trial_sent = False

    @property
    def retry_after_s(self):
        """When a quarantined request may be sent again, in seconds from now."""
        return self._quarantine.retry_after_s(self._binding_id)

    def concerns(self, content):
        """Return whether an id is that of the request's content."""
        return content in (self._report.content_id, self._report.callers_content_id)

    def admit(self):
        """Return whether the request, which has just arrived, may wait for a target."""
        if not self._quarantine.empty:
            self._admitted_id = self._binding_id
            self._admission = self._quarantine.admit(self._admitted_id)
        return self._admission.admitted

    def is_permitted(self):
        """Return whether the request may be sent to a target now."""
        if self._quarantine.empty:
            return True
        content = self._binding_id
        if not self._quarantine.is_quarantined(content):
            return True
        if self._trial_sent or content != self._admitted_id:
            return False
        return self._quarantine.permits(content, self._admission)

    def attempt_started(self):
        """Record that the request is sent to a target; a trial is sent to one only."""
        self._trial_sent = self._admission.trial is not None

    def attempt_ended(self, entry, outcome, crashed):
        """Record whether a target crashed while it ran the request.

        The end of a target that was leaving or is not registered any more was planned.

        Args:
            entry: The TargetEntry.
            outcome: The Outcome of the whole attempt, response included.
            crashed: Whether the target's process ended meanwhile.
        """
        report = self._report
        if outcome in _SURVIVED:
            is_small = len(report.body_start) <= REMEMBERED_BODY_BYTES_MAX
            if is_small or not self._quarantine.empty:
                self._quarantine.record_completion(report.callers_content_id)
                self._quarantine.record_completion(report.content_id)
            return
        if outcome.not_run:
            self._trial_sent = False
        elif self._admission.trial is not None:
            self._quarantine.record_trial(self._admitted_id, self._admission)
        known = self._context.cluster_state.target(entry.key)
        if crashed and known is not None and not known.leaving:
            self._quarantine.record_crash(report.callers_content_id, entry.key)
            self._quarantine.record_crash(report.content_id, entry.key)

    @property
    def _binding_id(self):
        """Id of the content whose record decides: the caller's own if quarantined."""
        own = self._report.callers_content_id
        return own if self._quarantine.is_quarantined(own) else self._report.content_id
