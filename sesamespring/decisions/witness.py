"""Prevent the extension of a session and the takeover of its holds from overlapping.

While the platform is unavailable, a holder's session is extended only while a majority
of its witnesses promises not to release it. A takeover needs the releases of so many
witnesses that the rest cannot be a majority. For one renewal, a witness never gives a
promise and a release that are in effect at the same time.
"""

import math

import attrs

__all__ = ["SessionExtension", "WitnessState"]

# Share of the ttl for which a new run of a witness gives no promises.
GRACE_SHARE = 0.1


class WitnessState:
    """The promises and releases of this VM as a witness of other VMs' sessions.

    Args:
        started_s: Time at which this run of the daemon started to listen.
        ttl_s: Longest promise of an earlier run at this address, in seconds.
    """

    def __init__(self, started_s, ttl_s):
        self._started_s = started_s
        self._ttl_s = ttl_s
        self._promised = {}
        self._released = {}

    def promise(self, session, counter, ttl_s, now_s):
        """Promise not to release a session for ``ttl_s``, if allowed.

        A new run waits before its first promise, so that a run which lives only
        between two probes of a VM that takes over has promised nothing.

        Args:
            session: The session.
            counter: Number of its last confirmed renewal.
            ttl_s: Seconds for which the promise lasts.
            now_s: The current time in seconds.

        Returns:
            Whether the promise is given.
        """
        if now_s < self._started_s + self._ttl_s * GRACE_SHARE:
            return False
        # A later run of this VM refuses releases only for its own ttl.
        if ttl_s > self._ttl_s:
            return False
        if self._released.get(session, -1) >= counter:
            return False
        until_s = max(self._promised.get(session, -math.inf), now_s + ttl_s)
        self._promised[session] = until_s
        return True

    def release(self, session, counter, now_s):
        """Release a session up to a renewal, if allowed.

        A new run gives no release while a promise of an earlier run may last.

        Args:
            session: The session.
            counter: Number of the renewal.
            now_s: The current time in seconds.

        Returns:
            Whether the release is given.
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
    """The extension of a session by the promises of its witnesses.

    Args:
        counter: Number of the session's last confirmed renewal.
        ttl_s: Seconds for which a promise lasts.
        quorum: Number of witnesses that must promise.
        incarnations: For each witness by name, the incarnation that has certainly not
            released this renewal; None if any incarnation may respond.
    """

    def __init__(self, counter, ttl_s, quorum, incarnations):
        self._counter = counter
        self._ttl_s = ttl_s
        self._quorum = quorum
        self._incarnations = dict(incarnations)
        self._promises = {}

    @property
    def counter(self):
        """Number of the renewal that is extended."""
        return self._counter

    @property
    def ttl_s(self):
        """Seconds for which a promise lasts."""
        return self._ttl_s

    @property
    def quorum(self):
        """Number of witnesses that must promise."""
        return self._quorum

    @property
    def witnesses(self):
        """Names of the witnesses."""
        return tuple(self._incarnations)

    @property
    def valid_until_s(self):
        """Time until which a quorum of witnesses has promised."""
        ends_s = sorted((p.until_s for p in self._promises.values()), reverse=True)
        if not self._incarnations or len(ends_s) < self._quorum:
            return -math.inf
        return ends_s[self._quorum - 1]

    def incarnation(self, vm):
        """Return a witness's incarnation that has certainly not released, or None."""
        return self._incarnations.get(vm)

    def require_witnesses(self, vms, quorum):
        """Add witnesses, and change the number that must promise."""
        self._quorum = quorum
        for vm in vms:
            self._incarnations.setdefault(vm, None)

    def record_promise(self, vm, incarnation, asked_s, now_s, lease_until_s):
        """Record a witness's promise.

        The promise of a new incarnation counts only while the promise of its
        predecessor or the lease itself is valid. After that, the predecessor may have
        released the session.

        Args:
            vm: Name of the witness.
            incarnation: Identity of its run.
            asked_s: Time at which the promise was requested.
            now_s: The current time in seconds.
            lease_until_s: End of the lease in the table, as far as this VM has it.
        """
        if vm not in self._incarnations:
            return
        promise = self._promises.get(vm)
        unbroken = promise is not None and now_s < promise.until_s
        same = incarnation == self._incarnations[vm]
        if not same and not unbroken and now_s >= lease_until_s:
            return
        until_s = asked_s + self._ttl_s
        if same and promise is not None:
            until_s = max(until_s, promise.until_s)
        self._incarnations[vm] = incarnation
        self._promises[vm] = _Promise(incarnation, until_s)
