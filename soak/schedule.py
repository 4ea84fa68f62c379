"""Choose from a seed which faults come when."""

import random

import attrs

from soak.faults import FAULTS

__all__ = ["PlannedFault", "make_schedule"]

FIRST_S = 1.0
GAP_MEAN_S = 0.9
LASTS_S = (0.3, 3.5)


@attrs.frozen
class PlannedFault:
    """A fault that a soak brings about.

    Attributes:
        at_s: When, in seconds from the start of load.
        name: Name of the method of Faults.
        for_s: How long it lasts, in seconds.
    """

    at_s: float
    name: str
    for_s: float


def make_schedule(seed, seconds):
    """Return the PlannedFaults of a seed in order; they overlap.

    Args:
        seed: The seed.
        seconds: Time in which they begin.

    >>> make_schedule(1, 20.0) == make_schedule(1, 20.0)
    True
    """
    chooser = random.Random(seed)
    # A few kinds a run, so that they come in series and meet.
    kinds = chooser.sample(FAULTS, chooser.randint(3, 7))
    planned = []
    at_s = FIRST_S
    while at_s < seconds:
        for_s = chooser.uniform(*LASTS_S)
        planned.append(PlannedFault(at_s, chooser.choice(kinds), for_s))
        at_s += chooser.expovariate(1 / GAP_MEAN_S)
    return planned
