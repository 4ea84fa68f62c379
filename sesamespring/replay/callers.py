"""Simulate callers: choose an entry VM, wait for the response, and retry."""

import random

from sesamespring.replay.exchanges import ResponseKind
from sesamespring.replay.tally import CallOutcome

__all__ = ["CALLERS_PER_DATA_CENTRE", "Caller"]

CALLERS_PER_DATA_CENTRE = 5
ENTRIES_TTL_S = 2.0
NO_ENTRY_RETRY_S = 0.5

_OUTCOMES = {
    ResponseKind.ANSWERED: CallOutcome.ANSWERED,
    ResponseKind.FAILED: CallOutcome.FAILED,
    ResponseKind.NOT_RUN: CallOutcome.NOT_RUN,
    ResponseKind.UNKNOWN: CallOutcome.UNKNOWN,
    ResponseKind.REFUSED: CallOutcome.NOT_RUN,
    ResponseKind.RESET: CallOutcome.UNKNOWN,
}
_NEVER_RUN = frozenset({ResponseKind.NOT_RUN, ResponseKind.REFUSED})
_CONNECTION_LOST = frozenset({ResponseKind.REFUSED, ResponseKind.RESET})


class Caller:
    """One caller, with its own cache of the entry VMs of each service.

    Args:
        simulation: The Simulation; its schedule, links, VMs and assignment are used.
        seed: Seed of its choices among entry VMs, and of its first cache expiry.
    """

    def __init__(self, simulation, seed):
        self._simulation = simulation
        self._schedule = simulation.schedule
        self._random = random.Random(seed)
        self._entries = {}

    def start(self, call):
        """Send a Call, and retry it as needed until its outcome or its deadline."""
        self._schedule.at(call.deadline_s, self._time_out, call)
        self._send(call)

    def _send(self, call):
        if call.outcome is not None:
            return
        vm = self._choose_vm(call)
        if vm is None:
            self._retry(call, NO_ENTRY_RETRY_S)
            return
        call.request_count += 1
        call.last_vm = vm.record.name
        self._schedule.after(
            self._simulation.links.caller_delay_s,
            vm.receive_call,
            call,
            self._make_reply(call),
        )

    def _make_reply(self, call):
        def reply(response):
            self._schedule.after(
                self._simulation.links.caller_delay_s,
                self._handle_response,
                call,
                response,
            )

        return reply

    def _choose_vm(self, call):
        """Return an entry VM drawn by weight, or None if the service has none.

        The VM that the call was last sent to is used only if it is the only one.
        """
        service = call.record.service
        now_s = self._schedule.now_s
        expires_s, entries = self._entries.get(service, (0.0, ()))
        if now_s >= expires_s:
            entries = self._simulation.assignment.entries(service)
            # The first cache entry expires after a random share of its lifetime, which
            # spreads the refreshes of the callers over time.
            share = 1.0 if expires_s else self._random.random()
            self._entries[service] = (now_s + ENTRIES_TTL_S * share, entries)
        if not entries:
            return None
        others = [entry for entry in entries if entry.vm != call.last_vm]
        entries = others or entries
        weights = [entry.weight for entry in entries]
        (entry,) = self._random.choices(entries, weights)
        return self._simulation.vms[entry.vm]

    def _handle_response(self, call, response):
        if call.outcome is not None:
            return
        kind = response.kind
        if kind in _CONNECTION_LOST:
            self._entries.pop(call.record.service, None)
        may_retry = call.record.idempotent or kind in _NEVER_RUN
        if kind in (ResponseKind.ANSWERED, ResponseKind.FAILED) or not may_retry:
            self._finish(call, _OUTCOMES[kind])
            return
        wait_s = response.retry_after_s
        if kind in _CONNECTION_LOST:
            wait_s = self._simulation.links.caller_delay_s
        if wait_s is None or self._schedule.now_s + wait_s >= call.deadline_s:
            self._finish(call, _OUTCOMES[kind])
            return
        self._retry(call, wait_s)

    def _retry(self, call, wait_s):
        self._schedule.after(wait_s, self._send, call)

    def _time_out(self, call):
        if call.outcome is None:
            self._finish(call, CallOutcome.LATE)

    def _finish(self, call, outcome):
        call.outcome = outcome
        call.finished_s = self._schedule.now_s
