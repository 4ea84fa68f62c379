"""Simulate targets: slots, speed, cold start, shedding and failures."""

import collections
import math

import attrs

from sesamespring.decisions.messages import AttemptResult
from sesamespring.replay.tally import Count

__all__ = ["SimulatedTarget", "Job"]

# Factor on service times in cold start.
COLD_SLOWDOWN = 4.0
# How long a target sheds all requests after too many of them in cold start.
CRASH_OUTAGE_S = 2.0
# Service time of a request that fails at once.
FAST_FAILURE_S = 0.0005
# Requests that arrive later than this after a target began to leave are counted.
LEAVING_GRACE_S = 3.0
# Delay until the signal that a target is cold has reached all senders.
COLD_SIGNAL_DELAY_S = 0.01
# A job with less service time left than this is finished; covers float rounding.
_REMAINING_MIN_S = 1e-9


@attrs.define(eq=False)
class Job:
    """One attempt at its target.

    Attributes:
        call: The Call.
        remaining_s: Service time left, as of an unloaded warm target.
        reply: Function that sends an AttemptResult to the entry VM.
        cancelled: Whether the sender has cancelled it.
        started_cold: Whether the target was cold when the job began to run.
    """

    call: object
    remaining_s: float
    reply: object
    cancelled: bool = False
    started_cold: bool = False


