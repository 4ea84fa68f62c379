"""Request slots from the VM that schedules a service.

Each service is scheduled by one VM, its decider, so that one queue sees all requests
and all attempts in progress. The other VMs request a slot from it by datagram and send
the request to the target themselves. If the decider does not respond, they schedule
the request with their own scheduler.
"""

import asyncio
import itertools

import attrs

from sesamespring.gateway.generated.ttypes import (
    SlotGranted,
    SlotQueued,
    SlotRefused,
    SlotWithdrawn,
)
from sesamespring.gateway.slots.slot_messages import (
    decode_refused,
    encode_ended,
    encode_wanted,
)
from sesamespring.gateway.slots.slot_request import Grant, SlotRequest
from sesamespring.routing.messages import (
    AttemptEnded,
    Dispatch,
    Outcome,
    RefusalReason,
)

__all__ = ["SlotClient"]

RESPONSE_TIMEOUT_S = 0.03
SENDS_MAX = 2
# A timer that runs out this late shows that this process has been paused.
PAUSE_MIN_S = 0.01
# While a request waits in the decider's queue, SlotWanted is sent again after this
# time, in case the grant or refusal was lost.
QUEUED_RESEND_S = 0.1
DECIDER_BACKOFF_S = 1.0
REQUESTS_PER_MS_MAX = 1_000_000
# If SlotEnded is lost, the slot stays taken until the request's deadline. So the
# message is sent again after each of these delays.
END_RESEND_DELAYS_S = (0.1, 0.4)


