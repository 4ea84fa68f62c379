"""Test that service comes back after a final fault while other faults go on."""

import asyncio
import functools
import itertools
import random

import pytest

from tests.gateway.test_faults import wait_until
from tests.gateway.test_forwarding import run_scenario
from tests.gateway.test_store_restored import is_recovered

SEEDS = (1, 2, 3)
VMS = 4
TARGETS = 6
HEARTBEAT_INTERVAL_S = 0.05
REQUEST_INTERVAL_S = 0.02
WORK_S = 0.08
HARMLESS_PATHS = 40
FATAL_PATH = "/read/fatal-"
FATAL_SHARE = 0.05
# Share of fatal requests, and time after which another one takes its place, where there
# are several in a row.
FATAL_SHARE_IN_SERIES = 0.3
FATAL_CHANGE_S = 1.0
FAULTY_SHARE = 0.3
SHED_SHARE = 0.7
BACKOFF_S = 0.5
# Requests per second that each target states as its limit; all together take less than
# the load.
LIMIT_PER_S = 6.0
LEAVING_S = 1.5
# Length of the faults before all VMs are killed, and the time in which service has to
# come back while they go on.
BEFORE_S = 3.0
FATAL_SERIES_S = 8.0
RECOVERY_S = 5.0
MEASURED_S = 3.0
# The share that the users ask for after a final fault.
SERVED_SHARE_MIN = 0.25
RECOVERED_WITHIN_S = 8.0


