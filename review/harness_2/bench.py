"""A small deployment on loopback for the cases of the second review.

The daemons run with the command of deploy/system.toml and settings as DEPLOY.md shows.
The store is the project's stand-in; endpoints and clients are written with plain
sockets, so that a case decides each byte and each pause.
"""

import asyncio
import contextlib
import itertools
import os
import pathlib
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT))

from standins.store import FakeStore  # noqa: E402

HELD, BROKEN, NOT_RUN = 0, 1, 2
ZONES = ("zone-a", "zone-b", "zone-c")
FRONT, READY, INTERNAL, STORE = 8641, 8640, 7620, 8642
# In the command of the deploy file.
METRICS = 9464
HOST = "hulo84.example"
START_TIMEOUT_S = 20.0

SETTINGS = """
[self]
nodeName = "{name}"
role = "entry"
machineClass = "front"
serves = ["front","control"]
ip = "{ip}"
zone = "{zone}"
region = "region"
inTolerance = false
bootstrap = true
[self.limits]
cpuShare = 0.86
cpuCores = 1
memoryMb = 300
maxFds = 4100
linkMbps = {link_mbps}
diskMb = 0
[network]
internalPortRange = [{internal},{last}]
seeds = [{seeds}]
[network.listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
[network.zones]
zone-a = "region"
zone-b = "region"
zone-c = "region"
[platform]
discovery = "platform"
entry = "directory"
heartbeatMs = 1500
[platform.platform]
address = "{store}"
form = "table"
writesPerS = 400
readsPerS = 2000
txMs = 5.0
partitionWritesS = 200
rowBytes = 65536
across = false
historyS = 20
[terms]
contracts = ["base","drain","config","cost","retry","recover","health","platform"]
[terms.bounds]
seedLagS = 3
reuseDelayS = 2
stableWindowMs = 3000
ackMs = 4000
syncS = 4
drainMs = 2000
graceS = 6
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxSkewMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 56
warmupOverage = 1.5
warmupSlack = 5
evacuationMs = 5000
recoveryS = 15
ttl_max_s = 5
probesPerS = 60
"""


class Record:
    """Lines of record.txt: what was sent, answered and run, with the time."""

    def __init__(self, path):
        # Open as long as the case runs.
        self._file = open(path, "w", encoding="utf-8")  # noqa: SIM115
        self._started_s = time.monotonic()

    def __call__(self, text):
        line = f"{time.monotonic() - self._started_s:8.3f} {text}"
        print(line, file=self._file, flush=True)


