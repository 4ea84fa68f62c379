"""Keep a ServiceRollout for each order, and pass on the messages about them."""

import asyncio
import contextlib

from sesamespring.errors import ExternalError
from sesamespring.gateway.generated.ttypes import RolloutPhase, RolloutReport
from sesamespring.gateway.slots.service_rollout import ServiceRollout
from sesamespring.gateway.supervision import run_supervised
from sesamespring.routing.rollout import Phase

__all__ = ["Rollouts"]

WATCH_INTERVAL_S = 0.1
REMOVE_TRIES = 5
REMOVE_RETRY_DELAY_S = 1.0
PHASES = frozenset(phase.value for phase in Phase)


class Rollouts:
    """The roll-outs that the operator has ordered, on this VM.

    Args:
        cluster_state: The ClusterState, whose orders are carried out.
        context: The RolloutContext.
    """

    def __init__(self, cluster_state, context):
        self._cluster_state = cluster_state
        self._context = context
        self._rollouts = {}
        self._tasks = {}
        self._removals = set()
        # Orders that were there when this VM first read the table are older.
        self._has_read = False
        context.peers.set_handler(RolloutPhase, self._handle_phase)
        context.peers.set_handler(RolloutReport, self._handle_report)

    async def run(self):
        """Carry out the orders until cancelled."""
        try:
            while True:
                self._update()
                for rollout in self._rollouts.values():
                    rollout.watch()
                await asyncio.sleep(WATCH_INTERVAL_S)
        finally:
            for task in (*self._tasks.values(), *self._removals):
                task.cancel()

    def _update(self):
        """Begin and end roll-outs as the orders have changed."""
        if not self._cluster_state.ready:
            return
        orders = self._cluster_state.rollout_orders
        for service in self._rollouts.keys() - orders.keys():
            self._end(service)
            if self._context.services.is_decider(service):
                self._start_removal(service)
        for service, order in orders.items():
            rollout = self._rollouts.get(service)
            if rollout is not None and rollout.order != order:
                self._end(service)
                rollout = None
            if rollout is None:
                self._begin(order)
        self._has_read = True
        running = [r for r in self._rollouts.values() if not _is_final(r.phase)]
        self._context.counters.set("rollouts_running", len(running))

    def _begin(self, order):
        runner = self._context.services.runner(order.service)
        if runner is None:
            return
        rollout = ServiceRollout(order, runner, not self._has_read, self._context)
        self._rollouts[order.service] = rollout
        name = f"rollout-{order.service}"
        self._tasks[order.service] = asyncio.create_task(
            run_supervised(name, rollout.run, self._context.log)
        )

    def _end(self, service):
        self._tasks.pop(service).cancel()
        self._rollouts.pop(service).close()

    def _start_removal(self, service):
        task = asyncio.create_task(self._remove(service))
        self._removals.add(task)
        task.add_done_callback(self._removals.discard)

    async def _remove(self, service):
        """Remove the record of an order that was taken back."""
        for _ in range(REMOVE_TRIES):
            if service in self._rollouts:
                return
            with contextlib.suppress(ExternalError):
                await self._context.store.remove(service)
                return
            await asyncio.sleep(REMOVE_RETRY_DELAY_S)
        self._context.log.event("rollout-record-stays", service=service)

    def _handle_phase(self, message, address):
        rollout = self._rollouts.get(message.service_name)
        if rollout is None or message.phase not in PHASES:
            return
        order = rollout.order
        if (order.to, order.duration_s) == (message.to_version, message.duration_s):
            rollout.handle_phase(message, address)

    def _handle_report(self, message, address):
        rollout = self._rollouts.get(message.service_name)
        if rollout is not None and rollout.order.to == message.to_version:
            rollout.handle_report(message, address)


def _is_final(phase):
    return phase is not None and phase.is_final
