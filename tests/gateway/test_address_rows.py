"""Test how VMs write their addresses to the store and find those of others."""

import asyncio
import json
import types

import attrs
import pytest
from returns.result import Failure, Success

from sesamespring.errors import ErrorKind, ExternalError
from sesamespring.gateway.store import address_rows
from sesamespring.gateway.store.address_rows import AddressRows
from sesamespring.platform.rows import (
    ABSENT_VERSION,
    RowConflict,
    StoredRow,
    TableChanges,
)


@attrs.define
class Store:
    """A fake of the StoreClient with one table.

    ``failures`` calls get no answer, and ``refusals`` writes a refusal that names no
    row. With ``read_only``, no write gets an answer.
    """

    rows: dict = attrs.field(factory=dict)
    version: int = 0
    calls: list = attrs.field(factory=list)
    failures: int = 0
    refusals: int = 0
    read_only: bool = False

    async def write(self, table, key, content, expected_version):
        await self._call("write")
        if self.read_only:
            raise ExternalError(ErrorKind.PLATFORM_AWAY, "unexpected status 429")
        if self.refusals:
            self.refusals -= 1
            return Failure(RowConflict(()))
        row = self.rows.get(key)
        if expected_version != (row.version if row else ABSENT_VERSION):
            return Failure(RowConflict((row,) if row else ()))
        self.put(key, content)
        return Success(self.version)

    async def read_table(self, table):
        await self._call("read")
        return TableChanges(tuple(self.rows.values()), self.version, 0.0)

    def put(self, key, content):
        self.version += 1
        self.rows[key] = StoredRow(key, self.version, content)

    async def _call(self, kind):
        self.calls.append(kind)
        await asyncio.sleep(0)
        if self.failures:
            self.failures -= 1
            raise ExternalError(ErrorKind.PLATFORM_AWAY, "silent")


def address_of(name):
    return ("10.0.0." + name.removeprefix("vm-"), 7000)


def content_of(name):
    ip, port = address_of(name)
    return json.dumps({"ip": ip, "port": port}).encode()


def register(store, *names, written=True):
    """Let VMs register at the same time, and return what each found, by name.

    Args:
        store: The Store.
        names: Names of the VMs.
        written: Whether to wait until each has found its own row.
    """
    found = {}
    log = types.SimpleNamespace(event=lambda event, **fields: None)

    async def run_one(name):
        settings = types.SimpleNamespace(
            process_name=name, internal_address=address_of(name)
        )
        done = asyncio.Event()

        def add_addresses(addresses):
            found[name] = set(addresses)
            if not written or address_of(name) in found[name]:
                done.set()

        task = asyncio.create_task(AddressRows(settings, store, log).run(add_addresses))
        await done.wait()
        task.cancel()

    async def main():
        async with asyncio.timeout(2):
            await asyncio.gather(*map(run_one, names))

    asyncio.run(main())
    return found


def test_of_vms_that_register_together_one_of_each_two_finds_the_other():
    found = register(Store(), "vm-1", "vm-2", "vm-3")
    for one, other in (("vm-1", "vm-2"), ("vm-1", "vm-3"), ("vm-2", "vm-3")):
        assert address_of(other) in found[one] or address_of(one) in found[other]


def test_two_calls_register_a_vm():
    store = Store()
    register(store, "vm-1")
    assert store.calls == ["write", "read"]
    assert store.rows["vm-1"].content == content_of("vm-1")


def test_row_of_an_earlier_address_is_replaced():
    store = Store()
    store.put("vm-1", content_of("vm-9"))
    register(store, "vm-1")
    assert store.rows["vm-1"].content == content_of("vm-1")


def test_row_that_is_there_is_not_written_again():
    store = Store()
    store.put("vm-1", content_of("vm-1"))
    register(store, "vm-1")
    assert store.rows["vm-1"].version == 1


@pytest.mark.parametrize("failures", [1, 2, 3])
def test_registration_goes_on_when_the_store_answers_again(failures, monkeypatch):
    monkeypatch.setattr(address_rows, "REGISTER_RETRY_DELAY_S", 0.001)
    store = Store(failures=failures)
    assert register(store, "vm-1") == {"vm-1": {address_of("vm-1")}}


def test_malformed_rows_name_no_address():
    store = Store()
    store.put("vm-2", b"nonsense")
    assert register(store, "vm-1") == {"vm-1": {address_of("vm-1")}}


def test_addresses_are_read_while_the_store_takes_no_writes():
    store = Store(read_only=True)
    store.put("vm-2", content_of("vm-2"))
    found = register(store, "vm-1", written=False)
    assert found == {"vm-1": {address_of("vm-2")}}


def test_row_is_written_when_the_store_takes_writes_again(monkeypatch):
    monkeypatch.setattr(address_rows, "REGISTER_RETRY_DELAY_S", 0.001)
    store = Store(read_only=True)

    async def main():
        settings = types.SimpleNamespace(
            process_name="vm-1", internal_address=address_of("vm-1")
        )
        log = types.SimpleNamespace(event=lambda event, **fields: None)
        rows = AddressRows(settings, store, log)
        task = asyncio.create_task(rows.run(lambda addresses: None))
        await asyncio.sleep(0.05)
        store.read_only = False
        async with asyncio.timeout(2):
            while "vm-1" not in store.rows:
                await asyncio.sleep(0.001)
        task.cancel()

    asyncio.run(main())


def test_writes_that_are_refused_again_and_again_do_not_follow_at_once():
    store = Store(refusals=1_000_000)
    register(store, "vm-1", written=False)
    assert store.calls.count("write") <= 3
