"""Define the keys of the settings file with their units, defaults and bounds."""

import attrs

from sesamespring.ini import REQUIRED, Field, comma_separated, host_port, integer, text

__all__ = ["SECTIONS", "OperatorKey", "Settings"]

OPERATOR_KEYS_EXPECTED = "NAME:SECRET or SECRET, each once, separated by commas"


def _addresses(raw):
    return tuple(host_port(word) for word in comma_separated(raw))


@attrs.frozen
class OperatorKey:
    """A key that authenticates operators.

    Attributes:
        name: Name of the operator; empty for a key that several operators share.
        secret: The bearer token of the operator's calls.
    """

    name: str
    secret: str = attrs.field(repr=False)


def _secrets(raw):
    """Parse one or more secrets separated by commas, as a tuple of bytes."""
    words = comma_separated(raw)
    if not words:
        raise ValueError("one or more secrets, separated by commas")
    return tuple(word.encode() for word in words)


def _operator_keys(raw):
    """Parse operator keys, NAME:SECRET or SECRET, as a tuple of OperatorKeys."""
    keys = []
    for word in comma_separated(raw):
        name, _, secret = word.rpartition(":")
        if not secret:
            raise ValueError(OPERATOR_KEYS_EXPECTED)
        keys.append(OperatorKey(name.strip(), secret.strip()))
    if not keys or len({key.secret for key in keys}) < len(keys):
        raise ValueError(OPERATOR_KEYS_EXPECTED)
    return tuple(keys)


def _number(name, low, high, default, unit, description):
    return Field(
        name,
        integer(low, high),
        description,
        str(default),
        unit,
        f"{low} to {high}",
    )


def _address(name, description, default=REQUIRED):
    return Field(name, host_port, description, default, "", "IP:PORT")


def _path(name, description):
    return Field(name, str.strip, description, "", bounds="a path; empty for no TLS")


SECTIONS = {
    "entry": (
        Field("name", text(), "Name of this entry VM.", bounds="any text"),
        Field("data_centre", text(), "Data centre of this VM.", bounds="any text"),
        _address("callers_address", "Address to which callers and operators connect."),
        _address("peers_address", "Address to which other entry VMs connect."),
        _address("metrics_address", "Address on which metrics are served."),
        _number(
            "entries_ttl_ms",
            100,
            60_000,
            2_000,
            "ms",
            "How long callers may cache the list of entry VMs to use.",
        ),
        _number(
            "stop_timeout_s",
            1,
            600,
            60,
            "s",
            "How long a graceful shutdown waits for work in progress.",
        ),
    ),
    "platform": (
        _address("address", "Address of the platform's service."),
        _number("timeout_ms", 10, 10_000, 500, "ms", "Deadline of one call to it."),
        _number(
            "poll_interval_ms",
            100,
            60_000,
            1_000,
            "ms",
            "Time between two polls for changed resources.",
        ),
        _number(
            "session_ttl_ms",
            500,
            60_000,
            6_000,
            "ms",
            "How long this VM's lease in the platform's table lasts without renewal.",
        ),
    ),
    "peers": (
        Field(
            "seeds",
            _addresses,
            "Peer addresses of the entry VMs to contact first.",
            "",
            bounds="IP:PORT, separated by commas",
        ),
        Field(
            "key",
            _secrets,
            "Secrets shared by the entry VMs; the first one is used for outgoing "
            "connections, all are accepted.",
            bounds="SECRET, separated by commas",
        ),
        _number(
            "heartbeat_interval_ms", 50, 10_000, 500, "ms", "Time between heartbeats."
        ),
        _number(
            "heartbeat_timeout_ms",
            100,
            60_000,
            2_000,
            "ms",
            "Time without a message from a peer after which it is not used.",
        ),
    ),
    "operators": (
        Field(
            "key",
            _operator_keys,
            "Secrets that operators' calls carry; with a name, the operator in the "
            "audit trail is authenticated.",
            bounds=OPERATOR_KEYS_EXPECTED,
        ),
    ),
    "tls": (
        _path("certificate", "Certificate chain for callers and operators, in PEM."),
        _path("private_key", "Private key of the certificate, in PEM."),
    ),
}


@attrs.frozen
class Settings:
    """The settings of one entry VM.

    Names of keys outside ``[entry]`` start with their section. Addresses are pairs of
    IP and port. Without a TLS certificate, callers connect without TLS.
    """

    name: str
    data_centre: str
    callers_address: tuple
    peers_address: tuple
    metrics_address: tuple
    entries_ttl_ms: int
    stop_timeout_s: int
    platform_address: tuple
    platform_timeout_ms: int
    platform_poll_interval_ms: int
    platform_session_ttl_ms: int
    peers_seeds: tuple
    peers_key: tuple = attrs.field(repr=False)
    peers_heartbeat_interval_ms: int
    peers_heartbeat_timeout_ms: int
    operators_key: tuple
    tls_certificate: str = ""
    tls_private_key: str = ""
