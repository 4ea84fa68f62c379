"""Start a small deployment: the store, targets and VM processes on loopback."""

import asyncio
import os
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
import time

from standins.platform_target import PlatformTarget
from standins.store import FakeStore

__all__ = [
    "GRACE_S",
    "ROOT",
    "ZONES",
    "Deployment",
    "Platform",
    "Vm",
    "can_run",
    "is_ready",
]

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = ("zone-a", "zone-b", "zone-c")
FRONT_PORT = 8641
READY_PORT = 8640
CONTROL_PORT = 8649
DIRECTORY_PORT = 8644
INTERNAL_PORTS = (7620, 7635)
TARGET_PORT = 8080
STORE_PORT = 8642
METRICS_PORT = 9464
HEARTBEAT_S = 1.5
PAGE_BYTES_MAX = 1_000_000
READY_TIMEOUT_S = 20.0
GRACE_S = 6
MEMORY_CHECK_S = 0.05
RESTART_S = 0.5
# The roles of deploy/system.toml: the words of ``run``, and what the role serves.
ROLES = {
    "entry": (["--metrics-port", str(METRICS_PORT)], ("front", "ready", "control")),
    "directory": ([], ("directory",)),
}
CONTRACTS = (
    "base",
    "drain",
    "config",
    "cost",
    "retry",
    "recover",
    "health",
    "places",
    "platform",
)
PORTS = {
    "front": FRONT_PORT,
    "ready": READY_PORT,
    "control": CONTROL_PORT,
    "directory": DIRECTORY_PORT,
}

