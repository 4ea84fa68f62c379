"""A small deployment on loopback addresses: store, endpoints, and the daemons.

The daemons are processes of their own, started by the commands of the deploy file. The
store is the project's stand-in; endpoints and clients are those of this folder.
"""

import asyncio
import contextlib
import itertools
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

from review.client import Connection, resolve
from review.endpoint import Endpoint
from standins.store import FakeStore

__all__ = ["REGION", "ZONES", "CouldNotRun", "Deployment", "Machine", "Record", "main"]

ROOT = pathlib.Path(__file__).resolve().parent.parent
REGION = "santiago"
ZONES = {f"{REGION}-{letter}": REGION for letter in "abc"}
HEARTBEAT_S = 1.5
HEARTBEATS_MISSED = 3
START_TIMEOUT_S = 25.0
METRICS_PORT = 9464
PORTS = {"front": 8641, "ready": 8640, "control": 8649, "directory": 8644}
INTERNAL_PORTS = (7620, 7635)
STORE_PORT = 8642
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2

SETTINGS = """
[self]
nodeName = "{name}"
role = "{role}"
machineClass = "front"
serves = [{serves}]
ip = "{ip}"
zone = "{zone}"
region = "{region}"
inTolerance = false
bootstrap = true
[self.limits]
cpuShare = 0.86
cpuCores = 1
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[network]
internalPortRange = [{first}, {last}]
seeds = [{seeds}]
[network.listen]
{listen}
[network.zones]
{zones}
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
contracts = [
  "base","drain","config","cost","retry","recover","health","places","platform",
]
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
graceS = 6
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxSkewMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 64
warmupOverage = 1.5
warmupSlack = 5
evacuationMs = 5000
recoveryS = 15
ttl_max_s = 5
probesPerS = 60
"""


class CouldNotRun(Exception):
    """The case could not be set up."""


class Record:
    """The file ``record.txt`` of a case: one line an event.

    Args:
        path: Path of the file.
    """

    def __init__(self, path):
        self._file = path.open("w", encoding="utf-8")
        self._started_s = time.monotonic()

    def write(self, event, **fields):
        """Write a line with the time since the start in seconds."""
        at_s = time.monotonic() - self._started_s
        words = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{at_s:8.3f} {event} {words}\n")
        self._file.flush()


class Machine:
    """A machine, with the process of one role or two.

    Attributes:
        name: Its name.
        zone: Its zone.
        ip: Its address.
        roles: Names of its roles.
        processes: Dict of process by role.
    """

    def __init__(self, name, zone, ip, roles):
        self.name = name
        self.zone = zone
        self.ip = ip
        self.roles = roles
        self.processes = {}

    @property
    def front(self):
        """Address for clients."""
        return self.ip, PORTS["front"]

    @property
    def directory(self):
        """Address for clients' resolve calls."""
        return self.ip, PORTS["directory"]