class SlotClient:
    """Gets slots for this VM's requests, from the deciders or its own schedulers.

    Args:
        services: The Services.
        peers: The Peers.
        cluster_state: The ClusterState.
        availability: The TargetAvailability.
        counters: The Counters.
        log: The EventLog.
    """

    def __init__(self, services, peers, cluster_state, availability, counters, log):
        self._services = services
        self._peers = peers
        self._cluster_state = cluster_state
        self._availability = availability
        self._counters = counters
        self._log = log
        self._loop = asyncio.get_running_loop()
        # Numbers start at the incarnation, as other VMs may still hold requests of an
        # earlier process at this address.
        self._numbers = itertools.count(peers.incarnation * REQUESTS_PER_MS_MAX + 1)
        # Negative numbers, as this VM's own schedulers use positive ones.
        self._attempts = itertools.count(-1, -1)
        self._slot_requests = {}
        self._backoff_until_s = {}
        # Dict of TargetEntry by numbers of request and attempt in progress.
        self._in_progress = {}
        peers.set_handler(SlotQueued, self._handle_queued)
        peers.set_handler(SlotGranted, self._handle_granted)
        peers.set_handler(SlotRefused, self._handle_refused)

    def submit(self, service, request, on_command):
        """Request a slot and return the SlotRequest.

        Args:
            service: Name of the service.
            request: The ScheduledRequest.
            on_command: Function called with each Dispatch and Refusal, possibly before
                this method returns.
        """
        slot_request = SlotRequest(service, request, on_command, next(self._numbers))
        self._slot_requests[slot_request.number] = slot_request
        request.queued_s = self._loop.time()
        self.resubmit(slot_request)
        return slot_request

    def resubmit(self, slot_request):
        """Request another slot after an attempt has failed."""
        slot_request.waiting = True
        backing_off = self._availability.backoff_keys(slot_request.service)
        slot_request.request.tried |= backing_off
        slot_request.round += 1
        slot_request.unanswered_sends = 0
        slot_request.silent_decider = None
        decider = self._usable_decider(slot_request.service)
        if decider is None:
            self._schedule_locally(slot_request)
            return
        slot_request.decider = decider
        self._send_slot_wanted(slot_request)

    def may_retry(self, slot_request):
        """Whether a request may be sent to another target after a failed attempt.

        The decider, which knows the attempts of all VMs, keeps to the budget; this VM
        does so only where it decides on its own.
        """
        now_s = self._loop.time()
        if self._usable_decider(slot_request.service) is not None:
            return slot_request.request.may_be_sent(now_s)
        runner = self._services.runner(slot_request.service)
        return runner.scheduler.may_retry(slot_request.request, now_s)

    def finish_attempt(self, slot_request, end):
        """Report the end of an attempt to the VM that granted its slot, or locally.

        The end of an attempt that this VM scheduled is reported to its own scheduler.

        Args:
            slot_request: The SlotRequest.
            end: The AttemptEnded.
        """
        self._in_progress.pop((slot_request.number, end.attempt), None)
        grant = slot_request.granted.pop(end.attempt, None)
        if grant is None:
            self._services.runner(slot_request.service).finish_attempt(end)
        else:
            self._send_ended(grant, slot_request.number, end)

    def response_started(self, slot_request, end):
        """Report that a target responds, so that only its slot remains taken.

        Args:
            slot_request: The SlotRequest.
            end: The AttemptEnded, as far as it is known.
        """
        started = attrs.evolve(end, responding=True)
        grant = slot_request.granted.get(end.attempt)
        if grant is None:
            self._services.runner(slot_request.service).finish_attempt(started)
        else:
            self._send_ended(grant, slot_request.number, started)

    def withdraw(self, slot_request):
        """Remove a request that needs no further slot.

        Its attempts have ended, or the results of those in progress are not used.
        """
        self._slot_requests.pop(slot_request.number, None)
        self._cancel_timer(slot_request)
        if slot_request.decider is not None and slot_request.waiting:
            self._peers.send(
                SlotWithdrawn(request=slot_request.number), slot_request.decider.address
            )
        self._services.runner(slot_request.service).withdraw(slot_request.request)
        slot_request.waiting = False

    def old_in_progress(self, service, version):
        """Return the number of this VM's attempts at targets of other versions.

        Args:
            service: Name of the service.
            version: The version that is left out.
        """
        entries = self._in_progress.values()
        return sum(e.service == service and e.version != version for e in entries)

    def _usable_decider(self, service):
        """Return the Member to request slots from, or None to schedule locally."""
        decider = self._services.decider(service)
        member = self._peers.alive.get(decider)
        if member is None or self._services.is_decider(service):
            return None
        if self._loop.time() < self._backoff_until_s.get(decider, 0.0):
            return None
        return member

    def _schedule_locally(self, slot_request):
        self._cancel_timer(slot_request)
        slot_request.decider = None
        runner = self._services.runner(slot_request.service)
        if slot_request.request.number == 0:
            slot_request.request.number = runner.next_number()

        def on_command(command):
            slot_request.waiting = False
            if not isinstance(command, Dispatch):
                slot_request.on_command(self._with_retry_after(command))
            elif self._availability.may_send(command.entry):
                slot_request.accepted += 1
                key = (slot_request.number, command.attempt)
                self._in_progress[key] = command.entry
                slot_request.on_command(command)
            else:
                self._decline(slot_request, command)

        runner.submit(slot_request.request, on_command)

    def _send_slot_wanted(self, slot_request):
        now_s = self._loop.time()
        request = slot_request.request
        request.counted_elsewhere = True
        slot_request.unanswered_sends += 1
        wanted = encode_wanted(slot_request, now_s)
        self._peers.send(wanted, slot_request.decider.address)
        slot_request.timer = self._loop.call_later(
            RESPONSE_TIMEOUT_S, self._check_response, slot_request
        )

    def _check_response(self, slot_request, may_have_paused=True):
        """Send SlotWanted again, or schedule locally if the decider stays silent.

        After a pause of this process, the answer may not have been read yet.
        """
        late_s = self._loop.time() - slot_request.timer.when()
        slot_request.timer = None
        if not slot_request.waiting:
            return
        if may_have_paused and late_s > PAUSE_MIN_S:
            slot_request.timer = self._loop.call_later(
                RESPONSE_TIMEOUT_S, self._check_response, slot_request, False
            )
            return
        decider = slot_request.decider
        if slot_request.unanswered_sends < SENDS_MAX and self._peers.is_alive(
            decider.name
        ):
            self._send_slot_wanted(slot_request)
            return
        self._backoff_until_s[decider.name] = self._loop.time() + DECIDER_BACKOFF_S
        self._counters.add("deciders_silent")
        self._log.event(
            "decider-silent",
            peer=decider.name,
            service=slot_request.service,
            outcome="deciding-here",
        )
        slot_request.silent_decider = decider
        self._schedule_locally(slot_request)

    def _return_to_decider(self, slot_request):
        """Let a decider that answers late schedule a request which still waits here."""
        decider = slot_request.silent_decider
        slot_request.silent_decider = None
        slot_request.decider = decider
        self._services.runner(slot_request.service).withdraw(slot_request.request)
        self._backoff_until_s.pop(decider.name, None)
        self._log.event(
            "decider-answers-late", peer=decider.name, service=slot_request.service
        )

    def _handle_queued(self, message, address):
        slot_request = self._find_current(message, address)
        if slot_request is None:
            return
        self._cancel_timer(slot_request)
        slot_request.unanswered_sends = 0
        slot_request.timer = self._loop.call_later(
            QUEUED_RESEND_S, self._check_response, slot_request
        )

    def _handle_granted(self, message, address):
        if self._is_in_progress(message, address):
            return
        slot_request = self._find_current(message, address)
        entry = self._cluster_state.target((message.target, message.born_ms))
        if (
            slot_request is None
            or entry is None
            or not self._availability.may_send(entry)
        ):
            # Says nothing about the target, which other VMs may know and reach.
            unused = AttemptEnded(message.attempt, Outcome.CANCELLED, 0.0)
            grant = Grant(address, message.attempt)
            self._send_ended(grant, message.request, unused)
            if slot_request is not None:
                self._log_unusable(slot_request, message, entry)
                self._cancel_timer(slot_request)
                slot_request.request.tried.add((message.target, message.born_ms))
                if slot_request.waiting:
                    self.resubmit(slot_request)
            return
        self._cancel_timer(slot_request)
        slot_request.waiting = False
        slot_request.accepted += 1
        attempt = next(self._attempts)
        slot_request.granted[attempt] = Grant(address, message.attempt)
        self._in_progress[slot_request.number, attempt] = entry
        request = slot_request.request
        request.attempts_left -= 1
        request.extra = True
        request.tried.add(entry.key)
        waited_s = self._loop.time() - request.queued_s
        slot_request.on_command(
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

    def _log_unusable(self, slot_request, message, entry):
        fields = {
            "target": message.target,
            "service": slot_request.service,
            "decider": slot_request.decider.name,
        }
        if entry is None:
            self._log.event("target-unknown", **fields)
        else:
            self._log.event("target-not-usable", **fields)

    def _decline(self, slot_request, dispatch):
        """Return a Dispatch of this VM's scheduler, and request another slot.

        The scheduler is not called before it has finished its present event.
        """
        unused = AttemptEnded(dispatch.attempt, Outcome.CANCELLED, 0.0)
        request = slot_request.request
        request.attempts_left += 1
        request.extra = slot_request.accepted > 0
        runner = self._services.runner(slot_request.service)
        self._loop.call_soon(runner.finish_attempt, unused)
        if not dispatch.hedge:
            slot_request.waiting = True
            self._loop.call_soon(self._resubmit_if_waiting, slot_request)

    def _resubmit_if_waiting(self, slot_request):
        if slot_request.waiting:
            self.resubmit(slot_request)

    def _with_retry_after(self, command):
        """Return a command in which a Refusal says when a backoff ends."""
        if command.reason is not RefusalReason.NO_UNTRIED_TARGET:
            return command
        backoff_s = self._availability.retry_after_s(command.request.tried)
        retry_after_s = max(command.retry_after_s, backoff_s)
        return attrs.evolve(command, retry_after_s=retry_after_s)

    def _is_in_progress(self, message, address):
        """Whether a SlotGranted repeats the grant of an attempt in progress."""
        slot_request = self._slot_requests.get(message.request)
        grant = Grant(address, message.attempt)
        return slot_request is not None and grant in slot_request.granted.values()

    def _handle_refused(self, message, address):
        slot_request = self._find_current(message, address)
        if slot_request is None:
            return
        refusal = decode_refused(message, slot_request.request)
        self._cancel_timer(slot_request)
        slot_request.waiting = False
        slot_request.on_command(self._with_retry_after(refusal))

    def _find_current(self, message, address):
        """Return the SlotRequest that a message is for, or None if it is outdated.

        A message counts if it comes from the decider, in the current round, while the
        request waits; a hedge also counts while an attempt is in progress.
        """
        slot_request = self._slot_requests.get(message.request)
        if slot_request is None or message.round != slot_request.round:
            return None
        if slot_request.waiting and self._is_late_answer(slot_request, address):
            self._return_to_decider(slot_request)
        decider = slot_request.decider
        if decider is None or decider.address != address:
            return None
        is_hedge = getattr(message, "hedge", False)
        return slot_request if slot_request.waiting or is_hedge else None

    def _is_late_answer(self, slot_request, address):
        """Whether a message is from the decider that was taken for silent."""
        decider = slot_request.silent_decider
        if decider is None or decider.address != address:
            return False
        return self._services.decider(slot_request.service) == decider.name

    def _send_ended(self, grant, number, end):
        """Send the end of an attempt to the VM of a Grant, and repeat it later."""
        message = encode_ended(number, grant.attempt, end)
        self._peers.send(message, grant.address)
        after_s = 0.0
        for delay_s in END_RESEND_DELAYS_S:
            after_s += delay_s
            self._loop.call_later(after_s, self._peers.send, message, grant.address)

    def _cancel_timer(self, slot_request):
        if slot_request.timer is not None:
            slot_request.timer.cancel()
            slot_request.timer = None