SETTINGS = """\
[self]
nodeName = "{name}"
role = "{role}"
machineClass = "front"
serves = [{serves}]
ip = "{ip}"
zone = "{zone}"
region = "region"
inTolerance = false
bootstrap = true
[self.limits]
cpuShare = 0.86
cpuCores = 1
memoryMb = {memory_mb}
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[network]
internalPortRange = [{first_port},{last_port}]
seeds = [{seeds}]
[network.listen]
{listen}
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
blobBytes = 8388608
blobMs = 25.0
blobMbS = 80.0
[terms]
contracts = [{contracts}]
[terms.faultTolerance]
machines = 1
zones = 1
regions = 0
[terms.bounds]
seedLagS = 3
reuseDelayS = 2
stableWindowMs = 3000
ackMs = 4000
syncS = 4
drainMs = 2000
graceS = {grace_s}
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


class PagedStore(FakeStore):
    """The store, with the other limit of its pages: 500 rows or 1 MB."""

    def _read(self, query):
        page = super()._read(query)
        size = 0
        for count, row in enumerate(page["rows"]):
            size += len(row["value"]) + len(row["key"])
            if count and size > PAGE_BYTES_MAX:
                return {**page, "rows": page["rows"][:count], "hasMore": True}
        return page


class Vm:
    """One process of a role of the deploy file, on a loopback address of its own."""

    def __init__(self, name, role, ip, zone, seeds, store, folder, memory_mb):
        self.name = name
        self.ip = ip
        self._arguments, listens = ROLES[role]
        self._process = None
        self._log = folder / f"{name}.log"
        self._settings = folder / f"{name}.toml"
        self._settings.write_text(
            SETTINGS.format(
                name=name,
                role=role,
                serves=",".join(f'"{s}"' for s in listens if s != "ready"),
                ip=ip,
                zone=zone,
                memory_mb=memory_mb,
                first_port=INTERNAL_PORTS[0],
                last_port=INTERNAL_PORTS[1],
                seeds=",".join(f'"{seed}:{CONTROL_PORT}"' for seed in seeds),
                listen="\n".join(f'{n} = "{ip}:{PORTS[n]}"' for n in listens),
                store=store,
                grace_s=GRACE_S,
                contracts=",".join(f'"{name}"' for name in CONTRACTS),
            ),
            encoding="utf-8",
        )

    @property
    def front(self):
        """Pair of IP and port for clients."""
        return self.ip, FRONT_PORT

    @property
    def ready_address(self):
        """Pair of IP and port of the platform's check."""
        return self.ip, READY_PORT

    @property
    def pid(self):
        """Id of the present process."""
        return self._process.pid

    @property
    def exit_code(self):
        """Exit code of the process, or None while it runs."""
        return self._process.poll()

    @property
    def log_text(self):
        """What the processes have written."""
        return self._log.read_text(errors="replace") if self._log.exists() else ""

    def start(self):
        """Start the process with the command of the deploy file, after its build."""
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["SESAMESPRING_SETTINGS"] = str(self._settings)
        command = ["python3", "-S", "-m", "sesamespring.gateway", *self._arguments]
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def send(self, number):
        """Send a signal to the process."""
        if self.exit_code is None:
            self._process.send_signal(number)

    def kill(self):
        """Kill the process and wait for its end."""
        if self._process is not None:
            self.send(signal.SIGKILL)
            self._process.wait()

    def memory_mb(self, name="VmRSS"):
        """Return a figure of the process's memory in megabytes, 0 if it has ended."""
        try:
            text = pathlib.Path(f"/proc/{self.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in text.splitlines():
            if line.startswith(name + ":"):
                return int(line.split()[1]) / 1024
        return 0.0


class Deployment:
    """The store, targets and VMs of one run; closes all when it is left.

    Args:
        vms: Number of entry VMs; they are in the three zones in turn.
        directories: Number of directory processes.
        memory_mb: Memory in the settings of each process.
    """

    def __init__(self, vms=3, directories=1, memory_mb=300):
        rng = random.SystemRandom()
        self._prefix = f"127.{rng.randint(20, 250)}.{rng.randint(1, 250)}"
        self._folder = tempfile.TemporaryDirectory(prefix="review-3-")
        folder = pathlib.Path(self._folder.name)
        self.store = PagedStore()
        self.store_ip = f"{self._prefix}.1"
        store = f"{self.store_ip}:{STORE_PORT}"
        count = vms + directories
        seeds = [f"{self._prefix}.{10 + n}" for n in range(min(3, vms))]
        self.vms = []
        for number in range(count):
            role = "entry" if number < vms else "directory"
            vm = Vm(
                f"front-{number}",
                role,
                f"{self._prefix}.{10 + number}",
                ZONES[number % len(ZONES)],
                seeds,
                store,
                folder,
                memory_mb,
            )
            self.vms.append(vm)
        self.entries = self.vms[:vms]
        self.targets = {}
        self._registered = {}
        self._sequence = 0
        self._beats = None

    async def __aenter__(self):
        """Start the store; VMs start with ``start_vms``."""
        await self.store.start(self.store_ip, STORE_PORT)
        self._beats = asyncio.create_task(self._send_beats())
        return self

    async def __aexit__(self, *error):
        """End all processes and close all stand-ins."""
        for vm in self.vms:
            vm.kill()
        self._beats.cancel()
        for target in self.targets.values():
            if target.listening:
                target.close()
        self.store.close()
        self._folder.cleanup()

    async def configure(self, version, routes, services, **limits):
        """Write a configuration into the store as the operator does."""
        known = {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 16777216,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        }
        declared = {
            name: {
                "healthPath": "/health",
                "maxConnections": 220,
                "protocol": "h1",
                "tls": False,
                "warmupS": 3.0,
                "warmupPerS": 6.7,
            }
            for name in services
        }
        await self.store.put(
            "op",
            "config",
            {
                "version": f"{version:08x}",
                "routes": routes,
                "services": declared,
                "limits": {**known, **limits},
            },
        )

    async def add_target(self, service, zone, make=PlatformTarget, **arguments):
        """Start a target and register it."""
        number = len(self.targets)
        target_id = f"i-{number:04x}"
        target = make(target_id, **arguments)
        address = (f"{self._prefix}.{100 + number}", TARGET_PORT)
        await target.start(*address)
        self.targets[target_id] = target
        self._registered[target_id] = {
            "service": service,
            "address": f"{address[0]}:{address[1]}",
            "zone": zone,
            "version": "v1",
            "slots": target.slots,
            "state": "ready",
            "warmupLeftMs": 0,
            "born": int(time.time() * 1000) - 60_000,
        }
        await self._beat(target_id)
        return target

    async def _beat(self, target_id):
        self._sequence += 1
        entry = {**self._registered[target_id], "sequence": self._sequence}
        await self.store.put("servers", target_id, entry)

    async def _send_beats(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for target_id in tuple(self._registered):
                await self._beat(target_id)

    async def start_vms(self):
        """Start all processes, and wait until each entry VM says that it is ready."""
        for vm in self.vms:
            vm.start()
        await self.wait_until_ready()

    async def wait_until_ready(self, timeout_s=READY_TIMEOUT_S):
        """Wait until the platform's check of each entry VM gets 200.

        Raises:
            TimeoutError: One is not ready in time.
        """
        async with asyncio.timeout(timeout_s):
            for vm in self.entries:
                while not await is_ready(vm):
                    await asyncio.sleep(0.1)


class Platform:
    """What the platform does to a process: kill it above its memory, start it again."""

    def __init__(self, vm, record, limit_mb):
        self.vm = vm
        self.ends = 0
        self.most_mb = 0.0
        self._record = record
        self._limit_mb = limit_mb

    async def watch(self):
        """Watch the process until cancelled."""
        while True:
            await asyncio.sleep(MEMORY_CHECK_S)
            memory_mb = self.vm.memory_mb()
            self.most_mb = max(self.most_mb, memory_mb)
            if memory_mb <= self._limit_mb and self.vm.exit_code is None:
                continue
            self.ends += 1
            self._record.line(
                f"{self.vm.name}: {memory_mb:.0f} MB of {self._limit_mb}, exit code"
                f" {self.vm.exit_code}: killed and started again"
            )
            self.vm.kill()
            await asyncio.sleep(RESTART_S)
            self.vm.start()


async def is_ready(vm):
    """Ask a VM as the platform's check does."""
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(*vm.ready_address)
            try:
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
                return b" 200 " in await reader.readline()
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return False


def can_run():
    """Return whether the build of the deploy file has been made."""
    return (ROOT / "target" / "deps").is_dir() and sys.version_info >= (3, 11)
