"""Define the outcomes that each kind of trace requires, from the project's goals."""

from sesamespring.replay.records import ComparisonRecord, OutcomeRecord

__all__ = [
    "COMMON_OUTCOMES",
    "ANSWERED",
    "NEAR_ONE_QUEUE",
    "NO_OVERRUN",
    "at_most",
    "goodput_at_double_load",
    "outcomes_of_fault",
]


def at_most(figure, bound, policy=None, **window):
    """Return an OutcomeRecord with an upper bound on a figure.

    Args:
        figure: Name of the figure.
        bound: The bound, or a factor on the figure of ``policy`` if that is given.
        policy: Name of the policy to compare with, or None.
        window: ``from_ms`` and ``to_ms`` of the record.
    """
    times = ComparisonRecord(policy=policy) if policy else None
    return OutcomeRecord(figure, at_most=bound, times=times, **window)


def at_least(figure, bound, policy=None):
    """Return an OutcomeRecord with a lower bound on a figure.

    Args:
        figure: Name of the figure.
        bound: The bound, or a factor on the figure of ``policy`` if that is given.
        policy: Name of the policy to compare with, or None.
    """
    times = ComparisonRecord(policy=policy) if policy else None
    return OutcomeRecord(figure, at_least=bound, times=times)


COMMON_OUTCOMES = (
    at_most("run_twice", 0),
    at_most("ran_despite_not_run", 0),
    at_most("cold_overruns", 0),
    at_most("cold_overruns_after_sign", 0),
    at_most("work_after_leaving", 0),
    at_most("extra_share", 0.05),
)
NO_OVERRUN = at_most("overruns", 0)
ANSWERED = at_least("answered_share", 0.99)
NEAR_ONE_QUEUE = at_most("read_p99_ms", 1.1, "one-queue")
NEAR_ONE_QUEUE_GOODPUT = at_least("goodput_per_s", 0.95, "one-queue")
# A target that fails fast must not attract more requests than under random choice.
FAILURES_AT_MOST_RANDOM = at_most("failed", 1.0, "random")

_COMMON_AND_NO_OVERRUN = (*COMMON_OUTCOMES, NO_OVERRUN)


def goodput_at_double_load(full_load_ms, double_load_ms):
    """Return the lower bound on goodput at double load, relative to full load.

    Args:
        full_load_ms: Start and end of the window at full load.
        double_load_ms: Start and end of the window at twice that load.
    """
    return OutcomeRecord(
        "goodput_per_s",
        at_least=0.95,
        from_ms=double_load_ms[0],
        to_ms=double_load_ms[1],
        times=ComparisonRecord(from_ms=full_load_ms[0], to_ms=full_load_ms[1]),
    )


_BY_FAULT = {
    "third-slows": (*_COMMON_AND_NO_OVERRUN, ANSWERED),
    "some-turn-cold": (*_COMMON_AND_NO_OVERRUN, ANSWERED),
    "all-turn-cold": (*_COMMON_AND_NO_OVERRUN, NEAR_ONE_QUEUE_GOODPUT),
    "one-fails-fast": (*_COMMON_AND_NO_OVERRUN, FAILURES_AT_MOST_RANDOM),
    "half-shed": (*_COMMON_AND_NO_OVERRUN, ANSWERED),
    "reports-lie": (*_COMMON_AND_NO_OVERRUN, ANSWERED, NEAR_ONE_QUEUE),
    "target-leaves": (*_COMMON_AND_NO_OVERRUN, ANSWERED),
    "data-centre-out": (*_COMMON_AND_NO_OVERRUN, ANSWERED),
}


def outcomes_of_fault(name, at_ms):
    """Return the outcomes that a trace with one fault requires.

    Args:
        name: Name of the fault.
        at_ms: When the fault happens. If it affects the entry VMs or the platform,
            overruns are ruled out only up to then.
    """
    if name == "vm-pauses":
        # Callers of the paused VM time out under any policy, so the bound is relative
        # to the ideal one.
        answered = at_least("answered_share", 0.99, "one-queue")
        return (*COMMON_OUTCOMES, at_most("overruns", 0, to_ms=at_ms), answered)
    if name in _BY_FAULT:
        return _BY_FAULT[name]
    return (*COMMON_OUTCOMES, at_most("overruns", 0, to_ms=at_ms), ANSWERED)
