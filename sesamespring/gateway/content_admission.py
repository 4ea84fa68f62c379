"""Decide for one request whether its content may be sent to targets."""

from sesamespring.routing.messages import Outcome
from sesamespring.routing.quarantine import Admission

__all__ = ["ContentAdmission"]

_SURVIVED = frozenset({Outcome.ANSWERED, Outcome.FAILED})


class ContentAdmission:
    """Keeps to the quarantine for one request, and reports what its attempts show.

    The digest of the content is computed only if some content has crashed a target
    lately, or if this request does.

    Args:
        report: The RequestReport, which computes the id of the content.
        context: The GatewayContext.
    """

    def __init__(self, report, context):
        self._report = report
        self._context = context
        self._quarantine = context.quarantine
        self._admission = Admission(True)
        self._trial_sent = False

    @property
    def retry_after_s(self):
        """When a quarantined request may be sent again, in seconds from now."""
        return self._quarantine.retry_after_s(self._report.content_id)

    def admit(self):
        """Return whether the request, which has just arrived, may wait for a target."""
        if not self._quarantine.empty:
            self._admission = self._quarantine.admit(self._report.content_id)
        return self._admission.admitted

    def is_permitted(self):
        """Return whether the request may be sent to a target now."""
        if self._quarantine.empty:
            return True
        content = self._report.content_id
        if self._trial_sent and self._quarantine.is_quarantined(content):
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
        if outcome in _SURVIVED:
            if not self._quarantine.empty:
                self._quarantine.record_completion(self._report.content_id)
            return
        if outcome.not_run:
            self._trial_sent = False
        elif self._admission.trial is not None:
            content = self._report.content_id
            self._quarantine.record_trial(content, self._admission)
        known = self._context.cluster_state.target(entry.key)
        if crashed and known is not None and not known.leaving:
            self._quarantine.record_crash(self._report.content_id, entry.key)
