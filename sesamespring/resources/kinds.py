"""The four kinds of resources, and the set of all declared resources."""

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
    """A service, which callers address by its name.

    Attributes:
        name: Name of the service, the first segment of its request paths.
        group_size: Number of entry VMs that hold its targets.
        deadline_ms: Longest and default deadline of a request, in milliseconds.
        queue_length: Longest queue of waiting requests at each entry VM.
        priority: ``interactive`` or ``bulk``; interactive requests are scheduled first.
    """

    name: str
    group_size: int
    deadline_ms: int
    queue_length: int
    priority: str


@attrs.frozen
class DataCentre:
    """A data centre.

    Attributes:
        name: Name of the data centre.
        state: ``in`` if it is in service, ``out`` if it is not.
    """

    name: str
    state: str

    @property
    def in_service(self):
        """Whether the data centre receives new requests."""
        return self.state == "in"


@attrs.frozen
class Target:
    """A target of one service.

    Attributes:
        name: Name of the target.
        service: Name of its service.
        data_centre: Name of its data centre.
        address: Pair of IP and port.
        slots: Largest number of concurrent requests.
        cold_slots: Largest number of concurrent requests in cold start.
        connections: Largest number of connections.
        state: ``joining`` targets get requests, beginning with a cold start;
            ``leaving`` ones get none.
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
    """Limits on measurements by all VMs together, per second.

    Attributes:
        name: Name of the budget; only ``default`` is in force.
        target_probes_per_s: Probes of targets, per second.
        platform_calls_per_s: Calls to the platform, per second.
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
            _number(
                "deadline_ms", 10, 600_000, 2_000, "ms", "Longest and default deadline."
            ),
            _number("queue_length", 1, 100_000, 200, "", "Longest queue at each VM."),
            Field(
                "priority",
                choice("interactive", "bulk"),
                "Scheduling priority at a shared entry VM.",
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
            Field("address", host_port, "Address of the target.", bounds="IP:PORT"),
            _number("slots", 1, 10_000, 2, "", "Concurrent requests."),
            _number("cold_slots", 1, 10_000, 1, "", "Concurrent requests when cold."),
            _number("connections", 1, 100_000, 200, "", "Connections it accepts."),
            Field(
                "state",
                choice("joining", "leaving"),
                "Joining targets get requests, first in cold start; leaving ones none.",
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
    """Return the unique key of a resource, such as ``service/roster``."""
    return f"{_KIND_OF_CLASS[type(resource)]}/{resource.name}"


def resource_to_json(resource):
    """Return a resource as a JSON object."""
    names = _FIELD_NAMES[type(resource)]
    return {name: getattr(resource, name) for name in names}


def resource_from_json(key, value):
    """Return the resource with this key from its JSON object.

    Raises:
        KeyError: The kind is unknown.
        TypeError: The object does not have the fields of the kind.
    """
    cls, _ = KINDS[key.partition("/")[0]]
    return cls(**value)


@attrs.frozen
class Resources:
    """All declared resources at one version.

    Attributes:
        version: Number of the configuration version; 0 before the first change.
        by_key: Resources by key; see resource_key.
    """

    version: int = 0
    by_key: dict = attrs.field(factory=dict)
    _hashes: dict | None = attrs.field(default=None, eq=False, repr=False)

    def of_kind(self, kind):
        """Return the resources of a kind, such as ``service``, by name."""
        prefix = kind + "/"
        return {
            key.removeprefix(prefix): resource
            for key, resource in self.by_key.items()
            if key.startswith(prefix)
        }

    def digest(self):
        """Return a digest of the declared resources, without their version.

        Two digests are equal if and only if the declared resources are equal.

        >>> Resources(1).digest() == Resources(2).digest()
        True
        """
        return self._digest

    def with_changes(self, version, resources, removed=()):
        """Return a copy with changes at another version.

        Args:
            version: Version of the copy.
            resources: Resources to add or replace.
            removed: Keys of resources to remove.
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
        hasher = hashlib.sha256()
        for key in sorted(hashes):
            hasher.update(hashes[key])
        return hasher.hexdigest()


def _resource_hash(key, resource):
    content = [key, resource_to_json(resource)]
    return hashlib.sha256(json.dumps(content, sort_keys=True).encode()).digest()
