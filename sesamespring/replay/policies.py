"""Define the routing policies that a trace can be replayed with."""

import itertools
import random

import attrs

from sesamespring.decisions.router import ServiceRouter
from sesamespring.replay.assignment import SharedAssignment
from sesamespring.replay.baselines import (
    LocalViewRouter,
    choose_least_in_progress,
    choose_power_of_two,
    choose_random,
)
from sesamespring.replay.exclusive_assignment import ExclusiveAssignment
from sesamespring.replay.one_queue import (
    OneQueue,
    OneQueueRouter,
    prefer_fast,
    prefer_idle,
)

__all__ = ["PRODUCT_POLICY", "POLICIES", "Policy"]

PRODUCT_POLICY = "sesamespring"
# Loan ids for each router, so that those of all entry VMs and their runs differ.
LOAN_IDS_PER_RUN = 1_000_000


@attrs.frozen
class Policy:
    """A routing policy.

    Attributes:
        make_assignment: Subclass of Assignment, which decides which VM may send to
            which target.
        make_router_factory: Function from a Simulation to a function that makes a
            router from a VmRecord and the name of a service.
    """

    make_assignment: object
    make_router_factory: object


def _make_product_router_factory(simulation):
    runs = itertools.count()

    def make_router(vm, service):
        return ServiceRouter(
            simulation.services[service].queue_length,
            longest_work_s=simulation.longest_deadline_s[service],
            first_loan_id=next(runs) * LOAN_IDS_PER_RUN,
        )

    return make_router


def _local_view(choose):
    def make_router_factory(simulation):
        def make_router(vm, service):
            source = random.Random(f"{simulation.seed} {vm.name} {service}")
            return LocalViewRouter(choose, source)

        return make_router

    return make_router_factory


def _shared_queue(preference):
    def make_router_factory(simulation):
        queues = {
            service: OneQueue(targets, preference, lambda: simulation.schedule.now_s)
            for service, targets in simulation.targets_by_service.items()
        }

        def make_router(vm, service):
            return OneQueueRouter(queues[service], simulation.vms[vm.name], service)

        return make_router

    return make_router_factory


POLICIES = {
    PRODUCT_POLICY: Policy(ExclusiveAssignment, _make_product_router_factory),
    "random": Policy(SharedAssignment, _local_view(choose_random)),
    "power-of-two": Policy(SharedAssignment, _local_view(choose_power_of_two)),
    "least-in-progress": Policy(
        SharedAssignment, _local_view(choose_least_in_progress)
    ),
    "one-queue": Policy(SharedAssignment, _shared_queue(prefer_idle)),
    "one-queue-speeds": Policy(SharedAssignment, _shared_queue(prefer_fast)),
}
