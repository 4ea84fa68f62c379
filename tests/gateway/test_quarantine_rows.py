"""Test the rows that keep quarantined contents beyond the lifetime of all VMs."""

import time

import attrs
import pytest
from returns.result import Failure

from sesamespring.gateway.store.quarantine_rows import decode_record, encode_record
from sesamespring.routing.quarantine import MEMORY_S, CrashRecord


def record(age_s=5.0):
    return CrashRecord(
        content="c1",
        clearances=1,
        crashed=frozenset({("t1", 7), ("t2", 8), ("t3", 9)}),
        trials=2,
        reservations=4,
        changed_s=time.monotonic() - age_s,
    )


def test_record_is_read_as_it_was_written():
    written = record()
    read = decode_record("c1", encode_record(written)).unwrap()
    assert abs(read.changed_s - written.changed_s) < 0.1
    assert attrs.evolve(read, changed_s=written.changed_s) == written


def test_expired_record_is_dropped():
    expired = encode_record(record(MEMORY_S + 1))
    assert decode_record("c1", expired).unwrap() is None


@pytest.mark.parametrize(
    "raw",
    [
        b"",
        b"\xff",
        b"[]",
        b"{}",
        b'{"changed_ms": "x"}',
        encode_record(record()).replace(b'"t1"', b'"t1", 1'),
        encode_record(record()).replace(b'"trials": 2', b'"trials": null'),
        encode_record(record()).replace(b'"trials": 2', b'"trials": 3000000000'),
        encode_record(record()).replace(b'"t1"', b'"\\ud83d"'),
    ],
)
def test_malformed_row_is_dropped(raw):
    assert isinstance(decode_record("c1", raw), Failure)
