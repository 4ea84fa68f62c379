"""Schedule the requests of other VMs to the services that this VM is the decider of."""

import asyncio

import attrs

from sesamespring.gateway.generated.ttypes import (
    SlotEnded,
    SlotQueued,
    SlotWanted,
    SlotWithdrawn,
)
from sesamespring.gateway.slots.slot_messages import (
    decode_ended,
    decode_wanted,
    encode_reply,
)
from sesamespring.routing.messages import (
    AttemptEnded,
    Outcome,
    ScheduledRequest,
)

__all__ = ["SlotServer"]

EXPIRY_DELAY_S = 0.5


@attrs.define(eq=False)
class _RemoteRequest:
    """A request of another VM that needs slots.

    Attributes:
        address: Address of that VM, a pair of IP and port.
        number: Number of the request at that VM.
        service: Name of the service.
        request: The ScheduledRequest in this VM's scheduler.
        round: The latest round that was received.
        reply: The latest reply, sent again if SlotWanted is repeated.
    """

    address: tuple
    number: int
    service: str
    request: ScheduledRequest
    round: int
    reply: object


class SlotServer:
    """Grants slots to requests of other VMs from this VM's schedulers.

    Args:
        services: The Services.
        peers: The Peers.
    """

    def __init__(self, services, peers):
        self._services = services
        self._peers = peers
        self._loop = asyncio.get_running_loop()
        self._remote_requests = {}

    def register_handlers(self):
        """Start to handle the other VMs' messages."""
        self._peers.set_handler(SlotWanted, self._handle_wanted)
        self._peers.set_handler(SlotEnded, self._handle_ended)
        self._peers.set_handler(SlotWithdrawn, self._handle_withdrawn)

    def keep_only(self, addresses):
        """Free the slots and remove the requests of VMs that are not alive.

        Args:
            addresses: Set of the addresses of the VMs that are alive.
        """
        lost = [r for r in self._remote_requests.values() if r.address not in addresses]
        for remote in lost:
            self._expire(remote)

    def _handle_wanted(self, message, address):
        key = (address, message.request)
        remote = self._remote_requests.get(key)
        if remote is not None and remote.round >= message.round:
            if remote.round == message.round:
                self._peers.send(remote.reply, address)
            return
        runner = self._services.runner(message.service_name)
        if runner is None:
            return
        if remote is None:
            remote = self._add_request(message, address, runner)
        remote.round = message.round
        remote.reply = SlotQueued(request=message.request, round=message.round)
        request = remote.request
        request.attempts_left = message.attempts_left
        request.extra = message.round > 1 if message.extra is None else message.extra
        tried = set(message.tried)
        request.tried = {
            key for key in runner.scheduler.targets.states if key[0] in tried
        }
        runner.submit(request, lambda command: self._send_reply(remote, command))
        if isinstance(remote.reply, SlotQueued):
            self._peers.send(remote.reply, address)

    def _add_request(self, message, address, runner):
        now_s = self._loop.time()
        request = decode_wanted(message, runner.next_number(), now_s)
        remote = _RemoteRequest(
            address, message.request, message.service_name, request, 0, None
        )
        self._remote_requests[address, message.request] = remote
        # Frees the slots even if SlotEnded and SlotWithdrawn are lost.
        self._loop.call_at(request.deadline_s + EXPIRY_DELAY_S, self._expire, remote)
        return remote

    def _send_reply(self, remote, command):
        remote.reply = encode_reply(remote.number, remote.round, command)
        self._peers.send(remote.reply, remote.address)

    def _handle_ended(self, message, address):
        remote = self._remote_requests.get((address, message.request))
        if remote is None or message.attempt not in remote.request.attempts:
            return
        end = decode_ended(message)
        runner = self._services.runner(remote.service)
        runner.finish_attempt(end)
        if end.outcome is Outcome.ANSWERED:
            runner.withdraw(remote.request)

    def _handle_withdrawn(self, message, address):
        remote = self._remote_requests.get((address, message.request))
        if remote is not None:
            self._services.runner(remote.service).withdraw(remote.request)

    def _expire(self, remote):
        if self._remote_requests.pop((remote.address, remote.number), None) is None:
            return
        runner = self._services.runner(remote.service)
        runner.withdraw(remote.request)
        for attempt in tuple(remote.request.attempts):
            # Nobody knows how it ended.
            lost = AttemptEnded(attempt, Outcome.CANCELLED, 0.0, blameless=True)
            runner.finish_attempt(lost)
