"""Run a store, targets and entry VMs on loopback addresses in one process.

Each Cluster uses a subnet of its own in the network of the test process.
"""

import asyncio
import contextlib
import contextvars
import itertools
from unittest import mock

import attrs

from sesamespring.gateway.daemon import GatewayDaemon
from sesamespring.gateway.members.datagrams import DatagramSocket
from sesamespring.http.channel import open_channel
from sesamespring.platform.settings import Bounds, VmSettings
from standins.platform_target import PlatformTarget
from standins.store import FakeStore
from tests.loopback import loopback_ip

HOST = "a.example"
SERVICE = "reader"
DATA_CENTRES = ("dc-a", "dc-b", "dc-c")
STORE_PORT = 21000
STORE_ADDRESSES = 8
TARGET_PORT = 22000
CALLERS_PORT = 23000
READY_PORT = 23001
DIRECTORY_PORT = 23002
INTERNAL_PORT = 23003
BOUNDS = Bounds(6.0, 0.2, 56.0, 10.0, 1.5, 5.0, 5.0, 60.0)
_networks = itertools.count(10)
# IP address of the VM whose code runs; all VMs of a Cluster share one process.
_vm_ip = contextvars.ContextVar("vm_ip")


def route(name, kind="safe", prefix=None, **changes):
    """Return a route in the platform's JSON format; ``changes`` replace its fields."""
    return {
        "host": HOST,
        "prefix": prefix or f"/{name}/",
        "type": kind,
        "timeoutMs": 2000,
        "targetLatencyMs": 500,
        "priority": 1,
        "service": SERVICE,
        "maxAttempts": 2,
        **changes,
    }


