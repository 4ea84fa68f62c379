"""Run the router of one service and deliver its commands to requests and peers."""

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
    """The router, targets and requests of one service at this VM.

    Args:
        service: The declared Service.
        metrics: The Metrics.
        send_to_peer: Function that takes a service's name and a SendToPeer and sends
            its message.
        bulk_limit: The BulkLimit of this VM.
        on_bulk_end: Function called when an attempt of a service with bulk priority has
            ended.
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
        """Number of requests that are queued or being forwarded."""
        return len(self._inboxes)

    def target(self, name):
        """Return the declared Target with a name."""
        return self._targets[name]

    def set_service(self, service):
        """Apply a changed declaration of the service."""
        self._service = service
        longest_s = service.deadline_ms / 1000
        bulk = service.priority == "bulk"
        self.handle_message(ServiceChanged(service.queue_length, longest_s, bulk))

    def retry_waiting(self):
        """Try to send queued requests, as a shared resource has become free."""
        if self._router.waiting:
            self.handle_message(Tick())

    def set_targets(self, targets):
        """Add or replace the declared Targets of the service, a dict by name."""
        self._targets.update(targets)

    def set_held(self, held):
        """Replace the tuple of the HeldTargets of this VM."""
        self.handle_message(HeldTargetsChanged(held))

    def set_peers(self, peers):
        """Replace the tuple of Peers: the service's group without this VM."""
        self.handle_message(PeersChanged(peers))

    def is_busy(self, target):
        """Return whether requests of this VM or lent slots may be in use at a target.

        Args:
            target: Name of the target.
        """
        return self._router.is_busy(target)

    def is_warm(self, target):
        """Return whether a held target is known to be warm.

        Args:
            target: Name of the target.
        """
        return self._router.is_warm(target)

    def submit(self, deadline_s, idempotent, repeatable):
        """Submit a request to the router.

        Args:
            deadline_s: Deadline on the event loop's clock, in seconds.
            idempotent: Whether the request may be executed more than once.
            repeatable: Whether the request's body can be sent more than once.

        Returns:
            A pair of the request's number and the asyncio.Queue of commands for it.
        """
        request_id = next(_request_ids)
        inbox = asyncio.Queue()
        self._inboxes[request_id] = inbox
        self.handle_message(
            RequestArrived(request_id, deadline_s, idempotent, repeatable)
        )
        return request_id, inbox

    def withdraw(self, request_id):
        """Remove a request from the router; no further commands are sent for it."""
        self.handle_message(RequestWithdrawn(request_id))
        self._inboxes.pop(request_id, None)

    def finish_attempt(self, attempt_id, result):
        """Report the end of an attempt to the router.

        Args:
            attempt_id: Number of the attempt.
            result: The AttemptResult.
        """
        self._attempt_requests.pop(attempt_id, None)
        self._metrics.attempts.labels(self._service.name, result.value).inc()
        self.handle_message(AttemptEnded(attempt_id, result))
        if self._service.priority == "bulk":
            self._on_bulk_end()

    def handle_message(self, message):
        """Pass a message to the router and deliver the commands that it returns."""
        for command in self._router.handle(message, self._loop.time()):
            self._deliver(command)
        self._schedule_wake()

    def _schedule_wake(self):
        """Schedule a Tick for the router's next deadline, if it has one."""
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
