"""Build the refusals of a scheduler, with the time until a retry makes sense."""

from sesamespring.routing.messages import Refusal, RefusalReason

__all__ = ["no_attempt_left", "no_targets", "no_untried_target", "too_late"]

RETRY_AFTER_MIN_S = 0.05
RETRY_AFTER_MAX_S = 2.0


def too_late(assignment, service_time_s, waiting, now_s):
    """Return the Refusal of a request that would end after its deadline.

    Its caller may try again once a slot is expected to be free.

    Args:
        assignment: The Assignment of the request.
        service_time_s: Expected service time of the request, in seconds.
        waiting: Number of requests that still wait.
        now_s: Current time.
    """
    needed_s = assignment.end_s - now_s
    wait_s = needed_s - service_time_s
    retry_after_s = min(RETRY_AFTER_MAX_S, max(RETRY_AFTER_MIN_S, wait_s))
    return Refusal(
        assignment.request, RefusalReason.TOO_LATE, retry_after_s, waiting, needed_s
    )


def no_targets(request):
    """Return the Refusal of a request for a service without targets in service."""
    return Refusal(request, RefusalReason.NO_TARGETS, RETRY_AFTER_MAX_S)


def no_untried_target(request):
    """Return the Refusal of a request that was sent to all targets in service."""
    return Refusal(request, RefusalReason.NO_UNTRIED_TARGET, RETRY_AFTER_MIN_S)


def no_attempt_left(request):
    """Return the Refusal of a request for which the retry budget has no room.

    The caller's own retry is a request of its own.
    """
    return Refusal(request, RefusalReason.NO_ATTEMPT_LEFT, RETRY_AFTER_MIN_S)
