"""Test that bulk services share one limit on an entry VM."""

from sesamespring.decisions.bulk_limit import BulkLimit
from sesamespring.decisions.messages import (
    AttemptEnded,
    AttemptResult,
    HeldTarget,
    HeldTargetsChanged,
    RequestArrived,
    ServiceChanged,
    Tick,
)
from sesamespring.decisions.router import ServiceRouter


def make_router(limit, bulk):
    router = ServiceRouter(10, bulk_limit=limit)
    router.handle(ServiceChanged(10, 1.0, bulk), 0.0)
    router.handle(HeldTargetsChanged((HeldTarget("t", 4, 1, True),)), 0.0)
    return router


def arrive(router, request_id):
    return router.handle(RequestArrived(request_id, 9.0, False, False), 0.0)


def test_bulk_services_share_a_limit_and_interactive_ones_go_on():
    limit = BulkLimit(streams_max=2)
    upload, browse = make_router(limit, True), make_router(limit, True)
    lookup = make_router(limit, False)
    (first,) = arrive(upload, 1)
    arrive(upload, 2)
    assert arrive(browse, 1) == []
    assert len([arrive(lookup, number)[0] for number in range(3)]) == 3
    upload.handle(AttemptEnded(first.attempt_id, AttemptResult.ANSWERED), 0.1)
    assert len(browse.handle(Tick(), 0.1)) == 1
    assert limit.streams == 2