class _Faults:
    """Faults that go on until they are cancelled, and then end.

    Args:
        cluster: The Cluster.
        rng: The random.Random that chooses what they affect.

    Attributes:
        fatal_path: Path of the requests that end their targets, or None for none.
        fatal_share: Share of them.
    """

    def __init__(self, cluster, rng):
        self._cluster = cluster
        self._rng = rng
        self._restarts = set()
        self.fatal_path = None
        self.fatal_share = FATAL_SHARE

    async def end_targets(self):
        """Send requests that end the targets that run them, which start again."""
        self._let_targets_end()
        self.fatal_path = f"{FATAL_PATH}0"
        try:
            await _until_cancelled()
        finally:
            self.fatal_path = None

    async def end_targets_in_series(self):
        """Send many such requests, others each second."""
        self._let_targets_end()
        self.fatal_share = FATAL_SHARE_IN_SERIES
        try:
            for number in itertools.count():
                self.fatal_path = f"{FATAL_PATH}{number}"
                await asyncio.sleep(FATAL_CHANGE_S)
        finally:
            self.fatal_path = None

    def _let_targets_end(self):
        for number, target in enumerate(self._cluster.targets):
            target.ends_on = lambda received: received.target.startswith(FATAL_PATH)
            target.on_end = functools.partial(self._restart_target, number)

    def _restart_target(self, number):
        async def restart():
            await asyncio.sleep(self._rng.uniform(0.2, 1.0))
            target = self._cluster.targets[number]
            await target.start(*self._cluster.target_address(number))
            await self._cluster.register(number, born=len(target.crashes) + 1)

        task = asyncio.create_task(restart())
        self._restarts.add(task)
        task.add_done_callback(self._restarts.discard)

    async def cut_links(self):
        """Cut all VMs but one off from the targets."""
        how = self._rng.choice(("silent", "reset", "refused"))
        cut = self._rng.sample(self._cluster.ips, VMS - 1)
        for ip in cut:
            self._cluster.cut_from_targets(ip, how)
        try:
            await _until_cancelled()
        finally:
            for ip in cut:
                self._cluster.restore_targets(ip)

    async def state_leaving(self):
        """Let one target after the other state that it leaves, and replace it."""
        while True:
            number = self._rng.randrange(TARGETS)
            target = self._cluster.targets[number]
            target.leaving = True
            try:
                await asyncio.sleep(LEAVING_S)
            finally:
                target.leaving = False
            await self._cluster.store.delete("servers", target.id)
            target.id = f"{target.id}+"
            await self._cluster.register(number)

    async def request_backoffs(self):
        """Let targets reject all requests for a moment and ask for a backoff."""
        while True:
            targets = self._rng.sample(self._cluster.targets, TARGETS // 2)
            for target in targets:
                target.busy_s = BACKOFF_S
            try:
                await asyncio.sleep(self._rng.uniform(0.1, 0.5))
            finally:
                for target in targets:
                    target.busy_s = None
            await asyncio.sleep(BACKOFF_S)

    async def shed_load(self):
        """Let all targets reject most requests although they have free slots."""
        for target in self._cluster.targets:
            target.sheds = lambda: self._rng.random() < SHED_SHARE
        try:
            await _until_cancelled()
        finally:
            for target in self._cluster.targets:
                target.sheds = lambda: False

    async def limit_requests(self):
        """Let all targets state limits."""
        for target in self._cluster.targets:
            target.limit_per_s = str(LIMIT_PER_S)
        try:
            await _until_cancelled()
        finally:
            for target in self._cluster.targets:
                target.limit_per_s = None

    async def respond_wrongly(self):
        """Let a part of the responses fail, break, fall silent or never end."""
        kinds = ("endless-head", "endless-body", "silent", "reset", "fail")

        def choose_fault(received):
            if self._rng.random() < FAULTY_SHARE:
                return self._rng.choice(kinds)
            return None

        for target in self._cluster.targets:
            target.choose_fault = choose_fault
        try:
            await _until_cancelled()
        finally:
            for target in self._cluster.targets:
                target.choose_fault = lambda received: None

    async def restore_store(self):
        """Let the store come back from a copy again and again."""
        store = self._cluster.store
        while True:
            copy = store.copy()
            await asyncio.sleep(self._rng.uniform(0.5, 2.0))
            store.faults.away = True
            await store.restore(copy)
            await asyncio.sleep(self._rng.uniform(0.0, 0.5))
            store.faults.away = False

    async def forget_history(self):
        """Let the store forget its history again and again."""
        while True:
            await asyncio.sleep(self._rng.uniform(0.2, 1.0))
            self._cluster.store.forget_history()


# Those that leave no room for further faults are played alone.
ALONE = {"shed_load", "end_targets_in_series"}
LASTING = [
    name for name in vars(_Faults) if not name.startswith("_") and name not in ALONE
]


async def _until_cancelled():
    await asyncio.Event().wait()


async def _write_heartbeats(cluster):
    """Let targets that run write heartbeats with the start of their lifetime."""
    sequence = 100
    while True:
        sequence += 1
        number = sequence % TARGETS
        target = cluster.targets[number]
        if target.listening:
            born = len(target.crashes) + 1
            await cluster.register(number, sequence=sequence, born=born)
        await asyncio.sleep(HEARTBEAT_INTERVAL_S)


async def _send_load(cluster, faults, rng, outcomes):
    """Send requests; append whether each of the harmless ones was served."""

    async def call(number):
        path = f"/read/{rng.randrange(HARMLESS_PATHS)}"
        if faults.fatal_path and rng.random() < faults.fatal_share:
            path = faults.fatal_path
        ip = rng.choice(cluster.ips)
        response = await cluster.call(ip, f"load-{number}", path, timeout_ms=800)
        if not path.startswith(FATAL_PATH):
            outcomes.append(response.status == 200)

    async with asyncio.TaskGroup() as group:
        for number in range(1_000_000):
            group.create_task(call(number))
            await asyncio.sleep(REQUEST_INTERVAL_S)


async def _restart_all(cluster, rng):
    for ip in cluster.ips:
        await cluster.kill_vm(ip)
    for ip in rng.sample(cluster.ips, VMS):
        cluster.start_vm(ip)
        await asyncio.sleep(rng.choice([0.0, 0.0, 0.3]))


async def _served_share(outcomes):
    outcomes.clear()
    await asyncio.sleep(MEASURED_S)
    return sum(outcomes) / len(outcomes)


async def _play(cluster, seed, kinds):
    """Restart all VMs amid lasting faults, and check what is served."""
    rng = random.Random(seed)
    faults = _Faults(cluster, rng)
    outcomes = []
    lasting = [asyncio.create_task(getattr(faults, name)()) for name in kinds]
    background = [
        asyncio.create_task(_write_heartbeats(cluster)),
        asyncio.create_task(_send_load(cluster, faults, rng, outcomes)),
    ]
    try:
        await asyncio.sleep(BEFORE_S)
        await _restart_all(cluster, rng)
        await asyncio.sleep(RECOVERY_S)
        served = await _served_share(outcomes)
        print(f"{kinds}: served {served:.2f}")
        assert served >= SERVED_SHARE_MIN
        for task in lasting:
            task.cancel()
        await asyncio.wait(lasting)
        cluster.store.faults.away = False
        await wait_until(lambda: is_recovered(cluster), RECOVERED_WITHIN_S)
    finally:
        for task in (*lasting, *background):
            task.cancel()


@pytest.mark.parametrize("seed", SEEDS)
def test_service_comes_back_while_other_faults_go_on(seed):
    kinds = random.Random(seed).sample(LASTING, 3)

    async def scenario(cluster):
        await _play(cluster, seed, kinds)

    run_scenario(scenario, vms=VMS, targets=TARGETS, work_s=WORK_S)


def test_service_comes_back_at_targets_that_shed_most_of_their_load():
    async def scenario(cluster):
        await _play(cluster, 1, ["shed_load"])

    run_scenario(scenario, vms=VMS, targets=TARGETS, work_s=WORK_S)


def test_harmless_requests_are_served_after_a_final_fault_amid_fatal_ones():
    async def scenario(cluster):
        rng = random.Random(1)
        faults = _Faults(cluster, rng)
        outcomes = []
        lasting = asyncio.create_task(faults.end_targets_in_series())
        background = [
            asyncio.create_task(_write_heartbeats(cluster)),
            asyncio.create_task(_send_load(cluster, faults, rng, outcomes)),
        ]
        try:
            await asyncio.sleep(FATAL_SERIES_S)
            lasting.cancel()
            await _restart_all(cluster, rng)
            await asyncio.sleep(RECOVERY_S)
            served = await _served_share(outcomes)
            print(f"served {served:.2f}")
            assert served >= SERVED_SHARE_MIN
        finally:
            for task in (lasting, *background):
                task.cancel()

    run_scenario(scenario, vms=VMS, targets=TARGETS, work_s=WORK_S)
