"""Carry out one service's roll-out on one VM."""

import asyncio
import time

import attrs
from returns.result import Failure

from sesamespring.errors import ExternalError
from sesamespring.gateway.generated.ttypes import RolloutPhase, RolloutReport
from sesamespring.platform.rows import ABSENT_VERSION
from sesamespring.routing.rollout import Phase, RolloutRecord
from sesamespring.routing.rollout_decider import RolloutDecider, use_of

__all__ = ["ServiceRollout"]

STEP_INTERVAL_S = 0.1
STORE_RETRY_DELAY_S = 0.3
# Time in which another VM that decides may see the same order as this one.
FOREIGN_ORDER_DELAY_S = 1.0
# Intervals at which the deciding VM tells the others of the phase.
TELL_INTERVALS_S = {Phase.TRIAL: 1.0, Phase.MOVING: 0.2}
TELL_FINAL_INTERVAL_S = 5.0
# A VM that hears less than this part of what the last writer of the record heard may be
# cut off. It waits until no other VM has written for so long.
HEARD_SHARE_MIN = 0.5
QUIET_S = 2.5
# Time in which VMs that are not heard learn from the store that all requests move.
UNHEARD_LEARN_S = 1.5
# A report on attempts in progress that is older says nothing.
REPORT_LIFETIME_S = 1.0
# A VM that has answered nothing for so long is of a build without roll-outs.
UNANSWERED_MAX_S = 3.0


@attrs.frozen
class _Report:
    """What another VM last reported: its step, its old attempts, and when."""

    step: int
    old_in_progress: int
    at_s: float


