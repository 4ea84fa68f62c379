"""Record a trace from the latest requests that entry VMs keep in memory."""

import sys

from sesamespring.cli.calls import query_entry
from sesamespring.errors import UserError
from sesamespring.replay import dump_trace
from sesamespring.replay.records import (
    FORMAT,
    CallRecord,
    HeaderRecord,
    ServiceRecord,
    TargetRecord,
    Trace,
    VmRecord,
)
from sesamespring.resources.kinds import Resources, resource_from_json

__all__ = ["record", "trace_of"]

SEED = 1


def record(
    *,
    entry: list[str],
    name: str = "recorded",
    between_ms: float = 1.5,
    within_ms: float = 0.2,
    callers_ms: float = 1.0,
):
    """Print a trace of the latest answered requests, for ``sesamespring replay``.

    The trace has no events and no expected outcomes; docs/TRACES.md describes those
    that the operator can add.

    Args:
        entry: IP:PORT of each entry VM whose requests the trace holds.
        name: Name of the trace.
        between_ms: One-way delay between data centres.
        within_ms: One-way delay inside a data centre.
        callers_ms: One-way delay between callers and entry VMs.
    """
    recordings = [query_entry(address, "recording") for address in entry]
    declared = query_entry(entry[0], "resources")["resources"]
    resources = Resources(
        by_key={key: resource_from_json(key, value) for key, value in declared.items()}
    )
    in_force = query_entry(entry[0], "in-force")["in_force"]
    trace = trace_of(
        name,
        resources,
        in_force,
        recordings,
        (between_ms, within_ms, callers_ms),
    )
    sys.stdout.writelines(line + "\n" for line in dump_trace(trace))


def trace_of(name, resources, in_force, recordings, delays_ms):
    """Return a Trace of the requests in some recordings.

    Args:
        name: Name of the trace.
        resources: The declared Resources.
        in_force: JSON values of the entry VMs, as the call ``in-force`` returns them.
        recordings: For each entry VM, the JSON value of CallRecorder.as_json.
        delays_ms: One-way delays between data centres, inside a data centre, and
            between callers and entry VMs.

    Raises:
        UserError: The recordings contain no request to a declared service.
    """
    services = resources.of_kind("service")
    calls = [
        (call, recording["data_centre"])
        for recording in recordings
        for call in recording["calls"]
        if call["service"] in services
    ]
    if not calls:
        raise UserError("no answered request is kept at these entry VMs")
    between_ms, within_ms, callers_ms = delays_ms
    header = HeaderRecord(
        format=FORMAT,
        name=name,
        seed=SEED,
        data_centres=resources.of_kind("data-centre"),
        services=map(_service, services.values()),
        targets=map(_target, resources.of_kind("target").values()),
        vms=[VmRecord(vm["vm"], vm["data_centre"]) for vm in in_force if vm["live"]],
        between_data_centres_ms=between_ms,
        within_data_centre_ms=within_ms,
        callers_ms=callers_ms,
    )
    return Trace(header, _calls(calls), (), ())


def _service(service):
    return ServiceRecord(service.name, service.group_size, service.queue_length)


def _target(target):
    return TargetRecord(
        target.name,
        target.service,
        target.data_centre,
        target.slots,
        target.cold_slots,
    )


def _calls(calls):
    first_ms = max(call["ago_ms"] for call, _ in calls)
    records = [
        CallRecord(
            at_ms=round(first_ms - call["ago_ms"], 2),
            service=call["service"],
            data_centre=data_centre,
            idempotent=call["idempotent"],
            deadline_ms=call["deadline_ms"],
            bytes=call["bytes"],
            service_ms=call["service_ms"],
        )
        for call, data_centre in calls
    ]
    return tuple(sorted(records, key=lambda record: record.at_ms))
