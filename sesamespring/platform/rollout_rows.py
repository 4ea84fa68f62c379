"""Decode the operator's roll-out orders; encode what this project stores of them."""

import json

from returns.result import safe

from sesamespring.fields import MalformedField, integer, number, text
from sesamespring.http.headers import json_body
from sesamespring.routing.rollout import Phase, RolloutOrder, RolloutRecord

__all__ = [
    "RECORDS_TABLE",
    "ROLLOUT_PREFIX",
    "STATUS_TABLE",
    "decode_order",
    "decode_record",
    "encode_record",
    "encode_status",
]

# Prefix of the keys of orders and of their status rows.
ROLLOUT_PREFIX = "rollout/"
STATUS_TABLE = "status"
# This project's own table, with a row for each service that has had an order.
RECORDS_TABLE = "rollouts"
DURATION_S_MIN = 0.001
DURATION_S_MAX = 30 * 24 * 3600.0
COUNT_MAX = 10**12
STEP_MAX = 1_000_000_000
REJECTED_MAX = 64
STATES = {
    Phase.TRIAL: "running",
    Phase.MOVING: "running",
    Phase.COMPLETE: "complete",
    Phase.ROLLED_BACK: "rolled_back",
}


@safe
def decode_order(key, content):
    """Decode an order.

    Args:
        key: Key of its row, with ROLLOUT_PREFIX.
        content: Content of the row, JSON in bytes.

    Returns:
        Success of a RolloutOrder, or Failure of the error that it is refused for.
    """
    service = text(key.removeprefix(ROLLOUT_PREFIX))
    body = json.loads(content)
    if text(body["service"]) != service:
        raise MalformedField("service is not that of the row's key")
    return _decode_order(service, body["to"], body["durationS"])


def encode_status(record):
    """Return the content of the status row of a RolloutRecord, in bytes."""
    return json_body({"state": STATES[record.phase], "to": record.order.to})


def encode_record(record):
    """Return the content of a RolloutRecord's own row, in bytes."""
    row = {
        "to": record.order.to,
        "duration_s": record.order.duration_s,
        "phase": record.phase.name.lower(),
        "step": record.step,
        "started_unix_s": record.started_unix_s,
        "requests": record.requests,
        "reserved": record.reserved,
        "answers": record.answers,
        "suspicion": record.suspicion,
        "rejected": list(record.rejected),
        "writer": record.writer,
        "vms_heard": record.vms_heard,
    }
    return json_body(row)


@safe
def decode_record(service, content):
    """Decode a RolloutRecord's own row.

    Args:
        service: Name of the service, the key of the row.
        content: Content of the row, JSON in bytes.

    Returns:
        Success of a RolloutRecord, or Failure of the error that it is refused for.
    """
    row = json.loads(content)
    if len(row["rejected"]) > REJECTED_MAX:
        raise MalformedField("rejected is too long")
    return RolloutRecord(
        order=_decode_order(text(service), row["to"], row["duration_s"]),
        phase=Phase[text(row["phase"]).upper()],
        step=integer(row["step"], 1, STEP_MAX),
        started_unix_s=number(row["started_unix_s"]),
        requests=integer(row["requests"], maximum=COUNT_MAX),
        reserved=integer(row["reserved"], maximum=COUNT_MAX),
        answers=integer(row["answers"], maximum=COUNT_MAX),
        suspicion=number(row["suspicion"], maximum=1.0),
        rejected=tuple(map(text, row["rejected"])),
        writer=text(row["writer"]),
        vms_heard=integer(row["vms_heard"], maximum=COUNT_MAX),
    )


def _decode_order(service, to, duration_s):
    return RolloutOrder(
        service=service,
        to=text(to),
        duration_s=number(duration_s, DURATION_S_MIN, DURATION_S_MAX),
    )
