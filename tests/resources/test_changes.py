"""Test that changes apply exactly once, in a total order, and are all audited."""

import asyncio

import pytest
from returns.result import Failure, Success

from sesamespring.errors import ErrorKind, ExternalError
from sesamespring.resources import parse_resources
from sesamespring.resources.audit import (
    copy_day,
    prune_copied,
    read_audit,
    record_refusal,
)
from sesamespring.resources.changes import (
    CHANGE_RESOURCES_MAX,
    Change,
    apply_change,
)
from sesamespring.resources.kinds import DataCentre, Resources
from sesamespring.resources.parser import Removal
from sesamespring.resources.records import AuditRecord
from sesamespring.resources.store import read_head, read_records, read_resources
from tests.resources.store import running_store

DAY_S = 24 * 3600.0
NOON_S = 20_000 * DAY_S + DAY_S / 2
BASE = """
[data-centre a]
[service roster]
[target t1]
service = roster
data_centre = a
address = 127.0.0.1:1
"""


class Operators:
    """Apply resource files as several operators against one store.

    Attributes:
        table: The JsonTable.
        now_s: Wall clock time in seconds.
        count: Number of changes requested.
        applied_before_read: Resource files that another operator applies just before
            the next change reads the resources.
    """

    def __init__(self, table):
        self.table = table
        self.now_s = NOON_S
        self.count = 0
        self.applied_before_read = []

    async def apply(self, text, operator="ana", identity=None, base_version=None):
        self.count += 1
        items = parse_resources("r.ini", text).unwrap()
        change = Change(
            identity or f"id-{self.count}",
            operator,
            "because",
            "r.ini",
            base_version,
            tuple(item for item in items if not isinstance(item, Removal)),
            tuple(item.key for item in items if isinstance(item, Removal)),
        )

        async def read_newest():
            while self.applied_before_read:
                await self.apply(self.applied_before_read.pop(), "eva")
            return (await read_resources(self.table))[0]

        return await apply_change(self.table, change, read_newest, lambda: self.now_s)


def run(scenario):
    """Run a scenario with Operators and the FakeStore."""

    async def main():
        async with running_store() as (table, store):
            await scenario(Operators(table), store)

    asyncio.run(main())


def test_repeated_identity_changes_nothing_and_other_content_is_refused():
    async def scenario(operators, store):
        first = (await operators.apply(BASE, identity="one")).unwrap()
        again = (await operators.apply(BASE, identity="one")).unwrap()
        assert (again.version, again.digest) == (first.version, first.digest)
        assert again.repeated
        other = await operators.apply("[data-centre b]\n", identity="one")
        assert other.failure().kind is ErrorKind.IDENTITY_REUSED
        assert (await read_head(operators.table)).version == 1

    run(scenario)


def test_lost_response_is_resolved_by_reading_the_identity_row():
    async def scenario(operators, store):
        store.faults.lost_answers = 1
        accepted = (await operators.apply(BASE)).unwrap()
        assert accepted.version == 1 and not accepted.repeated
        records = await read_records(operators.table, 0)
        assert [record.version for record in records] == [1]

    run(scenario)


def test_concurrent_changes_of_one_resource_accept_one_and_name_it():
    async def scenario(operators, store):
        await operators.apply(BASE)
        operators.now_s += 120
        out = "[data-centre a]\nstate = out\n"
        results = await asyncio.gather(
            operators.apply(out, "ana"),
            operators.apply("[data-centre a]\nstate = in\n", "ben"),
            operators.apply("[data-centre b]\n", "eva"),
        )
        accepted = [r for r in results if isinstance(r, Success)]
        refused = [r.failure() for r in results if isinstance(r, Failure)]
        assert len(accepted) == 2 and len(refused) == 1
        assert refused[0].kind is ErrorKind.CONFLICT
        assert refused[0].records[0].changed_keys == {"data-centre/a"}
        late = await operators.apply("[data-centre a]\nstate = in\n", "eva")
        assert late.failure().kind is ErrorKind.CONFLICT

    run(scenario)


