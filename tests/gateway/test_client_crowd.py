"""Test that a small crowd of clients that break the limits ends or blinds no process.

The VMs are processes of their own with little memory. What is checked does not depend
on the speed of the machine.
"""

import asyncio
import contextlib
import socket
from pathlib import Path

import pytest

from soak.accounts import LASTING_KEYS
from soak.cluster import HOST, Cluster
from soak.vm import CALLERS_PORT, VmLimits
from tests.gateway.cluster import read_response, request_bytes

VMS = 3
MEMORY_MB = 128
DESCRIPTORS_MAX = 400
KB = 1024
UPLOAD = b"u" * (512 * KB)
CROWD_S = 10.0
QUIET_S = 2.0
RECONNECT_S = 0.05
# How long a connection stays open that has sent all.
STAY_S = 3.0
# Source addresses of the crowd, which its connections take in turn.
CROWD_IPS = tuple(f"127.0.3.{number}" for number in range(1, 5))
RECEIVE_BUFFER_BYTES = 4 * KB
SERVICE_TIME_S = 0.005
KEY = next(iter(LASTING_KEYS))

pytestmark = pytest.mark.alone


def get(name):
    return request_bytes(f"/lookup/{name}", headers=headers(name))


def upload(name):
    return request_bytes(f"/order/{name}", "POST", headers(name), UPLOAD)


def headers(name):
    return {
        "Host": HOST,
        "Sesamespring-Request-Id": name,
        "Sesamespring-Deadline-Ms": "2000",
        "Sesamespring-Credential": KEY,
    }


class Crowd:
    """Connections to a VM that send and never read; lost ones are replaced.

    Args:
        ip: IP address of the VM.
        connections: Number of connections.
        data: Function that returns what the connection with a number sends, in pieces.
    """

    def __init__(self, ip, connections, data):
        self._address = (ip, CALLERS_PORT)
        self._data = data
        self._numbers = range(connections)

    async def press(self):
        """Send for ``CROWD_S`` and close all connections."""
        tasks = [asyncio.ensure_future(self._send(n)) for n in self._numbers]
        await asyncio.wait(tasks, timeout=CROWD_S)
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)

    async def _send(self, number):
        while True:
            await self._send_on_connection(number)
            await asyncio.sleep(RECONNECT_S)

    async def _send_on_connection(self, number):
        loop = asyncio.get_running_loop()
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            sock.setblocking(False)
            sock.bind((CROWD_IPS[number % len(CROWD_IPS)], 0))
            await loop.sock_connect(sock, self._address)
            for piece in self._data(number):
                await loop.sock_sendall(sock, piece)
            await asyncio.sleep(STAY_S)


def status_kb(pid, field):
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(f"{field}:"):
            return int(line.split()[1])
    raise AssertionError(f"process {pid} has no {field}")


async def most_descriptors(pid, until):
    """Return the most open descriptors of a process before a task is done."""
    most = 0
    while not until.done():
        most = max(most, len(list(Path(f"/proc/{pid}/fd").iterdir())))
        await asyncio.sleep(0.05)
    return most


async def ordinary_status(ip, data):
    reader, writer = await asyncio.open_connection(ip, CALLERS_PORT)
    try:
        writer.write(data)
        return (await read_response(reader)).status
    finally:
        writer.transport.abort()


def run_crowd(folder, connections, data, ordinary, padding_bytes=0):
    """Let a crowd press on one VM, then check all processes and an ordinary request."""

    async def scenario():
        limits = VmLimits(MEMORY_MB, DESCRIPTORS_MAX)
        async with Cluster(VMS, folder, limits=limits) as cluster:
            for target in cluster.targets:
                target.server.service_time_s = SERVICE_TIME_S
                target.server.padding = b"x" * padding_bytes
            pids = [vm.pid for vm in cluster.vms]
            vm = cluster.vms[0]
            crowd = Crowd(vm.ip, connections, data)
            pressing = asyncio.ensure_future(crowd.press())
            descriptors = await most_descriptors(vm.pid, pressing)
            await asyncio.sleep(QUIET_S)
            status = await ordinary_status(vm.ip, ordinary)
            peaks_kb = [status_kb(pid, "VmHWM") for pid in pids]
            print(f"\nmeasured: {peaks_kb} KB, {descriptors} descriptors, {status}")
            assert [v.pid for v in cluster.vms if v.running] == pids
            assert max(peaks_kb) < MEMORY_MB * KB
            assert descriptors < DESCRIPTORS_MAX
            assert status == 200

    asyncio.run(scenario())


def test_uploads_sent_ahead_with_answers_unread(tmp_path):
    def uploads(number):
        return (upload(f"crowd-{number}-{i}") for i in range(40))

    run_crowd(tmp_path, 30, uploads, upload("ordinary"))


@pytest.mark.parametrize("kb", [64, 512])
def test_reads_sent_ahead_with_answers_unread(tmp_path, kb):
    def reads(number):
        return [b"".join(get(f"crowd-{number}-{i}") for i in range(200))]

    run_crowd(tmp_path, 60, reads, get("ordinary"), kb * KB)


def test_heads_cut_short(tmp_path):
    def heads(number):
        return [get(f"crowd-{number}")[:-4] + b"\r\nX-Rest: " + b"x" * 15 * KB]

    run_crowd(tmp_path, 300, heads, get("ordinary"))
