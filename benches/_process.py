"""Read the processor time and memory of a process from /proc."""

import os

import attrs

__all__ = ["Usage", "read_usage"]

TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@attrs.frozen
class Usage:
    """Processor time and memory of a process.

    Attributes:
        cpu_s: User and system time since its start, in seconds.
        memory_mb: Resident memory in MB.
    """

    cpu_s: float
    memory_mb: float


def read_usage(pid):
    """Return the current Usage of a process."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        lines = dict(line.split(":", 1) for line in file if ":" in line)
    cpu_s = (int(fields[11]) + int(fields[12])) / TICKS_PER_S
    return Usage(cpu_s, int(lines["VmRSS"].split()[0]) / 1024)
