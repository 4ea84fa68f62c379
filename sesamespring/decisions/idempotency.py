"""Decide whether a request with an idempotency key may be sent to a target.

Only one incarnation (one run of the daemon on one entry VM) sends the request of a
key: the issuer of the ticket that the key starts with, or the writer of the key's row
in the platform's table. The ledger of that incarnation is therefore authoritative for
the key.
"""

import collections
import enum
import re

import attrs
from returns.result import Failure, Result, Success

__all__ = [
    "KeyLedger",
    "KeyState",
    "KeyStatus",
    "StoredResponse",
    "key_ticket",
    "make_ticket",
]

KEY_LIFETIME_S = 600.0
KEYS_MAX = 50_000
STORED_BYTES_MAX = 8 * 1024 * 1024
_TICKETED_KEY_PATTERN = re.compile(r"t([0-9a-f]{16})\.[!-~]{1,128}", re.ASCII)


def make_ticket(incarnation):
    """Return an incarnation's ticket, the prefix of the keys of its callers.

    >>> make_ticket("00112233aabbccdd")
    't00112233aabbccdd'
    """
    return f"t{incarnation}"


def key_ticket(key):
    """Return the incarnation that issued a key's ticket, or None for a plain key.

    >>> key_ticket("t00112233aabbccdd.swap-1")
    '00112233aabbccdd'
    >>> key_ticket("swap-1") is None
    True
    """
    match = _TICKETED_KEY_PATTERN.fullmatch(key)
    return match.group(1) if match else None


class KeyState(enum.Enum):
    """State of a key at an incarnation.

    ``IN_PROGRESS``: the request may be running. ``FINISHED``: a target responded.
    ``LOST``: the request may have run, but its result is unknown. ``REFUSED``: the
    request was not run and never will be by this incarnation. ``MISMATCH``: the key
    belongs to another request. ``FULL``: no further key can be stored.
    """

    IN_PROGRESS = "in-progress"
    FINISHED = "finished"
    LOST = "lost"
    REFUSED = "refused"
    MISMATCH = "mismatch"
    FULL = "full"


@attrs.frozen
class StoredResponse:
    """A target's response, stored to be replayed for repeats of the request.

    Attributes:
        status: HTTP status code.
        content_type: Type of the body.
        body: The body in bytes, or None if it was too large to store or dropped.
    """

    status: int
    content_type: str
    body: bytes | None


@attrs.frozen
class KeyStatus:
    """State of a key whose request must not be sent, and its response if stored.

    Attributes:
        state: The KeyState.
        response: The StoredResponse of a finished request, or None.
    """

    state: KeyState
    response: StoredResponse | None = None


@attrs.define
class _Entry:
    fingerprint: str
    state: KeyState
    last_access_s: float
    response: StoredResponse | None = None

    @property
    def stored_bytes(self):
        return len(self.response.body or b"") if self.response else 0

    @property
    def found(self):
        return KeyStatus(self.state, self.response)


class KeyLedger:
    """The keys whose requests only this incarnation may send, and their results.

    A key that ended is removed KEY_LIFETIME_S after its last look-up.

    Args:
        keys_max: Maximum number of keys; requests of further keys are not run.
        stored_bytes_max: Maximum size of stored responses; beyond it, the oldest
            bodies are dropped, and their keys report only that the request finished.

    >>> ledger = KeyLedger()
    >>> ledger.begin("k", "POST /swap", 0.0)
    <Success: None>
    >>> ledger.finish("k", StoredResponse(200, "text/plain", b"done"), 0.1)
    >>> ledger.begin("k", "POST /swap", 0.2).failure().response.body
    b'done'
    """

    def __init__(self, keys_max=KEYS_MAX, stored_bytes_max=STORED_BYTES_MAX):
        self._keys_max = keys_max
        self._stored_bytes_max = stored_bytes_max
        self._entries = collections.OrderedDict()
        self._stored = collections.OrderedDict()
        self._stored_bytes = 0

    @property
    def count(self):
        """Number of stored keys."""
        return len(self._entries)

    @property
    def stored_bytes(self):
        """Number of bytes of stored responses."""
        return self._stored_bytes

    def begin(self, key, fingerprint, now_s) -> Result:
        """Claim a key in order to send its request.

        Args:
            key: Identity of the request.
            fingerprint: Value that distinguishes different requests with one key.
            now_s: The current time in seconds.

        Returns:
            Success if the request may be sent, or Failure of a KeyStatus.
        """
        entry = self._entries.get(key)
        if entry is not None:
            return Failure(self._status_of(key, fingerprint, now_s))
        if len(self._entries) >= self._keys_max:
            return Failure(KeyStatus(KeyState.FULL))
        self._entries[key] = _Entry(fingerprint, KeyState.IN_PROGRESS, now_s)
        return Success(None)

    def release(self, key):
        """Remove a key whose request was not run, so that it may be claimed again."""
        self._require_in_progress(key)
        del self._entries[key]

    def mark_lost(self, key, now_s):
        """Mark a request as possibly run, with an unknown result."""
        self._end(key, KeyState.LOST, now_s)

    def finish(self, key, response, now_s):
        """Store the response of a request; drop the oldest bodies beyond the limit."""
        entry = self._end(key, KeyState.FINISHED, now_s)
        entry.response = response
        self._stored[key] = entry
        self._stored_bytes += entry.stored_bytes
        while self._stored_bytes > self._stored_bytes_max:
            self._drop_oldest_body()

    def look_up(self, key, fingerprint, now_s):
        """Return the KeyStatus of a key, or None if the key is not stored."""
        if key not in self._entries:
            return None
        return self._status_of(key, fingerprint, now_s)

    def look_up_or_refuse(self, key, fingerprint, now_s):
        """Return the KeyStatus of a key; mark a key that is not stored as REFUSED.

        The VM that queries the key reports to its caller that the request was not run,
        so a copy of the request that arrives here later must not run either.
        """
        found = self.look_up(key, fingerprint, now_s)
        if found is not None:
            return found
        if len(self._entries) >= self._keys_max:
            return KeyStatus(KeyState.FULL)
        self._entries[key] = _Entry(fingerprint, KeyState.REFUSED, now_s)
        return KeyStatus(KeyState.REFUSED)

    def expire(self, now_s):
        """Remove the keys that ended and were not looked up for KEY_LIFETIME_S."""
        expired = []
        for key, entry in self._entries.items():
            if entry.state is KeyState.IN_PROGRESS:
                continue
            if entry.last_access_s > now_s - KEY_LIFETIME_S:
                break
            expired.append(key)
        for key in expired:
            entry = self._entries.pop(key)
            if self._stored.pop(key, None) is not None:
                self._stored_bytes -= entry.stored_bytes

    def _status_of(self, key, fingerprint, now_s):
        entry = self._entries[key]
        if entry.fingerprint != fingerprint:
            return KeyStatus(KeyState.MISMATCH)
        self._record_access(key, now_s)
        return entry.found

    def _record_access(self, key, now_s):
        """Update the access time; entries stay ordered by expiry."""
        self._entries[key].last_access_s = now_s
        self._entries.move_to_end(key)

    def _require_in_progress(self, key):
        if self._entries[key].state is not KeyState.IN_PROGRESS:
            raise ValueError(f"key {key!r} is not in progress")

    def _end(self, key, state, now_s):
        self._require_in_progress(key)
        entry = self._entries[key]
        entry.state = state
        self._record_access(key, now_s)
        return entry

    def _drop_oldest_body(self):
        _, entry = self._stored.popitem(last=False)
        self._stored_bytes -= entry.stored_bytes
        entry.response = attrs.evolve(entry.response, body=None)
