"""Measure the overhead of one entry daemon per request.

The same requests go through the entry VM, through a plain pass-through proxy, and
directly to a target.
"""

import asyncio
import os
import subprocess
import sys
import tempfile

import attrs

from benches._load import closed_loop, open_loop
from benches._process import read_usage
from standins.cluster import HOST, Cluster, wait_for

__all__ = ["main"]

BASE_PORT = 25_000
PASS_THROUGH_PORT = 25_900
TARGETS = 2
SLOTS = 64
CLOSED_CONNECTIONS = 32
SECONDS = 6.0
WARM_UP_S = 3.0
OPEN_CONNECTIONS = 1_000
ADDED_P99_MS_MAX = 2.0
RATE_RATIO_MIN = 0.7


@attrs.frozen
class Measurement:
    """Highest request rate and latencies of one way to reach a target."""

    rate: float
    p50_ms: float
    p99_ms: float
    p999_ms: float


async def measure_rate_max(address):
    """Return the responses per second with all connections busy, after a warm-up."""
    await closed_loop(address, "/roster/x", CLOSED_CONNECTIONS, WARM_UP_S)
    result = await closed_loop(address, "/roster/x", CLOSED_CONNECTIONS, SECONDS)
    return result.rate


async def measure_latency(address, rate, rate_max):
    """Return the Measurement of an address at a rate of requests per second."""
    result = await open_loop(address, "/roster/x", rate, SECONDS, seed=1)
    return Measurement(
        rate_max,
        result.percentile(0.5),
        result.percentile(0.99),
        result.percentile(0.999),
    )


async def memory_with_connections(address, pid):
    """Return the memory in MB before and after opening many connections."""
    before = read_usage(pid).memory_mb
    writers = []
    for _ in range(OPEN_CONNECTIONS):
        reader, writer = await asyncio.open_connection(*address)
        writer.write(b"GET /roster/x HTTP/1.1\r\nHost: bench\r\n\r\n")
        await reader.readuntil(b"}")
        writers.append(writer)
    after = read_usage(pid).memory_mb
    for writer in writers:
        writer.close()
    return before, after


def make_cluster(folder):
    """Return a Cluster of one entry VM and targets that respond at once."""
    return Cluster(
        "rota",
        folder,
        vm_count=1,
        base_port=BASE_PORT,
        service_ms={"roster": 1.0},
        services=("roster",),
        targets_max=TARGETS,
        target_module="standins.fast_target",
    )


def start_pass_through(target):
    """Start the pass-through proxy; return its process and address."""
    command = [sys.executable, "-m", "standins.pass_through", "--host", HOST]
    command += ["--port", str(PASS_THROUGH_PORT), "--target-port", str(target[1])]
    return subprocess.Popen(command), (HOST, PASS_THROUGH_PORT)


async def run():
    """Measure the overhead and print it; return the exit code."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = make_cluster(folder)
        process = None
        try:
            await cluster.start()
            text = cluster.resource_text()
            text = text.replace("cold_slots = 1", f"cold_slots = {SLOTS}")
            text = text.replace("\nslots = 2", f"\nslots = {SLOTS}")
            _, result = await cluster.apply(text, reason="bench")
            await cluster.wait_in_force(result["version"])
            await cluster.wait_held()
            vm = next(iter(cluster.vms.values()))
            target = cluster.targets[0].address
            process, plain = start_pass_through(target)
            await wait_for(lambda: _accepts_connections(plain))
            return await _measure(vm, cluster.pid(vm.name), plain, target)
        finally:
            if process is not None:
                process.kill()
                process.wait()
            cluster.close()


async def _accepts_connections(address):
    try:
        _, writer = await asyncio.open_connection(*address)
    except OSError:
        return False
    writer.close()
    return True


async def _measure(vm, pid, plain, target):
    addresses = {"entry": vm.callers_address, "plain": plain, "direct": target}
    print(f"greatest rate with {CLOSED_CONNECTIONS} connections:", flush=True)
    rates = {}
    for name, address in addresses.items():
        rates[name] = await measure_rate_max(address)
        print(f"  {name}: {rates[name]:.0f}/s", flush=True)
    rate = rates["entry"] / 2
    print(f"latency at {rate:.0f}/s, half of the entry's greatest rate:", flush=True)
    measurements = {}
    for name, address in addresses.items():
        measurements[name] = await measure_latency(address, rate, rates[name])
        row = measurements[name]
        print(
            f"  {name}: p50 {row.p50_ms:.2f} ms, p99 {row.p99_ms:.2f} ms, "
            f"p99.9 {row.p999_ms:.2f} ms",
            flush=True,
        )
    before, after = await memory_with_connections(addresses["entry"], pid)
    return _report(measurements, before, after)


def _report(measurements, before, after):
    entry, plain, direct = (measurements[name] for name in ("entry", "plain", "direct"))
    added = entry.p99_ms - direct.p99_ms
    ratio = entry.rate / plain.rate
    print(
        f"added_p50_ms={entry.p50_ms - direct.p50_ms:.2f} added_p99_ms={added:.2f} "
        f"added_p999_ms={entry.p999_ms - direct.p999_ms:.2f} "
        f"calls_per_s_per_core={entry.rate:.0f} rate_to_plain={ratio:.2f} "
        f"memory_mb={before:.0f} memory_1000_connections_mb={after:.0f} "
        f"cores={os.cpu_count()}"
    )
    return 0 if added <= ADDED_P99_MS_MAX and ratio >= RATE_RATIO_MIN else 1


def main(arguments):
    """Run the bench; return 1 if a bound is exceeded."""
    return asyncio.run(run())