class Deployment:
    """An asynchronous context manager that runs all parts.

    Args:
        record: The Record.
        configuration: First content of ``op/config``.
        endpoints: Dict of the number of endpoints by service.
        slots: Slots of each endpoint.
        machines_per_zone: Number of machines in each of the three zones.
    """

    def __init__(self, record, configuration, endpoints, slots=3, machines_per_zone=2):
        self.record = record
        self.store = FakeStore()
        self.machines = []
        self.endpoints = {}
        self._entries = {}
        self._heartbeats = {}
        self._configuration = configuration
        self._wanted = endpoints
        self._slots = slots
        self._net = _free_network()
        self._stack = contextlib.AsyncExitStack()
        self._deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._folder = None
        for zone, number in itertools.product(ZONES, range(machines_per_zone)):
            ip = f"{self._net}.{10 + len(self.machines)}"
            is_last = number == machines_per_zone - 1
            roles = ["entry", "directory"] if is_last else ["entry"]
            self.machines.append(Machine(f"front-{zone}-{number + 1}", zone, ip, roles))

    async def __aenter__(self):
        try:
            await self._start()
        except BaseException:
            await self._stack.aclose()
            raise
        return self

    async def __aexit__(self, *exception):
        await self._stack.aclose()

    @property
    def directories(self):
        """Dict of the directory's address by zone."""
        return {m.zone: m.directory for m in self.machines if "directory" in m.roles}

    async def resolve(self, host, zone):
        """Ask the directory as a client does."""
        return await resolve(self.directories, host, zone, ZONES)

    async def wait_resolved(self, host, zone):
        """Return the addresses as soon as the directory names machines of the zone."""
        local = {m.front for m in self.machines if m.zone == zone}
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                addresses = await self.resolve(host, zone)
                if local & set(addresses):
                    return addresses
                await asyncio.sleep(0.2)

    def machine_at(self, address):
        """Return the machine with an address for clients."""
        return next(m for m in self.machines if m.front == tuple(address))

    async def put_configuration(self, configuration):
        """Write a configuration as the operator does; the return is the ack."""
        await self.store.put("op", "config", configuration)
        self.record.write("config-acknowledged", version=configuration["version"])

    def all_runs(self):
        """Dict of the endpoint's name by id of each request that has begun to run."""
        found = {}
        for group in self.endpoints.values():
            for endpoint in group:
                found.update(dict.fromkeys(endpoint.runs, endpoint.name))
        return found

    def signal(self, machine, number):
        """Send a signal to all processes of a machine."""
        self.record.write("signal", machine=machine.name, number=number)
        for process in machine.processes.values():
            if process.poll() is None:
                process.send_signal(number)

    async def start_process(self, machine, role):
        """Start the process of a role with the deploy file's command."""
        path = self._folder / f"{machine.name}-{role}.toml"
        path.write_text(self._settings(machine, role), encoding="utf-8")
        log = (self._folder / f"{machine.name}-{role}.log").open("ab")
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": "target/deps",
            "PYTHONDONTWRITEBYTECODE": "1",
            "SESAMESPRING_SETTINGS": str(path),
        }
        command = self._deploy["roles"][role]["run"].split(" ")
        process = subprocess.Popen(
            command, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()
        machine.processes[role] = process
        self._stack.callback(_end, process)

    async def _start(self):
        folder = self._stack.enter_context(tempfile.TemporaryDirectory())
        self._folder = pathlib.Path(folder)
        await self.store.start(f"{self._net}.1", STORE_PORT)
        self._stack.callback(self.store.close)
        await self.put_configuration(self._configuration)
        for service, count in self._wanted.items():
            for number in range(count):
                zone = list(ZONES)[number % len(ZONES)]
                await self.add_endpoint(service, zone)
        for machine in self.machines:
            for role in machine.roles:
                await self.start_process(machine, role)
        async with asyncio.timeout(START_TIMEOUT_S):
            for machine in self.machines:
                while not await self.is_ready(machine):
                    await asyncio.sleep(0.1)
        self.record.write("ready", machines=len(self.machines))

    async def add_endpoint(self, service, zone, cold_s=0.0):
        """Start an endpoint, register it, keep its entry fresh, and return it."""
        number = sum(map(len, self.endpoints.values()))
        endpoint = Endpoint(f"i-{service}-{number}", self._slots, self.record)
        await endpoint.start(f"{self._net}.{100 + number}")
        endpoint.become_cold(cold_s)
        self._stack.callback(endpoint.close)
        self.endpoints.setdefault(service, []).append(endpoint)
        born = time.time_ns() // 1_000_000
        entry = {
            "service": service,
            "address": f"{endpoint.address[0]}:{endpoint.address[1]}",
            "zone": zone,
            "version": "v1",
            "slots": self._slots,
            "state": "ready",
            "warmupLeftMs": 0,
            "sequence": 0,
            "born": born,
        }
        self._entries[endpoint.name] = entry
        await self.write_entry(endpoint)
        task = asyncio.create_task(self._heartbeat(endpoint))
        self._stack.callback(task.cancel)
        self._heartbeats[endpoint.name] = task
        return endpoint

    async def forget_endpoint(self, endpoint):
        """Let the entry of an endpoint that has ended lapse as in the store."""
        self._heartbeats[endpoint.name].cancel()
        await asyncio.sleep(HEARTBEATS_MISSED * HEARTBEAT_S)
        await self.store.delete("servers", endpoint.name)

    async def write_entry(self, endpoint):
        """Write an endpoint's entry with its present state."""
        entry = self._entries[endpoint.name]
        entry["sequence"] += 1
        entry["warmupLeftMs"] = endpoint.cold_left_ms
        await self.store.put("servers", endpoint.name, entry)

    async def _heartbeat(self, endpoint):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self.write_entry(endpoint)

    def client_ip(self, number):
        """Return the address of one of up to 40 clients."""
        return f"{self._net}.{200 + number}"

    async def is_ready(self, machine):
        """Ask a machine as the platform does once a second."""
        try:
            connection = await Connection.open((machine.ip, PORTS["ready"]))
        except (OSError, TimeoutError):
            return False
        try:
            connection.send("GET", "x", "/-/ready", "ready", 1000)
            async with asyncio.timeout(1.0):
                answer = await connection.receive()
        except TimeoutError:
            return False
        finally:
            connection.close()
        return answer is not None and answer.status == 200

    def _settings(self, machine, role):
        serves = self._deploy["roles"][role]["serves"]
        names = {"front": ("front", "ready"), "control": ("control",)}
        listened = [n for s in serves for n in names.get(s, (s,))]
        seeds = [m for m in self.machines if m is not machine][:3]
        return SETTINGS.format(
            name=machine.name,
            role=role,
            serves=", ".join(f'"{s}"' for s in serves),
            ip=machine.ip,
            zone=machine.zone,
            region=REGION,
            first=INTERNAL_PORTS[0],
            last=INTERNAL_PORTS[1],
            seeds=", ".join(f'"{m.ip}:{PORTS["control"]}"' for m in seeds),
            listen="\n".join(f'{n} = "{machine.ip}:{PORTS[n]}"' for n in listened),
            zones="\n".join(f'{z} = "{r}"' for z, r in ZONES.items()),
            store=f"{self._net}.1:{STORE_PORT}",
        )


def _end(process):
    if process.poll() is None:
        process.kill()
    process.wait()


def _free_network():
    """Return the first three bytes of a loopback network whose ports are free."""
    for _ in range(50):
        net = f"127.{random.randint(64, 250)}.{random.randint(1, 250)}"
        try:
            for ip, port in ((f"{net}.1", STORE_PORT), (f"{net}.10", METRICS_PORT)):
                with socket.socket() as sock:
                    sock.bind((ip, port))
        except OSError:
            continue
        return net
    raise CouldNotRun("no free loopback addresses")


def main(case_file, case):
    """Run a case and exit with 0 if the rule held, 1 if not, 2 if it could not run.

    The first argument of the command is TROUBLE; with 0 there is no disruption.

    Args:
        case_file: ``__file__`` of the case.
        case: Coroutine function of the Record and whether there is trouble; it returns
            whether the rule held.
    """
    folder = pathlib.Path(case_file).resolve().parent
    record = Record(folder / "record.txt")
    trouble = sys.argv[1] != "0"
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    try:
        held = asyncio.run(_limited(case, record, trouble))
    except Exception as error:
        # Whatever fails here, it says nothing about the rule.
        record.write("could-not-run", reason=repr(error))
        print(f"could not run: {error!r}", file=sys.stderr)
        sys.exit(COULD_NOT_RUN)
    record.write("result", held=held)
    print("the rule held" if held else "the rule was broken")
    sys.exit(HELD if held else BROKEN)


async def _limited(case, record, trouble):
    async with asyncio.timeout(110):
        return await case(record, trouble)
