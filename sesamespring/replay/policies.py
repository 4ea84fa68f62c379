"""List the policies that a trace can be replayed with."""

import itertools
import random

import attrs

from sesamespring.decisions.router import ServiceRouter
from sesamespring.replay.baselines import (
    OwnViewRouter,
    choose_least,
    choose_random,
    choose_two,
)
from sesamespring.replay.exclusive import ExclusiveHolding
from sesamespring.replay.holding import SharedHolding
from sesamespring.replay.one_queue import (
    OneQueue,
    OneQueueMember,
    prefer_fast,
    prefer_idle,
)

__all__ = ["PRODUCT_POLICY", "POLICIES", "Policy"]

PRODUCT_POLICY = "sesamespring"
LOAN_IDS_PER_RUN = 1_000_000


@attrs.frozen
class Policy:
    """A way to route.

    Attributes:
        make_holding: Class of the rule that says which VM may send where.
        bind: Function from an Estate to a function that makes the router of a VM
            (its VmRecord) and a service (its name).
    """

    make_holding: object
    bind: object


def _product(estate):
    runs = itertools.count()

    def make_router(vm, service):
        return ServiceRouter(
            estate.services[service].queue_length,
            longest_work_s=estate.longest_deadline_s[service],
            first_loan_id=next(runs) * LOAN_IDS_PER_RUN,
        )

    return make_router


def _own_view(choose):
    def bind(estate):
        def make_router(vm, service):
            source = random.Random(f"{estate.seed} {vm.name} {service}")
            return OwnViewRouter(choose, source)

        return make_router

    return bind


def _one_queue(preference):
    def bind(estate):
        queues = {
            service: OneQueue(targets, preference, lambda: estate.schedule.now_s)
            for service, targets in estate.service_targets.items()
        }

        def make_router(vm, service):
            return OneQueueMember(queues[service], estate.vms[vm.name], service)

        return make_router

    return bind


POLICIES = {
    PRODUCT_POLICY: Policy(ExclusiveHolding, _product),
    "random": Policy(SharedHolding, _own_view(choose_random)),
    "power-of-two": Policy(SharedHolding, _own_view(choose_two)),
    "least-in-progress": Policy(SharedHolding, _own_view(choose_least)),
    "one-queue": Policy(SharedHolding, _one_queue(prefer_idle)),
    "one-queue-speeds": Policy(SharedHolding, _one_queue(prefer_fast)),
}
