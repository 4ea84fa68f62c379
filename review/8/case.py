"""An answer of 62 small chunks makes the daemon deaf on the connection it came by."""

import asyncio
import os
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "harness_2"))

import bench  # noqa: E402

# The time limit of pareo-confirm in grown/LATER.md.
DEADLINE_MS = 6820
GRACE_S = 6.0
WORK_S = 0.05
CALLERS = 9
LINES = [b"pairing %02d confirmed\n" % n for n in range(62)]


def make_serve(trouble):
    async def serve(endpoint, request, writer):
        await request.body()
        endpoint.ran(request)
        await asyncio.sleep(WORK_S)
        if trouble:
            writer.write(in_chunks(request))
        else:
            bench.answer(writer, 200, b"".join(LINES), request=request)
        await writer.drain()
        endpoint.record(f"{endpoint.name} has answered {request.id}")
        return True

    return serve


def in_chunks(request):
    """Return an answer that has a chunk for each line, in bytes."""
    head = [
        "HTTP/1.1 200 X",
        "Transfer-Encoding: chunked",
        f"Sesamespring-Request-Id: {request.id}",
        "Sesamespring-Server-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1",
    ]
    chunks = [b"%x\r\n%b\r\n" % (len(line), line) for line in LINES]
    parts = ["\r\n".join(head).encode(), b"\r\n\r\n", *chunks, b"0\r\n\r\n"]
    return b"".join(parts)


async def one_request(record, client, name, endpoints):
    """Send a pairing on a kept connection, and return whether it was lost.

    It was if an endpoint ran it, and the connection ended without a whole answer before
    the time limit.
    """
    started_s = time.monotonic()
    client.write(bench.request("POST", "/p/1", name, DEADLINE_MS, (), b"pair 4 and 9"))
    record(f"{name} sent")
    complete = False
    try:
        response = await client.response(DEADLINE_MS / 1000)
        complete = response.complete
        how = f"answered {response.status}, complete: {complete}"
    except TimeoutError:
        how = "no answer within the time limit"
        complete = True
    except (OSError, EOFError) as error:
        how = f"the connection ended without an answer: {error!r}"
    runs = sum(endpoint.runs.count(name) for endpoint in endpoints)
    taken_s = time.monotonic() - started_s
    record(f"{name}: {how}, after {taken_s:.2f} s; runs: {runs}")
    return runs > 0 and not complete


async def case(record, folder, trouble):
    deployment = bench.Deployment(record, folder)
    serve = make_serve(trouble)
    endpoints = [bench.Endpoint(f"i-{n}", "pair", serve, record, 3) for n in range(3)]
    routes = {"r-pair": bench.route("pair", "/p/", "unsafe", DEADLINE_MS)}
    daemon = deployment.daemons[0]

    def send(client, name):
        return one_request(record, client, name, endpoints)

    try:
        await deployment.start(endpoints, routes, ["pair"])
        clients = [await bench.Client.connect(daemon.ip) for _ in range(CALLERS)]
        # In calm: the answers that make the connections to the endpoints deaf.
        await asyncio.gather(*(send(c, f"first{n}") for n, c in enumerate(clients)))
        await asyncio.sleep(0.5)
        sending = [
            asyncio.ensure_future(send(client, f"second{n}"))
            for n, client in enumerate(clients)
        ]
        await asyncio.sleep(0.5)
        daemon.send(signal.SIGTERM)
        record(f"SIGTERM to {daemon.name}, {GRACE_S} s before the platform ends it")
        lost = sum(await asyncio.gather(*sending))
    finally:
        deployment.close()
    record(f"{lost} of {CALLERS} requests have run and were lost")
    return bench.BROKEN if lost else bench.HELD


RECORD = pathlib.Path(__file__).resolve().with_name("record.txt")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
bench.main(case, RECORD, TROUBLE)
