"""Admit each request with an idempotency key at most once."""

import asyncio
import hashlib
import re
import time

import attrs
from returns.result import Failure, Success

from sesamespring.decisions.idempotency import (
    KEY_LIFETIME_S,
    KeyLedger,
    KeyState,
    StoredResponse,
    key_ticket,
)
from sesamespring.entry.key_owners import KeyOwnerQueries
from sesamespring.entry.key_rows import FINISHED, FREE, SENDING, ClaimedRow, KeyRows
from sesamespring.errors import ErrorKind, ExternalError
from sesamespring.http import header

__all__ = ["KeyAdmission", "KeyClaim", "KeyRefusal"]

EXPIRE_INTERVAL_S = 10.0
# Leaves time for a copy on its way and for clocks that differ.
TAKEOVER_AGE_MAX_S = KEY_LIFETIME_S / 2
CLAIM_TRIES = 3
OWNER_RETRY_AFTER_S = 1
_KEY = re.compile(r"[!-~]{1,200}", re.ASCII)
_KIND_OF_STATE = {
    KeyState.IN_PROGRESS: ErrorKind.KEY_IN_PROGRESS,
    KeyState.FINISHED: ErrorKind.KEY_ALREADY_RAN,
    KeyState.LOST: ErrorKind.KEY_UNKNOWN,
    KeyState.REFUSED: ErrorKind.KEY_REFUSED,
    KeyState.MISMATCH: ErrorKind.KEY_MISMATCH,
    KeyState.FULL: ErrorKind.QUEUE_FULL,
}


@attrs.frozen
class KeyRefusal:
    """Why a request with a key is not sent.

    Attributes:
        kind: The ErrorKind to answer.
        detail: More for the reader of the answer.
        retry_after_s: Whole seconds, or None for the default of the kind.
    """

    kind: ErrorKind
    detail: str = ""
    retry_after_s: int | None = None


@attrs.frozen
class KeyClaim:
    """The right to send the request of one key.

    Attributes:
        identity: Service and key.
        ledger: The KeyLedger.
        now: Function that returns the ledger's time in seconds.
        rows: The KeyRows.
        row: The ClaimedRow of a plain key, or None.
    """

    identity: str
    ledger: KeyLedger
    now: object
    rows: KeyRows
    row: ClaimedRow | None = None

    def finish(self, answer):
        """Keep the StoredResponse of a whole answer."""
        self.ledger.finish(self.identity, answer, self.now())
        if self.row is not None:
            self.rows.finish(self.row, answer.status)

    def mark_lost(self):
        """Remember that the request may have run."""
        self.ledger.mark_lost(self.identity, self.now())

    def release(self):
        """Let the key come again, as its request was not run."""
        self.ledger.release(self.identity)
        if self.row is not None:
            self.rows.release(self.row)


