"""Send health checks to targets whose responses do not provide recent load reports."""

import asyncio

import h11

from sesamespring.platform.headers import parse_response_headers

__all__ = ["Prober"]

ROUND_INTERVAL_S = 0.05
REPORT_AGE_MAX_S = 0.1
# Two VMs may schedule a service for a moment when its decider changes, so each probes
# at half of the rate that a target allows.
CONCURRENT_PROBERS = 2.0
TIMEOUT_S = 0.5
UNREACHABLE_BACKOFF_S = 0.3
# Health checks count against the limit that a target names. This many show when the
# limit ends, and leave it to requests otherwise.
LIMITED_INTERVAL_S = 2.0
BODY_BYTES_MAX = 64 * 1024


class Prober:
    """Sends health checks to the targets of the services that this VM schedules.

    Args:
        services: Object whose ``services_to_probe()`` returns pairs of ServiceRunner
            and health path of the services whose targets are probed.
        limits: The TargetLimits.
        availability: The TargetAvailability.
        paths: The TargetPaths.
        counters: The Counters.
        probes_per_s: Maximum rate of health checks to one target, per second.
    """

    def __init__(self, services, limits, availability, paths, counters, probes_per_s):
        self._services = services
        self._limits = limits
        self._availability = availability
        self._paths = paths
        self._counters = counters
        self._interval_s = max(REPORT_AGE_MAX_S, CONCURRENT_PROBERS / probes_per_s)
        self._channels = {}
        self._probed_s = {}
        self._tasks = {}
        self._loop = asyncio.get_running_loop()

    async def run(self):
        """Send health checks until cancelled."""
        try:
            while True:
                self._start_round()
                await asyncio.sleep(ROUND_INTERVAL_S)
        finally:
            for task in self._tasks.values():
                task.cancel()
            for channel in self._channels.values():
                channel.abort()

    def _start_round(self):
        now_s = self._loop.time()
        present = set()
        for runner, path in self._services.services_to_probe():
            for key, state in runner.scheduler.targets.states.items():
                present.add(key)
                if self._is_due(key, state, now_s):
                    self._probed_s[key] = now_s
                    task = self._loop.create_task(self._probe(runner, path, state))
                    self._tasks[key] = task
        for key in [key for key in self._channels if key not in present]:
            if key not in self._tasks:
                self._channels.pop(key).abort()
                self._probed_s.pop(key, None)

    def _is_due(self, key, state, now_s):
        if key in self._tasks or not state.in_service:
            return False
        if self._availability.is_backing_off(key):
            return False
        if len(state.active_attempts) >= state.entry.slots:
            return False
        probed_s = self._probed_s.get(key, 0.0)
        if state.pacer is not None:
            stated_s = self._limits.stated.stated_s(key)
            return now_s - max(stated_s, probed_s) >= LIMITED_INTERVAL_S
        return now_s - max(state.reported_s, probed_s) >= self._interval_s

    async def _probe(self, runner, path, state):
        key = state.entry.key
        started_s = self._loop.time()
        try:
            async with asyncio.timeout(TIMEOUT_S):
                metadata = await self._send_probe(state.entry, path)
        except ConnectionRefusedError:
            runner.scheduler.targets.back_off_unless_heard(
                key, UNREACHABLE_BACKOFF_S, started_s, self._loop.time()
            )
            self._close_channel(key)
        except (OSError, TimeoutError, h11.ProtocolError):
            self._counters.add("failed_health_checks")
            self._close_channel(key)
        else:
            now_s = self._loop.time()
            self._paths.record_contact(state.entry)
            if metadata.target_id in (None, state.entry.id):
                self._limits.record_response(key, metadata.limit_per_s)
                self._availability.record_backoff(state.entry, metadata)
                self._availability.record_leaving(state.entry, metadata)
                self._availability.record_malformed(state.entry, metadata)
                runner.scheduler.targets.record_load(
                    key, metadata.load, metadata.cold_left_s, now_s
                )
        finally:
            self._tasks.pop(key, None)

    async def _send_probe(self, entry, path):
        self._counters.add("health_checks")
        channel = self._channels.get(entry.key)
        if channel is None or not channel.usable:
            channel = await self._paths.connect(entry)
            self._channels[entry.key] = channel
        host = f"{entry.address[0]}:{entry.address[1]}"
        channel.send_head("GET", path, [("Host", host)])
        channel.send_end()
        head = await channel.receive_head()
        await channel.read_body(BODY_BYTES_MAX)
        if not channel.reusable:
            self._close_channel(entry.key)
        else:
            channel.finish(self._loop.time())
        return parse_response_headers(head.status_code, head.headers)

    def _close_channel(self, key):
        channel = self._channels.pop(key, None)
        if channel is not None:
            channel.abort()
