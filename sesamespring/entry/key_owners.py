"""Ask the entry VM that owns an idempotency key what became of its request."""

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
    """Say that a key's owner did not answer.

    Attributes:
        may_return: Whether the owner was heard of and was not replaced since.
    """

    may_return: bool


class KeyOwnerQueries:
    """The questions on keys that go to and come from other entry VMs.

    Args:
        peers: The PeersTask.
        ledger: The KeyLedger, from which peers' questions are answered.
        now: Function that returns the ledger's time in seconds.
    """

    def __init__(self, peers, ledger, now):
        self._peers = peers
        self._ledger = ledger
        self._now = now
        self._query_ids = itertools.count(1)
        self._waiting = {}
        peers.on_message(KeyQuery, self._answer_query)
        peers.on_message(KeyAnswer, self._take_answer)

    async def query(self, owner, key, fingerprint, refuse_unseen):
        """Ask an owner for a key.

        Args:
            owner: Incarnation of the entry VM.
            key: Identity of the request.
            fingerprint: Tells different requests of one key apart.
            refuse_unseen: Whether the owner must never run a key that it has not seen.

        Returns:
            Success of a KeyStatus, or of None where the owner has not seen the key, or
            Failure of OwnerUnavailable.
        """
        name = self._vm_name(owner)
        query_id = next(self._query_ids)
        query = KeyQuery(query_id, key, fingerprint, refuse_unseen)
        if name is None or not self._peers.send(name, query):
            return Failure(OwnerUnavailable(may_return=name is not None))
        answer = asyncio.get_running_loop().create_future()
        self._waiting[query_id] = (owner, answer)
        try:
            async with asyncio.timeout(OWNER_TIMEOUT_S):
                return Success(await answer)
        except TimeoutError:
            return Failure(OwnerUnavailable(may_return=True))
        finally:
            del self._waiting[query_id]

    def _vm_name(self, owner):
        for name, view in self._peers.views.items():
            if view.hello.incarnation == owner:
                return name
        return None

    def _answer_query(self, view, query):
        ask = (
            self._ledger.look_up_or_refuse
            if query.refuse_unseen
            else self._ledger.look_up
        )
        found = ask(query.key, query.fingerprint, self._now())
        answer = KeyAnswer(query.query_id, found.state.value if found else "")
        if found is not None and found.response is not None:
            answer.status = found.response.status
            answer.content_type = found.response.content_type
            answer.body = found.response.body
        self._peers.send(view.hello.vm, answer)

    def _take_answer(self, view, answer):
        owner, future = self._waiting.get(answer.query_id, (None, None))
        if owner != view.hello.incarnation or future.done():
            return
        future.set_result(_found_of(answer))


def _found_of(answer):
    if not answer.state:
        return None
    kept = None
    if answer.status is not None:
        kept = StoredResponse(answer.status, answer.content_type or "", answer.body)
    try:
        return KeyStatus(KeyState(answer.state), kept)
    except ValueError:
        # A state that this version does not know promises nothing.
        return KeyStatus(KeyState.LOST)
