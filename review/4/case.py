"""One of six endpoints answers with a body that has no end."""

import asyncio
import itertools
import random
import sys
import time

from review.client import Connection
from review.deployment import Deployment, main

HOST = "hulo84.example"
ZONES_USED = ("santiago-a", "santiago-b", "santiago-c")
SERVICE = "perfiles"
ENDPOINTS = 6
WORK_MS = 90
LIMIT_MS = 2000
TIMEOUT_MS = 1000
ANSWER_SLACK_S = 0.5
REQUESTS_PER_S = 40
BEFORE_S = 3.0
DURING_S = 12.0
# A chunk of one byte.
ENDLESS_PART = b"1\r\nx\r\n"
CONFIGURATION = {
    "version": "00000007",
    "routes": {
        "r-lookup": {
            "host": HOST,
            "prefix": "/leny950/",
            "type": "safe",
            "timeoutMs": TIMEOUT_MS,
            "targetLatencyMs": 250,
            "priority": 2,
            "service": SERVICE,
            "maxAttempts": 2,
        },
    },
    "services": {
        SERVICE: {
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


class Load:
    """Clients that send safe requests at random times, each on a new connection.

    Attributes:
        ended: Dict by request id of the outcome and the seconds from sending to it: a
            status, ``closed`` or ``given-up``. A connection that takes no request is
            not counted.
    """

    def __init__(self, deployment, addresses):
        self.ended = {}
        self._deployment = deployment
        self._addresses = addresses
        self._random = random.Random(3)
        self._numbers = itertools.count(1)

    async def run(self, seconds):
        """Send for some seconds, wait for the answers, and return the request ids."""
        first = len(self.ended)
        tasks = []
        end_s = time.monotonic() + seconds
        while time.monotonic() < end_s:
            tasks.append(asyncio.create_task(self._request()))
            await asyncio.sleep(self._random.expovariate(REQUESTS_PER_S))
        await asyncio.wait(tasks, timeout=LIMIT_MS / 1000 + 1)
        return list(self.ended)[first:]

    async def _request(self):
        request_id = f"r-{next(self._numbers)}"
        address = self._random.choice(self._addresses)
        try:
            connection = await Connection.open(address)
        except (OSError, TimeoutError):
            self._deployment.record.write("not-connected", request=request_id)
            return
        path = f"/leny950/work-{WORK_MS}"
        connection.send("GET", HOST, path, request_id, LIMIT_MS)
        sent_s = time.monotonic()
        self._deployment.record.write("sent", request=request_id, to=address[0])
        try:
            async with asyncio.timeout(LIMIT_MS / 1000):
                answer = await connection.receive()
            outcome = "closed" if answer is None else answer.status
        except TimeoutError:
            outcome = "given-up"
        finally:
            connection.close()
        taken_s = time.monotonic() - sent_s
        self.ended[request_id] = (outcome, taken_s)
        self._deployment.record.write(
            "ended", request=request_id, outcome=outcome, after=f"{taken_s:.3f}"
        )


async def case(record, trouble):
    """Return whether requests have a final answer soon after their route's timeout."""
    async with Deployment(record, CONFIGURATION, {SERVICE: ENDPOINTS}) as deployment:
        addresses = []
        for zone in ZONES_USED:
            addresses += await deployment.wait_resolved(HOST, zone)
        load = Load(deployment, addresses)
        served = await load.run(BEFORE_S)
        faulty = deployment.endpoints[SERVICE][0]
        if trouble:
            faulty.endless_body = ENDLESS_PART
            record.write("endless-bodies", endpoint=faulty.name)
        requests = await load.run(DURING_S)
    if not served:
        sys.exit(2)
    timeout_s = TIMEOUT_MS / 1000
    lasted = [r for r in requests if load.ended[r][1] > timeout_s]
    late = [r for r in lasted if load.ended[r][1] > timeout_s + ANSWER_SLACK_S]
    given_up = sum(load.ended[r][0] == "given-up" for r in requests)
    elsewhere = sum(r not in faulty.runs for r in late)
    print(
        f"requests {len(requests)}, longer than timeoutMs {len(lasted)}, without an "
        f"answer 0.5 s after it {len(late)}, {elsewhere} of these never at the faulty "
        f"endpoint; never answered {given_up}"
    )
    return len(late) < 8 or len(late) <= len(lasted) / 4


if __name__ == "__main__":
    main(__file__, case)
