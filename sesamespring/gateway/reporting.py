"""Count and log what happens to one request of a caller."""

import asyncio

__all__ = ["RequestReport"]


class RequestReport:
    """What logs and counters say of one request.

    Args:
        incoming: The IncomingRequest.
        context: The GatewayContext.

    Attributes:
        request_id: The caller's request id in bytes, or None.
        route: Name of the route, or an empty text.
        service: Name of the service, or an empty text.
        decider: Name of the VM that decided last, or ``here``.
        attempts: How many attempts were made.
    """

    def __init__(self, incoming, context):
        self.request_id = None
        self.route = ""
        self.service = ""
        self.decider = "here"
        self.attempts = 0
        self._incoming = incoming
        self._context = context
        self._loop = asyncio.get_running_loop()

    def attempt_started(self, dispatch):
        """Take in a Dispatch."""
        self.attempts += 1
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
        """Take in an AttemptResult.

        Args:
            result: The AttemptResult.
            failed: Whether to log it.
        """
        outcome = result.end.outcome.value
        self._context.counters.add("attempts", service=self.service, outcome=outcome)
        if not failed:
            return
        self._context.log.event(
            "attempt-failed",
            request=self._request_id_text(),
            target=result.entry.id,
            outcome=outcome,
            reason=result.reason,
            taken_s=result.end.taken_s,
        )

    def slot_refused(self, refusal):
        """Take in a Refusal."""
        self._context.log.event(
            "slot-refused",
            request=self._request_id_text(),
            service=self.service,
            decider=self.decider,
            reason=refusal.reason.value,
            waiting=refusal.waiting,
            needed_s=refusal.needed_s,
            left_s=refusal.request.deadline_s - self._loop.time(),
            retry_after_s=refusal.retry_after_s,
        )

    def finished(self, status, reason):
        """Take in how the request ended; status 0 stands for no whole answer."""
        context = self._context
        taken_s = self._loop.time() - self._incoming.arrived_s
        context.counters.add("requests", service=self.service, status=str(status))
        context.counters.observe(self.service, taken_s)
        write = context.log.routine if 200 <= status < 300 else context.log.event
        configuration = context.cluster_state.configuration
        write(
            "request",
            request=self._request_id_text(),
            status=status,
            reason=reason,
            route=self.route,
            service=self.service,
            attempts=self.attempts,
            taken_s=taken_s,
            configuration=configuration.version if configuration else 0,
            targets_age_s=context.cluster_state.registrations.age_s,
        )

    def _request_id_text(self):
        return (self.request_id or b"").decode("latin-1")
