"""Learn from the ends of attempts what targets can do.

Answers targets whose speed changes many times a second, that fail, reject or cannot be
reached: each end of an attempt says something of its target, and an answer also how
long its route takes.
"""

from sesamespring.routing.messages import Outcome

__all__ = ["learn"]

REJECTED_BACKOFF_S = 0.05
UNREACHABLE_BACKOFF_S = 0.5
# A target that was given at least this multiple of the expected duration has failed if
# the caller's deadline ends the attempt. Given less, the request was sent too late.
ENOUGH_TIME_FACTOR = 4.0

_FAILURES = frozenset({Outcome.FAILED, Outcome.BROKEN})


def learn(request, state, active, ended, service_times, now_s):
    """Learn from the end of an attempt that the target is answerable for.

    Args:
        request: The ScheduledRequest.
        state: The TargetState.
        active: The ActiveAttempt.
        ended: The AttemptEnded.
        service_times: The ServiceTimes.
        now_s: Current time.
    """
    outcome = ended.outcome
    if outcome is Outcome.ANSWERED:
        _learn_from_answer(request, state, active, ended, service_times, now_s)
    elif _is_failure(active, ended):
        state.record_failure(now_s)
    elif outcome is Outcome.REJECTED:
        state.back_off(now_s, REJECTED_BACKOFF_S)
        state.record_rejection(now_s)
    elif outcome is Outcome.NOT_SENT and state.heard_s <= active.sent_s:
        state.record_failure(now_s)
        state.back_off(now_s, UNREACHABLE_BACKOFF_S)
    elif outcome is Outcome.MISDIRECTED:
        state.in_service = False


def _learn_from_answer(request, state, active, ended, service_times, now_s):
    unloaded_s = service_times.service_time_s(request.route, request.goal_s)
    unloaded_s *= service_times.saturation_factor if active.saturates else 1.0
    state.record_answer(active, ended.taken_s, unloaded_s, now_s)
    service_times.observe(
        request.route,
        request.goal_s,
        ended.taken_s,
        active.slowdown_at_dispatch,
        active.saturates,
    )


def _is_failure(active, ended):
    """Return whether the end of an attempt counts against its target.

    Args:
        active: The ActiveAttempt.
        ended: The AttemptEnded.
    """
    if ended.outcome is Outcome.TIMED_OUT:
        return ended.taken_s >= ENOUGH_TIME_FACTOR * active.expected_s
    return ended.outcome in _FAILURES
