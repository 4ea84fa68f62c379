"""Test StoreClient and JsonTable against a store that runs in the test."""

import asyncio

import pytest
from returns.result import Failure

from sesamespring.errors import ExternalError
from sesamespring.platform.json_table import ENTRIES_MAX, Condition, Row, Write
from sesamespring.platform.rows import ABSENT_VERSION
from tests.resources.store import running_store


def run(scenario):
    """Run ``scenario(table, store)`` with a JsonTable and its FakeStore."""

    async def main():
        async with running_store() as (table, store):
            await scenario(table, store)

    asyncio.run(main())


def test_reads_rows_that_were_written():
    async def scenario(table, store):
        assert await table.read("a/1") == Row("a/1", ABSENT_VERSION, None)
        version = (await table.transact([], [Write("a/1", {"x": 1})])).unwrap()
        assert await table.read("a/1") == Row("a/1", version, {"x": 1})
        await table.transact([Condition("a/1", version)], [Write("a/1", None)])
        assert (await table.read("a/1")).version == ABSENT_VERSION

    run(scenario)


def test_scan_returns_all_pages_of_a_prefix():
    async def scenario(table, store):
        keys = [f"a/{number:04d}" for number in range(620)]
        for first in range(0, len(keys), ENTRIES_MAX):
            batch = keys[first : first + ENTRIES_MAX]
            await table.transact([], [Write(key, 1) for key in batch])
        await table.transact([], [Write("a", 1), Write("a0", 1), Write("b/1", 1)])
        assert [row.key for row in await table.scan("a/")] == keys
        assert [row.key for row in await table.scan("a/", "a/0600")] == keys[601:]
        assert [row.key for row in await table.scan("a/", limit=3)] == keys[:3]

    run(scenario)


def test_conflict_has_only_the_rows_that_violate_a_condition():
    async def scenario(table, store):
        first = (await table.transact([], [Write("a", 1)])).unwrap()
        second = (await table.transact([], [Write("b", 1)])).unwrap()
        conditions = [
            Condition("a", first),
            Condition("b", first),
            Condition("c", second),
        ]
        result = await table.transact(conditions, [Write("a", 2)])
        assert isinstance(result, Failure)
        rows = result.failure().rows
        assert rows == (Row("b", second, 1), Row("c", ABSENT_VERSION, None))
        assert (await table.read("a")).value == 1

    run(scenario)


def test_objects_are_returned_as_written():
    async def scenario(table, store):
        assert await table.get_object("day-1") is None
        await table.put_object("day-1", b"\x00\xff")
        assert await table.get_object("day-1") == b"\x00\xff"

    run(scenario)


@pytest.mark.parametrize("fault", ["away", "reset"])
def test_unreachable_store_raises_external_error(fault):
    async def scenario(table, store):
        setattr(store.faults, fault, True)
        with pytest.raises(ExternalError):
            await table.read("a")
        setattr(store.faults, fault, False)
        assert (await table.read("a")).version == ABSENT_VERSION

    run(scenario)


def test_oversized_transaction_is_not_sent():
    async def scenario(table, store):
        with pytest.raises(ValueError, match="entries"):
            await table.transact([], [Write("a", 1)] * (ENTRIES_MAX + 1))
        with pytest.raises(ValueError, match="bytes"):
            await table.transact([], [Write("k" * 201, 1)])
        assert store.calls == []

    run(scenario)
