"""What the failed attempts of a request mean for its final response."""

import attrs

from sesamespring.routing.messages import Outcome

__all__ = ["AttemptHistory", "LocalResponse"]

# Statuses from which a caller concludes that its request has not run. A target's own
# failure with one of them is not passed on, as the target may have run the request.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


@attrs.frozen
class LocalResponse:
    """A response without body that this VM generates itself.

    Attributes:
        status: HTTP status.
        reason: Why, for the log.
        retry_after_s: Seconds after which the caller may try again, or None.
    """

    status: int
    reason: str
    retry_after_s: float | None = None


class AttemptHistory:
    """The failed attempts of one request."""

    def __init__(self):
        self._failed_response = None
        self._may_have_run = False
        self._last_reason = ""

    @property
    def may_have_run(self):
        """Whether the request may have run in one of the attempts."""
        return self._may_have_run

    @property
    def last_reason(self):
        """Why the latest attempt failed."""
        return self._last_reason

    def record(self, result):
        """Add the AttemptResult of an attempt that failed."""
        outcome = result.end.outcome
        self._last_reason = result.reason or outcome.value
        if not outcome.not_run:
            self._may_have_run = True
        if outcome is Outcome.FAILED:
            self._failed_response = result.response

    def final_response(self, reason, retry_after_s, status=503):
        """Return the response to a request that is not sent to a target again.

        Args:
            reason: Why not, for the log.
            retry_after_s: Seconds after which the caller may try again, told only if
                the request has not run.
            status: Status that says so, if it has not run.

        Returns:
            A target's TargetResponse, or a LocalResponse.
        """
        failed = self._failed_response
        if failed is not None and failed.status in NOT_RUN_STATUSES:
            return LocalResponse(502, f"target answered {failed.status}")
        if failed is not None:
            return failed
        if self._may_have_run:
            return LocalResponse(502, self._last_reason)
        return LocalResponse(status, reason, retry_after_s)
