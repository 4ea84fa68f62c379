"""Test the rows of roll-outs: orders, records and status."""

import json

import pytest
from returns.result import Failure, Success

from sesamespring.platform.rollout_rows import (
    decode_order,
    decode_record,
    encode_record,
    encode_status,
)
from sesamespring.platform.rows import RowCondition, RowWrite, encode_transaction
from sesamespring.routing.rollout import Phase, RolloutOrder, RolloutRecord

ORDER = RolloutOrder("s", "v2", 60.0)
CONTENT = {"service": "s", "to": "v2", "durationS": 60}
RECORD = RolloutRecord(
    ORDER, Phase.MOVING, 2, 1.5, 300, 40, 38, 0.25, ("v1.5",), "vm/1/7", 4
)


def test_order_is_decoded():
    assert decode_order("rollout/s", json.dumps(CONTENT).encode()) == Success(ORDER)


@pytest.mark.parametrize(
    "changes",
    [
        {"to": None},
        {"to": "\n"},
        {"to": "x" * 201},
        {"durationS": 0},
        {"durationS": True},
        {"durationS": 10**400},
        {"service": "other"},
    ],
)
def test_malformed_order_is_refused(changes):
    content = json.dumps({**CONTENT, **changes}).encode()
    assert isinstance(decode_order("rollout/s", content), Failure)


@pytest.mark.parametrize("content", [b"", b"[]", b"null", b"\xff", b"[" * 100_000])
def test_content_that_is_no_order_is_refused(content):
    assert isinstance(decode_order("rollout/s", content), Failure)
    assert isinstance(decode_record("s", content), Failure)


def test_record_is_decoded_as_it_was_encoded():
    assert decode_record("s", encode_record(RECORD)) == Success(RECORD)


@pytest.mark.parametrize(
    "changes",
    [{"phase": "paused"}, {"step": 0}, {"reserved": -1}, {"rejected": ["v"] * 100}],
)
def test_malformed_record_is_refused(changes):
    content = {**json.loads(encode_record(RECORD)), **changes}
    assert isinstance(decode_record("s", json.dumps(content).encode()), Failure)


@pytest.mark.parametrize(
    ("phase", "state"),
    [
        (Phase.TRIAL, "running"),
        (Phase.MOVING, "running"),
        (Phase.COMPLETE, "complete"),
        (Phase.ROLLED_BACK, "rolled_back"),
    ],
)
def test_status_names_state_and_version(phase, state):
    status = encode_status(RolloutRecord(ORDER, phase))
    assert json.loads(status) == {"state": state, "to": "v2"}


def test_transaction_writes_rows_of_two_tables():
    transaction = encode_transaction(
        "rollouts",
        [RowCondition("s", 3)],
        [RowWrite("s", b"x"), RowWrite("rollout/s", b"y", "status")],
    )
    assert [item["table"] for item in transaction["upserts"]] == ["rollouts", "status"]
    assert transaction["expectedRevision"][0]["table"] == "rollouts"
