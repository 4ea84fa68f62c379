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
WORK_MS = 250
REQUESTS_PER_S = 25
LIMIT_MS = 2500
BEFORE_S = 5.0
OUT_S = 4.5
COLD_S = 3.0
PAUSE_S = 7.5
OUTAGES = 4
# A process that has ended is started again after this time.
RESTART_S = 0.5
STABLE_WINDOW_S = 3.0
CUT_OFF_MAX = 3
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
        self.cut_off = {}

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
        kept = bool(self._idle)
        try:
            if kept:
                address, connection = self._idle.pop()
            else:
                address = self._random.choice(self._addresses)
                connection = await Connection.open(address)
        except (OSError, TimeoutError):
            return 0
        path = f"/cufi502/work-{WORK_MS}"
        try:
            connection.send("GET", HOST, path, request_id, LIMIT_MS)
            async with asyncio.timeout(LIMIT_MS / 1000):
                answer = await connection.receive()
            if answer is None and kept:
                self.cut_off[request_id] = (address, time.monotonic())
        except (OSError, TimeoutError):
            answer = None
        if answer is None or answer.closes:
            connection.close()
        else:
            self._idle.append((address, connection))
        return 0 if answer is None else answer.status


class OwnEnds:
    """Starts processes again that have ended by themselves, as the platform does."""

    def __init__(self, deployment):
        self._deployment = deployment
        self.counts = dict.fromkeys((m.name for m in deployment.machines), 0)
        self._started_s = {m.name: [] for m in deployment.machines}

    def in_touch(self, machine, at_s):
        """Return whether a machine was not started within the stable window before."""
        return not any(
            start_s <= at_s < start_s + STABLE_WINDOW_S
            for start_s in self._started_s[machine.name]
        )

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
                    self._started_s[machine.name].append(time.monotonic())
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
    """Return whether at most three requests that sound endpoints ran were cut off."""
    async with Deployment(record, CONFIGURATION, {}, SLOTS) as deployment:
        endpoints = [
            await deployment.add_endpoint(SERVICE, zone) for zone in ZONES_OF_ENDPOINTS
        ]
        running = [
            e
            for e, zone in zip(endpoints, ZONES_OF_ENDPOINTS, strict=True)
            if zone == OUT_ZONE
        ]
        out_first = tuple(running)
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
        sound = {e.name for e in endpoints if e not in out_first}
        cut_off = [
            request_id
            for request_id, (address, at_s) in load.cut_off.items()
            if runs.get(request_id) in sound
            and own_ends.in_touch(deployment.machine_at(address), at_s)
        ]
    ends = list(own_ends.counts.values())
    answered = sum(status == 200 for status in load.statuses.values())
    for request_id in cut_off:
        record.write("cut-off-after-it-ran", request=request_id)
    print(
        f"sent {len(load.statuses)}, answered 200 {answered}; run at sound endpoints "
        f"and cut off by machines in touch {len(cut_off)}, allowed {CUT_OFF_MAX}; "
        f"ends of processes by machine {ends}"
    )
    if not answered:
        sys.exit(2)
    return len(cut_off) <= CUT_OFF_MAX


if __name__ == "__main__":
    main(__file__, case)
