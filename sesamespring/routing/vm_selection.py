"""Select VMs for three duties: deciders, store readers and the VMs callers connect to.

The decider of a service is the VM that queues its requests and assigns them to slots.
Readers fetch tables from the store and serve them to the other VMs.

VMs differ in size, and number from a dozen to several hundred. Duties that one VM
performs for all others go to large VMs. Callers are sent to as many VMs of their own
data centre as the slots of the service require, large ones first.
"""

from sesamespring.routing.rendezvous import rank

__all__ = [
    "READERS",
    "decider_order",
    "reader_names",
    "usable_cores",
    "vms_for_callers",
]

# A VM is large if it has at least this fraction of the cores of the largest VM. Only
# large VMs work for all others.
LARGE_VM_FRACTION = 0.5
VMS_PER_CALLER_MIN = 2
REMOTE_VMS_PER_CALLER = 1
LOCAL_VMS_PER_CALLER_MAX = 16
# Slots of a service that one core can keep busy with capacity to spare.
SLOTS_PER_CORE = 8.0
# Slots for which one core decides at full load with half of its time to spare.
DECIDED_SLOTS_PER_CORE = 100.0
# VMs that read the store.
READERS = 2
# Forwarding requests saturates one core at about the byte rate of such a link.
LINK_MBPS_PER_CORE = 40.0


def usable_cores(cores, link_mbps):
    """Return the cores of a VM that its link can keep supplied with requests.

    Args:
        cores: Number of cores of the VM.
        link_mbps: Bandwidth of its link, in megabits per second.

    >>> usable_cores(0.8, 1000.0), usable_cores(2.0, 5.0)
    (0.8, 0.125)
    """
    return min(cores, link_mbps / LINK_MBPS_PER_CORE)


def decider_order(subject, members):
    """Return VM names in order of preference as decider, large VMs first.

    Args:
        subject: What is decided, such as the name of a service.
        members: The Members that serve requests.
    """
    largest = max((member.cores for member in members), default=0.0)
    large = {m.name: m.cores for m in members if m.cores >= LARGE_VM_FRACTION * largest}
    small = {m.name: m.cores for m in members if m.name not in large}
    return rank(subject, large) + rank(subject, small)


def vms_for_callers(service, members, data_centre, slots):
    """Return the Members that the directory lists to callers of a service.

    The VMs of the callers' own data centre suffice for the load, as they obtain slots
    from the decider. One VM of another data centre is listed as well, for the case that
    the callers' data centre loses power: callers query the nearest VMs first, and would
    then not get a new list for a long time.

    Args:
        service: Name of the service.
        members: The Members that serve requests.
        data_centre: Data centre of the callers.
        slots: Total number of slots of the service's targets.
    """
    by_name = {member.name: member for member in members}
    order = [by_name[name] for name in decider_order(service, members)]
    order = _without_busy_decider(order, slots)
    local = [member for member in order if member.data_centre == data_centre]
    remote = [member for member in order if member.data_centre != data_centre]
    data_centres = len({member.data_centre for member in members}) or 1
    needed_cores = slots / data_centres / SLOTS_PER_CORE
    listed = local[: _vms_needed([member.cores for member in local], needed_cores)]
    return (
        listed + remote[: max(REMOTE_VMS_PER_CALLER, VMS_PER_CALLER_MIN - len(listed))]
    )


def _without_busy_decider(order, slots):
    """Return the Members without the one that decides for too many slots to forward.

    A decider that falls behind lets other VMs decide without knowing of each other. It
    stays listed where its data centre has too few other large VMs.

    Args:
        order: The Members that serve requests, in order of preference as decider.
        slots: Total number of slots of the service's targets.
    """
    if not order or slots <= DECIDED_SLOTS_PER_CORE * order[0].cores:
        return order
    decider, others = order[0], order[1:]
    near = [m for m in others if m.data_centre == decider.data_centre]
    large = [m for m in near if m.cores >= LARGE_VM_FRACTION * decider.cores]
    return others if len(large) >= VMS_PER_CALLER_MIN else order


def _vms_needed(cores, needed_cores):
    """Return how many of the first VMs to list so that they can carry a load.

    Each caller picks one of the listed VMs at random with equal probability, so the
    smallest VM limits the total: listing a small VM next to large ones reduces the
    capacity.

    Args:
        cores: Cores of the VMs in order of preference.
        needed_cores: Cores that the load requires.

    >>> _vms_needed([2.0, 2.0, 0.2, 0.2], 3.0), _vms_needed([0.5] * 9, 3.0)
    (2, 6)
    """
    best, best_cores = 0, 0.0
    for count in range(
        VMS_PER_CALLER_MIN, min(LOCAL_VMS_PER_CALLER_MAX, len(cores)) + 1
    ):
        capacity = count * min(cores[:count])
        if capacity > best_cores:
            best, best_cores = count, capacity
        if capacity >= needed_cores:
            break
    return best or VMS_PER_CALLER_MIN


def reader_names(members):
    """Return the names of the VMs that read the store, in different data centres.

    VMs whose last call of the store succeeded are preferred.

    Args:
        members: The Members that are alive.
    """
    staying = [m for m in members if not m.leaving]
    candidates = [m for m in staying if m.store_reached] or staying or list(members)
    data_centres = {member.name: member.data_centre for member in candidates}
    order = decider_order("readers", candidates)
    first = order[:1]
    elsewhere = [n for n in order[1:] if data_centres[n] != data_centres[first[0]]]
    return first + (elsewhere or order[1:])[: READERS - 1]
