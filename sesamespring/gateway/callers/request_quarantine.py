"""Share among all VMs which requests have crashed targets, and keep these back."""

import asyncio
import math

from sesamespring.gateway.generated.ttypes import (
    CrashRecords,
    RequestCrashes,
    TargetLifetime,
)
from sesamespring.routing.quarantine import (
    RESERVATION_S,
    Admission,
    CrashRecord,
    Quarantine,
)

__all__ = ["RequestQuarantine"]

# Keeps a heartbeat far below the largest datagram.
RECORDS_PER_MESSAGE_MAX = 8
# Heartbeats repeat a record for this time, as the first message may be lost.
REPEAT_S = 5.0


class RequestQuarantine:
    """The quarantine of this VM, fed by its own attempts and by other VMs.

    Args:
        counters: The Counters.
        log: The EventLog.

    Attributes:
        on_quarantined: Function called with the id of a content after it was
            quarantined, or after its trial began.
        on_news: Function called with a message for all other VMs.
        on_changed: Function called with each CrashRecord that has changed, and whether
            this VM has changed it.
    """

    def __init__(self, counters, log):
        self.on_quarantined = lambda content: None
        self.on_news = lambda message: None
        self.on_changed = lambda record, own: None
        self._counters = counters
        self._log = log
        self._loop = asyncio.get_running_loop()
        self._quarantine = Quarantine()
        self._repeat_all_until_s = 0.0

    @property
    def empty(self):
        """Whether no request has crashed a target lately."""
        return self._quarantine.empty

    def record(self, content):
        """Return the CrashRecord of a content, or None."""
        return self._quarantine.record(content)

    def is_quarantined(self, content):
        """Return whether requests with this content are kept from targets."""
        return self._quarantine.is_quarantined(content)

    def retry_after_s(self, content):
        """Return when a request may be sent again, in seconds from now."""
        return self._quarantine.retry_after_s(content, self._loop.time())

    def admit(self, content):
        """Return the Admission of a request that has arrived."""
        if not self.is_quarantined(content):
            return Admission(True)
        now_s = self._loop.time()
        record = self._quarantine.reserve_trial(content, now_s)
        self._tell(record, "reserved")
        if record is None:
            return Admission(False)
        until_s = now_s + RESERVATION_S
        return Admission(True, record.trials, until_s, record.clearances)

    def permits(self, content, admission):
        """Return whether a request with this Admission may still be sent."""
        return self._quarantine.permits(content, admission, self._loop.time())

    def record_trial(self, content, admission):
        """Record that the trial of an Admission has not cleared a content."""
        now_s = self._loop.time()
        self._tell(self._quarantine.record_trial(content, admission, now_s), "trial")

    def record_crash(self, content, target):
        """Record that a target crashed while it ran a request of this VM.

        Args:
            content: Id of the request's content.
            target: Key of the target's lifetime.
        """
        self._counters.add("target_crashes")
        now_s = self._loop.time()
        self._tell(self._quarantine.record_crash(content, target, now_s), "crash")

    def record_completion(self, content):
        """Record that a target ran a request of this VM without a crash."""
        now_s = self._loop.time()
        self._tell(self._quarantine.record_completion(content, now_s), "completed")

    def handle_message(self, message, address):
        """Merge the CrashRecords that another VM sends as soon as they change."""
        self.record_heartbeat(message.records, address[0])

    def record_stored(self, record):
        """Merge a CrashRecord that an earlier process has stored."""
        merged = self._quarantine.merge(record)
        if merged is not None:
            self._report(merged, "store")

    def record_heartbeat(self, records, peer):
        """Merge the RequestCrashes of another VM's heartbeat.

        Args:
            records: List of the thrift structs.
            peer: Name or address of the VM, for the log.
        """
        for crashes in records:
            merged = self._quarantine.merge(self._decode(crashes))
            if merged is not None:
                self._report(merged, peer)

    def for_heartbeat(self):
        """Return the records that other VMs may lack as a list of thrift structs."""
        now_s = self._loop.time()
        repeats_all = now_s < self._repeat_all_until_s
        since_s = float("-inf") if repeats_all else now_s - REPEAT_S
        records = self._quarantine.changed_since(since_s, RECORDS_PER_MESSAGE_MAX)
        return [self._encode(record) for record in records]

    def repeat_all(self):
        """Tell other VMs all records again for a while, as one of them is new."""
        self._repeat_all_until_s = self._loop.time() + REPEAT_S

    def drop_expired(self):
        """Forget records that have not changed for long."""
        self._quarantine.drop_expired(self._loop.time())

    def _tell(self, record, source):
        """Tell other VMs of a record that this VM has changed; None is ignored."""
        if record is None:
            return
        self.on_news(CrashRecords(records=[self._encode(record)]))
        self._report(record, source, own=True)

    def _report(self, record, source, own=False):
        quarantined = self.is_quarantined(record.content)
        self._log.event(
            "crash-record",
            content=record.content,
            crashes=len(record.crashed),
            quarantined=quarantined,
            trials=record.trials,
            clearances=record.clearances,
            source=source,
        )
        self.on_changed(record, own)
        if quarantined:
            self.on_quarantined(record.content)

    def _encode(self, record):
        return RequestCrashes(
            content=record.content,
            clearances=record.clearances,
            crashed=[
                TargetLifetime(target=target, born_ms=born_ms)
                for target, born_ms in sorted(record.crashed)
            ],
            trials=record.trials,
            reservations=record.reservations,
            age_s=self._loop.time() - record.changed_s,
        )

    def _decode(self, crashes):
        now_s = self._loop.time()
        return CrashRecord(
            content=crashes.content,
            clearances=crashes.clearances,
            crashed=frozenset((c.target, c.born_ms) for c in crashes.crashed),
            trials=crashes.trials,
            reservations=crashes.reservations,
            changed_s=now_s - crashes.age_s,
            reserved_s=now_s if crashes.reservations else -math.inf,
        )