def configuration(version=1, routes=None, services=(SERVICE,), tenants=None):
    """Return a configuration in the platform's JSON format.

    Without ``tenants``, a dict of accounts by name, requests need no key.
    """
    accounts = {} if tenants is None else {"tenants": tenants}
    default = {"read": route("read"), "write": route("write", "unsafe")}
    return {
        **accounts,
        "version": f"{version:08x}",
        "routes": routes or default,
        "services": {
            name: {
                "healthPath": "/health",
                "maxConnections": 100,
                "protocol": "h1",
                "tls": False,
                "warmupS": 3.0,
                "warmupPerS": 6.7,
            }
            for name in services
        },
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4_000_000,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


@attrs.define
class Response:
    """A response as a caller gets it; the status is 0 if there was no complete one."""

    status: int
    headers: dict
    body: bytes


class Cluster:
    """A store, targets and entry VMs; use as an asynchronous context manager.

    Args:
        vms: Number of entry VMs.
        targets: Number of targets.
        work_s: Seconds that a target takes for a request.
        slots: Slots of each target.
        seeds: Whether VMs know some others' addresses from their settings.
        bounds: The Bounds of the VMs.
    """

    def __init__(self, vms=1, targets=2, work_s=0.01, slots=2, seeds=True, bounds=None):
        self._bounds = BOUNDS if bounds is None else bounds
        self.store = FakeStore()
        self.targets = [
            PlatformTarget(f"t{number}", work_s, slots) for number in range(targets)
        ]
        network = next(_networks)
        self._seeds = seeds
        self.ips = [loopback_ip(network, number + 1) for number in range(vms)]
        # Each VM has its own address of the store, so that a test can cut off one VM.
        self._store_host = loopback_ip(network, 2)
        self._target_host = loopback_ip(network, 150)
        self._stack = contextlib.AsyncExitStack()
        self._stops = {}
        self._tasks = {}
        self._daemons = {}
        # Dict by IP address of the VMs that are cut off from targets: function without
        # arguments that is awaited in place of a new connection.
        self._cut_off = {}

    async def __aenter__(self):
        for number in range(STORE_ADDRESSES):
            await self.store.start(*self.store_address(number))
        self._stack.callback(self.store.close)
        name = "sesamespring.gateway.targets.connection_pool.open_channel"
        self._stack.enter_context(mock.patch(name, self._open_channel))
        await self.store.put("op", "config", configuration())
        for number in range(len(self.targets)):
            await self.start_target(number)
        for ip in self.ips:
            self.start_vm(ip)
        for ip in self.ips:
            await self.until_ready(ip)
        return self

    async def __aexit__(self, *exception):
        for ip in tuple(self._tasks):
            await self.kill_vm(ip)
        await self._stack.aclose()

    def store_address(self, number):
        """Return the store's address for the VM at an index of ``ips``."""
        return f"{self._store_host}{number:02d}", STORE_PORT

    def target_address(self, number):
        return (self._target_host, TARGET_PORT + number)

    async def start_target(self, number):
        target = self.targets[number]
        await target.start(*self.target_address(number))
        self._stack.callback(target.close)
        await self.register(number)

    async def register(self, number, **changes):
        """Write a target's registration; ``changes`` replace its fields."""
        target = self.targets[number]
        host, port = self.target_address(number)
        registration = {
            "service": SERVICE,
            "address": f"{host}:{port}",
            "zone": DATA_CENTRES[number % len(DATA_CENTRES)],
            "version": "v1",
            "slots": target.slots,
            "state": "ready",
            "warmupLeftMs": 0,
            "sequence": 1,
            "born": 1,
            **changes,
        }
        await self.store.put("servers", target.id, registration)

    def settings(self, ip):
        index = self.ips.index(ip)
        return VmSettings(
            name=f"vm-{index}",
            data_centre=DATA_CENTRES[index % len(DATA_CENTRES)],
            ip=ip,
            callers_address=(ip, CALLERS_PORT),
            ready_address=(ip, READY_PORT),
            directory_address=(ip, DIRECTORY_PORT),
            internal_ports=(INTERNAL_PORT, INTERNAL_PORT + 1),
            seed_ips=tuple(other for other in self.ips[:3] if other != ip)
            if self._seeds
            else (),
            store_address=self.store_address(index),
            cores=1.0,
            link_mbps=1000.0,
            descriptors_max=1000,
            bounds=self._bounds,
        )

    def start_vm(self, ip):
        stop = asyncio.Event()
        self._stops[ip] = stop
        context = contextvars.copy_context()
        context.run(_vm_ip.set, ip)
        daemon = context.run(GatewayDaemon, self.settings(ip))
        self._daemons[ip] = daemon
        self._tasks[ip] = asyncio.get_running_loop().create_task(
            daemon.run(stop), context=context
        )

    def stop_vm(self, ip):
        """Stop a VM as SIGTERM does, and return the task that ends with the VM."""
        self._stops[ip].set()
        return self._tasks[ip]

    async def kill_vm(self, ip):
        """Cancel a VM's task without a graceful stop, as if it had crashed."""
        task = self._tasks.pop(ip)
        task.cancel()
        await asyncio.wait((task,))

    def cut_datagrams(self, ip):
        """Cut a VM off from the others' datagrams for good, in both directions."""
        send = DatagramSocket.send

        def send_unless_cut(sock, message, *addresses):
            kept = [a for a in addresses if ip not in (a[0], sock.local_address[0])]
            send(sock, message, *kept)

        self._stack.enter_context(
            mock.patch.object(DatagramSocket, "send", send_unless_cut)
        )

    def cut_from_targets(self, ip, how, numbers=None):
        """Cut a VM off from targets until ``restore_targets``.

        Args:
            ip: IP address of the VM.
            how: ``silent``: connections hang, also new ones; ``reset``: they are reset,
                and new ones refused; ``refused``: they live on, and new ones are
                refused.
            numbers: Indexes of the targets, or None for all.
        """
        numbers = range(len(self.targets)) if numbers is None else numbers
        for number in numbers:
            target = self.targets[number]
            if how == "silent":
                target.unreachable_from.add(ip)
            elif how == "reset":
                target.reset_connections(ip)
            address = self.target_address(number)
            self._cut_off[ip, address] = _hang if how == "silent" else _refuse

    def restore_targets(self, ip):
        """End ``cut_from_targets``; connections that hang do so for good."""
        for key in [key for key in self._cut_off if key[0] == ip]:
            del self._cut_off[key]
        for target in self.targets:
            target.unreachable_from.discard(ip)

    async def _open_channel(self, address, timeout_s):
        """Open a Channel from the address of the VM that calls this."""
        ip = _vm_ip.get()
        fail = self._cut_off.get((ip, address))
        if fail is not None:
            async with asyncio.timeout(timeout_s):
                await fail()
        return await open_channel(address, timeout_s, ip)

    async def until_ready(self, ip, timeout_s=10.0):
        async with asyncio.timeout(timeout_s):
            while (await self.request((ip, READY_PORT), "/-/ready")).status != 200:
                await asyncio.sleep(0.05)

    async def request(self, address, target, method="GET", headers=None, body=b""):
        """Send one HTTP request on a new connection and return the Response."""
        try:
            reader, writer = await asyncio.open_connection(*address)
        except OSError:
            return Response(0, {}, b"")
        try:
            writer.write(request_bytes(target, method, headers, body))
            return await read_response(reader)
        finally:
            writer.transport.abort()

    async def call(self, ip, request_id, path="/read/1", **options):
        """Send a caller's request to a VM and return the Response."""
        timeout_ms = options.pop("timeout_ms", 1000)
        headers = {
            "Host": HOST,
            "Sesamespring-Request-Id": request_id,
            "Sesamespring-Deadline-Ms": str(timeout_ms),
            **options.pop("headers", {}),
        }
        return await self.request((ip, CALLERS_PORT), path, headers=headers, **options)

    @property
    def daemons(self):
        """List of the GatewayDaemons of the VMs that run."""
        return [self._daemons[ip] for ip in self._tasks]

    @property
    def runs(self):
        """Ids of the requests that targets began to run, one entry per run."""
        return [r.request_id for target in self.targets for r in target.received]


async def _hang():
    await asyncio.Event().wait()


async def _refuse():
    raise ConnectionRefusedError("refused by a cut link")


def request_bytes(target, method="GET", headers=None, body=b""):
    fields = {"Host": "x", **(headers or {})}
    if body and "Transfer-Encoding" not in fields:
        fields["Content-Length"] = str(len(body))
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def read_response(reader):
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode().split("\r\n")
        status = int(lines[0].split(" ")[1])
        fields = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            fields[name.lower()] = value.strip()
        if "content-length" in fields:
            body = await reader.readexactly(int(fields["content-length"]))
        else:
            body = await reader.read()
        return Response(status, fields, body)
    except (ConnectionError, asyncio.IncompleteReadError):
        return Response(0, {}, b"")
