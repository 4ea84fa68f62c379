"""Bring about one fault of each kind from outside the programs."""

import asyncio
import contextlib
import math
import signal

from soak.cluster import COLD_S, DATA_CENTRES, SERVICES
from soak.link import Direction

__all__ = ["FAULTS", "Faults"]

CLOCK_OFFSET_MS_MAX = 3000
LINK_DELAY_S = 0.15
STORE_DELAY_S = 0.4
SLOW_FACTOR = 6.0
GARBLED = (
    "reset",
    "truncate",
    "unsigned",
    "fail",
    "unframed",
    "extra",
    "other-id",
    "silent",
    "close",
)
GARBLED_SHARE = 0.1
SERIES_MAX = 3
GAP_S = 0.4
# A leaving target serves on past the time in which it must get nothing more.
LEAVING_SERVES_S = 4.0
CLOSED_LASTS_S = 6.0


class Faults:
    """The faults that a schedule can bring about.

    Each method takes how long the fault lasts, in seconds, and returns when it is over.

    Args:
        cluster: The Cluster.
        random: The random.Random that chooses subjects.
    """

    def __init__(self, cluster, random):
        self._cluster = cluster
        self._random = random

    async def kill_vms(self, for_s):
        """Kill some VMs, and start them again with other clocks."""
        count = self._random.randint(1, len(self._cluster.vms))
        vms = self._random.sample(self._cluster.vms, count)
        with self._note_all(vms, "killed"):
            for vm in vms:
                vm.kill()
            await asyncio.sleep(for_s)
            for vm in vms:
                self._restart(vm)
            await asyncio.gather(*map(self._cluster.until_ready, vms))

    async def pause_vm(self, for_s):
        """Let a VM stand still for a while."""
        vm = self._random.choice(self._cluster.vms)
        with self._cluster.note(vm.name, "paused"):
            vm.send(signal.SIGSTOP)
            await asyncio.sleep(for_s)
            vm.send(signal.SIGCONT)

    async def stop_vms(self, for_s):
        """Stop VMs one after the other by SIGTERM, and start them again."""
        count = self._random.randint(1, SERIES_MAX)
        for vm in self._random.sample(self._cluster.vms, count):
            with self._cluster.note(vm.name, "terminated"):
                if vm.running:
                    await vm.stop()
                    await asyncio.sleep(min(for_s, GAP_S))
                    self._restart(vm)
                await self._cluster.until_ready(vm)

    async def stop_and_kill_vm(self, for_s):
        """Kill a VM while it stops."""
        vm = self._random.choice(self._cluster.vms)
        with self._cluster.note(vm.name, "killed"):
            vm.send(signal.SIGTERM)
            await asyncio.sleep(min(for_s, GAP_S))
            vm.kill()
            self._restart(vm)
            await self._cluster.until_ready(vm)

    async def reload_vms(self, for_s):
        """Tell all VMs that their settings may have changed."""
        for vm in self._cluster.vms:
            vm.send(signal.SIGHUP)

    async def spoil_callers_link(self, for_s):
        """Spoil the connections between callers and a VM."""
        vm = self._random.choice(self._cluster.vms)
        with self._cluster.note(vm.name, "callers' link"):
            await self._spoil(self._cluster.callers_links[vm.ip], for_s)

    async def spoil_store_link(self, for_s):
        """Spoil the connections between a VM and the store."""
        vm = self._random.choice(self._cluster.vms)
        with self._cluster.note(vm.name, "store link"):
            await self._spoil(self._cluster.store_links[vm.name], for_s)

    async def spoil_target_link(self, for_s):
        """Spoil the connections between the VMs and a target."""
        target = self._living_target()
        with self._cluster.note(target.name, "link"):
            await self._spoil(target.link, for_s)

    async def lose_store(self, for_s):
        """Let the store answer 503, answer nothing, or answer slowly."""
        faults = self._cluster.store.faults
        kind = self._random.choice(("away", "silent", "slow"))
        with self._cluster.note_store(kind):
            if kind == "slow":
                faults.delay_s = STORE_DELAY_S
            else:
                setattr(faults, kind, True)
            await asyncio.sleep(for_s)
            faults.delay_s, faults.away, faults.silent = 0.0, False, False

    async def lose_writes_answers(self, for_s):
        """Let writes take effect without an answer."""
        with self._cluster.note_store("answers lost"):
            self._cluster.store.faults.lost_answers = 5
            await asyncio.sleep(for_s)
            self._cluster.store.faults.lost_answers = 0

    async def forget_history(self, for_s):
        """Let the store forget what has changed."""
        with self._cluster.note_store("history lost"):
            self._cluster.store.forget_history()

    async def crash_target(self, for_s):
        """End a target at once; another one starts cold at its address."""
        target = self._living_target()
        with self._cluster.note(target.name, "crashed"):
            self._cluster.end_target(target)
            await asyncio.sleep(for_s)
            # The address may go to the other service.
            service = self._random.choice(SERVICES)
            await self._cluster.start_target(service, target.place, COLD_S)

    async def replace_target(self, for_s):
        """Let a target leave in order, and start another one cold."""
        target = self._living_target()
        with self._cluster.note(target.name, "leaving"):
            await self._cluster.say_leaving(target)
            await asyncio.sleep(LEAVING_SERVES_S + for_s)
            self._cluster.end_target(target)
            await self._cluster.remove_registration(target)
            await self._cluster.start_target(target.service, target.place, COLD_S)

    async def slow_target(self, for_s):
        """Let a target work slowly."""
        target = self._living_target()
        server = target.server
        usual_s = server.service_time_s
        with self._cluster.note(target.name, "slow"):
            server.service_time_s = usual_s * SLOW_FACTOR
            await asyncio.sleep(for_s)
            server.service_time_s = usual_s

    async def garble_target(self, for_s):
        """Let a target spoil some of its answers."""
        target = self._living_target()
        kinds = self._random.sample(GARBLED, 3)

        def choose_fault(received):
            if self._random.random() < GARBLED_SHARE:
                return self._random.choice(kinds)
            return None

        with self._cluster.note(target.name, "garbles"):
            target.server.choose_fault = choose_fault
            await asyncio.sleep(for_s)
            target.server.choose_fault = lambda received: None

    async def change_configuration(self, for_s):
        """Declare new versions in quick succession."""
        for _ in range(self._random.randint(1, SERIES_MAX)):
            await self._cluster.put_configuration()
            await asyncio.sleep(self._random.uniform(0.05, GAP_S))

    async def close_data_centre(self, for_s):
        """Take a data centre out of service for a while."""
        if any(c.until_s == math.inf for c in self._cluster.closures):
            return
        name = self._random.choice(DATA_CENTRES)
        closure = await self._cluster.close_data_centre(name)
        await asyncio.sleep(CLOSED_LASTS_S + for_s)
        await self._cluster.open_data_centre(closure)

    async def forge_registrations(self, for_s):
        """Write rows among the registrations that name no target."""
        store = self._cluster.store
        await store.put_bytes("servers", "forged-1", b"\xff\x00")
        await store.put("servers", "forged-2", {"service": SERVICES[0], "slots": "2"})
        await asyncio.sleep(for_s)
        await store.delete("servers", "forged-1")

    def _living_target(self):
        living = [
            t for t in self._cluster.targets if t.alive and t.leaving_since_s is None
        ]
        return self._random.choice(living)

    def _restart(self, vm):
        if not vm.running:
            most = CLOCK_OFFSET_MS_MAX
            vm.start(self._random.randint(-most, most))

    async def _spoil(self, link, for_s):
        kind = self._random.choice(("delay", "reset", "silence", "cut", "one-way"))
        if kind == "delay":
            link.delay_s = LINK_DELAY_S
        elif kind == "reset":
            link.reset()
        elif kind == "silence":
            link.silence()
        elif kind == "cut":
            link.cut(*Direction)
        else:
            link.cut(self._random.choice(list(Direction)))
        await asyncio.sleep(for_s)
        link.mend()

    def _note_all(self, vms, kind):
        stack = contextlib.ExitStack()
        for vm in vms:
            stack.enter_context(self._cluster.note(vm.name, kind))
        return stack


FAULTS = tuple(
    name
    for name, member in vars(Faults).items()
    if not name.startswith("_") and callable(member)
)
