"""Get slots for requests from the VM that decides for their service.

Each service has one VM that decides for it, so that one queue sees all requests and
all work in progress. The others ask it for a slot by datagram and send the request
to the target themselves. Where it does not answer, they decide on their own.
"""

import asyncio
import itertools

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
    AttemptEnd,
    Dispatch,
    Outcome,
    Refusal,
    RefusalReason,
    ScheduledRequest,
)

__all__ = ["Slots", "Ticket"]

FIRST_ANSWER_S = 0.03
ASKED_MAX = 2
# While its request waits in the other VM's queue, it asks again in case word was lost.
QUEUED_CHECK_S = 0.1
DISTRUST_S = 1.0
REQUESTS_PER_MS_MAX = 1_000_000
# A lost end would keep the slot taken until the request's deadline, so it is said
# again after each of these times.
REPEAT_END_S = (0.1, 0.4)


@attrs.frozen
class _Grant:
    """An attempt that another VM granted.

    Attributes:
        address: Address of that VM.
        attempt: Number of the attempt there.
    """

    address: tuple
    attempt: int


@attrs.define(eq=False)
class Ticket:
    """A request of this VM and where it waits for a slot.

    Attributes:
        service: Name of the service.
        request: The ScheduledRequest.
        receive: Function called with each Dispatch and Refusal.
        number: Its number towards other VMs.
        decider: The Member that was asked, or None where this VM decides.
        round: Grows with each time that it wants a slot.
        asked: How often it asked in this round without an answer.
        timer: The handle of the next check, or None.
        granted: Dict of _Grant by attempt, of those in progress.
        waiting: Whether it wants a slot now.
    """

    service: str
    request: ScheduledRequest
    receive: object
    number: int
    decider: object = None
    round: int = 0
    asked: int = 0
    timer: object = None
    granted: dict = attrs.field(factory=dict)
    waiting: bool = False