class ServiceRollout:
    """One order for one service: decides where this VM has to, and follows elsewhere.

    Args:
        order: The RolloutOrder.
        runner: The ServiceRunner of the service.
        is_late: Whether the order is older than this VM's knowledge of it.
        context: The RolloutContext.
    """

    def __init__(self, order, runner, is_late, context):
        self._order = order
        self._runner = runner
        self._is_late = is_late
        self._context = context
        self._loop = asyncio.get_running_loop()
        self._seen_s = self._loop.time()
        targets = runner.scheduler.targets
        self._steering = targets.rollout
        self._steering.begin(order.to, targets.states)
        peers = context.peers
        self._writer = f"{peers.own.name}/{peers.incarnation}/{self._seen_s:.3f}"
        self._decider = RolloutDecider(
            order, context.bounds, self._steering, self._writer
        )
        self._version = ABSENT_VERSION
        self._era = None
        # Version of the record at which this VM last stepped back.
        self._stepped_back_at = None
        # The latest record that is known, also from other VMs.
        self._known = None
        self._reports = {}
        self._step_s = self._seen_s
        self._told_s = None
        self._is_reported_bad = False

    @property
    def order(self):
        """The RolloutOrder."""
        return self._order

    @property
    def phase(self):
        """The Phase as far as known, or None."""
        return None if self._known is None else self._known.phase

    def close(self):
        """End the roll-out on this VM, after which versions decide nothing."""
        self._steering.end()

    def watch(self):
        """Do what may not wait for the store, several times a second."""
        if not self._decides:
            self._follow()
            return
        evidence = self._steering.evidence
        if self._decider.stop_if_bad() and not self._is_reported_bad:
            self._is_reported_bad = True
            self._context.log.event(
                "rollout-bad-version", cause=evidence.cause, **self._figures()
            )
        self._tell()

    async def run(self):
        """Read and write the records while this VM decides, until cancelled."""
        while True:
            if self._decides:
                try:
                    await self._step()
                except ExternalError as error:
                    self._context.log.event(
                        "rollout-store-failed", service=self._order.service, error=error
                    )
                    await asyncio.sleep(STORE_RETRY_DELAY_S)
                    await self._read_back()
            await asyncio.sleep(STEP_INTERVAL_S)

    def handle_phase(self, message, address):
        """Take in a RolloutPhase of this order, and report to its sender."""
        record = RolloutRecord(self._order, Phase(message.phase), message.step)
        if self._known is None or record.step > self._known.step:
            if self._decider.record is None:
                self._learn(record)
            else:
                # Another VM decides too; the store knows which of them is ahead.
                self._decider.leave()
        if not self._decides:
            self._follow()
        report = RolloutReport(
            service_name=self._order.service,
            to_version=self._order.to,
            step=self._step_number,
            old_in_progress=self._own_old_in_progress(),
        )
        self._context.peers.send(report, address)

    def handle_report(self, message, address):
        """Take in a RolloutReport of this order."""
        now_s = self._loop.time()
        self._reports[address] = _Report(message.step, message.old_in_progress, now_s)

    @property
    def _decides(self):
        return self._context.services.is_decider(self._order.service)

    def _follow(self):
        """Choose targets by the phase that other VMs have told."""
        if self._decider.record is not None:
            self._decider.leave()
        rejected = () if self._known is None else self._known.rejected
        self._steering.set_use(use_of(self.phase, False), rejected)

    def _learn(self, record):
        """Take over a newer RolloutRecord of this order, and log its step."""
        before, self._known = self._known, record
        if before is None or before.step != record.step:
            self._step_s = self._loop.time()
            self._told_s = None
            self._context.log.event("rollout-step", **self._figures())
            self._context.counters.add(
                "rollout_steps",
                service=self._order.service,
                phase=record.phase.name.lower(),
            )

    async def _step(self):
        """Read the record if it is not known, else write the next one if there is."""
        if self._era != self._context.era():
            # The store came back from a copy, which may lack what was written last.
            self._era = self._context.era()
            self._decider.leave()
        if self._decider.record is None:
            await self._read()
            return
        record = self._decider.next_record(
            self._loop.time(), self._old_in_progress(), self._is_confirmed()
        )
        if record is not None:
            await self._write(record)

    async def _read(self):
        stored, self._version = await self._context.store.read(self._order.service)
        if self._must_step_back(stored):
            self._stepped_back_at = self._version
            if self._known is None or stored.step > self._known.step:
                self._learn(stored)
            self._follow()
            await asyncio.sleep(QUIET_S)
            return
        now_s = self._loop.time()
        started_s = self._started_s(stored)
        started_unix_s = time.time() - (now_s - started_s)
        self._decider.adopt(stored, started_s, started_unix_s, now_s, self._known)
        if stored is not None and stored.order == self._order:
            self._learn(self._decider.record)

    def _must_step_back(self, stored):
        """Return whether the VM that wrote a record should go on, and not this one."""
        if stored is None or stored.order != self._order or stored.phase.is_final:
            return False
        if stored.writer.startswith(self._writer):
            return False
        heard = len(self._context.peers.alive)
        few = heard < HEARD_SHARE_MIN * stored.vms_heard
        return few and self._version != self._stepped_back_at

    async def _write(self, record):
        record = attrs.evolve(record, vms_heard=len(self._context.peers.alive))
        result = await self._context.store.write(record, self._version)
        if isinstance(result, Failure):
            await self._handle_conflict(*result.failure())
            return
        self._version = result.unwrap()
        self._settle(record.writer)

    async def _read_back(self):
        """Find out whether a write without an answer has taken effect."""
        if self._decider.record is None:
            return
        try:
            found = await self._context.store.read(self._order.service)
        except ExternalError:
            # The next write finds out by its condition.
            return
        if found[1] != self._version:
            await self._handle_conflict(*found)

    async def _handle_conflict(self, stored, version):
        """Take in the record that is in place of the one expected."""
        if self._decider.record is None:
            return
        self._version = version
        if self._must_step_back(stored):
            self._decider.leave()
            return
        if self._decider.refused(stored, self._loop.time()):
            self._learn(self._decider.record)
            return
        writer = None if stored is None else stored.writer
        self._context.log.event("rollout-conflict", writer=writer, **self._figures())
        self._decider.leave()
        if stored is not None:
            await asyncio.sleep(FOREIGN_ORDER_DELAY_S)

    def _settle(self, writer):
        self._decider.written(writer, self._loop.time())
        self._learn(self._decider.record)

    def _started_s(self, stored):
        """Return when the order was given, on the clock of the event loop."""
        if not self._is_late or stored is None or stored.order != self._order:
            return self._seen_s
        age_s = max(0.0, time.time() - stored.started_unix_s)
        return min(self._seen_s, self._loop.time() - age_s)

    def _own_old_in_progress(self):
        return self._context.slot_client.old_in_progress(
            self._order.service, self._order.to
        )

    def _old_in_progress(self):
        removed = self._runner.scheduler.targets.removed
        return self._steering.old_in_progress(removed) + self._own_old_in_progress()

    def _is_confirmed(self):
        """Return whether all VMs say that they send nothing to old targets."""
        peers = self._context.peers
        serving = [m for m in peers.alive.values() if m.callers_port]
        age_s = self._loop.time() - self._step_s
        if peers.known_count > len(serving) + 1 and age_s < UNHEARD_LEARN_S:
            return False
        return all(map(self._has_confirmed, serving))

    def _has_confirmed(self, member):
        now_s = self._loop.time()
        report = self._reports.get(member.address)
        if report is None:
            return now_s - self._step_s > UNANSWERED_MAX_S
        is_new = now_s - report.at_s < REPORT_LIFETIME_S
        return (
            is_new and report.step == self._step_number and not report.old_in_progress
        )

    @property
    def _step_number(self):
        return 0 if self._known is None else self._known.step

    def _tell(self):
        """Tell the other VMs of the phase, if it is time to."""
        known = self._known
        if known is None:
            return
        now_s = self._loop.time()
        interval_s = TELL_INTERVALS_S.get(known.phase, TELL_FINAL_INTERVAL_S)
        if self._told_s is not None and now_s - self._told_s < interval_s:
            return
        self._told_s = now_s
        message = RolloutPhase(
            service_name=self._order.service,
            to_version=self._order.to,
            duration_s=self._order.duration_s,
            phase=known.phase.value,
            step=known.step,
        )
        self._context.peers.broadcast(message)

    def _figures(self):
        """Return the fields of a log line that decide."""
        evidence, decider = self._steering.evidence, self._decider
        record = decider.record or self._known
        now_s = self._loop.time()
        return {
            "service": self._order.service,
            "to": self._order.to,
            "phase": record and record.phase.name.lower(),
            "step": record and record.step,
            "reason": decider.reason if decider.record else "told",
            "since_s": now_s - self._seen_s,
            "within_s": self._order.duration_s,
            "requests": record and record.requests,
            "reserved": record and record.reserved,
            "sent": self._steering.sent,
            "answers": evidence.answers,
            "failures": evidence.failures,
            "old_failure_rate": evidence.old_failure_rate,
            "suspicion": evidence.suspicion,
            "old_in_progress": self._old_in_progress(),
        }
