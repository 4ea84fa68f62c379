"""Track the requests of one service; send, retry and hedge them."""

import itertools

from sesamespring.decisions.age_queue import AgeQueue
from sesamespring.decisions.messages import (
    AttemptResult,
    CancelAttempt,
    FailRequest,
    LoanReturned,
    SendAttempt,
    SendToPeer,
)
from sesamespring.decisions.requests import AttemptState, RequestState
from sesamespring.decisions.retries import RetryBudget
from sesamespring.errors import ErrorKind

__all__ = ["RequestTracker"]

ATTEMPTS_MAX = 3
# Age, in average service times, at which an attempt is hedged.
HEDGE_FACTOR = 3.0
_NOT_EXECUTED = frozenset({AttemptResult.SHED, AttemptResult.NOT_SENT})
_FINAL_RESULTS = frozenset({AttemptResult.ANSWERED, AttemptResult.FAILED})


class RequestTracker:
    """The requests that have no final response yet, and their attempts.

    Methods append the resulting commands to the ``commands`` list that they are given.

    Args:
        pool: The TargetPool.
        admission: The Admission.
        hedging: Whether slow idempotent requests get a second, concurrent attempt.
        bulk_limit: The BulkLimit of this VM, or None without one.
    """

    def __init__(self, pool, admission, hedging, bulk_limit):
        self._pool = pool
        self._admission = admission
        self._hedging = hedging
        self._bulk_limit = bulk_limit
        self._bulk = False
        self._budget = RetryBudget()
        self._hedgeable = AgeQueue()
        self._requests = {}
        self._attempts = {}
        self._attempt_ids = itertools.count(1)

    @property
    def in_progress(self):
        """Number of attempts in progress."""
        return len(self._attempts)

    @property
    def next_hedge_s(self):
        """Time at which the next attempt becomes old enough to hedge, or None."""
        return self._hedgeable.due_s(self._hedge_age_s)

    @property
    def _hedge_age_s(self):
        return HEDGE_FACTOR * self._pool.average_s

    def may_start(self):
        """Return whether the BulkLimit, if it applies, lets another request start."""
        return not self._bulk or self._bulk_limit.free

    def set_bulk(self, bulk):
        """Set whether the requests count towards the BulkLimit."""
        self._bulk = bulk and self._bulk_limit is not None

    def arrive(self, message, now_s, commands):
        """Queue a new request, or reject it immediately."""
        self._budget.record_request()
        kind = self._admission.rejection(message.deadline_s, now_s)
        if kind is not None:
            self._fail(message.request_id, kind, now_s, commands)
            return
        request = RequestState(message, now_s)
        self._requests[message.request_id] = request
        self._enqueue(request)

    def withdraw(self, message, commands):
        """Drop a request and cancel its attempts."""
        request = self._requests.pop(message.request_id, None)
        if request is None:
            return
        if request.queued:
            self._admission.remove(request.arrival)
        commands.extend(CancelAttempt(number) for number in sorted(request.attempts))

    def finish_attempt(self, message, now_s, commands):
        """Process an AttemptEnded: free the slot, then retry or end the request."""
        attempt = self._attempts.pop(message.attempt_id, None)
        if attempt is None:
            return
        attempt.done = True
        if attempt.limited:
            self._bulk_limit.release()
        self._settle_slot(attempt, message.result, now_s, commands)
        request = self._requests.get(attempt.request_id)
        if request is None:
            return
        request.attempts.discard(message.attempt_id)
        self._settle_request(request, message.result, commands)

    def drop_unreachable(self, now_s, commands, spare_new=True):
        """Fail waiting requests that can no longer meet their deadline.

        Args:
            now_s: The current time in seconds.
            commands: List to append to.
            spare_new: Whether to keep requests that arrived at this time, as they may
                be sent immediately and may take less than the average service time.
        """
        admission = self._admission
        while admission.waiting:
            request = self._requests[admission.head_id]
            latest_s = admission.head_deadline_s
            if not spare_new or request.arrived_s < now_s:
                latest_s = admission.latest_start_s(latest_s)
            if now_s < latest_s:
                return
            admission.drop_head()
            del self._requests[request.arrival.request_id]
            kind = ErrorKind.DEADLINE_UNREACHABLE
            self._fail(request.arrival.request_id, kind, now_s, commands)

    def send_head(self, state, now_s, commands):
        """Send the most urgent request to a held target.

        Args:
            state: The TargetState.
            now_s: The current time in seconds.
            commands: List to append to.
        """
        self._send_waiting(self._occupy(state, now_s), now_s, commands)

    def send_head_on_loan(self, loan, send_by_s, now_s, commands):
        """Send the most urgent request on a Loan that is usable until a time."""
        attempt = AttemptState(now_s, send_by_s=send_by_s, loan=loan)
        self._send_waiting(attempt, now_s, commands)

    def hedge(self, now_s, commands):
        """Send second attempts for slow requests if slots are idle."""
        for attempt in self._hedgeable.pop_older(now_s, self._hedge_age_s):
            self._hedge(attempt, now_s, commands)

    def _fail(self, request_id, kind, now_s, commands):
        retry_after_s = self._admission.retry_after_s(now_s)
        commands.append(FailRequest(request_id, kind, retry_after_s))

    def _enqueue(self, request):
        request.queued = True
        self._admission.add(request.arrival)

    def _settle_slot(self, attempt, result, now_s, commands):
        taken_s = now_s - attempt.sent_s
        if attempt.loan is None:
            self._pool.finish(attempt.slot, result, taken_s, now_s, attempt.deadline_s)
            return
        returned = LoanReturned(attempt.loan.loan_id, result, taken_s)
        commands.append(SendToPeer(attempt.loan.peer, returned))

    def _settle_request(self, request, result, commands):
        request_id = request.arrival.request_id
        if result in _FINAL_RESULTS:
            del self._requests[request_id]
            commands.extend(CancelAttempt(each) for each in sorted(request.attempts))
            return
        if request.attempts:
            return
        if result is AttemptResult.CANCELLED:
            del self._requests[request_id]
        elif self._may_retry(request, result):
            self._enqueue(request)
        else:
            kind = (
                ErrorKind.NO_CAPACITY if result in _NOT_EXECUTED else ErrorKind.CUT_OFF
            )
            del self._requests[request_id]
            commands.append(FailRequest(request_id, kind))

    def _may_retry(self, request, result):
        arrival = request.arrival
        if not arrival.repeatable or request.sent >= ATTEMPTS_MAX:
            return False
        if result not in _NOT_EXECUTED and not arrival.idempotent:
            return False
        return self._budget.spend()

    def _send_waiting(self, attempt, now_s, commands):
        request = self._requests[self._admission.head_id]
        self._admission.take_head(now_s)
        request.queued = False
        self._send(request, attempt, commands)

    def _send(self, request, attempt, commands):
        attempt_id = next(self._attempt_ids)
        arrival = request.arrival
        attempt.request_id = arrival.request_id
        if self._bulk:
            attempt.limited = True
            self._bulk_limit.acquire()
        attempt.deadline_s = arrival.deadline_s
        request.sent += 1
        request.attempts.add(attempt_id)
        self._attempts[attempt_id] = attempt
        if self._hedging and request.hedgeable:
            self._hedgeable.add(attempt)
        send = SendAttempt(
            attempt_id,
            arrival.request_id,
            attempt.target,
            arrival.deadline_s,
            attempt.send_by_s,
        )
        commands.append(send)

    def _occupy(self, state, now_s):
        slot = self._pool.start(state, now_s)
        return AttemptState(now_s, send_by_s=state.target.valid_until_s, slot=slot)

    def _hedge(self, attempt, now_s, commands):
        request = self._requests.get(attempt.request_id)
        if request is None or not request.hedgeable or self._admission.waiting:
            return
        if not self.may_start():
            return
        state = self._pool.best_warm(now_s)
        if state is not None and self._budget.spend():
            self._send(request, self._occupy(state, now_s), commands)
