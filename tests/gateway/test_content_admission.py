"""Test whose requests the quarantine of a content binds."""

import types

import attrs

from sesamespring.gateway.callers.content_admission import ContentAdmission
from sesamespring.routing.messages import Outcome
from sesamespring.routing.quarantine import (
    CRASHES_MAX,
    FIRST_TRIAL_DELAY_S,
    RESERVATION_S,
    TRIAL_SPACING_S,
    Admission,
    Quarantine,
)

PAGE = "page"
# How often a request that has ended three targets may reach targets 3 s later or more.
LATE_ARRIVALS_MAX = 3
LATE_S = 3.0


@attrs.frozen
class Entry:
    key: tuple
    leaving: bool = False


class TimedQuarantine:
    """The Quarantine of one VM, at a time that the test sets."""

    def __init__(self):
        self.now_s = 0.0
        self._quarantine = Quarantine()

    @property
    def empty(self):
        return self._quarantine.empty

    def is_quarantined(self, content):
        return self._quarantine.is_quarantined(content)

    def retry_after_s(self, content):
        return self._quarantine.retry_after_s(content, self.now_s)

    def admit(self, content):
        if not self.is_quarantined(content):
            return Admission(True)
        record = self._quarantine.reserve_trial(content, self.now_s)
        if record is None:
            return Admission(False)
        until_s = self.now_s + RESERVATION_S
        return Admission(True, record.trials, until_s, record.clearances)

    def permits(self, content, admission):
        return self._quarantine.permits(content, admission, self.now_s)

    def record_trial(self, content, admission):
        self._quarantine.record_trial(content, admission, self.now_s)

    def record_crash(self, content, target):
        self._quarantine.record_crash(content, target, self.now_s)

    def record_completion(self, content):
        self._quarantine.record_completion(content, self.now_s)


class Service:
    """Targets that each end under requests of some callers, and are back at once."""

    def __init__(self, fatal_callers):
        self.quarantine = TimedQuarantine()
        self._fatal_callers = fatal_callers
        self._lifetime = 0
        self.context = types.SimpleNamespace(
            quarantine=self.quarantine,
            cluster_state=types.SimpleNamespace(target=lambda key: Entry(key)),
        )

    def send(self, caller):
        """Send a request of a caller; return whether it reaches a target."""
        report = types.SimpleNamespace(
            content_id=PAGE, callers_content_id=f"{PAGE}-{caller}", body_start=b""
        )
        admission = ContentAdmission(report, self.context)
        if not admission.admit() or not admission.is_permitted():
            return False
        admission.attempt_started()
        crashes = caller in self._fatal_callers
        outcome = Outcome.BROKEN if crashes else Outcome.ANSWERED
        admission.attempt_ended(Entry(("t", self._lifetime)), outcome, crashes)
        self._lifetime += crashes
        return True


def test_request_of_one_caller_that_ends_targets_is_kept_back_beside_others():
    service = Service({"fatal"})
    arrivals_s = []
    served = asked = 0
    for tick in range(600):
        service.quarantine.now_s = tick * 0.1
        if tick % 10 == 0 and service.send("fatal"):
            arrivals_s.append(service.quarantine.now_s)
        for caller in ("a", "b", "c"):
            asked += 1
            served += service.send(caller)
    third_s = arrivals_s[CRASHES_MAX - 1]
    late = [s for s in arrivals_s if s > third_s + LATE_S]
    assert len(late) <= LATE_ARRIVALS_MAX
    assert served >= 0.9 * asked


def test_path_that_ends_targets_whoever_asks_is_kept_back_from_all():
    callers = [f"c{number}" for number in range(50)]
    service = Service(set(callers))
    arrivals = 0
    for tick in range(100):
        service.quarantine.now_s = tick * 0.02
        arrivals += service.send(callers[tick % len(callers)])
    assert arrivals == CRASHES_MAX


def test_path_that_once_ran_well_and_ends_targets_now_is_kept_back_from_all():
    callers = [f"c{number}" for number in range(50)]
    service = Service(set())
    for caller in callers[:10]:
        assert service.send(caller)
    service._fatal_callers.update(callers)
    arrivals = 0
    for tick in range(100):
        service.quarantine.now_s = tick * 0.02
        arrivals += service.send(callers[tick % len(callers)])
    assert arrivals == CRASHES_MAX


def test_caller_who_was_caught_by_coincidence_is_served_again():
    service = Service({"a"})
    for _ in range(CRASHES_MAX):
        assert service.send("a")
    service._fatal_callers.clear()
    assert not service.send("a")
    service.quarantine.now_s = FIRST_TRIAL_DELAY_S + TRIAL_SPACING_S
    assert service.send("a")
    assert service.send("a")
    assert service.send("b")
