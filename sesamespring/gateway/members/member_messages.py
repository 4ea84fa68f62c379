"""Translate between Members and the messages with which VMs tell of each other."""

from sesamespring.fields import integer, number, text
from sesamespring.gateway.generated.ttypes import Heartbeat
from sesamespring.routing.membership import Member

__all__ = ["decode_member", "encode_member", "join_address"]

CORES_MAX = 10_000.0
PORT_MAX = 65_535


def encode_member(member):
    """Return the Heartbeat that states a Member."""
    return Heartbeat(
        vm=member.name,
        data_centre=member.data_centre,
        incarnation=member.incarnation,
        sequence=member.sequence,
        cores=member.cores,
        ready=member.ready,
        leaving=member.leaving,
        store_reached=member.store_reached,
        operator_version=member.operator_version,
        targets_version=member.targets_version,
        operator_era=member.operator_era,
        targets_era=member.targets_era,
        callers_port=member.callers_port,
        unreachable_services=list(member.unreachable_services),
        reaches_no_target=member.reaches_no_target,
        vms_known=0 if member.gossips else None,
        passes_on=member.passes_on or None,
    )


def decode_member(heartbeat, address):
    """Return the Member that a Heartbeat from an address states.

    Raises:
        MalformedField: A field is out of range.
    """
    return Member(
        name=text(heartbeat.vm),
        address=address,
        callers_port=integer(heartbeat.callers_port, maximum=PORT_MAX),
        data_centre=text(heartbeat.data_centre),
        incarnation=integer(heartbeat.incarnation),
        sequence=integer(heartbeat.sequence),
        cores=number(heartbeat.cores, maximum=CORES_MAX),
        ready=heartbeat.ready,
        leaving=heartbeat.leaving,
        store_reached=heartbeat.store_reached,
        operator_version=heartbeat.operator_version,
        targets_version=heartbeat.targets_version,
        operator_era=heartbeat.operator_era,
        targets_era=heartbeat.targets_era,
        unreachable_services=tuple(heartbeat.unreachable_services or ()),
        reaches_no_target=bool(heartbeat.reaches_no_target),
        # Builds without gossip do not state the field.
        gossips=heartbeat.vms_known is not None,
        passes_on=bool(heartbeat.passes_on),
    )


def join_address(address):
    """Return a pair of IP and port as ``IP:PORT``.

    >>> join_address(("10.0.0.1", 80))
    '10.0.0.1:80'
    """
    ip, port = address
    return f"{ip}:{port}"
