"""Lend slots of the services that this VM decides for to the requests of other VMs."""

import asyncio

import attrs

from sesamespring.gateway.generated.ttypes import (
    SlotEnded,
    SlotGranted,
    SlotQueued,
    SlotRefused,
    SlotWanted,
    SlotWithdrawn,
)
from sesamespring.routing.messages import (
    AttemptEnded,
    Outcome,
    Refusal,
    ScheduledRequest,
)
from sesamespring.routing.records import LoadReport

__all__ = ["SlotLender"]

EXPIRY_S = 0.5


@attrs.define(eq=False)
class _Borrowed:
    """A request of another VM.

    Attributes:
        address: Address of that VM.
        number: Its number there.
        service: Name of the service.
        request: The ScheduledRequest here.
        round: The round that was answered last, or is being served.
        answer: The last message that was sent for it.
    """

    address: tuple
    number: int
    service: str
    request: ScheduledRequest
    round: int
    answer: object


class SlotLender:
    """The requests of other VMs that want slots here.

    Args:
        services: The Services.
        peers: The Peers.
    """

    def __init__(self, services, peers):
        self._services = services
        self._peers = peers
        self._loop = asyncio.get_running_loop()
        self._borrowed = {}

    def listen(self):
        """Take messages of other VMs from now on."""
        self._peers.on_message(SlotWanted, self._wanted)
        self._peers.on_message(SlotEnded, self._ended)
        self._peers.on_message(SlotWithdrawn, self._withdrawn)

    def keep_only(self, addresses):
        """Take back what VMs hold that are not at one of some addresses any more.

        Args:
            addresses: Set of the addresses of the VMs that are alive.
        """
        lost = [b for b in self._borrowed.values() if b.address not in addresses]
        for borrowed in lost:
            self._expire(borrowed)

    def _wanted(self, message, address):
        key = (address, message.request)
        borrowed = self._borrowed.get(key)
        if borrowed is not None and borrowed.round >= message.round:
            if borrowed.round == message.round:
                self._peers.send(borrowed.answer, address)
            return
        runner = self._services.runner(message.service_name)
        if runner is None:
            return
        if borrowed is None:
            borrowed = self._new(message, address, runner)
        borrowed.round = message.round
        borrowed.answer = SlotQueued(request=message.request, round=message.round)
        request = borrowed.request
        request.attempts_left = message.attempts_left
        request.extra = message.round > 1
        tried = set(message.tried)
        request.tried = {
            key for key in runner.scheduler.target_states if key[0] in tried
        }
        runner.submit(request, lambda command: self._answer(borrowed, command))
        if isinstance(borrowed.answer, SlotQueued):
            self._peers.send(borrowed.answer, address)

    def _new(self, message, address, runner):
        now_s = self._loop.time()
        request = ScheduledRequest(
            number=runner.next_number(),
            route=message.route,
            goal_s=message.goal_s,
            priority=message.priority,
            due_s=now_s + message.due_in_s,
            deadline_s=now_s + message.deadline_in_s,
            idempotent=message.idempotent,
            attempts_left=message.attempts_left,
            data_centre=message.data_centre,
        )
        borrowed = _Borrowed(
            address, message.request, message.service_name, request, 0, None
        )
        self._borrowed[address, message.request] = borrowed
        # Word of its end may be lost.
        self._loop.call_at(request.deadline_s + EXPIRY_S, self._expire, borrowed)
        return borrowed

    def _answer(self, borrowed, command):
        if isinstance(command, Refusal):
            borrowed.answer = SlotRefused(
                request=borrowed.number,
                round=borrowed.round,
                reason=command.reason.value,
                retry_after_s=command.retry_after_s,
                waiting=command.waiting,
                needed_s=command.needed_s,
            )
        else:
            borrowed.answer = SlotGranted(
                request=borrowed.number,
                round=borrowed.round,
                attempt=command.attempt,
                target=command.entry.id,
                born_ms=command.entry.born_ms,
                hedge=command.hedge,
                expected_s=command.expected_s,
            )
        self._peers.send(borrowed.answer, borrowed.address)

    def _ended(self, message, address):
        borrowed = self._borrowed.get((address, message.request))
        if borrowed is None or message.attempt not in borrowed.request.attempts:
            return
        load = None
        if message.slots is not None:
            load = LoadReport(
                message.running, message.waiting, message.slots, message.slowdown
            )
        end = AttemptEnded(
            message.attempt,
            Outcome(message.outcome),
            message.taken_s,
            load,
            message.cold_left_s,
        )
        runner = self._services.runner(borrowed.service)
        runner.end(end)
        if end.outcome is Outcome.ANSWERED:
            runner.withdraw(borrowed.request)

    def _withdrawn(self, message, address):
        borrowed = self._borrowed.get((address, message.request))
        if borrowed is not None:
            self._services.runner(borrowed.service).withdraw(borrowed.request)

    def _expire(self, borrowed):
        if self._borrowed.pop((borrowed.address, borrowed.number), None) is None:
            return
        runner = self._services.runner(borrowed.service)
        runner.withdraw(borrowed.request)
        for attempt in tuple(borrowed.request.attempts):
            runner.end(AttemptEnded(attempt, Outcome.CANCELLED, 0.0))
