"""Define the events of a trace: one class for each kind.

Each event has its time, ``at_ms``, in milliseconds from the start of the trace.
"""

import attrs

from sesamespring.replay import fields

__all__ = [
    "EVENTS",
    "DataCentreIn",
    "DataCentreOut",
    "LinksCut",
    "LinksRestored",
    "PlatformDown",
    "PlatformSlow",
    "PlatformUp",
    "TargetCold",
    "TargetDrains",
    "TargetFailsFast",
    "TargetReports",
    "TargetReturns",
    "TargetSheds",
    "TargetSlows",
    "VmDies",
    "VmPauses",
    "VmResumes",
    "VmStarts",
    "VmStops",
]


@attrs.frozen
class TargetSlows:
    """The service times of a target are multiplied by a factor.

    The factor applies until another event of this kind or ``target-returns``.
    """

    at_ms: float = fields.at_ms()
    target: str = fields.reference("target")
    factor: float = fields.field(fields.number(0.01, 1000))


@attrs.frozen
class TargetCold:
    """A target goes into cold start, which ends after ``warm_after`` responses."""

    at_ms: float = fields.at_ms()
    target: str = fields.reference("target")
    warm_after: int = fields.field(fields.integer(1))


@attrs.frozen
class TargetSheds:
    """A target refuses a share of its requests without running them."""

    at_ms: float = fields.at_ms()
    target: str = fields.reference("target")
    share: float = fields.field(fields.number(0, 1))


@attrs.frozen
class TargetFailsFast:
    """A target responds to a share of its requests with an error at once."""

    at_ms: float = fields.at_ms()
    target: str = fields.reference("target")
    share: float = fields.field(fields.number(0, 1))


@attrs.frozen
class TargetReports:
    """A target reports a number of requests in progress, which may be false."""

    at_ms: float = fields.at_ms()
    target: str = fields.reference("target")
    in_progress: int = fields.field(fields.integer(0))


@attrs.frozen
class TargetDrains:
    """Operators declare that a target is leaving."""

    at_ms: float = fields.at_ms()
    target: str = fields.reference("target")


@attrs.frozen
class TargetReturns:
    """A target stops being slow, shedding and failing, and is declared as joining."""

    at_ms: float = fields.at_ms()
    target: str = fields.reference("target")


@attrs.frozen
class VmStops:
    """An entry VM begins a planned stop."""

    at_ms: float = fields.at_ms()
    vm: str = fields.reference("vm")


@attrs.frozen
class VmDies:
    """An entry VM crashes; its connections are reset."""

    at_ms: float = fields.at_ms()
    vm: str = fields.reference("vm")


@attrs.frozen
class VmPauses:
    """An entry VM is suspended; its messages wait until it resumes."""

    at_ms: float = fields.at_ms()
    vm: str = fields.reference("vm")


@attrs.frozen
class VmResumes:
    """A suspended entry VM resumes with the state that it had."""

    at_ms: float = fields.at_ms()
    vm: str = fields.reference("vm")


@attrs.frozen
class VmStarts:
    """An entry VM starts without any state."""

    at_ms: float = fields.at_ms()
    vm: str = fields.reference("vm")


@attrs.frozen
class LinksCut:
    """All messages between two data centres are lost from here on."""

    at_ms: float = fields.at_ms()
    data_centre: str = fields.reference("data_centre")
    other: str = fields.reference("data_centre")


@attrs.frozen
class LinksRestored:
    """The links between two data centres work again."""

    at_ms: float = fields.at_ms()
    data_centre: str = fields.reference("data_centre")
    other: str = fields.reference("data_centre")


@attrs.frozen
class DataCentreOut:
    """Operators take a data centre out of service."""

    at_ms: float = fields.at_ms()
    data_centre: str = fields.reference("data_centre")


@attrs.frozen
class DataCentreIn:
    """Operators bring a data centre back into service."""

    at_ms: float = fields.at_ms()
    data_centre: str = fields.reference("data_centre")


@attrs.frozen
class PlatformDown:
    """The table service of the platform stops responding."""

    at_ms: float = fields.at_ms()


@attrs.frozen
class PlatformSlow:
    """The table service of the platform responds slowly."""

    at_ms: float = fields.at_ms()


@attrs.frozen
class PlatformUp:
    """The table service of the platform responds normally again."""

    at_ms: float = fields.at_ms()


EVENTS = {
    "target-slows": TargetSlows,
    "target-cold": TargetCold,
    "target-sheds": TargetSheds,
    "target-fails-fast": TargetFailsFast,
    "target-reports": TargetReports,
    "target-drains": TargetDrains,
    "target-returns": TargetReturns,
    "vm-stops": VmStops,
    "vm-dies": VmDies,
    "vm-pauses": VmPauses,
    "vm-resumes": VmResumes,
    "vm-starts": VmStarts,
    "links-cut": LinksCut,
    "links-restored": LinksRestored,
    "data-centre-out": DataCentreOut,
    "data-centre-in": DataCentreIn,
    "platform-down": PlatformDown,
    "platform-slow": PlatformSlow,
    "platform-up": PlatformUp,
}
