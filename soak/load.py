"""Generate the load of a soak test and record the outcome of each request."""

import asyncio
import contextlib
import itertools
import random
import time

import attrs

from soak.accounts import LASTING_KEYS, choose_key
from soak.cluster import HOST

__all__ = ["FATAL_PREFIX", "Call", "LoadGenerator"]

TIMEOUT_S = 1.5
# How long a caller reads on after the deadline, to record responses that are late.
LATE_READ_S = 2.0
THINK_TIME_S = 0.04
DIRECTORY_TIMEOUT_S = 1.0
NON_IDEMPOTENT_SHARE = 0.4
# Share of the fatal requests while there are any.
FATAL_SHARE = 0.2
PROBE_INTERVAL_S = 0.1
CONNECTION_REUSE_SHARE = 0.8
CONNECTION_CLOSED = 0
PROBES_KEY = next(iter(LASTING_KEYS))
# Start of the paths of requests that end the targets that run them.
FATAL_PREFIX = "/lookup/fatal-"


@attrs.define
class Call:
    """One request of a caller and its outcome.

    Times are on the monotonic clock.

    Attributes:
        request_id: Request id, which the caller chooses.
        path: Request target.
        idempotent: Whether it may run more than once.
        vm: Name of the VM that it was sent to.
        lifetime: Number of times that the VM's process had been started when the
            request was sent; the process may have been restarted since.
        sent_s: Time at which it was sent.
        ended_s: Time of the response, the end of the connection or the timeout;
            None until then.
        status: Status of the response; CONNECTION_CLOSED if the connection ended or
            the read timed out without one; None until then.
        body: Body of the response.
        not_connected: Whether the connection to the VM failed.
        silenced: Whether its connection was silenced, so that it never reached the VM
            or its response never came back.
        key: Key of its account, or None if it has none.
    """

    request_id: str
    path: str
    idempotent: bool
    vm: str
    lifetime: int
    sent_s: float
    ended_s: float | None = None
    status: int | None = None
    body: bytes = b""
    not_connected: bool = False
    silenced: bool = False
    key: str | None = None

    @property
    def has_lasting_key(self):
        """Whether no configuration takes its key away."""
        return self.key is None or self.key in LASTING_KEYS

    @property
    def fatal(self):
        """Whether it ends the targets that run it."""
        return self.path.startswith(FATAL_PREFIX)


