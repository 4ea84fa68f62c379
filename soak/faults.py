"""Inject faults into the VMs, links, store and targets of a soak test."""

import asyncio
import contextlib
import math
import signal
import time

from soak.builds import build_name
from soak.cluster import (
    COLD_START_S,
    DATA_CENTRES,
    POLL_S,
    SERVICES,
)
from soak.link import Direction
from soak.load import FATAL_PREFIX
from soak.promises import LINKS_LOST
from soak.records import LimitedPeriod, LostLinks
from soak.vm import SILENT_LINKS

__all__ = ["FAULTS", "Faults"]

CLOCK_OFFSET_MS_MAX = 3000
LINK_DELAY_S = 0.15
STORE_DELAY_S = 0.4
SLOW_FACTOR = 6.0
RESPONSE_FAULTS = (
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
RESPONSE_FAULT_SHARE = 0.1
# Maximum number of VMs or configurations that one fault affects in sequence, and the
# maximum pause between its steps.
SERIES_MAX = 3
GAP_S = 0.4
# A draining target runs on past the bound after which it must get no new requests,
# so that requests that come too late are seen.
DRAINING_RUN_S = 4.0
EVACUATION_MIN_S = 6.0
# Longer than VMs have to know of such a request.
FATAL_MIN_S = 5.0
# Longer than VMs have to find another way to the targets.
LOST_LINKS_MIN_S = 5.0
BACKOFF_S = (1.0, 3.0)
REJECTING_S_MAX = 1.0
LIMITS_PER_S = (1.0, 2.5, 5.0)
# Long enough for a window in which the limit has to be kept.
LIMITED_MIN_S = 8.0
ENDLESS_FAULTS = ("endless-head", "endless-body")
RESTORED_CHANGES_MAX = 3
RESTORED_AWAY_S = 0.5
DOWN_S_MAX = 1.5
ODD_ROWS = 6
# Values with which other writers replace a field of a registration.
ODD_VALUES = (
    None,
    -1,
    int("9" * 401),
    float("inf"),
    "",
    "\0",
    "cut \ud83d",
    "x" * 300,
    [],
)
# No target listens at its address.
SOUND_REGISTRATION = {
    "service": "unnamed",
    "address": "127.0.0.1:9",
    "zone": DATA_CENTRES[0],
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "warmupLeftMs": 0,
    "sequence": 1,
    "born": 1,
}


class Faults:
    """The faults that a schedule can inject.

    Each public method takes the length of the fault in seconds and returns after the
    fault has ended. New ones come last, so that a test can run an earlier seed with the
    faults of its time.

    Args:
        cluster: The Cluster.
        random: The random.Random that chooses the affected VMs, targets and variants.
    """

    def __init__(self, cluster, random):
        self._cluster = cluster
        self._random = random

    async def kill_vms(self, for_s):
        """Kill some VMs by SIGKILL and restart them with other wall clock offsets."""
        count = self._random.randint(1, len(self._cluster.vms))
        vms = self._random.sample(self._cluster.vms, count)
        with self._record_disturbances(vms, "killed"):
            for vm in vms:
                vm.kill()
            await asyncio.sleep(for_s)
            for vm in vms:
                self._restart(vm)
            await asyncio.gather(*map(self._cluster.wait_ready, vms))

    async def pause_vm(self, for_s):
        """Pause a VM by SIGSTOP and resume it."""
        vm = self._random.choice(self._cluster.vms)
        with self._cluster.record_disturbance(vm.name, "paused"):
            vm.send(signal.SIGSTOP)
            await asyncio.sleep(for_s)
            vm.send(signal.SIGCONT)

    async def stop_vms(self, for_s):
        """Stop VMs by SIGTERM and restart them, one after the other."""
        count = self._random.randint(1, SERIES_MAX)
        for vm in self._random.sample(self._cluster.vms, count):
            with self._cluster.record_disturbance(vm.name, "terminated"):
                if vm.running:
                    await vm.stop()
                    await asyncio.sleep(min(for_s, GAP_S))
                    self._restart(vm)
                await self._cluster.wait_ready(vm)

    async def stop_and_kill_vm(self, for_s):
        """Kill a VM during its graceful stop and restart it."""
        vm = self._random.choice(self._cluster.vms)
        with self._cluster.record_disturbance(vm.name, "killed"):
            vm.send(signal.SIGTERM)
            await asyncio.sleep(min(for_s, GAP_S))
            vm.kill()
            self._restart(vm)
            await self._cluster.wait_ready(vm)

    async def reload_vms(self, for_s):
        """Send SIGHUP to all VMs, which reload their settings.

        No program can keep a signal from ending it before its interpreter has started.
        """
        for vm in self._cluster.vms:
            if vm.interpreter_started:
                vm.send(signal.SIGHUP)

    async def spoil_callers_link(self, for_s):
        """Disturb the link between callers and a VM."""
        vm = self._random.choice(self._cluster.vms)
        with self._cluster.record_disturbance(vm.name, "callers' link"):
            await self._disturb_link(self._cluster.callers_links[vm.ip], for_s)

    async def spoil_store_link(self, for_s):
        """Disturb the link between a VM and the store."""
        vm = self._random.choice(self._cluster.vms)
        with self._cluster.record_disturbance(vm.name, "store link"):
            await self._disturb_link(self._cluster.store_links[vm.name], for_s)

    async def spoil_target_link(self, for_s):
        """Disturb the link between the VMs and a target."""
        target = await self._choose_running_target()
        with self._cluster.record_disturbance(target.name, "link"):
            await self._disturb_link(target.link, for_s)

    async def lose_store(self, for_s):
        """Make the store respond with 503, not at all, or slowly."""
        faults = self._cluster.store.faults
        kind = self._random.choice(("away", "silent", "slow"))
        with self._cluster.record_store_disturbance(kind):
            if kind == "slow":
                faults.delay_s = STORE_DELAY_S
            else:
                setattr(faults, kind, True)
            await asyncio.sleep(for_s)
            faults.delay_s, faults.away, faults.silent = 0.0, False, False

    async def lose_writes_answers(self, for_s):
        """Make some writes to the store take effect without a response."""
        with self._cluster.record_store_disturbance("answers lost"):
            self._cluster.store.faults.lost_answers = 5
            await asyncio.sleep(for_s)
            self._cluster.store.faults.lost_answers = 0

    async def forget_history(self, for_s):
        """Discard the store's change log."""
        with self._cluster.record_store_disturbance("history lost"):
            self._cluster.store.forget_history()

    async def crash_target(self, for_s):
        """Kill a target, then start another one cold at its address."""
        target = await self._choose_running_target()
        with self._cluster.record_disturbance(target.name, "crashed"):
            self._cluster.kill_target(target)
            await asyncio.sleep(for_s)
            # The address may be taken over by a target of the other service.
            service = self._random.choice(SERVICES)
            await self._cluster.start_target(
                service, target.address_index, COLD_START_S
            )

    async def replace_target(self, for_s):
        """Drain and stop a target, then start another one cold at its address."""
        target = await self._choose_running_target()
        with self._cluster.record_disturbance(target.name, "leaving"):
            await self._cluster.register_draining(target)
            await asyncio.sleep(DRAINING_RUN_S + for_s)
            await self._replace_left(target)

    async def slow_target(self, for_s):
        """Increase a target's service time."""
        target = await self._choose_running_target()
        server = target.server
        normal_s = server.service_time_s
        with self._cluster.record_disturbance(target.name, "slow"):
            server.service_time_s = normal_s * SLOW_FACTOR
            await asyncio.sleep(for_s)
            server.service_time_s = normal_s

    async def garble_target(self, for_s):
        """Inject faults into a share of a target's responses."""
        target = await self._choose_running_target()
        kinds = self._random.sample(RESPONSE_FAULTS, 3)

        def choose_fault(received):
            if self._random.random() < RESPONSE_FAULT_SHARE:
                return self._random.choice(kinds)
            return None

        with self._cluster.record_disturbance(target.name, "garbles"):
            target.server.choose_fault = choose_fault
            await asyncio.sleep(for_s)
            target.server.choose_fault = lambda received: None

    async def change_configuration(self, for_s):
        """Write one or more configuration versions in quick succession."""
        for _ in range(self._random.randint(1, SERIES_MAX)):
            await self._cluster.put_configuration()
            await asyncio.sleep(self._random.uniform(0.05, GAP_S))

    async def close_data_centre(self, for_s):
        """Take a data centre out of service for a while."""
        if any(e.until_s == math.inf for e in self._cluster.evacuations):
            return
        name = self._random.choice(DATA_CENTRES)
        evacuation = await self._cluster.evacuate_data_centre(name)
        await asyncio.sleep(EVACUATION_MIN_S + for_s)
        await self._cluster.restore_data_centre(evacuation)

    async def send_fatal_requests(self, for_s):
        """Let callers send a request that ends its targets, a new or a known one."""
        cluster = self._cluster
        known = [p for p in cluster.fatal_paths if p not in cluster.sent_fatal_paths]
        if known and self._random.random() < 0.5:
            path = self._random.choice(known)
        else:
            path = f"{FATAL_PREFIX}{len(cluster.fatal_paths)}"
            cluster.fatal_paths.append(path)
        cluster.sent_fatal_paths.append(path)
        await asyncio.sleep(FATAL_MIN_S + for_s)
        cluster.sent_fatal_paths.remove(path)

    async def forge_registrations(self, for_s):
        """Write malformed rows of other writers into the tables that VMs read."""
        store = self._cluster.store
        await store.put_bytes("servers", "forged-1", b"\xff\x00")
        await store.put("servers", "forged-2", {"service": SERVICES[0], "slots": "2"})
        odd = [self._random.choice(ODD_VALUES) for _ in range(ODD_ROWS)]
        for number, value in enumerate(odd):
            field = self._random.choice(sorted(SOUND_REGISTRATION))
            row = {**SOUND_REGISTRATION, field: value}
            await store.put("servers", f"odd-{number}", row)
            await store.put("vms", f"odd-{number}", {"ip": value, "port": 70_000})
        await asyncio.sleep(for_s)
        await store.delete("servers", "forged-1")
        for number in range(ODD_ROWS):
            await store.delete("servers", f"odd-{number}")

    async def lose_links(self, for_s):
        """Cut some VMs off from all targets: links hang, are reset, or live on."""
        cluster = self._cluster
        count = self._random.randint(1, len(cluster.vms) - 1)
        vms = self._random.sample(cluster.vms, count)
        how = self._random.choice((SILENT_LINKS, "reset", "refused"))
        lost = LostLinks({vm.name for vm in vms}, time.monotonic())
        cluster.lost_links.append(lost)
        with self._record_disturbances(vms, LINKS_LOST):
            for vm in vms:
                vm.cut_links(how)
                for target in cluster.targets:
                    if how == SILENT_LINKS:
                        target.link.silence_client(vm.ip)
                    elif how == "reset":
                        target.link.reset_client(vm.ip)
            await asyncio.sleep(LOST_LINKS_MIN_S + for_s)
            lost.until_s = time.monotonic()
            for vm in vms:
                if not any(vm.name in o.vms for o in cluster.lost_links if not o.over):
                    vm.restore_links()

    async def request_backoff(self, for_s):
        """Let a target reject all requests for a moment, and ask for a backoff."""
        target = await self._choose_running_target()
        with self._cluster.record_disturbance(target.name, "busy"):
            target.server.busy_s = self._random.uniform(*BACKOFF_S)
            await asyncio.sleep(min(for_s, REJECTING_S_MAX))
            target.server.busy_s = None

    async def state_leaving(self, for_s):
        """Let a target say in its responses only that it is leaving; replace it."""
        target = await self._choose_running_target()
        with self._cluster.record_disturbance(target.name, "leaving"):
            target.states_leaving_since_s = time.monotonic()
            target.server.leaving = True
            await asyncio.sleep(DRAINING_RUN_S + for_s)
            await self._replace_left(target)

    async def limit_requests(self, for_s):
        """Let a target state a limit in its responses."""
        target = await self._choose_running_target()
        if target.server.limit_per_s is not None:
            return
        limited = LimitedPeriod(self._random.choice(LIMITS_PER_S), time.monotonic())
        target.limits.append(limited)
        target.server.limit_per_s = str(limited.per_s)
        await asyncio.sleep(LIMITED_MIN_S + for_s)
        limited.until_s = time.monotonic()
        target.server.limit_per_s = None

    async def respond_endlessly(self, for_s):
        """Let a share of a target's responses, and its health checks, never end."""
        target = await self._choose_running_target()

        def choose_fault(received):
            if self._random.random() < RESPONSE_FAULT_SHARE:
                return self._random.choice(ENDLESS_FAULTS)
            return None

        with self._cluster.record_disturbance(target.name, "responds without end"):
            target.server.choose_fault = choose_fault
            target.server.endless = True
            await asyncio.sleep(for_s)
            target.server.choose_fault = lambda received: None
            target.server.endless = False

    async def restore_store(self, for_s):
        """Let the store come back from a copy, after changes that it has lost."""
        cluster = self._cluster
        with cluster.record_store_disturbance("restored"):
            copy = cluster.store.copy()
            for _ in range(self._random.randint(0, RESTORED_CHANGES_MAX)):
                await cluster.put_configuration()
            await asyncio.sleep(for_s)
            cluster.store.faults.away = True
            await asyncio.sleep(RESTORED_AWAY_S)
            cluster.store.faults.away = False
            await cluster.restore_store(copy)

    async def kill_all_vms(self, for_s):
        """Kill all VMs at the same moment, and restart them."""
        vms = self._cluster.vms
        with self._record_disturbances(vms, "killed"):
            for vm in vms:
                vm.kill()
            await asyncio.sleep(min(for_s, DOWN_S_MAX))
            for vm in vms:
                self._restart(vm)
            await asyncio.gather(*map(self._cluster.wait_ready, vms))

    async def _replace_left(self, target):
        if not target.alive:
            # A request has ended it meanwhile, and it is being replaced.
            return
        self._cluster.kill_target(target)
        await self._cluster.remove_registration(target)
        await self._cluster.start_target(
            target.service, target.address_index, COLD_START_S
        )

    async def _choose_running_target(self):
        while True:
            running = [
                t
                for t in self._cluster.targets
                if t.alive and t.draining_since_s is None and not t.server.leaving
            ]
            if running:
                return self._random.choice(running)
            await asyncio.sleep(POLL_S)

    def _restart(self, vm):
        if not vm.running:
            if len(self._cluster.builds) > 1:
                vm.build = self._random.choice(self._cluster.builds)
                self._cluster.disturbances.note(
                    vm.name, f"starts {build_name(vm.build)}"
                )
            limit_ms = CLOCK_OFFSET_MS_MAX
            vm.start(self._random.randint(-limit_ms, limit_ms))

    async def _disturb_link(self, link, for_s):
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
        link.restore()

    def _record_disturbances(self, vms, kind):
        stack = contextlib.ExitStack()
        for vm in vms:
            stack.enter_context(self._cluster.record_disturbance(vm.name, kind))
        return stack


FAULTS = tuple(
    name
    for name, member in vars(Faults).items()
    if not name.startswith("_") and callable(member)
)
