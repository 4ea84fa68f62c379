"""Send requests as callers do, and keep what became of each."""

import asyncio
import contextlib
import itertools
import random
import time

import attrs

from soak.cluster import HOST

__all__ = ["Call", "Load"]

TIMEOUT_S = 1.5
# How long after its time a caller still reads, to see answers that come late.
LISTEN_S = 2.0
PAUSE_S = 0.04
DIRECTORY_TIMEOUT_S = 1.0
ONCE_ONLY_SHARE = 0.4
PROBE_INTERVAL_S = 0.1
CONNECTION_KEPT = 0.8
CLOSED = 0


@attrs.define
class Call:
    """One request of a caller.

    Attributes:
        request_id: Its id.
        path: Request target.
        idempotent: Whether it may run more than once.
        vm: Name of the VM that it went to.
        lifetime: Which start of that VM's process took it, as far as known.
        sent_s: Time at which it was sent.
        ended_s: Time of its answer, or of the end of its connection, or None.
        status: Status of its answer; CLOSED where the connection ended, or None.
        body: Body of its answer.
        not_connected: Whether the VM could not be reached.
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


class Load:
    """Callers that keep connections and the directory's answers for a while.

    Args:
        cluster: The Cluster.
        seed: Seed of their choices.

    Attributes:
        calls: List of Call.
    """

    def __init__(self, cluster, seed):
        self.calls = []
        self._cluster = cluster
        self._random = random.Random(seed)
        self._numbers = itertools.count(1)
        self._vms = {vm.ip: vm for vm in cluster.vms}

    async def run_caller(self):
        """Send requests until cancelled."""
        addresses, until_s, kept = [], 0.0, {}
        try:
            while True:
                if time.monotonic() >= until_s:
                    told = await self._resolve()
                    addresses = told or addresses
                    until_s = time.monotonic() + 1.0
                if addresses:
                    await self._send_one(self._random.choice(addresses), kept)
                await asyncio.sleep(PAUSE_S * self._random.uniform(0.5, 1.5))
        finally:
            for _, writer in kept.values():
                writer.transport.abort()

    async def run_probes(self):
        """Ask each VM for the routes of the newest versions until cancelled."""
        while True:
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
                    status, _, body = await _read_answer(reader)
                finally:
                    writer.transport.abort()
            if status == 200:
                texts = body.decode().split('"')
                return [t.partition(":")[0] for t in texts if t.count(".") == 3]
        return []

    async def _send_one(self, ip, kept):
        once_only = self._random.random() < ONCE_ONLY_SHARE
        path = "/order/1" if once_only else "/lookup/1"
        if self._random.random() > CONNECTION_KEPT:
            _drop(kept, ip)
        await self._send(self._vms[ip], path, not once_only, kept)

    async def _send(self, vm, path, idempotent, kept):
        request_id = f"r{next(self._numbers)}"
        call = Call(
            request_id, path, idempotent, vm.name, vm.lifetime, time.monotonic()
        )
        self.calls.append(call)
        try:
            async with asyncio.timeout(TIMEOUT_S + LISTEN_S):
                if vm.ip not in kept:
                    address = self._cluster.callers_address(vm.ip)
                    kept[vm.ip] = await asyncio.open_connection(*address)
                reader, writer = kept[vm.ip]
                writer.write(_request_bytes(call))
                call.status, fields, call.body = await _read_answer(reader)
                if fields.get("connection") == "close":
                    _drop(kept, vm.ip)
        except (OSError, asyncio.IncompleteReadError):
            call.status = CLOSED
            call.not_connected = vm.ip not in kept
            _drop(kept, vm.ip)
        except TimeoutError:
            _drop(kept, vm.ip)
        finally:
            call.ended_s = time.monotonic()
            if vm.ip in kept and call.status is None:
                _drop(kept, vm.ip)


def _drop(kept, ip):
    found = kept.pop(ip, None)
    if found is not None:
        found[1].transport.abort()


def _request_bytes(call):
    method = "GET" if call.idempotent else "POST"
    body = b"" if call.idempotent else b"confirm " + call.request_id.encode()
    lines = [
        f"{method} {call.path} HTTP/1.1",
        f"Host: {HOST}",
        f"Sesamespring-Request-Id: {call.request_id}",
        f"Sesamespring-Deadline-Ms: {int(TIMEOUT_S * 1000)}",
        f"Content-Length: {len(body)}",
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def _read_answer(reader):
    """Return the status, headers and body of an answer."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        fields[name.lower()] = value.strip()
    length = int(fields.get("content-length", 0))
    return int(lines[0].split(" ")[1]), fields, await reader.readexactly(length)
