"""Generate the schedule of faults from a seed."""

import random

import attrs

from soak.faults import FAULTS

__all__ = ["PlannedFault", "make_schedule"]

FIRST_FAULT_S = 1.0
INTERVAL_MEAN_S = 0.9
FAULT_DURATION_S = (0.3, 3.5)


@attrs.frozen
class PlannedFault:
    """A scheduled fault.

    Attributes:
        at_s: Time of its start, in seconds after the start of the schedule.
        name: Name of the method of Faults that injects it.
        for_s: Its length in seconds, the argument of that method.
    """

    at_s: float
    name: str
    for_s: float


def make_schedule(seed, seconds, faults=FAULTS):
    """Return the list of a seed's PlannedFaults in order of start; they may overlap.

    The times between starts are exponentially distributed.

    Args:
        seed: The seed.
        seconds: Period in which faults start, in seconds.
        faults: Names of the faults to choose from.

    >>> make_schedule(1, 20.0) == make_schedule(1, 20.0)
    True
    """
    rng = random.Random(seed)
    # With only a few kinds of fault in a run, the same ones recur and coincide.
    kinds = rng.sample(faults, min(len(faults), rng.randint(3, 7)))
    planned = []
    at_s = FIRST_FAULT_S
    while at_s < seconds:
        for_s = rng.uniform(*FAULT_DURATION_S)
        planned.append(PlannedFault(at_s, rng.choice(kinds), for_s))
        at_s += rng.expovariate(1 / INTERVAL_MEAN_S)
    return planned
