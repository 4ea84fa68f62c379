"""Define the typed records of a trace.

Times are milliseconds from the start of the trace.
"""

import attrs

from sesamespring.replay import fields

__all__ = [
    "FORMAT",
    "CallRecord",
    "ComparisonRecord",
    "HeaderRecord",
    "OutcomeRecord",
    "ServiceRecord",
    "TargetRecord",
    "Trace",
    "VmRecord",
]

FORMAT = 1


@attrs.frozen
class ServiceRecord:
    """A service.

    Attributes:
        name: Name of the service.
        group_size: How many entry VMs hold its targets.
        queue_length: How many requests may wait at an entry VM.
    """

    name: str = fields.field(fields.text)
    group_size: int = fields.field(fields.integer(1))
    queue_length: int = fields.field(fields.integer(1))


@attrs.frozen
class TargetRecord:
    """A target.

    Attributes:
        name: Name of the target.
        service: Name of its service.
        data_centre: Name of its data centre.
        slots: How many requests it runs at once when it is warm.
        cold_slots: How many requests it runs at once in cold start.
    """

    name: str = fields.field(fields.text)
    service: str = fields.reference("service")
    data_centre: str = fields.reference("data_centre")
    slots: int = fields.field(fields.integer(1))
    cold_slots: int = fields.field(fields.integer(1))


@attrs.frozen
class VmRecord:
    """An entry VM.

    Attributes:
        name: Name of the VM.
        data_centre: Name of its data centre.
        running: Whether it runs from the start; otherwise a vm-starts event starts it.
    """

    name: str = fields.field(fields.text)
    data_centre: str = fields.reference("data_centre")
    running: bool = fields.field(fields.flag, True)


@attrs.frozen
class HeaderRecord:
    """The first line of the file: the simulated system and the replay's seed.

    Attributes:
        format: Version of the format; 1.
        name: Name of the trace.
        seed: Seed of the random choices of the replay.
        data_centres: Names of the data centres.
        services: Tuple of ServiceRecord.
        targets: Tuple of TargetRecord.
        vms: Tuple of VmRecord.
        between_data_centres_ms: One-way delay between data centres.
        within_data_centre_ms: One-way delay inside a data centre.
        callers_ms: One-way delay between callers and entry VMs.
    """

    format: int = fields.field(fields.integer(1))
    name: str = fields.field(fields.text)
    seed: int = fields.field(fields.integer(0))
    data_centres: tuple = attrs.field(metadata={"texts": True}, converter=tuple)
    services: tuple = fields.record_list(ServiceRecord)
    targets: tuple = fields.record_list(TargetRecord)
    vms: tuple = fields.record_list(VmRecord)
    between_data_centres_ms: float = fields.field(fields.number(0))
    within_data_centre_ms: float = fields.field(fields.number(0))
    callers_ms: float = fields.field(fields.number(0))


@attrs.frozen
class CallRecord:
    """A caller's request.

    Attributes:
        at_ms: When the caller sends it.
        service: Name of its service.
        data_centre: Name of the data centre of the caller.
        idempotent: Whether it may run more than once.
        deadline_ms: How long the caller waits, retries included.
        bytes: Size of its body in bytes.
        service_ms: Its service time on an unloaded warm target.
    """

    at_ms: float = fields.at_ms()
    service: str = fields.reference("service")
    data_centre: str = fields.reference("data_centre")
    idempotent: bool = fields.field(fields.flag)
    deadline_ms: float = fields.field(fields.number(1))
    bytes: int = fields.field(fields.integer(0))
    service_ms: float = fields.field(fields.number(0))


@attrs.frozen
class ComparisonRecord:
    """What a figure is compared with: another policy, another window, or both.

    Attributes:
        policy: Name of the policy; None for the one that is replayed.
        from_ms: Start of the window; None for the start of the trace.
        to_ms: End of the window; None for its end.
    """

    policy: str | None = fields.field(fields.text, None)
    from_ms: float | None = fields.field(fields.number(0), None)
    to_ms: float | None = fields.field(fields.number(0), None)


@attrs.frozen
class OutcomeRecord:
    """A bound on a figure of the replay, which the replay must keep.

    Attributes:
        figure: Name of the figure.
        at_most: Upper bound, or None.
        at_least: Lower bound, or None; one of the two is given.
        from_ms: Start of the figure's window of time; None for the start of the trace.
        to_ms: End of that window; None for the end of the trace.
        times: ComparisonRecord whose figure the bound is multiplied by, or None.
    """

    figure: str = fields.field(fields.text)
    at_most: float | None = fields.field(fields.number(0), None)
    at_least: float | None = fields.field(fields.number(0), None)
    from_ms: float | None = fields.field(fields.number(0), None)
    to_ms: float | None = fields.field(fields.number(0), None)
    times: ComparisonRecord | None = attrs.field(
        default=None, metadata={"record": ComparisonRecord}
    )


@attrs.frozen
class Trace:
    """A whole trace: header, calls, events and outcomes, each in file order."""

    header: HeaderRecord
    calls: tuple
    events: tuple
    outcomes: tuple
