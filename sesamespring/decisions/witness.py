"""Keep extension of a session and take-over of its holds from overlapping.

While the platform is away, a holder's session goes on only while a majority of its
witnesses promises not to release it; a take-over needs so many releases that one of
them is missing then. A witness never does both for the same renewal.
"""

import math

import attrs

__all__ = ["SessionExtension", "WitnessState"]

GRACE_SHARE = 0.1


class WitnessState:
    """What this VM has promised and released as a witness of others' sessions.

    Args:
        started_s: When this run of the daemon started to listen.
        ttl_s: The longest promise of an earlier run at this address, in seconds.
    """

    def __init__(self, started_s, ttl_s):
        self._started_s = started_s
        self._ttl_s = ttl_s
        self._promised = {}
        self._released = {}

    def promise(self, session, counter, ttl_s, now_s):
        """Promise not to release a session for ``ttl_s``; return whether it may.

        A new run waits a little before its first promise, so that one that lives
        only between two probes of a taker has promised nothing.
        """
        if now_s < self._started_s + self._ttl_s * GRACE_SHARE:
            return False
        # A later run of this VM abstains only as long as its own ttl.
        if ttl_s > self._ttl_s:
            return False
        if self._released.get(session, -1) >= counter:
            return False
        until_s = max(self._promised.get(session, -math.inf), now_s + ttl_s)
        self._promised[session] = until_s
        return True

    def release(self, session, counter, now_s):
        """Release a session up to a renewal; return whether it may.

        A new run abstains while a promise of an earlier run may last.
        """
        if now_s <= self._started_s + self._ttl_s:
            return False
        if now_s <= self._promised.get(session, -math.inf):
            return False
        self._promised.pop(session, None)
        self._released[session] = max(counter, self._released.get(session, -1))
        return True


@attrs.define
class _Promise:
    incarnation: str
    until_s: float


class SessionExtension:
    """How long a session lasts by the word of its witnesses.

    Args:
        counter: The session's last confirmed renewal.
        ttl_s: Seconds that a promise lasts.
        quorum: How many witnesses must promise.
        known: Incarnation by name of each witness that is known not to have
            released this renewal; None where a new one may answer.
    """

    def __init__(self, counter, ttl_s, quorum, known):
        self._counter = counter
        self._ttl_s = ttl_s
        self._quorum = quorum
        self._known = dict(known)
        self._promises = {}

    @property
    def counter(self):
        """The renewal that is extended."""
        return self._counter

    @property
    def ttl_s(self):
        """Seconds that a promise lasts."""
        return self._ttl_s

    @property
    def quorum(self):
        """How many witnesses must promise."""
        return self._quorum

    @property
    def witnesses(self):
        """Names of the witnesses."""
        return tuple(self._known)

    @property
    def valid_until_s(self):
        """Time until which enough witnesses have promised."""
        ends_s = sorted((p.until_s for p in self._promises.values()), reverse=True)
        if not self._known or len(ends_s) < self._quorum:
            return -math.inf
        return ends_s[self._quorum - 1]

    def incarnation(self, vm):
        """Return the incarnation of a witness that is known not to have released."""
        return self._known.get(vm)

    def require(self, vms, quorum):
        """Demand the word of other witnesses too."""
        self._quorum = quorum
        for vm in vms:
            self._known.setdefault(vm, None)

    def count(self, vm, incarnation, asked_s, now_s, lease_until_s):
        """Count a witness's promise.

        A witness that started anew counts only while its predecessor's promise or
        the lease itself lasts: after that, the predecessor may have released.

        Args:
            vm: Name of the witness.
            incarnation: Its run.
            asked_s: When the promise was asked for.
            now_s: The time now.
            lease_until_s: End of the lease in the table, where this VM knows it.
        """
        if vm not in self._known:
            return
        promise = self._promises.get(vm)
        unbroken = promise is not None and now_s < promise.until_s
        same = incarnation == self._known[vm]
        if not same and not unbroken and now_s >= lease_until_s:
            return
        until_s = asked_s + self._ttl_s
        if same and promise is not None:
            until_s = max(until_s, promise.until_s)
        self._known[vm] = incarnation
        self._promises[vm] = _Promise(incarnation, until_s)
