"""Factories of schedulers, requests and targets for the routing tests."""

import itertools

import attrs

from sesamespring.routing.messages import AttemptEnded, Outcome, ScheduledRequest
from sesamespring.routing.records import LoadReport, ServiceDeclaration, TargetEntry
from sesamespring.routing.retry_budget import RetryBudget
from sesamespring.routing.scheduler import ServiceScheduler

_numbers = itertools.count(1)


@attrs.frozen
class ColdBounds:
    """The part of platform.settings.Bounds that the scheduler reads."""

    cold_ratio: float = 1.5
    cold_slack: float = 5.0


def make_target(
    name, data_centre="dc-a", slots=2, cold_left_s=0.0, born_ms=1, **changes
):
    return TargetEntry(
        id=name,
        born_ms=born_ms,
        service="s",
        address=("127.0.0.1", 1),
        data_centre=data_centre,
        slots=slots,
        leaving=changes.pop("leaving", False),
        cold_left_s=cold_left_s,
        version=changes.pop("version", ""),
    )


def make_scheduler(*targets, retry_slack=20.0, cold_per_s=6.7, now_s=0.0, limits=None):
    declaration = ServiceDeclaration("s", "/health", 100, cold_per_s)
    budget = RetryBudget(0.2, retry_slack, 10.0)
    scheduler = ServiceScheduler(declaration, ColdBounds(), budget, limits)
    scheduler.targets.set_targets(targets, frozenset(), now_s)
    return scheduler


def make_request(now_s=0.0, goal_s=0.2, timeout_s=1.0, **changes):
    fields = {
        "number": next(_numbers),
        "route": "r",
        "goal_s": goal_s,
        "priority": 1,
        "due_s": now_s + goal_s,
        "deadline_s": now_s + timeout_s,
        "idempotent": True,
        "attempts_left": 2,
        **changes,
    }
    return ScheduledRequest(**fields)


def attempt_ended(command, outcome=Outcome.ANSWERED, taken_s=0.05, slowdown=None):
    """Return the AttemptEnded event for a Dispatch."""
    load = None if slowdown is None else LoadReport(0, 0, 2, slowdown)
    return AttemptEnded(command.attempt, outcome, taken_s, load)


def learn_service_time(scheduler, answers=30, taken_s=0.05, now_s=0.0):
    """Run requests one after the other until the service time of route "r" is known.

    Returns:
        The time after the last request.
    """
    for number in range(answers):
        at_s = now_s + number * 0.1
        (command,) = scheduler.submit(make_request(at_s, goal_s=1.0), at_s)
        scheduler.finish_attempt(
            attempt_ended(command, taken_s=taken_s), at_s + taken_s
        )
    return now_s + answers * 0.1
