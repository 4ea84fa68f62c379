"""An endpoint runs a request and answers 503 with a long body."""

import asyncio
import itertools
import pathlib
import time

from review.harness_3.client import ClientConnection, request_bytes
from review.harness_3.deployment import ZONES, Deployment
from review.harness_3.record import BROKEN, HELD, NOT_RUN, run_case

HOST = "swap.example"
SERVICE = "swap-svc"
ENDPOINTS = 9
TIMEOUT_MS = 2000
CLIENTS = 15
PLAY_S = 60.0
TRIES = 2
# One endpoint of nine fails two of five requests, for 6.5 s in each 9 s.
FAILED_OF_FIVE = 2
GREY_S = 6.5
GREY_AGAIN_S = 9.0
# The endpoint's report on its failure.
REPORT_BYTES = 1_000_000
PROMISES = {408, 421, 429, 503}


def fail_some(target):
    """Let a target run requests and answer some of them with a 503 of its own."""
    numbers = itertools.count()

    def choose(received):
        is_grey = time.monotonic() % GREY_AGAIN_S < GREY_S
        if is_grey and next(numbers) % 5 < FAILED_OF_FIVE:
            target.padding = bytes(REPORT_BYTES)
            return "status-503"
        target.padding = b""
        return None

    target.choose_fault = choose


async def play(record, trouble):
    """Play the case; see claim.txt."""
    async with Deployment() as deployment:
        for number in range(ENDPOINTS):
            # One slot, so that the padding belongs to the request that runs.
            target = await deployment.add_target(
                SERVICE, ZONES[number % 3], service_time_s=0.05, slots=1
            )
            if trouble and number == 0:
                fail_some(target)
        route = {
            "host": HOST,
            "prefix": "/swap/",
            "type": "unsafe",
            "timeoutMs": TIMEOUT_MS,
            "targetLatencyMs": 250,
            "priority": 1,
            "service": SERVICE,
            "maxAttempts": 2,
        }
        await deployment.configure(1, {"r-1": route}, [SERVICE])
        await deployment.start_vms()
        await asyncio.sleep(4.0)
        clients = [Client(number, deployment, record) for number in range(CLIENTS)]
        await asyncio.gather(*(client.run() for client in clients))
        runs = [
            (received.request_id, received.body.decode())
            for target in deployment.targets.values()
            for received in target.received
        ]
    answers = {i: status for client in clients for i, status in client.answers.items()}
    refused = [i for i, _ in runs if answers.get(i) in PROMISES]
    for request_id, order in runs:
        if request_id in refused:
            status = answers[request_id]
            record.line(f"{request_id} ({order}): ran, and was answered {status}")
    orders = [order for _, order in runs]
    twice = sorted({order for order in orders if orders.count(order) > 1})
    record.line(f"requests: {len(answers)}; runs: {len(runs)}")
    record.line(f"orders that ran twice, as their clients tried again: {len(twice)}")
    record.line(f"requests that ran and were answered with a promise: {len(refused)}")
    if len(answers) < CLIENTS:
        return NOT_RUN
    return BROKEN if refused else HELD


class Client:
    """Sends one order after the other; tries an order again only after a promise."""

    def __init__(self, number, deployment, record):
        self.answers = {}
        self._number = number
        self._address = deployment.entries[number % len(deployment.entries)].front
        self._record = record

    async def run(self):
        """Send orders for ``PLAY_S``."""
        end_s = self._record.now_s + PLAY_S
        for order in itertools.count():
            if self._record.now_s >= end_s:
                return
            await self._place(f"order {self._number}-{order}")
            await asyncio.sleep(0.05)

    async def _place(self, order):
        for _ in range(TRIES):
            status, retry_after_s = await self._send(order)
            if status not in PROMISES:
                return
            await asyncio.sleep(min(retry_after_s, TIMEOUT_MS / 3000))

    async def _send(self, order):
        """Return the status of an order's answer, and its Retry-After."""
        request_id, data = request_bytes(
            "POST", "/swap/1", HOST, TIMEOUT_MS, order.encode()
        )
        connection = await ClientConnection.open(self._address)
        connection.send(data)
        try:
            answer = await connection.answer(TIMEOUT_MS / 1000)
        except (ConnectionError, asyncio.IncompleteReadError):
            self.answers[request_id] = 0
            return 0, 0.0
        finally:
            connection.close()
        self.answers[request_id] = answer.status
        return answer.status, float(answer.headers.get("retry-after", 0))


if __name__ == "__main__":
    run_case(pathlib.Path(__file__).resolve().parent, play)
