"""Run one service's routing decisions and carry their commands to the exchanges."""

import asyncio
import itertools
import secrets

from sesamespring.decisions.messages import (
    AttemptEnded,
    CancelAttempt,
    FailRequest,
    HeldTargetsChanged,
    PeersChanged,
    RequestArrived,
    RequestWithdrawn,
    SendAttempt,
    SendToPeer,
    ServiceChanged,
    Tick,
)
from sesamespring.decisions.router import ServiceRouter

__all__ = ["ServiceRunner"]

WAKE_INTERVAL_MIN_S = 0.001
LOAN_ID_BITS = 62

_request_ids = itertools.count(1)


class ServiceRunner:
    """One service at this VM: its router, its targets and its requests.

    Args:
        service: The declared Service.
        metrics: The Metrics.
        send_to_peer: Function that carries out a SendToPeer for a service's name.
        bulk_limit: The BulkLimit of this VM.
        on_bulk_end: Function called when an attempt of bulk work has ended.
    """

    def __init__(self, service, metrics, send_to_peer, bulk_limit, on_bulk_end):
        self._on_bulk_end = on_bulk_end
        self._service = service
        self._metrics = metrics
        self._send_to_peer = send_to_peer
        self._router = ServiceRouter(
            service.queue_length,
            longest_work_s=service.deadline_ms / 1000,
            first_loan_id=secrets.randbits(LOAN_ID_BITS),
            bulk_limit=bulk_limit,
        )
        self._wake_timer = None
        self._targets = {}
        self._inboxes = {}
        self._attempt_requests = {}
        self._loop = asyncio.get_running_loop()

    @property
    def service(self):
        """The declared Service."""
        return self._service

    @property
    def in_progress(self):
        """How many requests are waiting or being sent."""
        return len(self._inboxes)

    def target(self, name):
        """Return the declared Target of a name."""
        return self._targets[name]

    def set_service(self, service):
        """Take a changed declaration."""
        self._service = service
        longest_s = service.deadline_ms / 1000
        bulk = service.priority == "bulk"
        self.handle_message(ServiceChanged(service.queue_length, longest_s, bulk))

    def retry_waiting(self):
        """Let waiting requests go where something shared has become free."""
        if self._router.waiting:
            self.handle_message(Tick())

    def set_targets(self, targets):
        """Take the declared Targets of the service, a dict by name."""
        self._targets.update(targets)

    def set_held(self, held):
        """Take the HeldTargets of this VM, a tuple."""
        self.handle_message(HeldTargetsChanged(held))

    def set_peers(self, peers):
        """Take the Peers of the service's group, a tuple without this VM."""
        self.handle_message(PeersChanged(peers))

    def is_busy(self, target):
        """Return whether work of this VM or lent slots may be in progress there."""
        return self._router.is_busy(target)

    def is_warm(self, target):
        """Return whether a held target is known to be warm."""
        return self._router.is_warm(target)

    def submit(self, deadline_s, idempotent, repeatable):
        """Start a request.

        Returns:
            A pair of its number and the asyncio.Queue of commands for it.
        """
        request_id = next(_request_ids)
        inbox = asyncio.Queue()
        self._inboxes[request_id] = inbox
        self.handle_message(
            RequestArrived(request_id, deadline_s, idempotent, repeatable)
        )
        return request_id, inbox

    def withdraw(self, request_id):
        """End a request."""
        self.handle_message(RequestWithdrawn(request_id))
        self._inboxes.pop(request_id, None)

    def end_attempt(self, attempt_id, result):
        """Report how an attempt ended."""
        self._attempt_requests.pop(attempt_id, None)
        self._metrics.attempts.labels(self._service.name, result.value).inc()
        self.handle_message(AttemptEnded(attempt_id, result))
        if self._service.priority == "bulk":
            self._on_bulk_end()

    def handle_message(self, message):
        """Hand a message to the router and its commands to the exchanges."""
        for command in self._router.handle(message, self._loop.time()):
            self._deliver(command)
        self._plan_wake()

    def _plan_wake(self):
        """Let the router hear of the time when it next wants to."""
        wake_s = self._router.next_wake_s
        timer = self._wake_timer
        if wake_s is None or (timer is not None and timer.when() <= wake_s):
            return
        if timer is not None:
            timer.cancel()
        earliest_s = self._loop.time() + WAKE_INTERVAL_MIN_S
        self._wake_timer = self._loop.call_at(max(wake_s, earliest_s), self._wake)

    def _wake(self):
        self._wake_timer = None
        self.handle_message(Tick())

    def _deliver(self, command):
        if isinstance(command, SendToPeer):
            self._send_to_peer(self._service.name, command)
            return
        if isinstance(command, SendAttempt):
            self._attempt_requests[command.attempt_id] = command.request_id
            request_id = command.request_id
        elif isinstance(command, CancelAttempt):
            request_id = self._attempt_requests.get(command.attempt_id)
        elif isinstance(command, FailRequest):
            request_id = command.request_id
        inbox = self._inboxes.get(request_id)
        if inbox is not None:
            inbox.put_nowait(command)
