"""Define the four kinds of resource and the whole of what is declared."""

import functools
import hashlib
import json

import attrs

from sesamespring.ini import Field, choice, host_port, integer, text

__all__ = [
    "KINDS",
    "DataCentre",
    "MeasuringBudget",
    "Resources",
    "Service",
    "Target",
    "resource_from_json",
    "resource_key",
    "resource_to_json",
]


@attrs.frozen
class Service:
    """A service that callers ask for by name.

    Attributes:
        name: First part of the path of its requests.
        group_size: How many entry VMs hold its targets.
        deadline_ms: Longest deadline of a request, and the default one.
        queue_length: How many requests wait at one entry VM at the most.
        priority: ``interactive`` work goes before ``bulk`` work.
    """

    name: str
    group_size: int
    deadline_ms: int
    queue_length: int
    priority: str


@attrs.frozen
class DataCentre:
    """A data centre, in or out of service."""

    name: str
    state: str

    @property
    def in_service(self):
        """Whether it receives new work."""
        return self.state == "in"


@attrs.frozen
class Target:
    """A target of one service.

    Attributes:
        name: Name of the target.
        service: Name of its service.
        data_centre: Name of its data centre.
        address: Pair of IP and port.
        slots: How many requests it runs at once.
        cold_slots: How many it bears at once in cold start.
        connections: How many connections it accepts.
        state: ``joining`` targets get work through cold start, ``leaving`` ones none.
    """

    name: str
    service: str
    data_centre: str
    address: tuple = attrs.field(converter=tuple)
    slots: int
    cold_slots: int
    connections: int
    state: str


@attrs.frozen
class MeasuringBudget:
    """What measuring may cost over the whole system, a second.

    Attributes:
        name: Name of the budget; ``default`` is the one in force.
        target_probes_per_s: Probes of targets.
        platform_calls_per_s: Calls to the platform.
    """

    name: str
    target_probes_per_s: int
    platform_calls_per_s: int


def _number(name, low, high, default, unit, description):
    return Field(
        name, integer(low, high), description, str(default), unit, f"{low} to {high}"
    )


KINDS = {
    "service": (
        Service,
        (
            _number("group_size", 1, 64, 3, "", "Entry VMs that hold its targets."),
            _number("deadline_ms", 10, 600_000, 2_000, "ms", "Longest deadline."),
            _number("queue_length", 1, 100_000, 200, "", "Waiting requests a VM."),
            Field(
                "priority",
                choice("interactive", "bulk"),
                "Which work goes first at a shared entry VM.",
                "interactive",
                bounds="interactive or bulk",
            ),
        ),
    ),
    "data-centre": (
        DataCentre,
        (
            Field(
                "state",
                choice("in", "out"),
                "In or out of service.",
                "in",
                bounds="in or out",
            ),
        ),
    ),
    "target": (
        Target,
        (
            Field("service", text(), "Name of its service.", bounds="a service"),
            Field("data_centre", text(), "Its data centre.", bounds="a data centre"),
            Field("address", host_port, "Where it answers.", bounds="IP:PORT"),
            _number("slots", 1, 10_000, 2, "", "Requests it runs at once."),
            _number("cold_slots", 1, 10_000, 1, "", "Requests it bears when cold."),
            _number("connections", 1, 100_000, 200, "", "Connections it accepts."),
            Field(
                "state",
                choice("joining", "leaving"),
                "Joining targets get work through cold start, leaving ones none.",
                "joining",
                bounds="joining or leaving",
            ),
        ),
    ),
    "measuring-budget": (
        MeasuringBudget,
        (
            _number("target_probes_per_s", 0, 100_000, 10, "1/s", "Probes of targets."),
            _number(
                "platform_calls_per_s", 1, 100_000, 100, "1/s", "Calls to the platform."
            ),
        ),
    ),
}

_FIELD_NAMES = {
    cls: tuple(field.name for field in attrs.fields(cls)) for cls, _ in KINDS.values()
}
_KIND_OF_CLASS = {cls: kind for kind, (cls, _) in KINDS.items()}


def resource_key(resource):
    """Return the identity of a resource, such as ``service/roster``."""
    return f"{_KIND_OF_CLASS[type(resource)]}/{resource.name}"


def resource_to_json(resource):
    """Return a resource as a JSON value."""
    names = _FIELD_NAMES[type(resource)]
    return {name: getattr(resource, name) for name in names}


def resource_from_json(key, value):
    """Return the resource of a key and its JSON value."""
    cls, _ = KINDS[key.partition("/")[0]]
    return cls(**value)


@attrs.frozen
class Resources:
    """All that is declared, at one version.

    Attributes:
        version: Version of the whole; 0 before the first change.
        by_key: Resources by their key.
    """

    version: int = 0
    by_key: dict = attrs.field(factory=dict)
    _hashes: dict | None = attrs.field(default=None, eq=False, repr=False)

    def of_kind(self, kind):
        """Return the resources of a kind by name, such as ``service``."""
        prefix = kind + "/"
        return {
            key.removeprefix(prefix): resource
            for key, resource in self.by_key.items()
            if key.startswith(prefix)
        }

    def digest(self):
        """Return a digest that is equal just where the declared resources are.

        >>> Resources(1).digest() == Resources(2).digest()
        True
        """
        return self._digest

    def with_changes(self, version, resources, removed=()):
        """Return a copy at another version.

        Args:
            version: Version of the copy.
            resources: Resources that are added or replaced.
            removed: Keys of resources that are left out.
        """
        by_key = dict(self.by_key)
        hashes = dict(self._hash_by_key)
        for resource in resources:
            key = resource_key(resource)
            by_key[key] = resource
            hashes[key] = _resource_hash(key, resource)
        for key in removed:
            by_key.pop(key, None)
            hashes.pop(key, None)
        return Resources(version, by_key, hashes)

    @functools.cached_property
    def _hash_by_key(self):
        if self._hashes is not None:
            return self._hashes
        return {key: _resource_hash(key, r) for key, r in self.by_key.items()}

    @functools.cached_property
    def _digest(self):
        hashes = self._hash_by_key
        whole = hashlib.sha256()
        for key in sorted(hashes):
            whole.update(hashes[key])
        return whole.hexdigest()


def _resource_hash(key, resource):
    content = [key, resource_to_json(resource)]
    return hashlib.sha256(json.dumps(content, sort_keys=True).encode()).digest()
