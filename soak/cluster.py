"""Run a store, targets and entry VMs, with a proxy for network faults before each."""

import asyncio
import contextlib
import enum
import itertools
import os
import random
import time

from soak.accounts import accounts_of
from soak.builds import PRESENT_BUILD
from soak.disturbances import STORE, DisturbanceLog
from soak.link import Link
from soak.records import Evacuation, FatalRun, SoakTarget
from soak.vm import (
    CALLERS_PORT,
    DIRECTORY_PORT,
    READY_PORT,
    TARGET_PORT_MIN,
    SoakVm,
    VmLimits,
)
from standins.platform_target import PlatformTarget
from standins.store import FakeStore

__all__ = ["HOST", "RESPONSE_PADDING", "Cluster"]

HOST = "soak.example"
DATA_CENTRES = ("dc-a", "dc-b", "dc-c")
# Idempotent requests go to the first service, all others to the second.
SERVICES = ("lookups", "orders")
TARGETS_PER_SERVICE = 4
SLOTS = 2
SERVICE_TIME_S = 0.03
# Into how many chunks a target divides a response: a turn of parsing at the VMs ends
# just before the response, with it (62, 126) or behind it. 0: it states the length.
CHUNK_COUNTS = (0, 0, 61, 62, 63, 126)
# So that each chunk has at least one byte.
RESPONSE_PADDING = b"." * max(CHUNK_COUNTS)
# Length of a cold start, and the rate of requests that a cold target can take.
COLD_START_S = 3.0
COLD_PER_S = 6.7
# Time after which another target replaces one that a request has ended.
REPLACED_AFTER_S = 1.0
HEARTBEAT_S = 1.5
HEARTBEATS_MISSED = 3
START_TIMEOUT_S = 20.0
POLL_S = 0.05
STORE_PORT = 25000
TARGETS_PORT = TARGET_PORT_MIN
_network_numbers = itertools.count()


class Subnet(enum.IntEnum):
    """Groups of IP addresses; the third byte is this plus the cluster's offset."""

    STORE = 1
    VMS = 2
    STORE_LINKS = 3
    CALLERS_LINKS = 4
    TARGETS = 5
    TARGET_LINKS = 6


