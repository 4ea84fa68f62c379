"""Fake target with slots, cold start, shedding, draining and load reports.

It aborts a request at its deadline.
"""

import argparse
import asyncio
import json
import random
import time

import attrs
import h11

from sesamespring.http import ServerConnections, header, json_body, listen

UPLOAD_BYTES_MAX = 256 * 1024 * 1024
# How long a target that is overloaded while cold refuses all requests.
OVERLOAD_S = 2.0
# Sigma of the log-normal distribution of service times.
SERVICE_SIGMA = 0.35


@attrs.define
class Behaviour:
    """The target's settings; ``POST /control`` sets fields from a JSON object.

    Attributes:
        service_ms: Median service time when warm, in ms.
        slow_factor: Factor on the service time.
        shedding: Whether requests are refused with 503 as not run, state
            ``shedding``.
        draining: Whether requests are refused with 503 as not run, state
            ``draining``.
        fail_fast: Whether every request gets status 500 at once.
        cold_requests: Number of requests still to run until the target is warm.
        cold_slots: Number of requests that a cold target runs at once without
            overload.
        cold_factor: Factor on the service time while cold.
        reported_load: Number of requests in progress that ``/load`` reports; None
            for the real number.
        cut_answers: Whether the connection is aborted after half of each response
            body.
    """

    service_ms: float = 8.0
    slow_factor: float = 1.0
    shedding: bool = False
    draining: bool = False
    fail_fast: bool = False
    cold_requests: int = 0
    cold_slots: int = 1
    cold_factor: float = 4.0
    reported_load: int | None = None
    cut_answers: bool = False


class Target:
    """The state and request handler of the fake target.

    Args:
        slots: Number of requests that run at once without an overrun.
        seed: Seed of the service times.
        service_ms: Median service time when warm, in ms.
    """

    def __init__(self, slots, seed, service_ms):
        self._slots = slots
        self._random = random.Random(seed)
        self._behaviour = Behaviour(service_ms=service_ms)
        self._in_progress = 0
        self._overloaded_until_s = 0.0
        self._counts = {
            "requests": 0,
            "overruns": 0,
            "cold_overruns": 0,
            "cancelled": 0,
            "late": 0,
            "probes": 0,
            "most_in_progress": 0,
        }
        self._runs = {}
        self._last_start = 0.0

    async def handle(self, exchange):
        """Handle one request: control, statistics, load report or service work."""
        if exchange.target == "/control":
            changes = json.loads(await exchange.whole_body(65_536))
            self._behaviour = attrs.evolve(self._behaviour, **changes)
            await exchange.send_json({})
        elif exchange.target == "/stats":
            run_stats = {"runs": self._runs, "last_start": self._last_start}
            await exchange.send_json({**self._counts, **run_stats})
        elif exchange.target == "/load":
            self._counts["probes"] += 1
            reported = self._behaviour.reported_load
            load = self._in_progress if reported is None else reported
            await exchange.send_json({"in_progress": load, "slots": self._slots})
        else:
            await self._run_or_refuse(exchange)

    async def _run_or_refuse(self, exchange):
        refusal = self._refusal_state()
        if refusal:
            await _refuse(exchange, refusal)
            return
        if self._behaviour.fail_fast:
            await exchange.send_whole(500, b"failed")
            return
        self._count_start()
        try:
            await self._serve_accepted(exchange)
        finally:
            self._in_progress -= 1

    def _refusal_state(self):
        if self._behaviour.draining:
            return "draining"
        if self._behaviour.shedding or time.monotonic() < self._overloaded_until_s:
            return "shedding"
        return None

    def _count_start(self):
        self._in_progress += 1
        counts = self._counts
        counts["requests"] += 1
        counts["most_in_progress"] = max(counts["most_in_progress"], self._in_progress)
        self._last_start = time.time()
        if self._in_progress > self._slots:
            counts["overruns"] += 1
        behaviour = self._behaviour
        if behaviour.cold_requests and self._in_progress > behaviour.cold_slots:
            counts["cold_overruns"] += 1
            self._overloaded_until_s = time.monotonic() + OVERLOAD_S

    async def _serve_accepted(self, exchange):
        timeout_ms = header(exchange.headers, b"request-timeout-ms")
        timeout_s = float(timeout_ms) / 1000 if timeout_ms else None
        try:
            async with asyncio.timeout(timeout_s):
                size = await _read_body_size(exchange)
                self._count_run(exchange)
                await self._wait_service_time(exchange)
        except TimeoutError:
            self._counts["late"] += 1
            exchange.stream.abort()
            return
        except (ConnectionError, h11.RemoteProtocolError):
            self._counts["cancelled"] += 1
            raise
        tag = header(exchange.headers, b"x-demo-request", "")
        response = {"request": tag, "bytes": size, "path": exchange.target}
        if self._behaviour.cut_answers:
            await _send_truncated(exchange, response)
            return
        await exchange.send_json(response)

    def _count_run(self, exchange):
        """Count the runs of a keyed request by its tag, the same in all attempts."""
        key = header(exchange.headers, b"idempotency-key")
        if key:
            tag = header(exchange.headers, b"x-demo-request", key)
            self._runs[tag] = self._runs.get(tag, 0) + 1

    async def _wait_service_time(self, exchange):
        """Wait for a random service time.

        Raises:
            ConnectionResetError: The client closed the connection meanwhile.
        """
        behaviour = self._behaviour
        cold = behaviour.cold_requests > 0
        factor = behaviour.slow_factor * (behaviour.cold_factor if cold else 1.0)
        random_factor = self._random.lognormvariate(0.0, SERVICE_SIGMA)
        service_time_s = behaviour.service_ms * factor * random_factor / 1000
        closed = asyncio.Event()
        exchange.stream.set_close_callback(closed.set)
        try:
            async with asyncio.timeout(service_time_s):
                await closed.wait()
        except TimeoutError:
            pass
        finally:
            exchange.stream.set_close_callback(None)
        if closed.is_set():
            raise ConnectionResetError("cancelled")
        if cold and self._behaviour.cold_requests > 0:
            self._behaviour.cold_requests -= 1


async def _send_truncated(exchange, response):
    body = json_body(response)
    await exchange.send_head(200, [("Content-Length", str(len(body)))])
    await exchange.send_data(body[: len(body) // 2])
    exchange.stream.abort()


async def _read_body_size(exchange):
    size = 0
    async for chunk in exchange.body():
        size += len(chunk)
    return size


async def _refuse(exchange, state):
    headers = [("Target-State", state), ("Retry-After", "1")]
    await exchange.send_whole(503, b"{}", headers)


async def run(host, port, slots, seed, service_ms):
    """Serve until cancelled."""
    target = Target(slots, seed, service_ms)
    connections = ServerConnections()

    async def connected(reader, writer):
        await connections.serve(reader, writer, target.handle)

    server = await listen(connected, (host, port))
    async with server:
        await server.serve_forever()


def main():
    """Run the fake target."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--slots", type=int, default=2)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--service-ms", type=float, default=8.0)
    arguments = parser.parse_args()
    asyncio.run(
        run(
            arguments.host,
            arguments.port,
            arguments.slots,
            arguments.seed,
            arguments.service_ms,
        )
    )


if __name__ == "__main__":
    main()
