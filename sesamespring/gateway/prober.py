"""Ask targets how fast they are now, where their answers do not tell."""

import asyncio

import h11

from sesamespring.http.channel import open_channel
from sesamespring.platform.headers import read_answer

__all__ = ["Prober"]

ROUND_S = 0.05
REPORT_AGE_S = 0.1
# Two VMs may decide for a service for a moment.
BUDGET_KEPT_BACK = 2.0
TIMEOUT_S = 0.5
UNREACHABLE_REST_S = 0.3
BODY_BYTES_MAX = 64 * 1024


class Prober:
    """Sends health checks to the targets of the services that this VM decides for.

    Args:
        services: Object whose ``probed()`` returns pairs of ServiceRunner and health
            path for the services to ask about.
        counters: The Counters.
        checks_per_s: How many health checks a target may get in a second.
    """

    def __init__(self, services, counters, checks_per_s):
        self._services = services
        self._counters = counters
        self._interval_s = max(REPORT_AGE_S, BUDGET_KEPT_BACK / checks_per_s)
        self._channels = {}
        self._asked_s = {}
        self._running = {}
        self._loop = asyncio.get_running_loop()

    async def run(self):
        """Ask until cancelled."""
        try:
            while True:
                self._start_round()
                await asyncio.sleep(ROUND_S)
        finally:
            for task in self._running.values():
                task.cancel()
            for channel in self._channels.values():
                channel.abort()

    def _start_round(self):
        now_s = self._loop.time()
        seen = set()
        for runner, path in self._services.probed():
            for key, state in runner.scheduler.states.items():
                seen.add(key)
                if self._is_due(key, state, now_s):
                    self._asked_s[key] = now_s
                    task = self._loop.create_task(self._probe(runner, path, state))
                    self._running[key] = task
        for key in [key for key in self._channels if key not in seen]:
            if key not in self._running:
                self._channels.pop(key).abort()
                self._asked_s.pop(key, None)

    def _is_due(self, key, state, now_s):
        if key in self._running or not state.in_service:
            return False
        if len(state.work) >= state.entry.slots:
            return False
        known_s = max(state.reported_s, self._asked_s.get(key, 0.0))
        return now_s - known_s >= self._interval_s

    async def _probe(self, runner, path, state):
        key = state.entry.key
        try:
            async with asyncio.timeout(TIMEOUT_S):
                facts = await self._ask(state.entry, path)
        except ConnectionRefusedError:
            runner.scheduler.rest(key, UNREACHABLE_REST_S, self._loop.time())
            self._drop(key)
        except (OSError, TimeoutError, h11.ProtocolError):
            self._counters.add("failed_health_checks")
            self._drop(key)
        else:
            now_s = self._loop.time()
            if facts.target_id in (None, state.entry.id):
                runner.scheduler.report(key, facts.load, facts.cold_left_s, now_s)
        finally:
            self._running.pop(key, None)

    async def _ask(self, entry, path):
        self._counters.add("health_checks")
        channel = self._channels.get(entry.key)
        if channel is None or not channel.usable:
            channel = await open_channel(entry.address, TIMEOUT_S)
            self._channels[entry.key] = channel
        host = f"{entry.address[0]}:{entry.address[1]}"
        channel.send_head("GET", path, [("Host", host)])
        channel.send_end()
        head = await channel.receive_head()
        await channel.read_body(BODY_BYTES_MAX)
        if not channel.reusable:
            self._drop(entry.key)
        else:
            channel.finish(self._loop.time())
        return read_answer(head.status_code, head.headers)

    def _drop(self, key):
        channel = self._channels.pop(key, None)
        if channel is not None:
            channel.abort()