class SimulatedTarget:
    """A simulated target, which serves requests in its slots and queues the excess.

    Args:
        schedule: The Schedule.
        record: Its TargetRecord.
        random: Random source for shares of requests that are shed or fail.
        tally: The Tally.

    Attributes:
        in_transit: How many requests are on their way from entry VMs.
        on_change: Function to call when capacity may have become free, or None.
    """

    def __init__(self, schedule, record, random, tally):
        self._schedule = schedule
        self._record = record
        self._random = random
        self._tally = tally
        self._running = []
        self._waiting = collections.deque()
        self._last_progress_s = 0.0
        self._plan_version = 0
        self._slowdown = 1.0
        self._cold_responses_left = 0
        self._warm_after = 0
        self._cold_signal_s = math.inf
        self._down_until_s = 0.0
        self._shed_share = 0.0
        self._fail_share = 0.0
        self._leaving_since_s = None
        self.in_transit = 0
        self.on_change = None

    @property
    def record(self):
        """The TargetRecord of this target."""
        return self._record

    @property
    def cold(self):
        """Whether the target is in cold start."""
        return self._cold_responses_left > 0

    @property
    def in_progress(self):
        """How many requests run or wait here or are in transit."""
        return len(self._running) + len(self._waiting) + self.in_transit

    @property
    def capacity(self):
        """How many requests the target can run at once in its present state."""
        return self._record.cold_slots if self.cold else self._record.slots

    @property
    def speed(self):
        """Service time done per second of virtual time, for each running request."""
        factor = self._slowdown * (COLD_SLOWDOWN if self.cold else 1.0)
        return 1.0 / factor

    def receive(self, job):
        """Receive a Job: run it, queue it, shed it or let it fail."""
        self.in_transit -= 1
        if job.cancelled:
            self._notify()
            return
        now_s = self._schedule.now_s
        if self._has_left(now_s):
            self._tally.add(Count.WORK_AFTER_LEAVING, now_s)
        if now_s < self._down_until_s or self._random.random() < self._shed_share:
            job.reply(AttemptResult.SHED)
            self._notify()
            return
        job.call.runs += 1
        if self._random.random() < self._fail_share:
            self._schedule.after(FAST_FAILURE_S, job.reply, AttemptResult.FAILED)
            return
        self._admit(job, now_s)

    def cancel(self, job):
        """Mark a Job as cancelled, and stop it if it runs or waits here."""
        job.cancelled = True
        if job in self._running:
            self._update_progress()
            self._running.remove(job)
            self._start_waiting()
        elif job in self._waiting:
            self._waiting.remove(job)
            self._notify()

    def slow_down(self, factor):
        """Set the factor on service times; 1.0 is full speed."""
        self._update_progress()
        self._slowdown = factor
        self._plan_finish()

    def turn_cold(self, warm_after):
        """Start a cold start that ends after a number of responses."""
        self._update_progress()
        self._warm_after = warm_after
        self._cold_signal_s = math.inf
        self._cold_responses_left = warm_after
        self._plan_finish()

    def shed(self, share):
        """Set the share of requests that are refused without running."""
        self._shed_share = share

    def fail_fast(self, share):
        """Set the share of requests that fail at once."""
        self._fail_share = share

    def leave(self):
        """Start leaving, as declared by the operators."""
        if self._leaving_since_s is None:
            self._leaving_since_s = self._schedule.now_s

    def rejoin(self):
        """Stop leaving, as declared by the operators."""
        self._leaving_since_s = None

    def restore(self):
        """Restore full speed, and stop shedding, failing and leaving."""
        self.slow_down(1.0)
        self.shed(0.0)
        self.fail_fast(0.0)
        self.rejoin()

    def _has_left(self, now_s):
        since_s = self._leaving_since_s
        return since_s is not None and now_s > since_s + LEAVING_GRACE_S

    def _admit(self, job, now_s):
        if self.cold and len(self._running) >= self._record.cold_slots:
            self._tally.add(Count.COLD_OVERRUN, now_s)
            if now_s > self._cold_signal_s:
                self._tally.add(Count.COLD_OVERRUN_AFTER_SIGN, now_s)
            self._crash(job)
            return
        if len(self._running) >= self._record.slots:
            self._tally.add(Count.OVERRUN, now_s)
            self._waiting.append(job)
            return
        self._update_progress()
        self._run(job)
        self._plan_finish()

    def _run(self, job):
        job.started_cold = self.cold
        self._running.append(job)

    def _record_cold_signal(self):
        """Record when the signal that this target is cold has reached all senders.

        The signal is a response that it ran in cold start, or its crash.
        """
        signal_s = self._schedule.now_s + COLD_SIGNAL_DELAY_S
        self._cold_signal_s = min(self._cold_signal_s, signal_s)

    def _crash(self, job):
        """Lose all requests, shed new ones for a while, and restart the cold start."""
        self._record_cold_signal()
        lost = [*self._running, *self._waiting, job]
        self._running.clear()
        self._waiting.clear()
        self._down_until_s = self._schedule.now_s + CRASH_OUTAGE_S
        self._cold_responses_left = self._warm_after
        for lost_job in lost:
            lost_job.reply(AttemptResult.CUT_OFF)
        self._plan_finish()
        self._notify()

    def _update_progress(self):
        now_s = self._schedule.now_s
        done_s = (now_s - self._last_progress_s) * self.speed
        for job in self._running:
            job.remaining_s -= done_s
        self._last_progress_s = now_s

    def _plan_finish(self):
        """Schedule the end of the running request that is due first."""
        self._plan_version += 1
        if self._running:
            remaining_s = min(job.remaining_s for job in self._running)
            self._schedule.after(
                max(0.0, remaining_s) / self.speed, self._finish, self._plan_version
            )

    def _finish(self, version):
        if version != self._plan_version:
            return
        self._update_progress()
        done = [job for job in self._running if job.remaining_s <= _REMAINING_MIN_S]
        for job in done:
            self._running.remove(job)
            if job.started_cold:
                self._record_cold_signal()
            self._cold_responses_left = max(0, self._cold_responses_left - 1)
            job.reply(AttemptResult.ANSWERED)
        self._start_waiting()

    def _start_waiting(self):
        while self._waiting and len(self._running) < self.capacity:
            self._run(self._waiting.popleft())
        self._plan_finish()
        self._notify()

    def _notify(self):
        if self.on_change is not None:
            self.on_change()