class KeyAdmission:
    """The part that lets each keyed request pass at most once.

    Args:
        peers: The PeersTask.
        table: The JsonTable.
        is_sweeper: Function that says whether this VM removes expired rows now.
    """

    def __init__(self, peers, table, is_sweeper):
        self._incarnation = peers.incarnation
        self._ledger = KeyLedger()
        self._awake_s = 0.0
        self._owners = KeyOwnerQueries(peers, self._ledger, self._now)
        self._rows = KeyRows(table, self._incarnation, is_sweeper)

    @property
    def updates_done(self):
        """Whether all rows of plain keys say how their requests ended."""
        return self._rows.updates_done

    async def run(self):
        """Update rows and let keys expire until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._rows.run())
            group.create_task(self._expire())

    async def admit(self, service, key, exchange, body):
        """Ask to send the request of a key.

        Args:
            service: Name of the service.
            key: The idempotency key.
            exchange: The ServerExchange.
            body: The whole body, or None where it is streamed.

        Returns:
            Success of a KeyClaim, or Failure of a StoredResponse or a KeyRefusal.
        """
        if _KEY.fullmatch(key) is None:
            return Failure(KeyRefusal(ErrorKind.MALFORMED, "Idempotency-Key"))
        identity = f"{service}/{key}"
        fingerprint = _fingerprint(exchange, body)
        owner = key_ticket(key)
        if owner is None:
            return await self._admit_plain(identity, fingerprint)
        if owner == self._incarnation:
            return self._begin(identity, fingerprint)
        return await self._ask_issuer(owner, identity, fingerprint)

    def _begin(self, identity, fingerprint):
        begun = self._ledger.begin(identity, fingerprint, self._now())
        if isinstance(begun, Failure):
            return Failure(_reason(begun.failure()))
        return Success(self._new_claim(identity))

    def _new_claim(self, identity, row=None):
        return KeyClaim(identity, self._ledger, self._now, self._rows, row)

    async def _ask_issuer(self, owner, identity, fingerprint):
        asked = await self._owners.query(owner, identity, fingerprint, True)
        if isinstance(asked, Failure):
            return Failure(_silent(asked.failure()))
        return Failure(_reason(asked.unwrap()))

    async def _admit_plain(self, identity, fingerprint):
        begun = self._begin(identity, fingerprint)
        if isinstance(begun, Failure):
            return begun
        admitted = None
        try:
            admitted = await self._claim_row(identity, fingerprint)
        except ExternalError:
            admitted = Failure(KeyRefusal(ErrorKind.KEY_STORE_AWAY))
        finally:
            if not isinstance(admitted, Success):
                self._ledger.release(identity)
        return admitted

    async def _claim_row(self, identity, fingerprint):
        seen = None
        for _ in range(CLAIM_TRIES):
            claimed = await self._rows.claim(identity, fingerprint, seen)
            if isinstance(claimed, Success):
                return Success(self._new_claim(identity, claimed.unwrap()))
            seen = claimed.failure()
            reason = await self._reason_of_row(seen, identity, fingerprint)
            if reason is not None:
                return Failure(reason)
        return Failure(KeyRefusal(ErrorKind.KEY_IN_PROGRESS))

    async def _reason_of_row(self, row, identity, fingerprint):
        """Return why a row forbids to send, or None where it may be taken over."""
        value = row.value
        if value is None or value["state"] == FREE:
            return None
        if value["fingerprint"] != fingerprint:
            return KeyRefusal(ErrorKind.KEY_MISMATCH)
        found = await self._ask_owner_of_row(value["owner"], identity, fingerprint)
        if isinstance(found, Success) and found.unwrap() is not None:
            return _reason(found.unwrap())
        if value["state"] == FINISHED:
            return KeyRefusal(ErrorKind.KEY_ALREADY_RAN, f"status {value['status']}")
        if isinstance(found, Failure):
            return _silent(found.failure())
        age_s = time.time() - value["at_ms"] / 1000
        if value["state"] == SENDING and age_s < TAKEOVER_AGE_MAX_S:
            return None
        return KeyRefusal(ErrorKind.KEY_UNKNOWN)

    async def _ask_owner_of_row(self, owner, identity, fingerprint):
        if owner == self._incarnation:
            # This VM holds the key in its ledger just now, so an earlier claim of
            # its own has ended without a run.
            return Success(None)
        return await self._owners.query(owner, identity, fingerprint, False)

    def _now(self):
        return self._awake_s

    async def _expire(self):
        """Let time pass for the ledger, except while this process was paused."""
        while True:
            await asyncio.sleep(EXPIRE_INTERVAL_S)
            self._awake_s += EXPIRE_INTERVAL_S
            self._ledger.expire(self._awake_s)


def _fingerprint(exchange, body):
    size = header(exchange.headers, b"content-length", "")
    digest = hashlib.sha256()
    for part in (exchange.method, exchange.target, size):
        digest.update(part.encode() + b"\0")
    digest.update(body or b"")
    return digest.hexdigest()


def _reason(found):
    """Return the StoredResponse or KeyRefusal that a KeyStatus leads to."""
    answer = found.response
    if answer is not None and answer.body is not None:
        return answer
    detail = f"status {answer.status}" if isinstance(answer, StoredResponse) else ""
    return KeyRefusal(_KIND_OF_STATE[found.state], detail)


def _silent(owner):
    retry_after_s = OWNER_RETRY_AFTER_S if owner.may_return else None
    return KeyRefusal(ErrorKind.KEY_UNKNOWN, "", retry_after_s)
