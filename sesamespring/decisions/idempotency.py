"""Decide whether a request with an idempotency key may be sent to a target.

A key is sent by one incarnation of one entry VM only: the issuer of the ticket that
the key starts with, or the writer of the key's row in the platform's table. The
ledger of that incarnation is therefore the only one that matters for the key.
"""

import collections
import enum
import re

import attrs
from returns.result import Failure, Result, Success

__all__ = [
    "StoredResponse",
    "KeyStatus",
    "KeyLedger",
    "KeyState",
    "key_ticket",
    "make_ticket",
]

KEY_LIFETIME_S = 600.0
KEYS_MAX = 50_000
STORED_BYTES_MAX = 8 * 1024 * 1024
_TICKETED_KEY = re.compile(r"t([0-9a-f]{16})\.[!-~]{1,128}", re.ASCII)


def make_ticket(incarnation):
    """Return the ticket of an incarnation, with which its callers start their keys.

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
    match = _TICKETED_KEY.fullmatch(key)
    return match.group(1) if match else None


class KeyState(enum.Enum):
    """What an incarnation knows of a key.

    ``IN_PROGRESS`` may be running now. ``FINISHED`` was answered by a target.
    ``LOST`` may have run. ``REFUSED`` was not run and never will be by this
    incarnation. ``MISMATCH`` belongs to another request. ``FULL`` says that no
    further key can be remembered.
    """

    IN_PROGRESS = "in-progress"
    FINISHED = "finished"
    LOST = "lost"
    REFUSED = "refused"
    MISMATCH = "mismatch"
    FULL = "full"


@attrs.frozen
class StoredResponse:
    """A target's response, kept for repeats of the request.

    Attributes:
        status: HTTP status code.
        content_type: Type of the body.
        body: The body in bytes, or None where it was too large to keep.
    """

    status: int
    content_type: str
    body: bytes | None


@attrs.frozen
class KeyStatus:
    """What was found of a key, and why its request is not sent now.

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
    touched_s: float
    response: StoredResponse | None = None

    @property
    def stored_bytes(self):
        return len(self.response.body or b"") if self.response else 0

    @property
    def found(self):
        return KeyStatus(self.state, self.response)


class KeyLedger:
    """What one incarnation knows of the keys that only it may send.

    A key that ended is forgotten KEY_LIFETIME_S after it was last asked for.

    Args:
        keys_max: How many keys are remembered; further ones are not run.
        stored_bytes_max: How many bytes of answers are kept; beyond that the oldest
            bodies are dropped and their keys say only that they ran.

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
        """How many keys are remembered."""
        return len(self._entries)

    @property
    def stored_bytes(self):
        """How many bytes of answers are kept."""
        return self._stored_bytes

    def begin(self, key, fingerprint, now_s) -> Result:
        """Take a key in order to send its request.

        Args:
            key: Identity of the request.
            fingerprint: Tells different requests of one key apart.
            now_s: The time now.

        Returns:
            Success where the request may be sent, or Failure of a KeyStatus.
        """
        entry = self._entries.get(key)
        if entry is not None:
            return Failure(self._look(key, fingerprint, now_s))
        if len(self._entries) >= self._keys_max:
            return Failure(KeyStatus(KeyState.FULL))
        self._entries[key] = _Entry(fingerprint, KeyState.IN_PROGRESS, now_s)
        return Success(None)

    def release(self, key):
        """Forget a key whose request was not run, so that it may come again."""
        self._require_in_progress(key)
        del self._entries[key]

    def mark_lost(self, key, now_s):
        """Remember that a request may have run."""
        self._end(key, KeyState.LOST, now_s)

    def finish(self, key, response, now_s):
        """Remember the StoredResponse of a request."""
        entry = self._end(key, KeyState.FINISHED, now_s)
        entry.response = response
        self._stored[key] = entry
        self._stored_bytes += entry.stored_bytes
        while self._stored_bytes > self._stored_bytes_max:
            self._drop_oldest_body()

    def look_up(self, key, fingerprint, now_s):
        """Return the KeyStatus of a key, or None where it was never seen."""
        if key not in self._entries:
            return None
        return self._look(key, fingerprint, now_s)

    def look_up_or_refuse(self, key, fingerprint, now_s):
        """Return the KeyStatus of a key, which is never run here if it was not seen.

        Whoever asks tells its caller that the request was not run, and a copy that
        is still on its way here must not run then.
        """
        found = self.look_up(key, fingerprint, now_s)
        if found is not None:
            return found
        if len(self._entries) >= self._keys_max:
            return KeyStatus(KeyState.FULL)
        self._entries[key] = _Entry(fingerprint, KeyState.REFUSED, now_s)
        return KeyStatus(KeyState.REFUSED)

    def expire(self, now_s):
        """Forget the keys that ended and were last asked for a lifetime ago."""
        expired = []
        for key, entry in self._entries.items():
            if entry.state is KeyState.IN_PROGRESS:
                continue
            if entry.touched_s > now_s - KEY_LIFETIME_S:
                break
            expired.append(key)
        for key in expired:
            entry = self._entries.pop(key)
            if self._stored.pop(key, None) is not None:
                self._stored_bytes -= entry.stored_bytes

    def _look(self, key, fingerprint, now_s):
        entry = self._entries[key]
        if entry.fingerprint != fingerprint:
            return KeyStatus(KeyState.MISMATCH)
        self._touch(key, now_s)
        return entry.found

    def _touch(self, key, now_s):
        """Keep the entries in the order in which they expire."""
        self._entries[key].touched_s = now_s
        self._entries.move_to_end(key)

    def _require_in_progress(self, key):
        if self._entries[key].state is not KeyState.IN_PROGRESS:
            raise ValueError(f"key {key!r} has ended before")

    def _end(self, key, state, now_s):
        self._require_in_progress(key)
        entry = self._entries[key]
        entry.state = state
        self._touch(key, now_s)
        return entry

    def _drop_oldest_body(self):
        _, entry = self._stored.popitem(last=False)
        self._stored_bytes -= entry.stored_bytes
        entry.response = attrs.evolve(entry.response, body=None)
