"""Test that snapshots are assembled from pieces and damaged content is rejected."""

import zlib

import pytest
from hypothesis import given, strategies

from sesamespring.entry.snapshots import SnapshotAssembly, SnapshotSource
from sesamespring.resources import serialization
from sesamespring.resources.kinds import DataCentre, Resources

RESOURCES = Resources(3, {f"data-centre/{n}": DataCentre(str(n), "in") for n in "abc"})


def test_snapshot_is_assembled_from_pieces_in_order(monkeypatch):
    monkeypatch.setattr(serialization, "PIECE_BYTES", 10)
    pieces = SnapshotSource().pieces(RESOURCES)
    assert len(pieces) > 3
    assembly = SnapshotAssembly()
    assert assembly.add("a", pieces[0]) is None
    assert assembly.add("b", pieces[1]) is None
    assert assembly.add("a", pieces[2]) is None
    results = [assembly.add("b", piece) for piece in pieces]
    assert results[:-1] == [None] * (len(pieces) - 1)
    resources, digest = results[-1]
    assert resources == RESOURCES and resources.digest() == digest


@given(strategies.data())
def test_damaged_bytes_raise_only_value_errors(data):
    packed = bytearray(serialization.pack_snapshot(RESOURCES))
    at = data.draw(strategies.integers(0, len(packed) - 1))
    packed[at] ^= data.draw(strategies.integers(1, 255))
    cut = data.draw(strategies.integers(0, len(packed)))
    for damaged in (bytes(packed), bytes(packed[:cut])):
        with pytest.raises(ValueError):
            serialization.unpack(damaged)


@pytest.mark.parametrize(
    "content",
    [
        b"[1]",
        b"[" * 100_000,
        b'{"target/t": {"name": 1}}',
        b'{"service/s": 3}',
        b'{"data-centre/a": {"name": "a", "state": "in", "colour": "red"}}',
        b" " * (serialization.CONTENT_BYTES_MAX + 1),
    ],
)
def test_content_other_than_resources_raises_a_value_error(content):
    with pytest.raises(ValueError):
        serialization.unpack(zlib.compress(content))
