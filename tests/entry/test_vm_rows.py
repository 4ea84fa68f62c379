"""Test the rows through which entry VMs discover each other."""

import asyncio
import types

from sesamespring.entry.vm_rows import ROW_EXPIRY_S, VmRows
from tests.resources.store import running_store


def settings(name):
    return types.SimpleNamespace(
        name=name, data_centre="a", peers_address=("127.0.0.1", 1)
    )


def test_vm_registers_once_and_removes_its_row():
    async def scenario():
        async with running_store() as (table, store):
            rows = VmRows(table, settings("x"))
            await rows.register(await rows.read())
            await rows.register(await rows.read())
            assert sum(call.is_write for call in store.calls) == 1
            assert [entry.name for entry in await rows.read()] == ["x"]
            await rows.remove()
            assert await rows.read() == []

    asyncio.run(scenario())


def test_row_of_a_silent_vm_is_removed_after_its_expiry():
    async def scenario():
        async with running_store() as (table, _):
            clock = [0.0]
            await VmRows(table, settings("gone")).register([])
            rows = VmRows(table, settings("x"), lambda: clock[0])
            await rows.register([])
            for now_s, live_names, left in (
                (0.0, set(), 2),
                (ROW_EXPIRY_S, {"gone"}, 2),
                (ROW_EXPIRY_S + 1, set(), 2),
                (2 * ROW_EXPIRY_S + 2, set(), 1),
            ):
                clock[0] = now_s
                await rows.remove_silent(await rows.read(), live_names)
                assert len(await rows.read()) == left

    asyncio.run(scenario())
