"""An entry of another writer in the table of endpoints."""

import asyncio
import itertools
import sys

from review.client import Connection
from review.deployment import Deployment, main

HOST = "hulo84.example"
ZONE = "santiago-a"
LIMIT_MS = 2000
CALLS = 60
PAUSE_S = 0.25
ENDS = 3
MACHINES_MIN = 2
CONFIGURATION = {
    "version": "00000007",
    "routes": {
        "r-lookup": {
            "host": HOST,
            "prefix": "/leny950/",
            "type": "safe",
            "timeoutMs": 1000,
            "targetLatencyMs": 250,
            "priority": 2,
            "service": "perfiles",
            "maxAttempts": 2,
        },
    },
    "services": {
        "perfiles": {
            "healthPath": "/health",
            "maxConnections": 260,
            "warmupS": 3.0,
            "warmupPerS": 7.2,
        },
    },
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 67108864,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
}
# The number of `warmupLeftMs` has 401 digits: no reader gets a time out of it.
FOREIGN = (
    b'{"service":"perfiles","address":"127.0.0.1:9","zone":"santiago-a",'
    b'"version":"v1","slots":3,"state":"ready","warmupLeftMs":1' + b"0" * 400 + b","
    b'"sequence":1,"born":1}'
)


async def call(deployment, address, request_id):
    """Send a safe request on a new connection; return its status, or 0 without one."""
    try:
        connection = await Connection.open(address)
    except (OSError, TimeoutError):
        return 0
    try:
        path = "/leny950/work-90"
        connection.send("GET", HOST, path, request_id, LIMIT_MS)
        deployment.record.write("sent", request=request_id)
        async with asyncio.timeout(LIMIT_MS / 1000):
            answer = await connection.receive()
    except TimeoutError:
        return 0
    finally:
        connection.close()
    return 0 if answer is None else answer.status


async def case(record, trouble):
    """Return whether on less than two machines processes ended three times."""
    async with Deployment(record, CONFIGURATION, {"perfiles": 6}) as deployment:
        addresses = await deployment.wait_resolved(HOST, ZONE)
        if await call(deployment, addresses[0], "first") != 200:
            sys.exit(2)
        restarting = asyncio.create_task(deployment.restart_ended())
        if trouble:
            await deployment.store.put_bytes("servers", "i-foreign", FOREIGN)
            record.write("foreign-entry", bytes=len(FOREIGN))
        served = 0
        for number, address in zip(
            range(CALLS), itertools.cycle(addresses), strict=False
        ):
            status = await call(deployment, address, f"r-{number}")
            record.write("answered", request=f"r-{number}", status=status)
            served += status == 200
            await asyncio.sleep(PAUSE_S)
        restarting.cancel()
        ends = [machine.ends for machine in deployment.machines]
    print(f"answered 200 {served} of {CALLS}; ends of processes by machine: {ends}")
    return sum(count >= ENDS for count in ends) < MACHINES_MIN


if __name__ == "__main__":
    main(__file__, case)
