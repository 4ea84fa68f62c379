"""Entries of another writer fill a page of the table; then all processes are killed."""

import asyncio
import contextlib
import pathlib

from review.harness_3.client import ClientConnection, request_bytes
from review.harness_3.deployment import Deployment, is_ready
from review.harness_3.record import BROKEN, HELD, NOT_RUN, run_case

HOST = "roster.example"
SERVICE = "roster-svc"
TIMEOUT_MS = 2000
# What the store returns of a table in one call at most is 500 rows.
FOREIGN_ENTRIES = 600
RECOVERY_S = 15.0
DOWN_S = 1.0
SAMPLE = 60
PAUSE_S = 0.05


async def play(record, trouble):
    """Play the case; see claim.txt."""
    async with Deployment() as deployment:
        for zone in ("zone-a", "zone-b", "zone-c"):
            await deployment.add_target(SERVICE, zone, service_time_s=0.02)
        route = {
            "host": HOST,
            "prefix": "/roster/",
            "type": "safe",
            "timeoutMs": TIMEOUT_MS,
            "targetLatencyMs": 200,
            "priority": 1,
            "service": SERVICE,
            "maxAttempts": 2,
        }
        await deployment.configure(1, {"r-1": route}, [SERVICE])
        await deployment.start_vms()
        await asyncio.sleep(4.0)
        if trouble:
            for number in range(FOREIGN_ENTRIES):
                entry = {"host": f"legacy-{number}", "weight": 1}
                key = f"\tlegacy\t{number}"
                await deployment.store.put("servers", key, entry)
            record.line(f"{FOREIGN_ENTRIES} entries of another writer in servers/")
            await asyncio.sleep(4.0)
        before = await serve(deployment, record, "before the final fault")
        for vm in deployment.vms:
            vm.kill()
        record.line("all processes killed")
        await asyncio.sleep(DOWN_S)
        for vm in deployment.vms:
            vm.start()
        record.line("all processes started")
        await asyncio.sleep(RECOVERY_S + 1.0)
        for vm in deployment.entries:
            record.line(f"{vm.name}: ready: {await is_ready(vm)}")
        after = await serve(deployment, record, "later than recoveryS")
        for line in deployment.entries[0].log_text.splitlines():
            if "registration" in line or "row-refused" in line or "store-lost" in line:
                record.line(f"log: {line[:200]}")
                break
    if before < SAMPLE / 4:
        return NOT_RUN
    return BROKEN if after < SAMPLE / 4 else HELD


async def serve(deployment, record, when):
    """Send requests one after the other, and return how many were served."""
    served = 0
    statuses = {}
    for number in range(SAMPLE):
        vm = deployment.entries[number % len(deployment.entries)]
        status = "failed"
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            connection = await ClientConnection.open(vm.front)
            _, data = request_bytes("GET", "/roster/1", HOST, TIMEOUT_MS)
            connection.send(data)
            status = (await connection.answer(TIMEOUT_MS / 1000)).status
            connection.close()
        statuses[status] = statuses.get(status, 0) + 1
        served += status == 200
        await asyncio.sleep(PAUSE_S)
    record.line(f"{when}: {served} of {SAMPLE} served; answers: {statuses}")
    return served


if __name__ == "__main__":
    run_case(pathlib.Path(__file__).resolve().parent, play)
