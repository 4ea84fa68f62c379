"""Test the routing decisions of one service."""

from sesamespring.decisions.messages import (
    AttemptEnded,
    AttemptResult,
    FailRequest,
    HeldTarget,
    HeldTargetsChanged,
    RequestArrived,
    SendAttempt,
)
from sesamespring.decisions.router import ServiceRouter
from sesamespring.errors import ErrorKind


def make_router(slots=2):
    router = ServiceRouter(queue_length=10)
    router.handle(HeldTargetsChanged((HeldTarget("t", slots, 1, True),)), 0.0)
    return router


def arrive(router, request_id, now_s=0.0, idempotent=True):
    message = RequestArrived(request_id, now_s + 1.0, idempotent, True)
    return router.handle(message, now_s)


def test_sends_no_more_than_the_slots():
    router = make_router(slots=2)
    commands = [command for n in range(5) for command in arrive(router, n)]
    assert len(commands) == 2
    assert all(isinstance(command, SendAttempt) for command in commands)


def test_fails_a_request_immediately_without_targets():
    router = ServiceRouter(queue_length=10)
    assert arrive(router, 1) == [FailRequest(1, ErrorKind.NO_CAPACITY)]


def test_never_repeats_a_non_idempotent_request_that_was_cut_off():
    router = make_router()
    (sent,) = arrive(router, 1, idempotent=False)
    commands = router.handle(AttemptEnded(sent.attempt_id, AttemptResult.CUT_OFF), 0.1)
    assert commands == [FailRequest(1, ErrorKind.CUT_OFF)]


def test_next_wake_time_is_never_in_the_past():
    """A wake-up time that has passed would stop virtual time."""
    router = make_router(slots=1)
    arrive(router, 1)
    message = RequestArrived(2, 0.001, True, True)
    assert router.handle(message, 0.0) == [
        FailRequest(2, ErrorKind.DEADLINE_UNREACHABLE, 1),
    ]
    assert router.next_wake_s > 0.0
