"""Decode the operator's table: the configuration and evacuated data centres."""

import json

from returns.result import Failure, Success

from sesamespring.routing.records import (
    Configuration,
    Limits,
    Route,
    ServiceDeclaration,
    Share,
)

__all__ = [
    "CONFIGURATION_KEY",
    "OPERATOR_TABLE",
    "decode_configuration",
    "evacuated_data_centre",
    "is_earlier_operator_row",
]

OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"
EVACUATION_PREFIX = "evacuate/"
# The platform's word for an idempotent request.
IDEMPOTENT_TYPE = "safe"
REQUEST_TYPES = frozenset({IDEMPOTENT_TYPE, "unsafe", "upload"})
SINGLE_SERVICE_WEIGHT = 1.0


def evacuated_data_centre(key):
    """Return the data centre that a row with this key evacuates, or None.

    >>> evacuated_data_centre("evacuate/tbilisi-a")
    'tbilisi-a'
    """
    if not key.startswith(EVACUATION_PREFIX):
        return None
    return key.removeprefix(EVACUATION_PREFIX)


def decode_configuration(content):
    """Decode the operator's configuration.

    Args:
        content: Content of the row ``CONFIGURATION_KEY``, JSON in bytes.

    Returns:
        Success of a Configuration, or Failure of a one-line error message.
    """
    try:
        return Success(_decode(json.loads(content)))
    except KeyError as error:
        return Failure(f"field {error} is missing")
    except (TypeError, ValueError, AttributeError) as error:
        return Failure(f"invalid field: {error}")


def is_earlier_operator_row(content, known):
    """Return whether a row's content is an earlier configuration than another one.

    Rows that are no configuration are not compared.

    Args:
        content: Content in question, in bytes.
        known: Content to compare with, in bytes.
    """
    found, last = decode_configuration(content), decode_configuration(known)
    if isinstance(found, Failure) or isinstance(last, Failure):
        return False
    return found.unwrap().version < last.unwrap().version


def _decode(body):
    services = {
        name: _decode_service(name, item) for name, item in body["services"].items()
    }
    routes = tuple(
        _decode_route(name, item, services) for name, item in body["routes"].items()
    )
    return Configuration(
        # A string of eight hexadecimal digits.
        version=int(body["version"], 16),
        routes=routes,
        services=services,
        limits=_decode_limits(body["limits"]),
    )


def _decode_service(name, item):
    return ServiceDeclaration(
        name=name,
        health_path=str(item["healthPath"]),
        connections_max=int(item["maxConnections"]),
        cold_per_s=float(item.get("warmupPerS", 0.0)),
    )


def _decode_route(name, item, services):
    kind = item["type"]
    if kind not in REQUEST_TYPES:
        raise ValueError(f"route {name} has an unknown type: {kind}")
    if "service" in item:
        shares = (Share(item["service"], SINGLE_SERVICE_WEIGHT),)
    else:
        parts = item["trafficSplit"]
        shares = tuple(Share(part["service"], float(part["weight"])) for part in parts)
    unknown = [share.service for share in shares if share.service not in services]
    if unknown or not shares:
        raise ValueError(f"route {name} refers to unknown services: {unknown}")
    return Route(
        name=name,
        host=item["host"].lower(),
        prefix=str(item["prefix"]),
        idempotent=kind == IDEMPOTENT_TYPE,
        timeout_s=item["timeoutMs"] / 1000,
        goal_s=item["targetLatencyMs"] / 1000,
        priority=int(item["priority"]),
        attempts_max=max(1, int(item["maxAttempts"])),
        shares=shares,
    )


def _decode_limits(item):
    return Limits(
        head_bytes_max=int(item["maxHeaderBytes"]),
        body_bytes_max=int(item["maxBodyBytes"]),
        head_timeout_s=item["headerTimeoutMs"] / 1000,
        idle_timeout_s=item["idleTimeoutMs"] / 1000,
    )
