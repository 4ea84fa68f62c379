"""An endpoint that becomes cold again under load."""

import asyncio
import itertools
import random
import sys
import time

from review.client import Connection
from review.deployment import Deployment, main

HOST = "jepu9.example"
ZONES_USED = ("santiago-a", "santiago-b", "santiago-c")
ENDPOINTS = 4
SLOTS = 3
WORK_MS = 45
REQUESTS_PER_S = 140
CONNECTIONS = 40
LIMIT_MS = 2500
WARM_S = 4.0
COLD_S = 3.0
# Time from one turn to the next, drawn anew, as the machines poll in a steady beat.
TURN_S = (4.0, 4.7)
TURNS = 14
REPLACED_AFTER_S = 1.0
WINDOW_S = 1.0
WARMUP_PER_S = 7.2
WARMUP_OVERAGE = 1.5
WARMUP_SLACK = 5
# "Crashes at a rate well above" `warmupPerS`: three times, and above the bound.
CRASHES_ABOVE = 3 * WARMUP_PER_S
BOUND = WARMUP_PER_S * WARMUP_OVERAGE + WARMUP_SLACK
CONFIGURATION = {
    "version": "00000007",
    "routes": {
        "r-confirm": {
            "host": HOST,
            "prefix": "/puka111/",
            "type": "unsafe",
            "timeoutMs": 1200,
            "targetLatencyMs": 300,
            "priority": 1,
            "service": "pareos",
            "maxAttempts": 2,
        },
    },
    "services": {
        "pareos": {
            "healthPath": "/health",
            "maxConnections": 260,
            "warmupS": COLD_S,
            "warmupPerS": WARMUP_PER_S,
        },
    },
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 67108864,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
}


class Load:
    """Clients that send unsafe requests at random times, each on an open connection."""

    def __init__(self, deployment, addresses):
        self._deployment = deployment
        self._addresses = addresses
        self._idle = []
        self._numbers = itertools.count(1)
        self._random = random.Random(2)
        self._tasks = set()
        self.sent_s = {}
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
        connection = self._idle.pop() if self._idle else await self._connect()
        path = f"/puka111/work-{WORK_MS}"
        connection.send("POST", HOST, path, request_id, LIMIT_MS, b"confirm")
        self.sent_s[request_id] = time.monotonic()
        try:
            async with asyncio.timeout(LIMIT_MS / 1000):
                answer = await connection.receive()
        except TimeoutError:
            answer = None
        status = 0 if answer is None else answer.status
        self.statuses[request_id] = status
        self._deployment.record.write("answered", request=request_id, status=status)
        if answer is None or answer.closes:
            connection.close()
        else:
            self._idle.append(connection)

    async def _connect(self):
        return await Connection.open(self._random.choice(self._addresses))


def most_in_a_second(endpoint, sent_s, cold_s):
    """Return the largest count of requests sent and arrived within one cold second."""
    most = 0
    pairs = [(sent_s[r], at) for r, at in endpoint.arrivals.items()]
    for start, _ in pairs:
        if not cold_s <= start <= endpoint.cold_until_s - WINDOW_S:
            continue
        count = sum(s >= start and at <= start + WINDOW_S for s, at in pairs)
        most = max(most, count)
    return most


async def case(record, trouble):
    """Return whether cold endpoints got no more than the bound in any second."""
    counts = []
    chance = random.Random()
    async with Deployment(
        record, CONFIGURATION, {"pareos": ENDPOINTS}, SLOTS
    ) as deployment:
        addresses = []
        for zone in ZONES_USED:
            addresses += await deployment.wait_resolved(HOST, zone)
        crashed = []
        replacing = []

        def on_crash(endpoint):
            crashed.append(endpoint)
            replacing.append(asyncio.create_task(deployment.forget_endpoint(endpoint)))
            replacing.append(asyncio.create_task(start_another()))

        async def start_another():
            await asyncio.sleep(REPLACED_AFTER_S)
            await deployment.add_endpoint("pareos", ZONES_USED[0], COLD_S)

        for endpoint in deployment.endpoints["pareos"]:
            endpoint.crashes_above = CRASHES_ABOVE
            endpoint.on_crash = on_crash
        load = Load(deployment, addresses)
        running = asyncio.create_task(load.run(WARM_S + TURNS * TURN_S[1]))
        await asyncio.sleep(WARM_S)
        for turn in range(TURNS):
            warm = [
                e
                for e in deployment.endpoints["pareos"]
                if e not in crashed and not e.cold_left_ms
            ]
            endpoint = warm[turn % len(warm)]
            cold_s = time.monotonic()
            before = sum(cold_s - WINDOW_S <= at for at in endpoint.arrivals.values())
            if trouble:
                endpoint.become_cold(COLD_S)
                await deployment.write_entry(endpoint)
            record.write("turn", endpoint=endpoint.name, cold=trouble, before=before)
            await asyncio.sleep(chance.uniform(*TURN_S))
            if trouble:
                count = most_in_a_second(endpoint, load.sent_s, cold_s)
                record.write("most-in-a-cold-second", count=count, bound=BOUND)
                counts.append(count)
        await running
        for task in replacing:
            task.cancel()
        lost = sum(load.statuses[r] != 200 for e in crashed for r in e.runs)
    answered = sum(status == 200 for status in load.statuses.values())
    print(
        f"sent {len(load.sent_s)}, answered 200 {answered}; "
        f"most requests in a cold second: {counts}, bound {BOUND}; "
        f"crashed endpoints {len(crashed)}, begun there and lost {lost}"
    )
    if not answered:
        sys.exit(2)
    return all(count <= BOUND for count in counts)


if __name__ == "__main__":
    main(__file__, case)
