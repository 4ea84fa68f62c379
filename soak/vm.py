"""Run one entry VM as a process that can be stopped, paused, killed and restarted."""

import asyncio
import os
import signal
import subprocess
import sys

import attrs

from soak.builds import PRESENT_BUILD

__all__ = [
    "INTERPRETER_STARTED",
    "SILENT_LINKS",
    "TARGET_PORT_MIN",
    "SoakVm",
    "VmLimits",
]

CALLERS_PORT = 24000
READY_PORT = 24001
DIRECTORY_PORT = 24002
INTERNAL_PORT = 24003
# Ports from this one on are those of targets.
TARGET_PORT_MIN = 26000
# How links are cut whose connections hang.
SILENT_LINKS = "silent"
EXIT_POLL_S = 0.05
# First line in the log of each process, before any code of the daemon has run.
INTERPRETER_STARTED = "interpreter started"
# The graceful stop time in the settings; the process is killed 1 s after it.
STOP_TIMEOUT_S = 6
KILL_AFTER_S = STOP_TIMEOUT_S + 1.0

_SETTINGS = """
[self]
nodeName = "{name}"
ip = "{ip}"
zone = "{data_centre}"
[self.limits]
cpuShare = 1.0
cpuCores = 1
memoryMb = {limits.memory_mb}
maxFds = {limits.descriptors_max}
linkMbps = 1000.0
[network]
internalPortRange = [{internal}, {last}]
seeds = [{seeds}]
[network.listen]
front = "{ip}:{callers}"
ready = "{ip}:{ready}"
directory = "{ip}:{directory}"
[platform.platform]
address = "{store}"
[terms.bounds]
graceS = {stop_s}
retryBudgetRatio = 0.2
budgetSlack = 56
budgetWindowS = 10
warmupOverage = 1.5
warmupSlack = 5
ttl_max_s = 5
probesPerS = 60
"""


@attrs.frozen
class VmLimits:
    """What the settings grant a VM's process.

    Attributes:
        memory_mb: Memory, in megabytes.
        descriptors_max: Maximum number of open file descriptors.
    """

    memory_mb: int = 300
    descriptors_max: int = 2000


class SoakVm:
    """An entry VM and its process.

    The settings file is written at once; ``start`` starts the process.

    Args:
        name: Name of the VM.
        ip: Its IP address.
        data_centre: Its data centre.
        seeds: IP addresses of the VMs that it connects to first to find its peers.
        store_address: Pair of IP and port at which it reaches the store.
        folder: Path of the folder for settings and logs.
        limits: The VmLimits in its settings.

    Attributes:
        name: Name of the VM.
        ip: Its IP address.
        lifetime: Number of times that its process has been started.
        build: Path of the folder of the build that ``start`` runs.
        program: Path of the one binary that ``start`` runs instead, or None. It can
            neither have another clock nor lose its links.
    """

    def __init__(
        self, name, ip, data_centre, seeds, store_address, folder, limits=VmLimits()
    ):
        self.name = name
        self.ip = ip
        self.lifetime = 0
        self.build = PRESENT_BUILD
        self.program = None
        self._log = folder / f"{name}.log"
        self._settings = folder / f"{name}.toml"
        self._cut = folder / f"{name}.cut"
        self._process = None
        self._settings.write_text(
            _SETTINGS.format(
                name=name,
                ip=ip,
                data_centre=data_centre,
                seeds=", ".join(f'"{seed}:1"' for seed in seeds),
                store=f"{store_address[0]}:{store_address[1]}",
                callers=CALLERS_PORT,
                ready=READY_PORT,
                directory=DIRECTORY_PORT,
                internal=INTERNAL_PORT,
                last=INTERNAL_PORT + 1,
                stop_s=STOP_TIMEOUT_S,
                limits=limits,
            ),
            encoding="utf-8",
        )

    @property
    def running(self):
        """Whether its process is running."""
        return self._process is not None and self._process.poll() is None

    @property
    def pid(self):
        """Id of its present process, or of the last one; None before the first."""
        return None if self._process is None else self._process.pid

    @property
    def interpreter_started(self):
        """Whether its present process has come so far as to run the daemon's code."""
        return self._log.read_text().count(INTERPRETER_STARTED) >= self.lifetime

    @property
    def exit_code(self):
        """Exit code of its process, negative for a signal; None while it runs."""
        return None if self._process is None else self._process.poll()

    @property
    def log(self):
        """Path of its log file, which all its processes append to."""
        return self._log

    def cut_links(self, how):
        """Let new connections to targets hang if ``how`` is SILENT_LINKS, or fail."""
        self._cut.write_text(how)

    def restore_links(self):
        """End ``cut_links``."""
        self._cut.unlink(missing_ok=True)

    def start(self, clock_offset_ms=0):
        """Start the process with a wall clock that is off by ``clock_offset_ms``."""
        self.lifetime += 1
        environment = {
            **os.environ,
            "SESAMESPRING_SETTINGS": str(self._settings),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                self._command(clock_offset_ms),
                cwd=self.build,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def _command(self, clock_offset_ms):
        if self.program is not None:
            return [self.program, "gateway", "--settings", str(self._settings)]
        arguments = [str(clock_offset_ms), self.ip, str(self._cut)]
        return [sys.executable, "-m", "soak.shifted", *arguments]

    def send(self, signal_number):
        """Send a signal to the process if it is running."""
        if self.running:
            self._process.send_signal(signal_number)

    def kill(self):
        """Kill the process and wait for its exit."""
        self.send(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()

    async def stop(self):
        """Stop the process by SIGTERM; kill it if it takes longer than KILL_AFTER_S.

        A process that another fault starts in its place goes on.

        Returns:
            Whether it ended without being killed.
        """
        process = self._process
        process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(KILL_AFTER_S):
                while process.poll() is None:
                    await asyncio.sleep(EXIT_POLL_S)
            return True
        except TimeoutError:
            process.kill()
            process.wait()
            return False
