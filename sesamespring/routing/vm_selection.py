"""Choose the VMs that decide for a service, read the store and take callers' requests.

Load that it answers: VMs of unequal size, from a dozen to some hundred. What one VM
does for all others goes to the large ones; callers go to as many VMs of their data
centre as the service's slots need, the large ones first.
"""

from sesamespring.routing.rendezvous import rank

__all__ = ["decider_order", "vms_for_callers", "reader_names", "usable_cores"]

# A VM does work for all others if it has at least this part of the largest one's cores.
LARGE_PART = 0.5
NAMED_LEAST = 2
NAMED_FAR = 1
NAMED_MOST = 16
# How many slots of a service one core keeps busy with ease.
SLOTS_PER_CORE = 8.0
READERS = 2
# A core passes on about as many bytes of requests as fit through such a link.
LINK_MBPS_PER_CORE = 40.0


def usable_cores(cores, link_mbps):
    """Return how many cores' worth of requests a VM can serve over its link.

    Args:
        cores: Its cores.
        link_mbps: Bandwidth of its link, in megabits a second.

    >>> usable_cores(0.8, 1000.0), usable_cores(2.0, 5.0)
    (0.8, 0.125)
    """
    return min(cores, link_mbps / LINK_MBPS_PER_CORE)


def decider_order(subject, members):
    """Return names in the order in which VMs decide for a subject, large ones first.

    Args:
        subject: What they decide, such as a service's name.
        members: The Members that serve.
    """
    largest = max((member.cores for member in members), default=0.0)
    large = {m.name: m.cores for m in members if m.cores >= LARGE_PART * largest}
    small = {m.name: m.cores for m in members if m.name not in large}
    return rank(subject, large) + rank(subject, small)


def vms_for_callers(service, members, data_centre, slots):
    """Return the Members that callers of a service are sent to.

    Those in the callers' data centre are enough for the load, as they get their slots
    from the VM that decides. One of another data centre is named besides: should their
    own lose power, callers who ask the nearest VMs first get no new answer for long.

    Args:
        service: Name of the service.
        members: The Members that serve.
        data_centre: Data centre of the callers.
        slots: How many slots the service's targets have.
    """
    by_name = {member.name: member for member in members}
    order = [by_name[name] for name in decider_order(service, members)]
    near = [member for member in order if member.data_centre == data_centre]
    far = [member for member in order if member.data_centre != data_centre]
    data_centres = len({member.data_centre for member in members}) or 1
    needed_cores = slots / data_centres / SLOTS_PER_CORE
    named = near[: _enough([member.cores for member in near], needed_cores)]
    return named + far[: max(NAMED_FAR, NAMED_LEAST - len(named))]


def _enough(cores, needed_cores):
    """Return how many of the first VMs carry a load that callers share out evenly.

    Callers choose among all that they are told with equal chance, so the smallest one
    binds: a small VM beside large ones makes them carry less, not more.

    Args:
        cores: Cores of the VMs in the order of preference.
        needed_cores: Cores that the load needs.

    >>> _enough([2.0, 2.0, 0.2, 0.2], 3.0), _enough([0.5] * 9, 3.0)
    (2, 6)
    """
    best, best_cores = 0, 0.0
    for count in range(NAMED_LEAST, min(NAMED_MOST, len(cores)) + 1):
        carried = count * min(cores[:count])
        if carried > best_cores:
            best, best_cores = count, carried
        if carried >= needed_cores:
            break
    return best or NAMED_LEAST


def reader_names(members):
    """Return the names of the VMs that read the store, in different data centres.

    Args:
        members: The Members that are alive.
    """
    staying = [m for m in members if not m.leaving]
    fit = [m for m in staying if m.store_reached] or staying or list(members)
    data_centres = {member.name: member.data_centre for member in fit}
    order = decider_order("readers", fit)
    first = order[:1]
    elsewhere = [n for n in order[1:] if data_centres[n] != data_centres[first[0]]]
    return first + (elsewhere or order[1:])[: READERS - 1]
