"""Count and log what happens to one request of a caller."""

import asyncio
import functools

from sesamespring.gateway.callers.account_series import account_outcome
from sesamespring.http.headers import header
from sesamespring.routing.request_content import callers_content_id, content_id

__all__ = ["RequestReport"]

# Callers without a key, or beyond their quota, must not crowd the lines of others out.
ROUTINE_REFUSALS = frozenset({401, 429})


class RequestReport:
    """Writes the log lines and counters of one request.

    Args:
        incoming: The IncomingRequest.
        context: The GatewayContext.

    Attributes:
        request_id: The caller's request id in bytes, or None.
        route: Name of the route, or an empty string.
        service: Name of the service, or an empty string.
        account: Name of the caller's account, or an empty string.
        decider: Name of the VM that scheduled the request last; ``here`` for this VM.
        attempts: Number of attempts that were started.
        body_start: The part of the body that was received before the first attempt, in
            bytes.
    """

    def __init__(self, incoming, context):
        self.request_id = None
        self.route = ""
        self.service = ""
        self.account = ""
        self.decider = "here"
        self.attempts = 0
        self.body_start = b""
        self._incoming = incoming
        self._context = context
        self._loop = asyncio.get_running_loop()

    @functools.cached_property
    def callers_content_id(self):
        """Id of what the request asks for as its caller does."""
        return callers_content_id(self.content_id, self._incoming.caller_ip)

    @functools.cached_property
    def content_id(self):
        """Id of what the request asks for; not computed before it is needed."""
        incoming = self._incoming
        host = header(incoming.headers, b"host", "").lower()
        return content_id(incoming.method, host, incoming.target, self.body_start)

    def attempt_started(self, dispatch):
        """Count and log an attempt.

        Args:
            dispatch: The Dispatch that started it.
        """
        self.attempts += 1
        is_local = dispatch.entry.data_centre == self._context.data_centre
        self._context.counters.add(
            "attempts_by_place",
            service=self.service,
            place="local" if is_local else "remote",
        )
        self._context.log.routine(
            "attempt",
            request=self._request_id_text(),
            target=dispatch.entry.id,
            service=self.service,
            decider=self.decider,
            hedge=dispatch.hedge,
            waited_s=dispatch.waited_s,
            expected_s=dispatch.expected_s,
            report_age_s=dispatch.report_age_s,
        )

    def attempt_ended(self, result, failed):
        """Count the end of an attempt, and log it if it failed.

        Args:
            result: The AttemptResult.
            failed: Whether the attempt failed.
        """
        outcome = result.end.outcome.value
        self._context.counters.add("attempts", service=self.service, outcome=outcome)
        if not failed:
            if result.relay is not None:
                self._context.log.routine(
                    "attempt-relayed",
                    request=self._request_id_text(),
                    target=result.entry.id,
                    relay=result.relay.key[0],
                    taken_s=result.end.taken_s,
                )
            return
        self._context.log.event(
            "attempt-failed",
            request=self._request_id_text(),
            content=self.content_id,
            caller=self._incoming.caller_ip,
            target=result.entry.id,
            outcome=outcome,
            target_crashed=result.target_crashed,
            blameless=result.end.blameless,
            relay=result.relay.key[0] if result.relay else None,
            reason=result.reason,
            taken_s=result.end.taken_s,
        )

    def slot_refused(self, refusal):
        """Log a Refusal of the scheduler."""
        self._context.log.event(
            "slot-refused",
            request=self._request_id_text(),
            service=self.service,
            **self._account_field(),
            decider=self.decider,
            reason=refusal.reason.value,
            waiting=refusal.waiting,
            needed_s=refusal.needed_s,
            left_s=refusal.request.deadline_s - self._loop.time(),
            retry_after_s=refusal.retry_after_s,
        )

    def finished(self, status, reason):
        """Count and log the end of the request.

        Args:
            status: HTTP status of the response, or 0 if no complete one was sent.
            reason: How the request ended, for the log.
        """
        context = self._context
        taken_s = self._loop.time() - self._incoming.arrived_s
        context.counters.add("requests", service=self.service, status=str(status))
        context.counters.observe(self.service, taken_s)
        configuration = context.cluster_state.configuration
        if self.account:
            self._count_for_account(status, configuration.accounts)
        is_routine = 200 <= status < 300 or status in ROUTINE_REFUSALS
        write = context.log.routine if is_routine else context.log.event
        write(
            "request",
            request=self._request_id_text(),
            status=status,
            reason=reason,
            route=self.route,
            service=self.service,
            **self._account_field(),
            attempts=self.attempts,
            taken_s=taken_s,
            configuration=configuration.version if configuration else 0,
            targets_age_s=context.cluster_state.registrations.age_s,
        )

    def _account_field(self):
        """Return the field of a log line that names the account, if there is one."""
        return {"account": self.account} if self.account else {}

    def _count_for_account(self, status, accounts):
        """Count the end of a request of an account.

        Args:
            status: HTTP status of the response, or 0.
            accounts: Dict of Account by name that is in force now, or None.
        """
        context = self._context
        label = context.account_series.label(self.account, len(accounts or ()))
        outcome = account_outcome(status)
        context.counters.add("account_requests", account=label, outcome=outcome)

    def _request_id_text(self):
        return (self.request_id or b"").decode("latin-1")
