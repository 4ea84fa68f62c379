"""Decode the operator's table: the configuration and evacuated data centres."""

import functools
import json

from returns.result import Failure, Success

from sesamespring.fields import MalformedField, integer, number, text, token
from sesamespring.platform.account_decoding import decode_accounts
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
VERSION_DIGITS_MAX = 16
# Bounds of what a configuration may ask for; far beyond any useful value.
DURATION_MS_MIN = 1
DURATION_MS_MAX = 24 * 3600 * 1000
COUNT_MAX = 1_000_000
PRIORITY_MAX = 1_000_000
BYTES_MAX = 2**40
RATE_MAX = 1e9
PATH_BYTES_MAX = 4096
# Contents kept decoded: each is decoded once to be compared and once to take effect.
DECODED_MAX = 4


def evacuated_data_centre(key):
    """Return the data centre that a row with this key evacuates, or None.

    >>> evacuated_data_centre("evacuate/tbilisi-a")
    'tbilisi-a'
    """
    if not key.startswith(EVACUATION_PREFIX):
        return None
    return key.removeprefix(EVACUATION_PREFIX)


@functools.lru_cache(maxsize=DECODED_MAX)
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
    except (
        TypeError,
        ValueError,
        AttributeError,
        OverflowError,
        RecursionError,
    ) as error:
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
    accounts, account_names = None, {}
    if "tenants" in body:
        accounts, account_names = decode_accounts(body["tenants"])
    return Configuration(
        version=_decode_version(body["version"]),
        routes=routes,
        services=services,
        limits=_decode_limits(body["limits"]),
        accounts=accounts,
        account_names=account_names,
    )


def _decode_version(value):
    """Return the number in a text of up to ``VERSION_DIGITS_MAX`` hexadecimal digits.

    >>> _decode_version("0000001f")
    31
    """
    if len(token(value)) > VERSION_DIGITS_MAX:
        raise MalformedField("version is too long")
    return integer(int(value, 16), maximum=2**63 - 1)


def _decode_service(name, item):
    return ServiceDeclaration(
        name=text(name),
        health_path=token(item["healthPath"], PATH_BYTES_MAX),
        connections_max=integer(item["maxConnections"], 1, COUNT_MAX),
        cold_per_s=number(item.get("warmupPerS", 0.0), maximum=RATE_MAX),
    )


def _decode_route(name, item, services):
    kind = item["type"]
    if kind not in REQUEST_TYPES:
        raise ValueError(f"route {name} has an unknown type: {kind}")
    if "service" in item:
        shares = (Share(text(item["service"]), SINGLE_SERVICE_WEIGHT),)
    else:
        shares = tuple(map(_decode_share, item["trafficSplit"]))
    unknown = [share.service for share in shares if share.service not in services]
    if unknown or not shares:
        raise ValueError(f"route {name} refers to unknown services: {unknown}")
    return Route(
        name=text(name),
        host=text(item["host"], PATH_BYTES_MAX).lower(),
        prefix=text(item["prefix"], PATH_BYTES_MAX),
        idempotent=kind == IDEMPOTENT_TYPE,
        timeout_s=_duration_s(item["timeoutMs"]),
        goal_s=_duration_s(item["targetLatencyMs"]),
        priority=integer(item["priority"], maximum=PRIORITY_MAX),
        attempts_max=max(1, integer(item["maxAttempts"], maximum=COUNT_MAX)),
        shares=shares,
        public=_decode_flag(item.get("public", False)),
    )


def _decode_flag(value):
    if not isinstance(value, bool):
        raise MalformedField(f"{value!r:.60} is neither true nor false")
    return value


def _decode_share(part):
    return Share(text(part["service"]), number(part["weight"], maximum=RATE_MAX))


def _decode_limits(item):
    return Limits(
        head_bytes_max=integer(item["maxHeaderBytes"], 1, BYTES_MAX),
        body_bytes_max=integer(item["maxBodyBytes"], maximum=BYTES_MAX),
        head_timeout_s=_duration_s(item["headerTimeoutMs"]),
        idle_timeout_s=_duration_s(item["idleTimeoutMs"]),
    )


def _duration_s(value):
    """Return a positive number of milliseconds in seconds."""
    return number(value, minimum=DURATION_MS_MIN, maximum=DURATION_MS_MAX) / 1000
