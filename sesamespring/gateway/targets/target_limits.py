"""Share what targets state about their limits among this VM's tasks and other VMs."""

import asyncio

from sesamespring.gateway.generated.ttypes import TargetLimit
from sesamespring.routing.request_limits import NO_LIMIT, LimitStatement, StatedLimits

__all__ = ["TargetLimits"]

# Keeps a heartbeat far below the largest datagram.
STATEMENTS_PER_HEARTBEAT_MAX = 48


class TargetLimits:
    """The limits of all targets, from responses to this VM and from heartbeats.

    Args:
        counters: The Counters.
        log: The EventLog.

    Attributes:
        stated: The StatedLimits, which schedulers read.
        on_change: Function without arguments, called after a limit has changed.
        on_news: Function without arguments, called after a response to this VM has
            changed a limit, which other VMs do not know yet.
    """

    def __init__(self, counters, log):
        self.stated = StatedLimits()
        self.on_change = lambda: None
        self.on_news = lambda: None
        self._counters = counters
        self._log = log
        self._loop = asyncio.get_running_loop()

    def record_response(self, key, per_s):
        """Record the limit in a target's response to this VM.

        Args:
            key: Key of the target.
            per_s: Requests per second, NO_LIMIT, or None if there was no response.
        """
        if per_s is None:
            return
        if self._record(LimitStatement(key, per_s, self._loop.time()), "response"):
            self.on_news()

    def record_heartbeat(self, limits, peer):
        """Record the TargetLimits of another VM's heartbeat.

        Args:
            limits: List of the thrift structs.
            peer: Name of the VM.
        """
        now_s = self._loop.time()
        for limit in limits:
            per_s = NO_LIMIT if limit.per_s is None else limit.per_s
            key = (limit.target, limit.born_ms)
            self._record(LimitStatement(key, per_s, now_s - limit.age_s), peer)

    def for_heartbeat(self):
        """Return the newest statements as a list of thrift structs."""
        now_s = self._loop.time()
        return [
            TargetLimit(
                target=statement.key[0],
                born_ms=statement.key[1],
                per_s=None if statement.per_s == NO_LIMIT else statement.per_s,
                age_s=now_s - statement.stated_s,
            )
            for statement in self.stated.newest(STATEMENTS_PER_HEARTBEAT_MAX)
        ]

    def drop_outdated(self, keys):
        """Forget limits that were lifted long ago, and targets not among ``keys``."""
        self.stated.drop_outdated(keys, self._loop.time())

    def _record(self, statement, source):
        if not self.stated.record(statement):
            return False
        self._counters.add("limit_changes")
        self._log.event(
            "target-limited",
            target=statement.key[0],
            per_s=statement.per_s,
            source=source,
            age_s=self._loop.time() - statement.stated_s,
        )
        self.on_change()
        return True
