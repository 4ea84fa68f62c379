"""What the soak reports of a broken promise, and where disturbances excuse it."""

import attrs

from soak.disturbances import STORE

__all__ = ["Breach", "store_and_vm_undisturbed"]


@attrs.frozen
class Breach:
    """A promise that was broken.

    Attributes:
        promise: Short name of the promise.
        detail: The records that show the breach.
    """

    promise: str
    detail: str


def store_and_vm_undisturbed(cluster, vm, from_s, to_s):
    """Return whether neither the store nor a VM was disturbed in a span of time."""
    disturbances = cluster.disturbances
    return all(
        disturbances.is_undisturbed(component, from_s, to_s)
        for component in (STORE, vm)
    )
