"""Keep to the limits on requests per second that targets name in their responses.

Such a limit holds for all VMs together. The decider of a service spends nearly all of
it; VMs that decide on their own, as the decider does not answer them, share a part that
is small enough to be spent beside.
"""

import math

import attrs

__all__ = [
    "NO_LIMIT",
    "LimitStatement",
    "RequestPacer",
    "StatedLimits",
    "rate_of_this_vm",
]

# Rate of a target whose responses name no limit.
NO_LIMIT = math.inf
# Below 1, as requests may arrive closer together than they were sent.
DECIDER_SHARE = 0.9
# Share of all VMs together that decide without the decider.
OTHERS_SHARE = 0.25
# A decider that hears fewer VMs than it knows may be one of several, each in its own
# part of a divided network.
DIVIDED_SHARE_MIN = 0.5
# A VM that decides on its own sends to a limited target only if its share is at least
# one request in this time; the first request of each VM would else exceed the limit.
OTHERS_INTERVAL_MAX_S = 4.0
# Requests beyond one that may be sent at once after a pause, in seconds of the rate.
BURST_S = 0.1
# How long other VMs are told that a target names no limit any more.
LIFTED_MEMORY_S = 10.0


@attrs.frozen
class LimitStatement:
    """What a target's last known response says about its limit.

    Attributes:
        key: Key of the target's lifetime.
        per_s: Requests per second that it takes from all VMs, or NO_LIMIT.
        stated_s: Time at which the response arrived at a VM.
    """

    key: tuple
    per_s: float
    stated_s: float


class StatedLimits:
    """The newest LimitStatement about each target, from responses and other VMs.

    Targets that never named a limit are left out.
    """

    def __init__(self):
        self._statements = {}

    def record(self, statement):
        """Keep a LimitStatement if it is newer; return whether a limit changed."""
        known = self._statements.get(statement.key)
        if statement.per_s == NO_LIMIT and self.per_s(statement.key) == NO_LIMIT:
            # Not refreshed, so that the end of a limit is forgotten some time later.
            return False
        if known is not None and statement.stated_s <= known.stated_s:
            return False
        self._statements[statement.key] = statement
        return known is None or known.per_s != statement.per_s

    def per_s(self, key):
        """Return the limit of a target in requests per second, or NO_LIMIT."""
        statement = self._statements.get(key)
        return NO_LIMIT if statement is None else statement.per_s

    def stated_s(self, key):
        """Return when a target last stated its limit, or minus infinity."""
        statement = self._statements.get(key)
        return -math.inf if statement is None else statement.stated_s

    def newest(self, count):
        """Return up to ``count`` LimitStatements, the newest first."""
        statements = sorted(
            self._statements.values(), key=lambda s: s.stated_s, reverse=True
        )
        return statements[:count]

    def drop_outdated(self, keys, now_s):
        """Forget limits that were lifted long ago, and targets that are gone.

        Args:
            keys: Keys of the registered targets.
            now_s: Current time.
        """
        oldest_s = now_s - LIFTED_MEMORY_S
        self._statements = {
            key: statement
            for key, statement in self._statements.items()
            if key in keys
            and (statement.per_s != NO_LIMIT or statement.stated_s > oldest_s)
        }


def rate_of_this_vm(per_s, vms, vms_known, is_decider):
    """Return the requests per second that this VM may send to a limited target.

    Args:
        per_s: The target's limit in requests per second, or NO_LIMIT.
        vms: Number of VMs that serve requests, as far as this VM hears.
        vms_known: Number of VMs including those that have fallen silent.
        is_decider: Whether this VM decides for the target's service.

    >>> rate_of_this_vm(2.0, 12, 12, True), rate_of_this_vm(2.0, 3, 12, True)
    (1.8, 0.9)
    >>> rate_of_this_vm(2.0, 12, 12, False), rate_of_this_vm(24.0, 12, 12, False)
    (0.0, 0.5)
    """
    if per_s == NO_LIMIT:
        return NO_LIMIT
    vms_known = max(1, vms, vms_known)
    if is_decider:
        return per_s * DECIDER_SHARE * max(DIVIDED_SHARE_MIN, vms / vms_known)
    rate = per_s * OTHERS_SHARE / vms_known
    return rate if rate * OTHERS_INTERVAL_MAX_S >= 1 else 0.0


class RequestPacer:
    """Spaces the requests to one target evenly, at a rate that may change.

    Args:
        now_s: Current time.

    >>> pacer = RequestPacer(0.0)
    >>> pacer.set_rate(2.0, 0.0)
    >>> pacer.available(0.4), pacer.available(0.5), pacer.available(9.0)
    (0, 1, 1)
    >>> pacer.record(9.0)
    >>> pacer.next_s(9.0)
    9.4
    """

    def __init__(self, now_s):
        self._rate = 0.0
        self._credit = 0.0
        self._updated_s = now_s

    @property
    def interval_s(self):
        """Time between two requests in seconds; infinite if there may be none."""
        return 1 / self._rate if self._rate > 0 else math.inf

    def set_rate(self, rate, now_s):
        """Set the number of requests per second."""
        self._update(now_s)
        self._rate = rate

    def available(self, now_s):
        """Return how many requests may be sent now."""
        self._update(now_s)
        return max(0, int(self._credit))

    def record(self, now_s):
        """Count a request that is sent now."""
        self._update(now_s)
        self._credit -= 1

    def next_s(self, now_s):
        """Return when the next request may be sent, not before now."""
        self._update(now_s)
        if self._credit >= 1:
            return now_s
        return now_s + (1 - self._credit) * self.interval_s

    def _update(self, now_s):
        elapsed_s = max(0.0, now_s - self._updated_s)
        burst = 1.0 + self._rate * BURST_S
        self._credit = min(burst, self._credit + elapsed_s * self._rate)
        self._updated_s = now_s
