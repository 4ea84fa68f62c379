"""Run a store, targets and entry VMs, with a link before each that can be spoilt."""

import asyncio
import contextlib
import enum
import itertools
import os

import attrs

from soak.disturbances import STORE, Disturbances
from soak.link import Link
from soak.vm import CALLERS_PORT, DIRECTORY_PORT, READY_PORT, SoakVm
from standins.platform_target import PlatformTarget
from standins.store import FakeStore

__all__ = ["HOST", "Closure", "Cluster", "SoakTarget"]

HOST = "soak.example"
DATA_CENTRES = ("dc-a", "dc-b", "dc-c")
# Requests that may be repeated go to the first service, the others to the second.
SERVICES = ("lookups", "orders")
TARGETS_PER_SERVICE = 4
SLOTS = 2
WORK_S = 0.03
COLD_S = 3.0
COLD_PER_S = 6.7
HEARTBEAT_S = 1.5
HEARTBEATS_MISSED = 3
START_TIMEOUT_S = 20.0
POLL_S = 0.05
STORE_PORT = 25000
TARGETS_PORT = 26000
_networks = itertools.count()


class Subnet(enum.IntEnum):
    """What has addresses of its own."""

    STORE = 1
    VMS = 2
    STORE_LINKS = 3
    CALLERS_LINKS = 4
    TARGETS = 5
    TARGET_LINKS = 6


@attrs.define(eq=False)
class SoakTarget:
    """A target, its link and what it says in the store.

    Attributes:
        service: Name of its service.
        data_centre: Its data centre.
        place: Number of its address.
        server: The PlatformTarget.
        link: The Link before it.
        leaving_since_s: Time at which the store took in that it leaves, or None.
        cold_until_s: Time until which it is in cold start.
        alive: Whether it runs.
    """

    service: str
    data_centre: str
    place: int
    server: PlatformTarget
    link: Link
    leaving_since_s: float | None = None
    cold_until_s: float = 0.0
    alive: bool = True

    @property
    def name(self):
        """Its identity."""
        return self.server.id


@attrs.define(eq=False)
class Closure:
    """A data centre that is out of service for a while.

    Attributes:
        data_centre: Its name.
        since_s: Time at which the store took that in.
        until_s: Time at which it came back.
    """

    data_centre: str
    since_s: float
    until_s: float = float("inf")


