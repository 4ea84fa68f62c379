"""An entry of another writer among the endpoints, and outages of a zone's endpoints."""

import asyncio
import itertools
import json
import random
import sys
import time

from review.client import Connection
from review.deployment import Deployment, main

HOST = "cupay37.example"
SERVICE = "documentos"
# As at the site: three of the service's endpoints are in one zone.
ZONES_OF_ENDPOINTS = ("santiago-a",) * 3 + ("santiago-b",) * 2 + ("santiago-c",)
OUT_ZONE = "santiago-a"
SLOTS = 3
WORK_MS = 110
REQUESTS_PER_S = 30
LIMIT_MS = 2500
BEFORE_S = 5.0
OUT_S = 4.5
COLD_S = 3.0
PAUSE_S = 7.5
OUTAGES = 6
# A process that has ended is started again after this time.
RESTART_S = 0.5
ENDS = 3
MACHINES_MIN = 2
CONFIGURATION = {
    "version": "00000007",
    "routes": {
        "r-papers": {
            "host": HOST,
            "prefix": "/cufi502/",
            "type": "safe",
            "timeoutMs": 2500,
            "targetLatencyMs": 400,
            "priority": 1,
            "service": SERVICE,
            "maxAttempts": 2,
        },
    },
    "services": {
        SERVICE: {
            "healthPath": "/health",
            "maxConnections": 260,
            "warmupS": COLD_S,
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
# A service that isn't named in the configuration. Its name was cut inside a character,
# as some writers of JSON do; at its address nobody listens.
FOREIGN = {
    "service": "notas \ud83d",
    "address": "127.0.0.1:9",
    "zone": "santiago-b",
    "version": "v1",
    "slots": 3,
    "state": "ready",
    "warmupLeftMs": 0,
    "sequence": 1,
    "born": 1,
}


class Load:
    """Clients that send safe requests at random times on connections that they keep."""

    def __init__(self, deployment, addresses):
        self._deployment = deployment
        self._addresses = addresses
        self._idle = []
        self._numbers = itertools.count(1)
        self._random = random.Random(3)
        self._tasks = set()
        self.statuses = {}

    async def run(self, seconds):
        """Send at the rate of the case for some seconds, then wait for the answers."""
        end_s = time.monotonic() + seconds
        while time.monotonic() < end_s:
            task = asyncio.create_task(self._request())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(self._random.expovariate(REQUESTS_PER_S))
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=LIMIT_MS / 1000)

    async def _request(self):
        request_id = f"q-{next(self._numbers)}"
        self._deployment.record.write("sent", request=request_id)
        self.statuses[request_id] = status = await self._exchange(request_id)
        self._deployment.record.write("answered", request=request_id, status=status)

    async def _exchange(self, request_id):
        """Send a request; return the status of its answer, or 0 without one."""
        try:
            connection = self._idle.pop() if self._idle else await self._connect()
        except (OSError, TimeoutError):
            return 0
        path = f"/cufi502/work-{WORK_MS}"
        try:
            connection.send("GET", HOST, path, request_id, LIMIT_MS)
            async with asyncio.timeout(LIMIT_MS / 1000):
                answer = await connection.receive()
        except (OSError, TimeoutError):
            answer = None
        if answer is None or answer.closes:
            connection.close()
        else:
            self._idle.append(connection)
        return 0 if answer is None else answer.status

    async def _connect(self):
        return await Connection.open(self._random.choice(self._addresses))


class OwnEnds:
    """Starts processes again that have ended by themselves, as the platform does."""

    def __init__(self, deployment):
        self._deployment = deployment
        self.counts = dict.fromkeys((m.name for m in deployment.machines), 0)

    async def watch(self):
        """Start them again until cancelled."""
        while True:
            await asyncio.sleep(RESTART_S)
            for machine in self._deployment.machines:
                for role, process in tuple(machine.processes.items()):
                    if process.poll() is None:
                        continue
                    self.counts[machine.name] += 1
                    self._deployment.record.write(
                        "ended-by-itself",
                        process=f"{machine.name}/{role}",
                        code=process.returncode,
                    )
                    await self._deployment.start_process(machine, role)


async def out_and_back(deployment, running):
    """Let the endpoints of a zone crash, and start others in their place, cold."""
    deployment.record.write("zone-out", zone=OUT_ZONE, endpoints=len(running))
    lapsing = []
    for endpoint in running:
        endpoint.close()
        lapsing.append(asyncio.create_task(deployment.forget_endpoint(endpoint)))
    await asyncio.sleep(OUT_S)
    back = [await deployment.add_endpoint(SERVICE, OUT_ZONE, COLD_S) for _ in running]
    await asyncio.gather(*lapsing)
    deployment.record.write("zone-back", zone=OUT_ZONE)
    return back


async def case(record, trouble):
    """Return whether on less than two machines processes ended three times."""
    async with Deployment(record, CONFIGURATION, {}, SLOTS) as deployment:
        endpoints = [
            await deployment.add_endpoint(SERVICE, zone) for zone in ZONES_OF_ENDPOINTS
        ]
        running = [
            e
            for e, zone in zip(endpoints, ZONES_OF_ENDPOINTS, strict=True)
            if zone == OUT_ZONE
        ]
        addresses = []
        for zone in sorted(set(ZONES_OF_ENDPOINTS)):
            addresses += await deployment.wait_resolved(HOST, zone)
        own_ends = OwnEnds(deployment)
        watching = asyncio.create_task(own_ends.watch())
        if trouble:
            content = json.dumps(FOREIGN).encode()
            await deployment.store.put_bytes("servers", "i-foreign", content)
            record.write("foreign-entry", content=content.decode())
        load = Load(deployment, addresses)
        sending = asyncio.create_task(load.run(BEFORE_S + OUTAGES * (OUT_S + PAUSE_S)))
        await asyncio.sleep(BEFORE_S)
        for _ in range(OUTAGES):
            if trouble:
                running = await out_and_back(deployment, running)
            else:
                await asyncio.sleep(OUT_S)
            await asyncio.sleep(PAUSE_S)
        await sending
        watching.cancel()
        runs = deployment.all_runs()
    ends = list(own_ends.counts.values())
    answered = sum(status == 200 for status in load.statuses.values())
    cut = sum(status == 0 and r in runs for r, status in load.statuses.items())
    print(
        f"sent {len(load.statuses)}, answered 200 {answered}, run and cut off {cut}; "
        f"ends of processes by machine {ends}"
    )
    if not answered:
        sys.exit(2)
    return sum(count >= ENDS for count in ends) < MACHINES_MIN


if __name__ == "__main__":
    main(__file__, case)
