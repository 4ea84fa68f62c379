"""Test how the soak stops the processes of its VMs."""

import asyncio
import subprocess
import sys

import pytest

from soak import vm as soak_vm
from soak.vm import SoakVm

PROGRAM = """
import signal, time
signal.signal(signal.SIGTERM, signal.SIG_IGN)
print("ignores SIGTERM", flush=True)
time.sleep(60)
"""


def start_process():
    """Start a process that ignores SIGTERM, and wait until it does."""
    command = [sys.executable, "-c", PROGRAM]
    process = subprocess.Popen(command, stdout=subprocess.PIPE)
    process.stdout.readline()
    process.stdout.close()
    return process


@pytest.fixture
def vm(tmp_path):
    return SoakVm("vm-0", "127.0.0.1", "dc-a", [], ("127.0.0.1", 1), tmp_path)


def test_stop_does_not_kill_the_process_that_was_started_in_place(vm, monkeypatch):
    monkeypatch.setattr(soak_vm, "KILL_AFTER_S", 0.3)

    async def main():
        first = vm._process = start_process()
        stopping = asyncio.create_task(vm.stop())
        await asyncio.sleep(0.1)
        first.kill()
        second = vm._process = start_process()
        try:
            assert await stopping
            await asyncio.sleep(0.4)
            assert second.poll() is None
        finally:
            second.kill()
            second.wait()

    asyncio.run(main())


def test_stop_kills_a_process_that_does_not_end(vm, monkeypatch):
    monkeypatch.setattr(soak_vm, "KILL_AFTER_S", 0.2)
    vm._process = start_process()
    assert not asyncio.run(vm.stop())
    assert not vm.running