def test_change_is_accepted_if_another_one_comes_between_its_reads():
    async def scenario(operators, store):
        await operators.apply(BASE)
        operators.applied_before_read.append("[data-centre b]\n")
        accepted = (await operators.apply("[data-centre c]\n")).unwrap()
        assert accepted.version == 3

    run(scenario)


def test_change_fails_if_the_table_is_older_than_the_version_in_force():
    async def scenario(operators, store):
        change = Change("i", "ana", "r", "f", None, (DataCentre("a", "in"),))

        async def read_newest():
            return Resources(5)

        with pytest.raises(ExternalError, match="older version"):
            await apply_change(operators.table, change, read_newest, lambda: NOON_S)
        assert (await read_head(operators.table)).version == 0

    run(scenario)


def test_base_version_matters_only_if_changes_overlap():
    async def scenario(operators, store):
        await operators.apply(BASE)
        await operators.apply("[data-centre b]\n", base_version=1)
        apart = await operators.apply("[data-centre c]\n", "ben", base_version=1)
        assert apart.unwrap().version == 3
        text = "[data-centre b]\nstate = out\n"
        overlap = await operators.apply(text, "ben", base_version=1)
        assert [r.version for r in overlap.failure().records] == [2]
        on_top = await operators.apply(text, "ben", base_version=3)
        assert on_top.unwrap().version == 4
        ahead = await operators.apply(text, "ben", base_version=99)
        assert ahead.failure().kind is ErrorKind.CONFLICT

    run(scenario)


def test_removal_of_a_referenced_or_missing_resource_is_refused():
    async def scenario(operators, store):
        await operators.apply(BASE)
        refused = (await operators.apply("[remove service roster]\n")).failure()
        assert refused.kind is ErrorKind.INVALID_RESOURCES
        both = "[remove service roster]\n[remove target t1]\n"
        assert (await operators.apply(both)).unwrap().version == 2
        resources, _ = await read_resources(operators.table)
        assert resources.by_key == {"data-centre/a": DataCentre("a", "in")}
        missing = (await operators.apply("[remove target t1]\n")).failure()
        assert "expected a declared resource" in missing.lines[0]

    run(scenario)


def test_trail_is_complete_after_concurrent_copies_and_pruning():
    async def scenario(operators, store):
        table = operators.table
        for day in range(4):
            operators.now_s = NOON_S + day * DAY_S
            await operators.apply(BASE.replace(":1", f":{day + 1}"))
            refusal = AuditRecord(
                "conflict", day + 1, "", "x", "ben", "why", "f", operators.now_s, {}, {}
            )
            await record_refusal(table, refusal)
        before = await read_audit(table, 0, operators.now_s + 1)
        assert len(before) == 8
        while None not in await asyncio.gather(
            copy_day(table, operators.now_s), copy_day(table, operators.now_s)
        ):
            pass
        assert len(store.objects) == 3
        late_s = operators.now_s + 30 * DAY_S
        assert await prune_copied(table, late_s) == 3
        assert [r.version for r in await read_records(table, 0)] == [4]
        assert await read_audit(table, 0, operators.now_s + 1) == before

    run(scenario)


def test_rows_stay_if_the_copy_is_not_confirmed():
    async def scenario(operators, store):
        await operators.apply(BASE)
        operators.now_s += 2 * DAY_S
        store.faults.lost_answers = 1
        with pytest.raises(ExternalError):
            await copy_day(operators.table, operators.now_s)
        assert await prune_copied(operators.table, operators.now_s + 30 * DAY_S) == 0
        assert await copy_day(operators.table, operators.now_s) == 1

    run(scenario)


def test_change_of_too_many_resources_is_refused_completely():
    async def scenario(operators, store):
        names = range(CHANGE_RESOURCES_MAX + 1)
        text = "".join(f"[service s{number}]\n" for number in names)
        refused = (await operators.apply(text)).failure()
        assert refused.kind is ErrorKind.INVALID_RESOURCES
        assert "at most 95 in one change" in refused.lines[0]
        text = "".join(f"[service s{number}]\n" for number in names[1:])
        assert (await operators.apply(text)).unwrap().version == 1

    run(scenario)
