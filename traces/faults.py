"""Draw the events of each kind of fault in a deployment."""

from sesamespring.replay.event_records import (
    DataCentreIn,
    DataCentreOut,
    PlatformDown,
    PlatformUp,
    TargetCold,
    TargetDrains,
    TargetFailsFast,
    TargetReports,
    TargetReturns,
    TargetSheds,
    TargetSlows,
    VmDies,
    VmPauses,
    VmResumes,
    VmStarts,
)

__all__ = ["FAULTS", "draw_speed_noise"]

NOISE_INTERVAL_MS = 10.0
NOISE_FACTOR_MAX = 4.0
SLOW_FACTOR = 4.0
WARM_AFTER = 20
FAULT_LENGTH_MS = 5000.0
PAUSE_MS = 8000.0
REPORT_INTERVAL_MS = 250.0


def draw_speed_noise(deployment, random, duration_ms):
    """Return events that change the speed of each target about every 10 ms.

    The factors on service times are drawn log-uniformly from 1 to 4.
    """
    events = []
    for target in deployment.read_target_names:
        at_ms = 0.0
        while at_ms < duration_ms:
            factor = round(NOISE_FACTOR_MAX ** random.random(), 2)
            events.append(TargetSlows(round(at_ms, 1), target, factor))
            at_ms += random.expovariate(1 / NOISE_INTERVAL_MS)
    return sorted(events, key=lambda event: event.at_ms)


def _sample_targets(deployment, random, share):
    names = deployment.read_target_names
    return random.sample(names, max(1, round(len(names) * share)))


def third_slows(deployment, random, at_ms):
    """Slow a third of the targets down for a while."""
    slow = _sample_targets(deployment, random, 1 / 3)
    for target in slow:
        yield TargetSlows(at_ms, target, SLOW_FACTOR)
        yield TargetSlows(at_ms + FAULT_LENGTH_MS, target, 1.0)


def some_turn_cold(deployment, random, at_ms):
    """Put a fifth of the targets into cold start without notice."""
    for target in _sample_targets(deployment, random, 0.2):
        yield TargetCold(at_ms, target, WARM_AFTER)


def all_turn_cold(deployment, random, at_ms):
    """Put all targets into cold start at once without notice."""
    for target in deployment.read_target_names:
        yield TargetCold(at_ms, target, WARM_AFTER)


def one_fails_fast(deployment, random, at_ms):
    """Make one target respond to every request with an error at once."""
    target = random.choice(deployment.read_target_names)
    yield TargetFailsFast(at_ms, target, 1.0)
    yield TargetReturns(at_ms + FAULT_LENGTH_MS, target)


def half_shed(deployment, random, at_ms):
    """Make half of the targets refuse every request."""
    for target in _sample_targets(deployment, random, 0.5):
        yield TargetSheds(at_ms, target, 1.0)
        yield TargetReturns(at_ms + FAULT_LENGTH_MS, target)


def reports_lie(deployment, random, at_ms):
    """Make half of the targets report no requests in progress, and the others 50."""
    names = deployment.read_target_names
    idle = set(_sample_targets(deployment, random, 0.5))
    for step in range(round(FAULT_LENGTH_MS / REPORT_INTERVAL_MS)):
        for target in names:
            in_progress = 0 if target in idle else 50
            time_ms = at_ms + step * REPORT_INTERVAL_MS
            yield TargetReports(time_ms, target, in_progress)


def target_leaves(deployment, random, at_ms):
    """Let the operators declare that a target is leaving."""
    yield TargetDrains(at_ms, random.choice(deployment.read_target_names))


def data_centre_out(deployment, random, at_ms):
    """Take a data centre out of service, and back with its targets in cold start."""
    centre = random.choice(deployment.data_centres)
    back_ms = at_ms + FAULT_LENGTH_MS
    yield DataCentreOut(at_ms, centre)
    number = deployment.data_centres.index(centre)
    count = len(deployment.data_centres)
    affected = deployment.read_target_names[number::count]
    affected += deployment.confirm_target_names[number::count]
    for target in affected:
        yield TargetCold(back_ms - 100.0, target, WARM_AFTER)
    yield DataCentreIn(back_ms, centre)


def vm_dies(deployment, random, at_ms):
    """Crash an entry VM that holds targets."""
    yield VmDies(at_ms, random.choice(deployment.group))


def vm_pauses(deployment, random, at_ms):
    """Suspend an entry VM that holds targets until after its lease has lapsed."""
    vm = random.choice(deployment.group)
    yield VmPauses(at_ms, vm)
    yield VmResumes(at_ms + PAUSE_MS, vm)


def platform_down(deployment, random, at_ms):
    """Make the platform unreachable while one entry VM replaces another."""
    yield PlatformDown(at_ms)
    yield VmDies(at_ms + 1000.0, random.choice(deployment.group))
    yield VmStarts(at_ms + 2000.0, f"vm-{deployment.vms + 1}")
    yield PlatformUp(at_ms + FAULT_LENGTH_MS)


FAULTS = {
    "third-slows": third_slows,
    "some-turn-cold": some_turn_cold,
    "all-turn-cold": all_turn_cold,
    "one-fails-fast": one_fails_fast,
    "half-shed": half_shed,
    "reports-lie": reports_lie,
    "target-leaves": target_leaves,
    "data-centre-out": data_centre_out,
    "vm-dies": vm_dies,
    "vm-pauses": vm_pauses,
    "platform-down": platform_down,
}
