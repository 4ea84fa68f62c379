"""Choose which VMs' copies of the store's tables a VM follows.

Load it answers: each change of the configuration reaches hundreds of VMs, and bytes
between data centres are billed. Two VMs read the store. In a data centre without one of
them, a large VM follows them and all others there follow that VM, so that a change
enters the data centre once.
"""

from sesamespring.routing.rendezvous import rank
from sesamespring.routing.vm_selection import decider_order, reader_names

__all__ = ["vms_to_follow"]

# With fewer VMs in a data centre, one more step costs more time than it saves bytes.
VMS_WITH_DISTRIBUTOR_MIN = 6


def vms_to_follow(own, members):
    """Return the names of the VMs to follow, in order of preference.

    Args:
        own: This VM's Member.
        members: The other Members that are alive.

    Returns:
        List of names; it is empty if this VM reads the store itself.
    """
    everyone = [*members, own]
    readers = reader_names(everyone)
    if own.name in readers:
        return []
    local = [m for m in everyone if m.data_centre == own.data_centre]
    near = {member.name for member in local}
    near_readers = [name for name in readers if name in near]
    far_readers = [name for name in readers if name not in near]
    order = _shuffled(own, near_readers) + _shuffled(own, far_readers)
    if near_readers:
        return order
    distributor = _distributor(local)
    if distributor is None or distributor == own.name:
        return order
    return [distributor, *order]


def _distributor(local):
    """Return the name of the VM that all others of its data centre follow, or None.

    It is one that has not lost the store, as VMs leave one that has.

    Args:
        local: The Members of the data centre.
    """
    staying = [m for m in local if not m.leaving]
    if len(staying) < VMS_WITH_DISTRIBUTOR_MIN:
        return None
    candidates = [m for m in staying if m.store_reached] or staying
    return decider_order("distributor", candidates)[0]


def _shuffled(own, names):
    """Return names in an order that differs between VMs, which share the load so."""
    return rank(own.name, dict.fromkeys(names, 1.0))
