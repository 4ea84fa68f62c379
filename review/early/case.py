"""A whole answer that comes before its upload is read never ends for the caller."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "harness_2"))

import bench  # noqa: E402

UPLOADS = 8
DEADLINE_MS = 2500
UPLOAD = b"v" * 4 * 1024 * 1024
ANSWER = b"frame checked\n" * 30_000
# The rest of an upload takes this long: the client's link, not the answer, is slow.
PART = 256 * 1024
PART_S = 0.05


def make_serve(trouble):
    async def serve(endpoint, request, writer):
        if request.method == "GET":
            endpoint.ran(request)
            bench.answer(writer, 200, b"ok", request=request)
            return True
        endpoint.ran(request)
        if not trouble:
            await request.body()
        head = [
            "HTTP/1.1 200 X",
            f"Sesamespring-Request-Id: {request.id}",
            "Sesamespring-Server-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1",
            "Connection: close",
        ]
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n" + ANSWER)
        await writer.drain()
        # The answer has no length and ends here; the upload is read on.
        writer.write_eof()
        endpoint.record(f"endpoint {endpoint.name} has answered {request.id}")
        if trouble:
            try:
                await request.body()
                endpoint.record(f"endpoint {endpoint.name} has read {request.id}")
            except (OSError, asyncio.IncompleteReadError) as error:
                endpoint.record(f"upload {request.id} ends early: {error!r}")
        return False

    return serve


async def one_upload(record, daemon, number):
    """Upload on a kept connection, and return whether its answer was complete."""
    client = await bench.Client.connect(daemon.ip)
    client.write(bench.request("GET", "/u/0", f"first{number}", DEADLINE_MS))
    await client.response(3.0)
    name = f"upload{number}"
    length = [f"Content-Length: {len(UPLOAD)}"]
    client.write(bench.request("POST", "/u/1", name, DEADLINE_MS, length))
    record(f"{name} sent")

    async def send():
        try:
            for start in range(0, len(UPLOAD), PART):
                client.write(UPLOAD[start : start + PART])
                await client.writer.drain()
                await asyncio.sleep(PART_S)
            record(f"{name}: body sent")
        except OSError as error:
            record(f"{name}: body not sent: {error!r}")

    sending = asyncio.ensure_future(send())
    try:
        response = await client.response(DEADLINE_MS / 1000 + 0.5)
    except (OSError, EOFError) as error:
        record(f"{name}: no answer: {error!r}")
        return False
    finally:
        sending.cancel()
        client.close()
    record(
        f"{name} answered {response.status}, {len(response.body)} of {len(ANSWER)} "
        f"bytes, complete: {response.complete}"
    )
    return response.complete and response.body == ANSWER


async def case(record, folder, trouble):
    deployment = bench.Deployment(record, folder)
    serve = make_serve(trouble)
    endpoints = [bench.Endpoint(f"i-{n}", "inspect", serve, record) for n in range(3)]
    routes = {"r-up": bench.route("inspect", "/u/", "upload", DEADLINE_MS)}
    lost = 0
    try:
        await deployment.start(endpoints, routes, ["inspect"])
        for number in range(UPLOADS):
            daemon = deployment.daemons[number % 3]
            lost += not await one_upload(record, daemon, number)
    finally:
        deployment.close()
    record(f"{lost} of {UPLOADS} uploads were passed on and not answered")
    return bench.BROKEN if lost > 3 else bench.HELD


bench.main(case, __file__)