class Cluster:
    """The store, targets, entry VMs and links of a soak test.

    An asynchronous context manager: it starts them, waits until all entry VMs are
    ready, and stops them at exit.

    Args:
        vms: Number of entry VMs.
        folder: Path of the folder for settings and logs.
        builds: Paths of the folders of the builds that VMs run: the first one at first,
            any of them after a restart.
        program: Path of the one binary that VMs run in place of a build, or None.
        limits: The VmLimits of all VMs.

    Attributes:
        store: The FakeStore.
        disturbances: The DisturbanceLog.
        vms: List of SoakVm.
        callers_links: Dict of the Link between callers and a VM by the VM's IP address.
        store_links: Dict of the Link between a VM and the store by the VM's name.
        targets: List of all SoakTargets, including those that were stopped.
        configurations: List of pairs of version and time of its acknowledgement.
        evacuations: List of all Evacuations, including those that are over.
        lost_links: List of all LostLinks, including those that are over.
        fatal_paths: List of the paths that end each target that runs them.
        sent_fatal_paths: List of those of them that callers send at present.
        fatal_runs: List of the FatalRuns.
        builds: As the argument.
    """

    def __init__(
        self,
        vms,
        folder,
        builds=(PRESENT_BUILD,),
        program=None,
        limits=VmLimits(),
    ):
        # Each process and each cluster in it gets addresses of its own, so that test
        # runs at the same time and seeds in sequence do not share listening addresses.
        self._network = f"127.{64 + os.getpid() % 128}"
        self._first_subnet = 10 * (next(_network_numbers) % 25)
        self.store = FakeStore()
        self.disturbances = DisturbanceLog()
        self.callers_links = {}
        self.store_links = {}
        self.targets = []
        self.configurations = []
        self.evacuations = []
        self.lost_links = []
        self.fatal_paths = []
        self.sent_fatal_paths = []
        self.fatal_runs = []
        self.builds = builds
        self._program = program
        self._replacements = set()
        self._target_numbers = itertools.count(1)
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
                limits,
            )
            for number, ip in enumerate(ips)
        ]

    async def __aenter__(self):
        try:
            await self._start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def _start(self):
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
            vm.build = self.builds[0]
            vm.program = self._program
            vm.start()
            self._stack.callback(vm.kill)
        async with asyncio.timeout(START_TIMEOUT_S):
            for vm in self.vms:
                await self.wait_ready(vm)

    async def __aexit__(self, *exception):
        for task in (*self._heartbeats.values(), *self._replacements):
            task.cancel()
        await self._stack.aclose()

    def callers_address(self, ip):
        """Return the address of the callers' Link for a VM's IP address."""
        number = int(ip.rpartition(".")[2]) - 1
        return self._ip(Subnet.CALLERS_LINKS, number), CALLERS_PORT

    def directory_address(self, vm):
        """Return the pair of IP and port of a VM's directory."""
        return vm.ip, DIRECTORY_PORT

    async def wait_ready(self, vm):
        """Wait until a VM's readiness check succeeds."""
        while not await self._is_ready(vm):
            await asyncio.sleep(POLL_S)

    async def put_configuration(self):
        """Write the next configuration version to the store and return its number.

        Besides the fixed routes it has one whose prefix contains the version, so that
        callers can find out which version is in force.
        """
        version = len(self.configurations) * 3 + 1
        await self._write_configuration(version)
        now_s = asyncio.get_running_loop().time()
        self.configurations.append((version, now_s))
        return version

    async def _write_configuration(self, version):
        content = _configuration(version)
        if self.has_accounts:
            content["tenants"] = accounts_of(version)
        await self.store.put("op", "config", content)

    @property
    def has_accounts(self):
        """Whether requests need a key: earlier builds do not ask for it."""
        return self.builds == (PRESENT_BUILD,)

    async def evacuate_data_centre(self, name):
        """Take a data centre out of service and return its Evacuation."""
        await self.store.put("op", f"evacuate/{name}", {})
        evacuation = Evacuation(name, asyncio.get_running_loop().time())
        self.evacuations.append(evacuation)
        return evacuation

    async def restore_data_centre(self, evacuation):
        """Put a data centre back into service."""
        evacuation.until_s = asyncio.get_running_loop().time()
        await self.store.delete("op", f"evacuate/{evacuation.data_centre}")

    async def restore_store(self, copy):
        """Let the store come back from a StoreCopy.

        The operator and the targets write again what they have written since.
        """
        await self.store.restore(copy)
        version, _ = self.configurations[-1]
        await self._write_configuration(version)
        closed = {e.data_centre for e in self.evacuations if e.until_s == float("inf")}
        for name in DATA_CENTRES:
            if name in closed:
                await self.store.put("op", f"evacuate/{name}", {})
            else:
                await self.store.delete("op", f"evacuate/{name}")
        for target in self.targets:
            heartbeats = self._heartbeats.get(target.name)
            if heartbeats is None or heartbeats.done():
                await self.store.delete("servers", target.name)
            elif target.alive:
                await self._register(target, 1)

    async def start_target(self, service, address_index, cold_s=0.0):
        """Start a target, register it and return its SoakTarget.

        Args:
            service: Name of its service.
            address_index: Index of its address.
            cold_s: Length of its cold start, in seconds.
        """
        number = next(self._target_numbers)
        server = PlatformTarget(f"t{number}", SERVICE_TIME_S, SLOTS)
        server.cold_left_ms = int(cold_s * 1000)
        server.padding = RESPONSE_PADDING
        chunk_counts = random.Random(number)
        server.choose_chunk_count = lambda: chunk_counts.choice(CHUNK_COUNTS)
        port = TARGETS_PORT + address_index
        server_address = (self._ip(Subnet.TARGETS, number % 250), port)
        await server.start(*server_address)
        self._stack.callback(server.close)
        link = await self._start_link(
            server_address, self._ip(Subnet.TARGET_LINKS), port
        )
        data_centre = DATA_CENTRES[address_index % len(DATA_CENTRES)]
        target = SoakTarget(service, data_centre, address_index, server, link)
        target.cold_until_s = asyncio.get_running_loop().time() + cold_s
        server.ends_on = self._is_fatal
        server.on_end = lambda: self._replace_ended(target)
        self.targets.append(target)
        await self._register(target, 1)
        loop = asyncio.get_running_loop()
        self._heartbeats[target.name] = loop.create_task(self._send_heartbeats(target))
        return target

    async def register_draining(self, target):
        """Register a target in the draining state."""
        target.draining_since_s = float("inf")
        await self._register(target, 0)
        target.draining_since_s = asyncio.get_running_loop().time()

    def kill_target(self, target):
        """Stop a target at once; its registration expires as on the platform."""
        target.alive = False
        target.server.close()
        target.link.close()

    async def remove_registration(self, target):
        """Delete a target's registration at once."""
        self._heartbeats.pop(target.name).cancel()
        await self.store.delete("servers", target.name)

    def _is_fatal(self, received):
        if received.target not in self.fatal_paths:
            return False
        self.fatal_runs.append(FatalRun(received.target, time.monotonic()))
        return True

    def _replace_ended(self, target):
        if not target.alive:
            return
        self.kill_target(target)
        task = asyncio.get_running_loop().create_task(self._start_successor(target))
        self._replacements.add(task)
        task.add_done_callback(self._replacements.discard)

    async def _start_successor(self, target):
        with self.record_disturbance(target.name, "ended"):
            await asyncio.sleep(REPLACED_AFTER_S)
            await self.start_target(target.service, target.address_index, COLD_START_S)

    def _ip(self, subnet, number=0):
        return f"{self._network}.{self._first_subnet + subnet}.{number + 1}"

    async def _start_link(self, target, host, port):
        link = Link(target)
        await link.start(host, port)
        self._stack.callback(link.close)
        return link

    async def _send_heartbeats(self, target):
        """Write a target's heartbeats; delete its registration after missed ones."""
        missed = 0
        for sequence in itertools.count(2):
            await asyncio.sleep(HEARTBEAT_S)
            missed = 0 if target.alive else missed + 1
            if missed >= HEARTBEATS_MISSED:
                await self.store.delete("servers", target.name)
                return
            if target.alive and not self.store.faults.away:
                await self._register(target, sequence)
            remaining_s = target.cold_until_s - asyncio.get_running_loop().time()
            target.server.cold_left_ms = max(0, int(remaining_s * 1000))

    async def _register(self, target, sequence):
        remaining_s = target.cold_until_s - asyncio.get_running_loop().time()
        registration = {
            "service": target.service,
            "address": f"{self._ip(Subnet.TARGET_LINKS)}:"
            f"{TARGETS_PORT + target.address_index}",
            "zone": target.data_centre,
            "version": "v1",
            "slots": SLOTS,
            "state": "ready" if target.draining_since_s is None else "draining",
            "warmupLeftMs": max(0, int(remaining_s * 1000)),
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

    def record_disturbance(self, component, kind):
        """Return a context manager that records a disturbance for its duration."""
        return _recorded(self.disturbances, component, kind)

    def record_store_disturbance(self, kind):
        """Return the same for a disturbance of the store."""
        return _recorded(self.disturbances, STORE, kind)


@contextlib.contextmanager
def _recorded(disturbances, component, kind):
    span = disturbances.begin(component, kind)
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
        "warmupS": COLD_START_S,
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
