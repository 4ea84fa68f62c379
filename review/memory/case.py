"""Bytes without end behind a long answer fill a daemon's memory."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "harness_2"))

import bench  # noqa: E402

MEMORY_MB = 300
ENDS_EACH = 3
DEADLINE_MS = 6000
# How long an endpoint works on the first of the two requests of a connection.
WORK_S = 4.0
# A little over a 128th of the memory, which is what a connection may hold.
ANSWER = b"0123456789" * 250_000
# Bytes a second on the endpoint's link of 1,000 Mbit/s.
FLOOD = 110_000_000
PART = b"x" * 64 * 1024


# Half of the endpoints spoil up to 3 in 100 of their answers, see garble (extra).
SPOILED = ("data-0", "data-1")
SPOILED_PART = 0.03
TRAFFIC_PER_S = 40


def make_serve(trouble):
    dose = bench.Dose(SPOILED, SPOILED_PART)

    async def serve(endpoint, request, writer):
        await request.body()
        endpoint.ran(request)
        if request.target == "/r/long":
            await asyncio.sleep(WORK_S)
        is_large = request.target == "/d/large"
        is_spoiled = dose.is_due(endpoint, is_large and trouble)
        answer = ANSWER if is_large else b"ok"
        bench.answer(writer, 200, answer, request=request)
        if is_spoiled:
            part = f"{dose.spoiled} of {dose.answers}"
            endpoint.record(f"{request.id}: bytes without end follow ({part} answers)")
            await flood(endpoint, writer)
        return not is_spoiled

    return serve


async def flood(endpoint, writer):
    """Begin another answer, whose head has no end, until the caller closes."""
    writer.write(b"HTTP/1.1 200 OK\r\nX-Filler: ")
    started_s, sent = time.monotonic(), 0
    try:
        while not writer.is_closing():
            writer.write(PART)
            sent += len(PART)
            await writer.drain()
            ahead_s = sent / FLOOD - (time.monotonic() - started_s)
            if ahead_s > 0:
                await asyncio.sleep(ahead_s)
    finally:
        endpoint.record(f"endpoint {endpoint.name}: {sent} bytes behind the answer")


async def watch(daemon, record):
    """End the daemon as the platform does if it exceeds its memory; return the peak."""
    peak = 0.0
    while True:
        used = daemon.memory_mb()
        if used is None:
            return peak
        peak = max(peak, used)
        if used > MEMORY_MB:
            record(f"{daemon.name} holds {used:.0f} MB of {MEMORY_MB}: killed")
            daemon.send(signal.SIGKILL)
            daemon.process.wait()
            return peak
        await asyncio.sleep(0.02)


async def one_round(record, deployment, daemon, name):
    """Send two requests and return whether the daemon was ended for its memory."""
    watching = asyncio.ensure_future(watch(daemon, record))
    client = await bench.Client.connect(daemon.ip)
    client.write(bench.request("GET", "/r/long", f"{name}-a", DEADLINE_MS))
    client.write(bench.request("GET", "/d/large", f"{name}-b", DEADLINE_MS))
    record(f"{name}-a and {name}-b sent to {daemon.name} on one connection")
    for request in ("a", "b"):
        try:
            response = await client.response(DEADLINE_MS / 1000 + 1)
        except (OSError, EOFError) as error:
            record(f"{name}-{request}: {error!r}")
            break
        record(
            f"{name}-{request} answered {response.status}, {len(response.body)} bytes, "
            f"complete: {response.complete}"
        )
    client.close()
    ended = watching.done()
    record(f"{name}: {daemon.name} holds {daemon.memory_mb()} MB, ended: {ended}")
    if not ended:
        watching.cancel()
        return False
    daemon.start()
    await deployment.wait_ready(daemon)
    return True


async def one_daemon(record, deployment, daemon):
    """Return how often the daemon was ended in ENDS_EACH rounds."""
    ends = 0
    for number in range(ENDS_EACH):
        name = f"{daemon.name}-{number}"
        ends += await one_round(record, deployment, daemon, name)
        await asyncio.sleep(4.0)
    return ends


async def case(record, folder, trouble):
    deployment = bench.Deployment(record, folder)
    serve = make_serve(trouble)
    endpoints = [
        bench.Endpoint(f"{service}-{n}", service, serve, record)
        for service in ("data", "roster")
        for n in range(2)
    ]
    routes = {
        "r-data": bench.route("data", "/d/", timeout_ms=DEADLINE_MS),
        "r-read": bench.route("roster", "/r/", timeout_ms=DEADLINE_MS),
    }
    traffic = bench.Traffic(deployment, "GET", "/d/small", TRAFFIC_PER_S)
    try:
        await deployment.start(endpoints, routes, ["data", "roster"])
        sending = asyncio.ensure_future(traffic.run())
        await asyncio.sleep(4.0)
        ends = await asyncio.gather(
            *(one_daemon(record, deployment, d) for d in deployment.daemons[:2])
        )
        sending.cancel()
        record(f"other requests: {traffic.answered} answered, {traffic.failed} not")
    finally:
        deployment.close()
    record(f"processes ended for their memory: {ends}")
    return bench.BROKEN if min(ends) >= ENDS_EACH else bench.HELD


bench.main(case, __file__)