class Slots:
    """The requests of this VM that want slots.

    Args:
        services: The Services.
        peers: The Peers.
        cluster_state: The ClusterState.
        counters: The Counters.
        log: The EventLog.
    """

    def __init__(self, services, peers, cluster_state, counters, log):
        self._services = services
        self._peers = peers
        self._cluster_state = cluster_state
        self._counters = counters
        self._log = log
        self._loop = asyncio.get_running_loop()
        # Other VMs may still remember requests of an earlier process at this address.
        self._numbers = itertools.count(peers.incarnation * REQUESTS_PER_MS_MAX + 1)
        # This VM's own schedulers number their attempts upwards.
        self._attempts = itertools.count(-1, -1)
        self._tickets = {}
        self._distrusted = {}
        peers.on_message(SlotQueued, self._queued)
        peers.on_message(SlotGranted, self._granted)
        peers.on_message(SlotRefused, self._refused)

    def submit(self, service, request, receive):
        """Let a request wait for a slot and return its Ticket.

        Args:
            service: Name of the service.
            request: The ScheduledRequest.
            receive: Function called with each Dispatch and Refusal.
        """
        ticket = Ticket(service, request, receive, next(self._numbers))
        self._tickets[ticket.number] = ticket
        request.queued_s = self._loop.time()
        self.resubmit(ticket)
        return ticket

    def resubmit(self, ticket):
        """Let a request wait for another slot, after an attempt of it failed."""
        ticket.waiting = True
        ticket.round += 1
        ticket.asked = 0
        decider = self._trusted_decider(ticket.service)
        if decider is None:
            self._decide_here(ticket)
            return
        ticket.decider = decider
        self._ask(ticket)

    def may_retry(self, ticket):
        """Whether a request whose attempt failed may be sent to another target."""
        runner = self._services.runner(ticket.service)
        return runner.scheduler.may_retry(ticket.request, self._loop.time())

    def end(self, ticket, end):
        """Report how an attempt ended."""
        grant = ticket.granted.pop(end.attempt, None)
        if grant is None:
            self._services.runner(ticket.service).end(end)
        else:
            self._say_ended(grant, ticket.number, end)

    def withdraw(self, ticket):
        """Forget a request whose attempts have all ended or go on unheeded."""
        self._tickets.pop(ticket.number, None)
        self._cancel_timer(ticket)
        if ticket.decider is not None and ticket.waiting:
            self._peers.send(
                SlotWithdrawn(request=ticket.number), ticket.decider.address
            )
        self._services.runner(ticket.service).withdraw(ticket.request)
        ticket.waiting = False

    def _trusted_decider(self, service):
        """Return the Member to ask, or None where this VM decides itself."""
        decider = self._services.decider(service)
        member = self._peers.alive.get(decider)
        if member is None or self._services.is_decider(service):
            return None
        if self._loop.time() < self._distrusted.get(decider, 0.0):
            return None
        return member

    def _decide_here(self, ticket):
        self._cancel_timer(ticket)
        ticket.decider = None
        runner = self._services.runner(ticket.service)
        if ticket.request.number == 0:
            ticket.request.number = runner.next_number()

        def receive(command):
            ticket.waiting = False
            ticket.receive(command)

        runner.submit(ticket.request, receive)

    def _ask(self, ticket):
        now_s = self._loop.time()
        request = ticket.request
        request.counted = True
        ticket.asked += 1
        wanted = SlotWanted(
            request=ticket.number,
            service_name=ticket.service,
            route=request.route,
            goal_s=request.goal_s,
            priority=request.priority,
            due_in_s=request.due_s - now_s,
            deadline_in_s=request.deadline_s - now_s,
            idempotent=request.idempotent,
            attempts_left=request.attempts_left,
            round=ticket.round,
            tried=[target_id for target_id, _ in request.tried],
            data_centre=request.data_centre,
        )
        self._peers.send(wanted, ticket.decider.address)
        ticket.timer = self._loop.call_later(FIRST_ANSWER_S, self._unanswered, ticket)

    def _unanswered(self, ticket):
        ticket.timer = None
        if not ticket.waiting:
            return
        decider = ticket.decider
        if ticket.asked < ASKED_MAX and self._peers.is_alive(decider.name):
            self._ask(ticket)
            return
        self._distrusted[decider.name] = self._loop.time() + DISTRUST_S
        self._counters.add("deciders_silent")
        self._log.event(
            "decider-silent",
            peer=decider.name,
            service=ticket.service,
            outcome="deciding-here",
        )
        self._decide_here(ticket)

    def _queued(self, message, address):
        ticket = self._current(message, address)
        if ticket is None:
            return
        self._cancel_timer(ticket)
        ticket.asked = 0
        ticket.timer = self._loop.call_later(QUEUED_CHECK_S, self._unanswered, ticket)

    def _granted(self, message, address):
        ticket = self._current(message, address)
        entry = self._cluster_state.target((message.target, message.born_ms))
        if ticket is None or entry is None:
            outcome = Outcome.CANCELLED if ticket is None else Outcome.NOT_SENT
            grant = _Grant(address, message.attempt)
            unused = AttemptEnd(message.attempt, outcome, 0.0)
            self._say_ended(grant, message.request, unused)
            if ticket is not None:
                self._cancel_timer(ticket)
                ticket.request.tried.add((message.target, message.born_ms))
                self.resubmit(ticket)
            return
        self._cancel_timer(ticket)
        ticket.waiting = False
        attempt = next(self._attempts)
        ticket.granted[attempt] = _Grant(address, message.attempt)
        request = ticket.request
        request.attempts_left -= 1
        request.tried.add(entry.key)
        waited_s = self._loop.time() - request.queued_s
        ticket.receive(
            Dispatch(
                request,
                attempt,
                entry,
                message.hedge,
                waited_s,
                message.expected_s,
                0.0,
            )
        )

    def _refused(self, message, address):
        ticket = self._current(message, address)
        if ticket is None:
            return
        self._cancel_timer(ticket)
        ticket.waiting = False
        reason = RefusalReason(message.reason)
        ticket.receive(
            Refusal(
                ticket.request,
                reason,
                message.retry_after_s,
                message.waiting,
                message.needed_s,
            )
        )

    def _current(self, message, address):
        """Return the Ticket that a message answers, or None where it is outdated."""
        ticket = self._tickets.get(message.request)
        if (
            ticket is None
            or ticket.decider is None
            or ticket.decider.address != address
        ):
            return None
        is_hedge = getattr(message, "hedge", False)
        if message.round != ticket.round or not (ticket.waiting or is_hedge):
            return None
        return ticket

    def _say_ended(self, grant, number, end):
        load = end.load
        message = SlotEnded(
            request=number,
            attempt=grant.attempt,
            outcome=end.outcome.value,
            taken_s=end.taken_s,
            cold_left_s=end.cold_left_s,
        )
        if load is not None:
            message.running = load.running
            message.waiting = load.waiting
            message.slots = load.slots
            message.slowdown = load.slowdown
        self._peers.send(message, grant.address)
        after_s = 0.0
        for pause_s in REPEAT_END_S:
            after_s += pause_s
            self._loop.call_later(after_s, self._peers.send, message, grant.address)

    def _cancel_timer(self, ticket):
        if ticket.timer is not None:
            ticket.timer.cancel()
            ticket.timer = None
