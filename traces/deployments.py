"""Describe both deployments at their current sizes, and draw their calls."""

import math

import attrs

from sesamespring.decisions.groups import Candidate, choose_group
from sesamespring.replay.records import (
    FORMAT,
    CallRecord,
    HeaderRecord,
    ServiceRecord,
    TargetRecord,
    VmRecord,
)

__all__ = [
    "COMPANEROS",
    "ROTA",
    "Deployment",
    "ServiceTimes",
    "draw_calls",
    "make_header",
]

GROUP_SIZE = 3
QUEUE_LENGTH = 200
COLD_SLOTS = 1
WITHIN_DATA_CENTRE_MS = 0.2
CALLERS_MS = 1.0
READ_DEADLINE_MS = 2000.0
CONFIRMATION_DEADLINE_MS = 4000.0
READ_BYTES = 0
CONFIRMATION_BYTES = 2_000


@attrs.frozen
class Deployment:
    """A deployment, with one service for reads and one for confirmations.

    Attributes:
        name: Its short name, which begins the names of its traces.
        data_centres: Names of its data centres.
        between_ms: One-way delay between them.
        vms: How many entry VMs run; one more per data centre can be started.
        slots: Slots of each target.
        read: Name of the service for reads.
        read_targets: How many targets it has.
        confirm: Name of the service for confirmations.
        confirm_targets: How many targets it has.
        fault_median_ms: Median service time in all but the noisy traces.
    """

    name: str
    data_centres: tuple
    between_ms: float
    vms: int
    slots: int
    read: str
    read_targets: int
    confirm: str
    confirm_targets: int
    fault_median_ms: float

    @property
    def group(self):
        """Names of the VMs in the group of the read service while all VMs run."""
        vms = [vm for vm in _vm_records(self) if vm.running]
        candidates = [Candidate(vm.name, vm.data_centre) for vm in vms]
        return choose_group(self.read, GROUP_SIZE, candidates)

    @property
    def read_target_names(self):
        """Names of the targets of the read service."""
        return [f"{self.read}-{n + 1}" for n in range(self.read_targets)]

    @property
    def confirm_target_names(self):
        """Names of the targets of the confirmation service."""
        return [f"{self.confirm}-{n + 1}" for n in range(self.confirm_targets)]


ROTA = Deployment(
    name="rota",
    data_centres=("tbilisi-a", "tbilisi-b", "tbilisi-c"),
    between_ms=1.5,
    vms=15,
    slots=2,
    read="roster",
    read_targets=10,
    confirm="swap",
    confirm_targets=6,
    fault_median_ms=24.0,
)
COMPANEROS = Deployment(
    name="companeros",
    data_centres=("santiago-a", "santiago-b", "santiago-c"),
    between_ms=1.0,
    vms=15,
    slots=3,
    read="profile",
    read_targets=15,
    confirm="pairing",
    confirm_targets=10,
    fault_median_ms=50.0,
)


@attrs.frozen
class ServiceTimes:
    """A lognormal distribution of service times.

    Attributes:
        median_ms: The median.
        sigma: Standard deviation of the logarithm.
    """

    median_ms: float
    sigma: float

    @property
    def mean_ms(self):
        """Mean of the distribution."""
        return self.median_ms * math.exp(self.sigma**2 / 2)


def make_header(deployment, name, seed):
    """Return the HeaderRecord of a trace of a deployment."""
    services = [
        ServiceRecord(service, GROUP_SIZE, QUEUE_LENGTH)
        for service in (deployment.read, deployment.confirm)
    ]
    targets = [
        *_target_records(deployment, deployment.read, deployment.read_targets),
        *_target_records(deployment, deployment.confirm, deployment.confirm_targets),
    ]
    return HeaderRecord(
        format=FORMAT,
        name=name,
        seed=seed,
        data_centres=deployment.data_centres,
        services=services,
        targets=targets,
        vms=_vm_records(deployment),
        between_data_centres_ms=deployment.between_ms,
        within_data_centre_ms=WITHIN_DATA_CENTRE_MS,
        callers_ms=CALLERS_MS,
    )


def draw_calls(deployment, random, service_times, load_at, duration_ms):
    """Draw the calls of a trace and return them in order of time.

    Confirmations come at 0.3 times the load of reads.

    Args:
        deployment: The Deployment.
        random: Random source.
        service_times: The ServiceTimes.
        load_at: Function from a time in ms to the offered load, as a share of the
            capacity of the targets when they are warm and at full speed.
        duration_ms: Duration of the trace.
    """
    reads = _draw_service_calls(
        deployment, random, service_times, load_at, duration_ms, confirmations=False
    )
    confirmation_load_at = _scaled(load_at, 0.3)
    confirmations = _draw_service_calls(
        deployment, random, service_times, confirmation_load_at, duration_ms, True
    )
    return tuple(sorted(reads + confirmations, key=lambda call: call.at_ms))


def _scaled(load_at, factor):
    return lambda at_ms: load_at(at_ms) * factor


def _draw_service_calls(
    deployment, random, service_times, load_at, duration_ms, confirmations
):
    targets = deployment.confirm_targets if confirmations else deployment.read_targets
    capacity_per_ms = targets * deployment.slots / service_times.mean_ms
    deadline_ms = CONFIRMATION_DEADLINE_MS if confirmations else READ_DEADLINE_MS
    calls = []
    at_ms = 0.0
    while True:
        at_ms += random.expovariate(load_at(at_ms) * capacity_per_ms)
        if at_ms >= duration_ms:
            return calls
        service_ms = random.lognormvariate(
            math.log(service_times.median_ms), service_times.sigma
        )
        call = CallRecord(
            at_ms=round(at_ms, 2),
            service=deployment.confirm if confirmations else deployment.read,
            data_centre=random.choice(deployment.data_centres),
            idempotent=not confirmations,
            deadline_ms=deadline_ms,
            bytes=CONFIRMATION_BYTES if confirmations else READ_BYTES,
            service_ms=round(service_ms, 2),
        )
        calls.append(call)


def _target_records(deployment, service, count):
    centres = deployment.data_centres
    return [
        TargetRecord(
            f"{service}-{n + 1}",
            service,
            centres[n % len(centres)],
            deployment.slots,
            COLD_SLOTS,
        )
        for n in range(count)
    ]


def _vm_records(deployment):
    centres = deployment.data_centres
    running = [
        VmRecord(f"vm-{n + 1}", centres[n % len(centres)])
        for n in range(deployment.vms)
    ]
    spare = [
        VmRecord(f"vm-{deployment.vms + n + 1}", centre, running=False)
        for n, centre in enumerate(centres)
    ]
    return running + spare