class Endpoint:
    """An endpoint on a loopback address; ``serve`` answers one request.

    Args:
        name: Its id.
        service: Its service.
        serve: Coroutine function of the endpoint, the request and the connection. It
            returns whether the connection is kept.
        record: The Record.
        slots: Requests at a time that its registration states.
    """

    def __init__(self, name, service, serve, record, slots=2):
        self.name = name
        self.service = service
        self.slots = slots
        self.runs = []
        self.record = record
        self._serve = serve
        self._server = None
        self._writers = set()

    async def start(self, ip):
        self._server = await asyncio.start_server(self._connected, ip, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{ip}:{port}"

    def close(self):
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    def ran(self, request):
        """Note that the endpoint has run a request; traffic's are not recorded."""
        self.runs.append(request.id)
        if not request.id.startswith("t"):
            self.record(f"endpoint {self.name} runs {request.id}")

    async def _connected(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                request = await Request.read(reader)
                if request.target == "/health":
                    answer(writer, 200, b"", [f"Sesamespring-Instance-Id: {self.name}"])
                elif request.header("sesamespring-expect-instance") != self.name:
                    answer(writer, 421, b"", [f"Sesamespring-Instance-Id: {self.name}"])
                elif not await self._serve(self, request, writer):
                    return
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(RuntimeError):
                writer.close()


class Dose:
    """Decides which answers of the spoiled endpoints are spoiled.

    Args:
        names: Names of those endpoints.
        part: Largest part of their answers that is spoiled.
        late: Whether the part is kept to from the first answer on, and not only in the
            long run, as if each answer was spoiled by chance.
    """

    def __init__(self, names, part, late=True):
        self._names = names
        self._part = part
        self._late = 1 if late else 0.01
        self.answers = 0
        self.spoiled = 0

    def is_due(self, endpoint, wanted):
        """Count an answer, and return whether to spoil it; only if it is wanted."""
        if endpoint.name not in self._names:
            return False
        self.answers += 1
        due = wanted and self.spoiled + self._late <= self._part * self.answers
        self.spoiled += due
        return due


class Traffic:
    """Small requests of ordinary clients, each on a connection of its own.

    Args:
        deployment: The Deployment.
        method: Method of the requests.
        path: Path of the requests.
        per_s: Requests a second.
    """

    def __init__(self, deployment, method, path, per_s):
        self._deployment = deployment
        self._what = (method, path)
        self._per_s = per_s
        self.answered = self.failed = 0

    async def run(self):
        """Send requests until cancelled."""
        async with asyncio.TaskGroup() as group:
            for number in itertools.count():
                group.create_task(self._send(number))
                await asyncio.sleep(1 / self._per_s)

    async def _send(self, number):
        daemon = random.choice(self._deployment.daemons)
        try:
            client = await Client.connect(daemon.ip)
            body = b"small" if self._what[0] == "POST" else None
            client.write(request(*self._what, f"t{number}", 2000, (), body))
            response = await client.response(2.5)
            client.close()
        except (OSError, EOFError):
            self.failed += 1
            return
        self.answered += response.status == 200
        self.failed += response.status != 200


class Request:
    """A request as an endpoint receives it; ``reader`` still holds its body."""

    def __init__(self, method, target, headers, reader):
        self.method = method
        self.target = target
        self.headers = headers
        self.reader = reader
        self.id = self.header("sesamespring-request-id")

    def header(self, name, default=""):
        return self.headers.get(name, default)

    @classmethod
    async def read(cls, reader):
        head = await reader.readuntil(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")
        method, target, _ = first.split(" ")
        pairs = (line.partition(":") for line in lines if line)
        headers = {name.lower(): value.strip() for name, _, value in pairs}
        return cls(method, target, headers, reader)

    async def body(self):
        """Return the whole body, with a length or in chunks."""
        if "chunked" not in self.header("transfer-encoding"):
            return await self.reader.readexactly(int(self.header("content-length", 0)))
        parts = []
        while True:
            size = int((await self.reader.readline()).split(b";")[0], 16)
            parts.append(await self.reader.readexactly(size))
            await self.reader.readline()
            if not size:
                return b"".join(parts)


def head(status, length, headers=(), request=None):
    """Return the head of an endpoint's answer, signed if it is to a request."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {length}", *headers]
    if request is not None:
        lines.append(f"Sesamespring-Request-Id: {request.id}")
        lines.append("Sesamespring-Server-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1")
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def answer(writer, status, body, headers=(), request=None):
    """Write an answer."""
    writer.write(head(status, len(body), headers, request) + body)


class Daemon:
    """One daemon, started with the command of the deploy file's role ``entry``."""

    def __init__(self, name, ip, zone, seeds, store, folder, link_mbps):
        self.name = name
        self.ip = ip
        self._log = open(folder / f"{name}.log", "ab")  # noqa: SIM115
        self._settings = folder / f"{name}.toml"
        self._settings.write_text(
            SETTINGS.format(
                name=name,
                ip=ip,
                zone=zone,
                link_mbps=link_mbps,
                internal=INTERNAL,
                last=INTERNAL + 15,
                seeds=",".join(f'"{seed}:8649"' for seed in seeds),
                front=FRONT,
                ready=READY,
                store=store,
            ),
            encoding="utf-8",
        )
        self.process = None

    def start(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = shlex.split(deploy["roles"]["entry"]["run"])
        self.process = subprocess.Popen(
            [sys.executable, *command[1:]],
            cwd=ROOT,
            env={
                "PATH": os.environ["PATH"],
                "PYTHONPATH": "target/deps",
                "PYTHONDONTWRITEBYTECODE": "1",
                "SESAMESPRING_SETTINGS": str(self._settings),
            },
            stdout=self._log,
            stderr=self._log,
        )

    def send(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        self.send(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def memory_mb(self):
        """Resident memory of the process, in megabytes; None if it has ended."""
        try:
            status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return None
        for line in status.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return None


def free_network(daemons):
    """Return the first three bytes of loopback addresses whose ports are free."""
    for _ in range(20):
        net = f"127.{random.randint(64, 250)}.{random.randint(1, 250)}"
        ports = [FRONT, READY, INTERNAL, METRICS]
        places = [(f"{net}.{n + 1}", port) for n in range(daemons) for port in ports]
        if all(map(is_free, [*places, (f"{net}.100", STORE)])):
            return net
    raise NotRun("no loopback network has the ports free")


def is_free(address):
    """Return whether one can listen on an address, a pair of IP and port."""
    try:
        socket.create_server(address).close()
    except OSError:
        return False
    return True


class Deployment:
    """Three daemons in three zones, a store, and the endpoints of a case."""

    def __init__(self, record, folder, daemons=3, link_mbps=1000.0):
        net = free_network(daemons)
        self.endpoint_ip = f"{net}.200"
        self.record = record
        self.store = FakeStore()
        self._store_ip = f"{net}.100"
        self.endpoints = []
        ips = [f"{net}.{n + 1}" for n in range(daemons)]
        self.daemons = [
            Daemon(
                f"front-{ZONES[n % 3]}-{n}",
                ip,
                ZONES[n % 3],
                ips[:3],
                f"{self._store_ip}:{STORE}",
                folder,
                link_mbps,
            )
            for n, ip in enumerate(ips)
        ]

    async def start(self, endpoints, routes, services):
        """Start all; ``routes`` and ``services`` are those of op/config."""
        await self.store.start(self._store_ip, STORE)
        for endpoint in endpoints:
            await endpoint.start(self.endpoint_ip)
        self.endpoints = list(endpoints)
        await self.configure(7, routes, services)
        for number, endpoint in enumerate(self.endpoints):
            await self.register(endpoint, number)
        for daemon in self.daemons:
            daemon.start()
        for daemon in self.daemons:
            await self.wait_ready(daemon)
        # Daemons find each other, and are in touch after stableWindowMs.
        await asyncio.sleep(4.0)

    async def configure(self, version, routes, services):
        await self.store.put(
            "op",
            "config",
            {
                "version": f"{version:08x}",
                "routes": routes,
                "services": {
                    name: {
                        "healthPath": "/health",
                        "maxConnections": 220,
                        "protocol": "h1",
                        "tls": False,
                        "warmupS": 3.0,
                        "warmupPerS": 6.7,
                    }
                    for name in services
                },
                "limits": {
                    "maxHeaderBytes": 16384,
                    "maxBodyBytes": 67108864,
                    "headerTimeoutMs": 3000,
                    "idleTimeoutMs": 15000,
                },
            },
        )

    async def register(self, endpoint, number=0, sequence=1, state="ready"):
        await self.store.put(
            "servers",
            endpoint.name,
            {
                "service": endpoint.service,
                "address": endpoint.address,
                "zone": ZONES[number % 3],
                "version": "v1",
                "slots": endpoint.slots,
                "state": state,
                "warmupLeftMs": 0,
                "sequence": sequence,
                "born": 1_700_000_000_000 + number,
            },
        )

    async def wait_ready(self, daemon):
        until_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < until_s:
            try:
                client = await Client.connect(daemon.ip, READY)
                client.write(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n")
                status = (await client.response(2.0)).status
                client.close()
                if status == 200:
                    return
            except (OSError, EOFError):
                pass
            await asyncio.sleep(0.1)
        raise NotRun(f"{daemon.name} was not ready in {START_TIMEOUT_S} s")

    def close(self):
        for daemon in self.daemons:
            if daemon.process is not None:
                daemon.end()
        for endpoint in self.endpoints:
            endpoint.close()
        self.store.close()


class NotRun(Exception):
    """The case could not run."""


class Response:
    """An answer as a client receives it."""

    def __init__(self, status, headers, body, complete):
        self.status = status
        self.headers = headers
        self.body = body
        self.complete = complete


class Client:
    """A client's connection to a daemon."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    @classmethod
    async def connect(cls, ip, port=FRONT, sock=None, limit=2**16):
        if sock is None:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(ip, port, limit=limit), 1.0
            )
        else:
            reader, writer = await asyncio.open_connection(sock=sock, limit=limit)
        return cls(reader, writer)

    def write(self, data):
        self.writer.write(data)

    def close(self):
        self.writer.close()

    async def response(self, timeout_s, pace=None):
        """Return the Response.

        Args:
            timeout_s: How long the client waits.
            pace: Bytes a second that the client's link carries, or None.

        Raises:
            EOFError, OSError: The connection ended without an answer.
            TimeoutError: There was no whole answer in time.
        """
        async with asyncio.timeout(timeout_s):
            raw = await self.reader.readuntil(b"\r\n\r\n")
            first, *lines = raw.decode("latin-1").split("\r\n")
            pairs = (line.partition(":") for line in lines if line)
            headers = {name.lower(): value.strip() for name, _, value in pairs}
            paced = _Paced(self.reader, pace)
            complete = True
            body = bytearray()
            try:
                if "chunked" in headers.get("transfer-encoding", ""):
                    while True:
                        size = int((await paced.line()).split(b";")[0], 16)
                        await paced.into(body, size)
                        await paced.line()
                        if not size:
                            break
                else:
                    await paced.into(body, int(headers.get("content-length", 0)))
            except (OSError, EOFError, ValueError):
                complete = False
        status = int(first.split(" ")[1])
        return Response(status, headers, bytes(body), complete)


async def slow_client(ip):
    """Return a Client whose link has small segments and windows, as on Ethernet.

    Those of the loopback device would put megabytes into the kernel's buffers.
    """
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8 * 1024)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1460)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, (ip, FRONT))
    return await Client.connect(ip, sock=sock, limit=16 * 1024)


class _Paced:
    """Reads at the pace of a slow link."""

    PART = 16 * 1024

    def __init__(self, reader, pace):
        self._reader = reader
        self._pace = pace

    async def line(self):
        line = await self._reader.readline()
        if not line.endswith(b"\n"):
            raise EOFError
        return line

    async def into(self, body, size):
        while size:
            started_s = time.monotonic()
            part = await self._reader.read(min(size, self.PART))
            if not part:
                raise EOFError
            body += part
            size -= len(part)
            if self._pace:
                left_s = len(part) / self._pace - (time.monotonic() - started_s)
                await asyncio.sleep(max(0.0, left_s))


def request(method, path, number, deadline_ms, headers=(), body=None):
    """Return a client's request in bytes."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Sesamespring-Request-Id: {number}",
        f"Sesamespring-Deadline-Ms: {deadline_ms}",
        *headers,
    ]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + (body or b"")


def route(service, prefix, kind="safe", timeout_ms=2000, attempts=2):
    """Return a route of op/config."""
    return {
        "host": HOST,
        "prefix": prefix,
        "type": kind,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": 200,
        "priority": 1,
        "service": service,
        "maxAttempts": attempts,
    }


def main(case, record_path, trouble):
    """Run a case and exit with its result.

    Args:
        case: Coroutine function of the Record, a temporary folder and whether there is
            trouble. It returns HELD or BROKEN.
        record_path: Path of the case's record.txt.
        trouble: Whether the case runs with its disruption.
    """
    record = Record(record_path)
    record(f"trouble: {trouble}")

    async def run():
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(os.environ.get("CASE_LOGS", folder))
            async with asyncio.timeout(110):
                return await case(record, path, trouble)

    try:
        code = asyncio.run(run())
    except (NotRun, TimeoutError, OSError, EOFError) as error:
        record(f"could not run: {error!r}")
        code = NOT_RUN
    record({HELD: "held", BROKEN: "broken", NOT_RUN: "not run"}[code])
    print({HELD: "held", BROKEN: "broken", NOT_RUN: "not run"}[code])
    sys.exit(code)