class LoadGenerator:
    """Callers that resolve VMs at the directory and reuse connections and results.

    Args:
        cluster: The Cluster.
        seed: Seed of their random choices.

    Attributes:
        calls: List of Call, in order of sending.
        stopping: Whether callers end after the request that they have sent.
    """

    def __init__(self, cluster, seed):
        self.calls = []
        self.stopping = False
        self._cluster = cluster
        self._random = random.Random(seed)
        # Of its own, so that earlier seeds choose what they chose before.
        self._key_random = random.Random(f"{seed} keys")
        self._request_numbers = itertools.count(1)
        self._vms = {vm.ip: vm for vm in cluster.vms}

    async def run_caller(self):
        """Run one caller, which sends one request at a time, until it is stopped."""
        addresses, until_s, connections = [], 0.0, {}
        try:
            while not self.stopping:
                if time.monotonic() >= until_s:
                    resolved = await self._resolve()
                    addresses = resolved or addresses
                    until_s = time.monotonic() + 1.0
                if addresses:
                    await self._send_one(self._random.choice(addresses), connections)
                await asyncio.sleep(THINK_TIME_S * self._random.uniform(0.5, 1.5))
        finally:
            for _, writer in connections.values():
                writer.transport.abort()

    async def run_probes(self):
        """Request the newest configuration version's own route at each VM.

        Goes on until it is stopped.
        """
        while not self.stopping:
            for vm in self._cluster.vms:
                version, _ = self._cluster.configurations[-1]
                await self._send(vm, f"/tag-{version}/1", True, {})
            await asyncio.sleep(PROBE_INTERVAL_S)

    async def _resolve(self):
        vm = self._random.choice(self._cluster.vms)
        query = f"/-/resolve?name={HOST}&region=r&zone=dc-a"
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            async with asyncio.timeout(DIRECTORY_TIMEOUT_S):
                address = self._cluster.directory_address(vm)
                reader, writer = await asyncio.open_connection(*address)
                try:
                    writer.write(f"GET {query} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
                    status, _, body = await _read_response(reader)
                finally:
                    writer.transport.abort()
            if status == 200:
                strings = body.decode().split('"')
                return [s.partition(":")[0] for s in strings if s.count(".") == 3]
        return []

    async def _send_one(self, ip, connections):
        non_idempotent = self._random.random() < NON_IDEMPOTENT_SHARE
        path = "/order/1" if non_idempotent else "/lookup/1"
        fatal_paths = self._cluster.sent_fatal_paths
        if fatal_paths and self._random.random() < FATAL_SHARE:
            non_idempotent = False
            path = self._random.choice(fatal_paths)
        if self._random.random() > CONNECTION_REUSE_SHARE:
            _abort_connection(connections, ip)
        versions = [version for version, _ in self._cluster.configurations]
        key = choose_key(self._key_random, versions)
        await self._send(self._vms[ip], path, not non_idempotent, connections, key)

    async def _send(self, vm, path, idempotent, connections, key=PROBES_KEY):
        request_id = f"r{next(self._request_numbers)}"
        call = Call(
            request_id, path, idempotent, vm.name, vm.lifetime, time.monotonic()
        )
        call.key = key
        self.calls.append(call)
        client_address = None
        try:
            async with asyncio.timeout(TIMEOUT_S + LATE_READ_S):
                if vm.ip not in connections:
                    address = self._cluster.callers_address(vm.ip)
                    connections[vm.ip] = await asyncio.open_connection(*address)
                reader, writer = connections[vm.ip]
                client_address = writer.get_extra_info("sockname")
                writer.write(_request_bytes(call))
                call.status, headers, call.body = await _read_response(reader)
                if headers.get("connection") == "close":
                    _abort_connection(connections, vm.ip)
        except (OSError, asyncio.IncompleteReadError):
            # A timeout is an OSError as well.
            call.status = CONNECTION_CLOSED
            call.not_connected = vm.ip not in connections
            _abort_connection(connections, vm.ip)
        finally:
            call.ended_s = time.monotonic()
            link = self._cluster.callers_links[vm.ip]
            call.silenced = link.is_silenced(client_address)
            if vm.ip in connections and call.status is None:
                _abort_connection(connections, vm.ip)


def _abort_connection(connections, ip):
    connection = connections.pop(ip, None)
    if connection is not None:
        connection[1].transport.abort()


def _request_bytes(call):
    method = "GET" if call.idempotent else "POST"
    body = b"" if call.idempotent else b"confirm " + call.request_id.encode()
    lines = [
        f"{method} {call.path} HTTP/1.1",
        f"Host: {HOST}",
        f"Sesamespring-Request-Id: {call.request_id}",
        f"Sesamespring-Deadline-Ms: {int(TIMEOUT_S * 1000)}",
        f"Content-Length: {len(body)}",
        f"Sesamespring-Credential: {call.key}",
        # A name that no caller may choose itself.
        "Sesamespring-Tenant: forged",
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def _read_response(reader):
    """Read a response; return its status, dict of headers and body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    status = int(lines[0].split(" ")[1])
    if headers.get("transfer-encoding") == "chunked":
        return status, headers, await _read_chunks(reader)
    length = int(headers.get("content-length", 0))
    return status, headers, await reader.readexactly(length)


async def _read_chunks(reader):
    """Read a body in chunks and return it."""
    body = b""
    while length := int(await reader.readuntil(b"\r\n"), 16):
        body += (await reader.readexactly(length + 2))[:-2]
    await reader.readuntil(b"\r\n")
    return body
