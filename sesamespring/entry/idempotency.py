"""Send each request with an idempotency key to a target at most once.

A ticketed key starts with the ticket of the entry VM that issued it, and only that VM
may send its request; other VMs query the issuer. A plain key belongs to the VM that
claims its row in the platform's table.
"""

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
# Half the lifetime leaves a margin for copies still in transit and for clock skew.
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
    """Reason why a request with a key is not sent.

    Attributes:
        kind: The ErrorKind of the response.
        detail: Additional text for the response.
        retry_after_s: Value of Retry-After in whole seconds, or None for the default of
            the kind.
    """

    kind: ErrorKind
    detail: str = ""
    retry_after_s: int | None = None


@attrs.frozen
class KeyClaim:
    """The exclusive right to send the request of one key.

    The holder ends it by exactly one of ``finish``, ``mark_lost`` and ``release``.

    Attributes:
        identity: Service and key.
        ledger: The KeyLedger.
        now: Function that returns the ledger's time in seconds.
        rows: The KeyRows.
        row: The ClaimedRow of a plain key, or None for a ticketed key.
    """

    identity: str
    ledger: KeyLedger
    now: object
    rows: KeyRows
    row: ClaimedRow | None = None

    def finish(self, response):
        """Store the complete response for repeats of the request.

        Args:
            response: The StoredResponse.
        """
        self.ledger.finish(self.identity, response, self.now())
        if self.row is not None:
            self.rows.finish(self.row, response.status)

    def mark_lost(self):
        """Record that the request may have been executed."""
        self.ledger.mark_lost(self.identity, self.now())

    def release(self):
        """Allow the key to be sent again, as its request was not executed."""
        self.ledger.release(self.identity)
        if self.row is not None:
            self.rows.release(self.row)


class KeyAdmission:
    """Admits each request with an idempotency key at most once.

    Args:
        peers: The PeersTask.
        table: The JsonTable.
        is_sweeper: Function that returns whether this VM is currently responsible for
            removing expired rows.
    """

    def __init__(self, peers, table, is_sweeper):
        self._incarnation = peers.incarnation
        self._ledger = KeyLedger()
        self._ledger_time_s = 0.0
        self._owners = KeyOwnerQueries(peers, self._ledger, self._now)
        self._rows = KeyRows(table, self._incarnation, is_sweeper)

    @property
    def updates_done(self):
        """Whether no update of a key's row is queued or in progress."""
        return self._rows.updates_done

    async def run(self):
        """Update rows and expire keys until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._rows.run())
            group.create_task(self._expire())

    async def admit(self, service, key, exchange, body):
        """Decide whether the request of a key may be sent.

        Args:
            service: Name of the service.
            key: The idempotency key.
            exchange: The ServerExchange.
            body: The whole body, or None if it is streamed.

        Returns:
            Success of a KeyClaim, or Failure of the StoredResponse to replay or of a
            KeyRefusal.
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
        return await self._query_issuer(owner, identity, fingerprint)

    def _begin(self, identity, fingerprint):
        begun = self._ledger.begin(identity, fingerprint, self._now())
        if isinstance(begun, Failure):
            return Failure(_reason(begun.failure()))
        return Success(self._new_claim(identity))

    def _new_claim(self, identity, row=None):
        return KeyClaim(identity, self._ledger, self._now, self._rows, row)

    async def _query_issuer(self, owner, identity, fingerprint):
        found = await self._owners.query(owner, identity, fingerprint, True)
        if isinstance(found, Failure):
            return Failure(_refusal_of_unavailable(found.failure()))
        return Failure(_reason(found.unwrap()))

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
        """Return why a row forbids sending, or None if it may be taken over.

        The result is a StoredResponse to replay or a KeyRefusal.
        """
        value = row.value
        if value is None or value["state"] == FREE:
            return None
        if value["fingerprint"] != fingerprint:
            return KeyRefusal(ErrorKind.KEY_MISMATCH)
        found = await self._query_row_owner(value["owner"], identity, fingerprint)
        if isinstance(found, Success) and found.unwrap() is not None:
            return _reason(found.unwrap())
        if value["state"] == FINISHED:
            return KeyRefusal(ErrorKind.KEY_ALREADY_RAN, f"status {value['status']}")
        if isinstance(found, Failure):
            return _refusal_of_unavailable(found.failure())
        age_s = time.time() - value["at_ms"] / 1000
        if value["state"] == SENDING and age_s < TAKEOVER_AGE_MAX_S:
            return None
        return KeyRefusal(ErrorKind.KEY_UNKNOWN)

    async def _query_row_owner(self, owner, identity, fingerprint):
        if owner == self._incarnation:
            # The ledger has just admitted the key again, so an earlier claim by this
            # VM ended without the request being executed.
            return Success(None)
        return await self._owners.query(owner, identity, fingerprint, False)

    def _now(self):
        return self._ledger_time_s

    async def _expire(self):
        """Advance the ledger's time and expire keys.

        Its time counts the intervals waited here, so it does not advance while the
        process is paused.
        """
        while True:
            await asyncio.sleep(EXPIRE_INTERVAL_S)
            self._ledger_time_s += EXPIRE_INTERVAL_S
            self._ledger.expire(self._ledger_time_s)


def _fingerprint(exchange, body):
    size = header(exchange.headers, b"content-length", "")
    digest = hashlib.sha256()
    for part in (exchange.method, exchange.target, size):
        digest.update(part.encode() + b"\0")
    digest.update(body or b"")
    return digest.hexdigest()


def _reason(found):
    """Return the StoredResponse to replay, or the KeyRefusal, for a KeyStatus."""
    response = found.response
    if response is not None and response.body is not None:
        return response
    detail = f"status {response.status}" if isinstance(response, StoredResponse) else ""
    return KeyRefusal(_KIND_OF_STATE[found.state], detail)


def _refusal_of_unavailable(owner):
    retry_after_s = OWNER_RETRY_AFTER_S if owner.may_return else None
    return KeyRefusal(ErrorKind.KEY_UNKNOWN, "", retry_after_s)
