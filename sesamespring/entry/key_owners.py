"""Query the entry VM that owns an idempotency key for the state of its request."""

import asyncio
import itertools

import attrs
from returns.result import Failure, Success

from sesamespring.decisions.idempotency import KeyState, KeyStatus, StoredResponse
from sesamespring.peers import KeyAnswer, KeyQuery

__all__ = ["KeyOwnerQueries", "OwnerUnavailable"]

OWNER_TIMEOUT_S = 0.25


@attrs.frozen
class OwnerUnavailable:
    """Failure of a query because the key's owner is not linked or did not reply.

    Attributes:
        may_return: Whether the owner's current incarnation is known to this VM, so a
            later query may succeed. Otherwise it was never seen or has been replaced.
    """

    may_return: bool


class KeyOwnerQueries:
    """Sends queries about keys to other entry VMs and replies to theirs.

    Args:
        peers: The PeersTask.
        ledger: The KeyLedger, from which peers' queries are answered.
        now: Function that returns the ledger's time in seconds.
    """

    def __init__(self, peers, ledger, now):
        self._peers = peers
        self._ledger = ledger
        self._now = now
        self._query_ids = itertools.count(1)
        self._pending = {}
        peers.on_message(KeyQuery, self._on_query)
        peers.on_message(KeyAnswer, self._on_answer)

    async def query(self, owner, key, fingerprint, refuse_unseen):
        """Query the owner of a key.

        Args:
            owner: Incarnation of the entry VM.
            key: Identity of the request.
            fingerprint: Digest that distinguishes different requests with the same key.
            refuse_unseen: Whether the owner must from now on refuse the key if it has
                not seen it yet.

        Returns:
            Success of a KeyStatus, or of None if the owner has not seen the key, or
            Failure of OwnerUnavailable.
        """
        name = self._vm_name(owner)
        query_id = next(self._query_ids)
        query = KeyQuery(query_id, key, fingerprint, refuse_unseen)
        if name is None or not self._peers.send(name, query):
            return Failure(OwnerUnavailable(may_return=name is not None))
        answer = asyncio.get_running_loop().create_future()
        self._pending[query_id] = (owner, answer)
        try:
            async with asyncio.timeout(OWNER_TIMEOUT_S):
                return Success(await answer)
        except TimeoutError:
            return Failure(OwnerUnavailable(may_return=True))
        finally:
            del self._pending[query_id]

    def _vm_name(self, owner):
        for name, view in self._peers.views.items():
            if view.hello.incarnation == owner:
                return name
        return None

    def _on_query(self, view, query):
        look_up = (
            self._ledger.look_up_or_refuse
            if query.refuse_unseen
            else self._ledger.look_up
        )
        found = look_up(query.key, query.fingerprint, self._now())
        answer = KeyAnswer(query.query_id, found.state.value if found else "")
        if found is not None and found.response is not None:
            answer.status = found.response.status
            answer.content_type = found.response.content_type
            answer.body = found.response.body
        self._peers.send(view.hello.vm, answer)

    def _on_answer(self, view, answer):
        owner, future = self._pending.get(answer.query_id, (None, None))
        if owner != view.hello.incarnation or future.done():
            return
        future.set_result(_key_status(answer))


def _key_status(answer):
    """Return the KeyStatus in a KeyAnswer, or None if the key was not seen."""
    if not answer.state:
        return None
    stored = None
    if answer.status is not None:
        stored = StoredResponse(answer.status, answer.content_type or "", answer.body)
    try:
        return KeyStatus(KeyState(answer.state), stored)
    except ValueError:
        # A state added in a later version must be treated as an unknown outcome.
        return KeyStatus(KeyState.LOST)
