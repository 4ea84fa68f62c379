"""Test how a VM serves its table copies to other VMs, without sockets."""

import asyncio
import json

from sesamespring.gateway.store import table_sync
from sesamespring.gateway.store.replica import TableReplica
from sesamespring.gateway.store.table_sync import FeedServer
from sesamespring.platform.rows import (
    RowsRequest,
    StoredRow,
    TableChanges,
    decode_page,
)

WHOLE = RowsRequest("t", None, 0.0)


def loaded(*rows):
    replica = TableReplica("t")
    replica.replace(TableChanges(rows, max(row.version for row in rows)))
    return replica


def request_page(server, rows_request):
    status, body = asyncio.run(server.respond(rows_request))
    return status, decode_page(json.loads(body)) if status == 200 else None


def test_whole_table_is_encoded_once_per_version(monkeypatch):
    encoded = []
    encode_rows = table_sync.encode_rows
    monkeypatch.setattr(
        table_sync,
        "encode_rows",
        lambda rows: encoded.append(len(rows)) or encode_rows(rows),
    )
    replica = loaded(StoredRow("a", 1, b"x"), StoredRow("b", 2, b"y"))
    server = FeedServer({"t": replica})
    for _ in range(50):
        status, page = request_page(server, WHOLE)
        assert (status, len(page.rows), page.version) == (200, 2, 2)
    assert encoded == [2]
    replica.apply(TableChanges((StoredRow("a", 3, b"z"),), 3))
    _, page = request_page(server, WHOLE)
    assert {row.key: row.content for row in page.rows} == {"a": b"z", "b": b"y"}


def test_changes_after_a_version_are_served_with_their_age():
    replica = loaded(StoredRow("a", 1, b"x"))
    replica.apply(TableChanges((StoredRow("b", 2, b"y"),), 2))
    server = FeedServer({"t": replica})
    _, page = request_page(server, RowsRequest("t", 1, 0.0))
    assert [row.key for row in page.rows] == ["b"]
    assert page.age_s < 1.0


def test_unknown_or_unloaded_table_is_reported_with_503():
    replica = TableReplica("t")
    server = FeedServer({"t": replica})
    assert request_page(server, WHOLE) == (503, None)
    assert request_page(server, RowsRequest("other", None, 0.0)) == (503, None)