class Cluster:
    """Everything that a soak runs; use as an asynchronous context manager.

    Args:
        vms: How many entry VMs.
        folder: Path for settings and logs.

    Attributes:
        store: The FakeStore.
        disturbances: The Disturbances.
        vms: List of SoakVm.
        callers_links: Dict of the Link before a VM's callers by its IP address.
        store_links: Dict of the Link between a VM and the store by the VM's name.
        targets: List of all SoakTargets that ever were.
        configurations: List of pairs of version and time of its acknowledgement.
        closures: List of Closure, also of those that are over.
    """

    def __init__(self, vms, folder):
        # Processes that run side by side do not meet, nor does one seed the next.
        self._network = f"127.{64 + os.getpid() % 128}"
        self._first_subnet = 10 * (next(_networks) % 25)
        self.store = FakeStore()
        self.disturbances = Disturbances()
        self.callers_links = {}
        self.store_links = {}
        self.targets = []
        self.configurations = []
        self.closures = []
        self._numbers = itertools.count(1)
        self._stack = contextlib.AsyncExitStack()
        self._heartbeats = {}
        ips = [self._ip(Subnet.VMS, number) for number in range(vms)]
        self.vms = [
            SoakVm(
                f"vm-{number}",
                ip,
                DATA_CENTRES[number % len(DATA_CENTRES)],
                [other for other in ips[:3] if other != ip],
                (self._ip(Subnet.STORE_LINKS, number), STORE_PORT),
                folder,
            )
            for number, ip in enumerate(ips)
        ]

    async def __aenter__(self):
        store_address = (self._ip(Subnet.STORE), STORE_PORT)
        await self.store.start(*store_address)
        self._stack.callback(self.store.close)
        for number, vm in enumerate(self.vms):
            link = await self._start_link(
                store_address, self._ip(Subnet.STORE_LINKS, number), STORE_PORT
            )
            self.store_links[vm.name] = link
            link = await self._start_link(
                (vm.ip, CALLERS_PORT),
                self._ip(Subnet.CALLERS_LINKS, number),
                CALLERS_PORT,
            )
            self.callers_links[vm.ip] = link
        await self.put_configuration()
        for number in range(len(SERVICES) * TARGETS_PER_SERVICE):
            await self.start_target(SERVICES[number % len(SERVICES)], number)
        for vm in self.vms:
            vm.start()
            self._stack.callback(vm.kill)
        async with asyncio.timeout(START_TIMEOUT_S):
            for vm in self.vms:
                await self.until_ready(vm)
        return self

    async def __aexit__(self, *exception):
        for task in self._heartbeats.values():
            task.cancel()
        await self._stack.aclose()

    def callers_address(self, ip):
        """Return where callers connect who were told a VM's address."""
        number = int(ip.rpartition(".")[2]) - 1
        return self._ip(Subnet.CALLERS_LINKS, number), CALLERS_PORT

    def directory_address(self, vm):
        """Return the pair of IP and port of a VM's directory."""
        return vm.ip, DIRECTORY_PORT

    async def until_ready(self, vm):
        """Wait until a VM takes requests."""
        while not await self._is_ready(vm):
            await asyncio.sleep(POLL_S)

    async def put_configuration(self):
        """Declare the next version; only its own tag is a route besides."""
        version = len(self.configurations) * 3 + 1
        await self.store.put("op", "config", _configuration(version))
        now_s = asyncio.get_running_loop().time()
        self.configurations.append((version, now_s))
        return version

    async def close_data_centre(self, name):
        """Take a data centre out of service and return the Closure."""
        await self.store.put("op", f"evacuate/{name}", {})
        closure = Closure(name, asyncio.get_running_loop().time())
        self.closures.append(closure)
        return closure

    async def open_data_centre(self, closure):
        """Take a data centre back."""
        closure.until_s = asyncio.get_running_loop().time()
        await self.store.delete("op", f"evacuate/{closure.data_centre}")

    async def start_target(self, service, place, cold_s=0.0):
        """Start a target at the address of a place, and register it."""
        number = next(self._numbers)
        server = PlatformTarget(f"t{number}", WORK_S, SLOTS)
        server.cold_left_ms = int(cold_s * 1000)
        port = TARGETS_PORT + place
        real = (self._ip(Subnet.TARGETS, number % 250), port)
        await server.start(*real)
        self._stack.callback(server.close)
        link = await self._start_link(real, self._ip(Subnet.TARGET_LINKS), port)
        data_centre = DATA_CENTRES[place % len(DATA_CENTRES)]
        target = SoakTarget(service, data_centre, place, server, link)
        target.cold_until_s = asyncio.get_running_loop().time() + cold_s
        self.targets.append(target)
        await self._register(target, 1)
        loop = asyncio.get_running_loop()
        self._heartbeats[target.name] = loop.create_task(self._beat(target))
        return target

    async def say_leaving(self, target):
        """Register that a target is about to leave."""
        target.leaving_since_s = float("inf")
        await self._register(target, 0)
        target.leaving_since_s = asyncio.get_running_loop().time()

    def end_target(self, target):
        """End a target at once; its registration lapses as on the platform."""
        target.alive = False
        target.server.close()
        target.link.close()

    async def remove_registration(self, target):
        """Let a target's registration lapse."""
        self._heartbeats.pop(target.name).cancel()
        await self.store.delete("servers", target.name)

    def _ip(self, subnet, number=0):
        return f"{self._network}.{self._first_subnet + subnet}.{number + 1}"

    async def _start_link(self, target, host, port):
        link = Link(target)
        await link.start(host, port)
        self._stack.callback(link.close)
        return link

    async def _beat(self, target):
        """Write heartbeats; drop the registration some time after they end."""
        missed = 0
        for sequence in itertools.count(2):
            await asyncio.sleep(HEARTBEAT_S)
            missed = 0 if target.alive else missed + 1
            if missed >= HEARTBEATS_MISSED:
                await self.store.delete("servers", target.name)
                return
            if target.alive and not self.store.faults.away:
                await self._register(target, sequence)
            left_s = target.cold_until_s - asyncio.get_running_loop().time()
            target.server.cold_left_ms = max(0, int(left_s * 1000))

    async def _register(self, target, sequence):
        left_s = target.cold_until_s - asyncio.get_running_loop().time()
        registration = {
            "service": target.service,
            "address": f"{self._ip(Subnet.TARGET_LINKS)}:{TARGETS_PORT + target.place}",
            "zone": target.data_centre,
            "version": "v1",
            "slots": SLOTS,
            "state": "ready" if target.leaving_since_s is None else "draining",
            "warmupLeftMs": max(0, int(left_s * 1000)),
            "sequence": sequence,
            "born": 1,
        }
        await self.store.put("servers", target.name, registration)

    async def _is_ready(self, vm):
        try:
            reader, writer = await asyncio.open_connection(vm.ip, READY_PORT)
        except OSError:
            return False
        try:
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            return b" 200 " in await reader.readline()
        except OSError:
            return False
        finally:
            writer.close()

    def note(self, part, kind):
        """Return a context manager that notes a disturbance while it is open."""
        return _noted(self.disturbances, part, kind)

    def note_store(self, kind):
        """Return the same for the store."""
        return _noted(self.disturbances, STORE, kind)


@contextlib.contextmanager
def _noted(disturbances, part, kind):
    span = disturbances.begin(part, kind)
    try:
        yield
    finally:
        disturbances.end(span)


def _configuration(version):
    def route(prefix, kind, service):
        return {
            "host": HOST,
            "prefix": prefix,
            "type": kind,
            "timeoutMs": 2000,
            "targetLatencyMs": 300,
            "priority": 1,
            "service": service,
            "maxAttempts": 2,
        }

    service = {
        "healthPath": "/health",
        "maxConnections": 200,
        "warmupS": COLD_S,
        "warmupPerS": COLD_PER_S,
    }
    tag = f"tag-{version}"
    return {
        "version": f"{version:08x}",
        "routes": {
            "lookup": route("/lookup/", "safe", SERVICES[0]),
            "order": route("/order/", "unsafe", SERVICES[1]),
            tag: route(f"/{tag}/", "safe", SERVICES[0]),
        },
        "services": dict.fromkeys(SERVICES, service),
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 1_000_000,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }
