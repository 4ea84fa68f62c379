"""Test that only sessions without holds are removed."""

import asyncio

from sesamespring.entry.session_sweep import sweep_sessions
from sesamespring.platform.json_table import Write
from tests.resources.store import running_store

ADDRESS = ("127.0.0.1", 1)


def test_sessions_of_earlier_runs_are_removed_unless_a_hold_refers_to_them():
    async def scenario():
        async with running_store() as (table, _):
            await check(table)

    asyncio.run(scenario())


async def check(table):
    sessions = ("vm1.idle.1", "vm1.holding.1", "vm1.now.1", "vm10.other.1")
    writes = [
        Write(
            f"session/{session}",
            {"address": list(ADDRESS), "incarnation": session.split(".")[1]},
        )
        for session in sessions
    ]
    writes.append(Write("hold/roster/t", {"session": "vm1.holding.1", "epoch": 1}))
    await table.transact([], writes)
    assert await sweep_sessions(table, "vm1", "now", ADDRESS) == 1
    left = [row.key for row in await table.scan("session/")]
    assert left == sorted(f"session/{session}" for session in sessions[1:])
