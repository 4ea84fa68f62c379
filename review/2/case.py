"""Pipelining clients on open connections while a machine is stopped by SIGTERM."""

import asyncio
import itertools
import random
import signal
import sys

from review.client import Connection
from review.deployment import Deployment, main

HOST = "hulo84.example"
ZONE = "santiago-a"
CONNECTIONS = 12
# What a request takes at its endpoint, as at `perfil-lookup` and `afinidad-browse`.
QUICK_WORK_MS = 90
LONG_WORK_MS = 900
LONG_SHARE = 0.3
PAUSE_S = (0.1, 0.3)
DEPTH_MAX = 6
LIMIT_MS = 6000
BEFORE_S = 2.0
GRACE_S = 6.0
CONFIGURATION = {
    "version": "00000007",
    "routes": {
        "r-browse": {
            "host": HOST,
            "prefix": "/leny950/",
            "type": "safe",
            "timeoutMs": 3000,
            "targetLatencyMs": 1000,
            "priority": 2,
            "service": "afinidad",
            "maxAttempts": 2,
        },
    },
    "services": {
        "afinidad": {
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


class Caller:
    """A client that sends safe requests on one connection without waiting for answers.

    It sends no more once an answer says that the connection closes.
    """

    def __init__(self, number, deployment, random_source):
        self._name = f"c{number}"
        self._deployment = deployment
        self._random = random_source
        self._numbers = itertools.count(1)
        self._unanswered = []
        self._connection = None
        self._open = True
        self.sent = 0
        self.answered = 0
        self.cut = []

    async def run(self, address):
        """Send and receive until the connection ends."""
        self._connection = await Connection.open(address)
        sending = asyncio.create_task(self._send())
        try:
            while self._open or self._unanswered:
                answer = await self._connection.receive()
                if answer is None:
                    break
                request_id = self._unanswered.pop(0)
                self.answered += answer.status == 200
                self._deployment.record.write(
                    "answered", request=request_id, status=answer.status
                )
                if answer.closes:
                    break
        finally:
            self._open = False
            sending.cancel()
            self._connection.close()
        for request_id in self._unanswered:
            self._deployment.record.write("unanswered", request=request_id)
            self.cut.append(request_id)

    def stop(self):
        """Send no more; the client closes the connection after the last answer."""
        self._open = False

    async def _send(self):
        while self._open:
            if len(self._unanswered) < DEPTH_MAX:
                request_id = f"{self._name}-{next(self._numbers)}"
                is_long = self._random.random() < LONG_SHARE
                work_ms = LONG_WORK_MS if is_long else QUICK_WORK_MS
                path = f"/leny950/work-{work_ms}"
                self._unanswered.append(request_id)
                self.sent += 1
                self._connection.send("GET", HOST, path, request_id, LIMIT_MS)
                self._deployment.record.write("sent", request=request_id, path=path)
            await asyncio.sleep(self._random.uniform(*PAUSE_S))


async def case(record, trouble):
    """Return whether no request that reached an endpoint was cut off."""
    random_source = random.Random(1)
    async with Deployment(record, CONFIGURATION, {"afinidad": 18}) as deployment:
        addresses = await deployment.wait_resolved(HOST, ZONE)
        machine = deployment.machine_at(addresses[0])
        callers = [Caller(n, deployment, random_source) for n in range(CONNECTIONS)]
        tasks = [asyncio.create_task(c.run(machine.front)) for c in callers]
        await asyncio.sleep(BEFORE_S)
        if trouble:
            deployment.signal(machine, signal.SIGTERM)
        await asyncio.sleep(GRACE_S)
        for caller in callers:
            caller.stop()
        await asyncio.wait(tasks, timeout=5.0)
        for task in tasks:
            task.cancel()
        runs = deployment.all_runs()
    cut = [r for c in callers for r in c.cut if r in runs]
    sent = sum(c.sent for c in callers)
    answered = sum(c.answered for c in callers)
    for request_id in cut:
        record.write("cut-off-after-it-ran", request=request_id)
    print(f"sent {sent}, answered 200 {answered}, run and cut off {len(cut)}")
    if not answered:
        sys.exit(2)
    return not cut


if __name__ == "__main__":
    main(__file__, case)
