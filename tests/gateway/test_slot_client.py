"""Test how slots are requested, granted and freed, without sockets."""

import asyncio
import time
import types

from sesamespring.gateway.generated.ttypes import (
    SlotEnded,
    SlotGranted,
    SlotQueued,
    SlotRefused,
    SlotWanted,
)
from sesamespring.gateway.slots.slot_client import (
    END_RESEND_DELAYS_S,
    RESPONSE_TIMEOUT_S,
    SENDS_MAX,
    SlotClient,
)
from sesamespring.routing.messages import (
    AttemptEnded,
    Dispatch,
    Outcome,
    RefusalReason,
    ScheduledRequest,
)

DECIDER = types.SimpleNamespace(name="decider", address=("ip", 1))
ENTRY = types.SimpleNamespace(id="t", born_ms=1, key=("t", 1))
SILENCE_S = RESPONSE_TIMEOUT_S * (SENDS_MAX + 1)


class Peers:
    """A fake of Peers with one other VM, the decider."""

    alive = {DECIDER.name: DECIDER}

    def __init__(self, incarnation=1):
        self.incarnation = incarnation
        self.sent = []
        self.handlers = {}

    def set_handler(self, message_type, handler):
        self.handlers[message_type] = handler

    def send(self, message, address):
        self.sent.append(message)

    def is_alive(self, name):
        return True

    def deliver(self, message):
        self.handlers[type(message)](message, DECIDER.address)


class Runner:
    """A fake of ServiceRunner that grants each slot at once if ``free``; no retry."""

    def __init__(self):
        self.ended = []
        self.withdrawn = []
        self.free = True
        self.scheduler = types.SimpleNamespace(may_retry=lambda request, now_s: False)

    def next_number(self):
        return 1

    def submit(self, request, on_command):
        if self.free:
            on_command(Dispatch(request, 1, ENTRY, False, 0.0, 0.1, 0.0))

    def finish_attempt(self, end):
        self.ended.append(end.attempt)

    def withdraw(self, request):
        self.withdrawn.append(request)


class Availability:
    """A fake of TargetAvailability: the targets in ``backing_off`` get no request."""

    def __init__(self):
        self.backing_off = set()

    def may_send(self, entry):
        return entry.key not in self.backing_off

    def backoff_keys(self, service):
        return self.backing_off

    def retry_after_s(self, keys):
        return 2.0


def run_scenario(scenario, incarnation=1, known=(ENTRY,), availability=None):
    """Run ``scenario(client, peers, runner)``; the client's decider is remote.

    Args:
        scenario: Coroutine function.
        incarnation: Incarnation of this VM.
        known: TargetEntries that this VM knows.
        availability: The Availability, or None if no target asked for a backoff.
    """

    async def main():
        peers, runner = Peers(incarnation), Runner()
        services = types.SimpleNamespace(
            runner=lambda service: runner,
            decider=lambda service: DECIDER.name,
            is_decider=lambda service: False,
        )
        entries = {entry.key: entry for entry in known}
        cluster_state = types.SimpleNamespace(target=entries.get)
        counters = types.SimpleNamespace(add=lambda name: None)
        log = types.SimpleNamespace(event=lambda event, **fields: None)
        client = SlotClient(
            services,
            peers,
            cluster_state,
            availability or Availability(),
            counters,
            log,
        )
        await scenario(client, peers, runner)

    asyncio.run(main())


def request():
    now_s = asyncio.get_running_loop().time()
    return ScheduledRequest(
        number=0,
        route="r",
        goal_s=0.2,
        priority=1,
        due_s=now_s + 0.2,
        deadline_s=now_s + 1.0,
        idempotent=True,
        attempts_left=3,
        data_centre="a",
    )


def grant(peers):
    wanted = [m for m in peers.sent if isinstance(m, SlotWanted)][-1]
    peers.deliver(
        SlotGranted(
            request=wanted.request,
            round=wanted.round,
            attempt=1,
            target="t",
            born_ms=1,
            hedge=False,
            expected_s=0.1,
        )
    )


async def granted_then_scheduled_locally(client, peers):
    """Return a SlotRequest and the Dispatches of one remote and one local attempt."""
    dispatched = []
    slot_request = client.submit("s", request(), dispatched.append)
    grant(peers)
    client.resubmit(slot_request)
    await asyncio.sleep(SILENCE_S)
    return slot_request, dispatched


def test_end_of_an_attempt_is_reported_to_a_silent_decider_that_granted_it():
    async def scenario(client, peers, runner):
        slot_request, dispatched = await granted_then_scheduled_locally(client, peers)
        granted, own = dispatched
        client.finish_attempt(
            slot_request, AttemptEnded(granted.attempt, Outcome.ANSWERED, 0.1)
        )
        (ended,) = [m for m in peers.sent if isinstance(m, SlotEnded)]
        assert ended.attempt == 1
        assert runner.ended == []
        client.finish_attempt(
            slot_request, AttemptEnded(own.attempt, Outcome.ANSWERED, 0.1)
        )
        assert runner.ended == [1]

    run_scenario(scenario)


def test_attempts_of_two_deciders_have_different_numbers():
    async def scenario(client, peers, runner):
        _, dispatched = await granted_then_scheduled_locally(client, peers)
        assert len({dispatch.attempt for dispatch in dispatched}) == 2

    run_scenario(scenario)


def test_end_of_an_attempt_is_sent_repeatedly_as_datagrams_may_get_lost():
    async def scenario(client, peers, runner):
        dispatched = []
        slot_request = client.submit("s", request(), dispatched.append)
        grant(peers)
        (granted,) = dispatched
        client.finish_attempt(
            slot_request, AttemptEnded(granted.attempt, Outcome.ANSWERED, 0.1)
        )
        client.withdraw(slot_request)
        await asyncio.sleep(sum(END_RESEND_DELAYS_S) + 0.05)
        ends = [m for m in peers.sent if isinstance(m, SlotEnded)]
        assert len(ends) == 1 + len(END_RESEND_DELAYS_S)
        assert {(end.request, end.attempt) for end in ends} == {
            (slot_request.number, 1)
        }

    run_scenario(scenario)


def test_restarted_process_uses_no_number_of_the_earlier_one():
    numbers = []

    async def scenario(client, peers, runner):
        for _ in range(3):
            numbers.append(client.submit("s", request(), lambda command: None).number)

    for incarnation in (1_771_091_893_025, 1_771_091_893_026):
        run_scenario(scenario, incarnation)
    assert len(set(numbers)) == 6


def test_vm_that_lacks_a_target_does_not_report_it_as_failed():
    async def scenario(client, peers, runner):
        client.submit("s", request(), lambda command: None)
        grant(peers)
        (ended,) = [m for m in peers.sent if isinstance(m, SlotEnded)]
        assert Outcome(ended.outcome) is Outcome.CANCELLED
        wanted = [m for m in peers.sent if isinstance(m, SlotWanted)][-1]
        assert (wanted.round, wanted.tried) == (2, ["t"])

    run_scenario(scenario, known=())


def test_decider_and_not_the_budget_of_this_vm_limits_retries():
    async def scenario(client, peers, runner):
        slot_request = client.submit("s", request(), lambda command: None)
        grant(peers)
        assert client.may_retry(slot_request)
        slot_request.request.attempts_left = 0
        assert not client.may_retry(slot_request)

    run_scenario(scenario)


def test_budget_of_this_vm_limits_retries_while_the_decider_is_silent():
    async def scenario(client, peers, runner):
        slot_request, _ = await granted_then_scheduled_locally(client, peers)
        assert not client.may_retry(slot_request)

    run_scenario(scenario)


def test_repeated_grant_does_not_free_the_slot_of_the_attempt_in_progress():
    async def scenario(client, peers, runner):
        dispatched = []
        client.submit("s", request(), dispatched.append)
        grant(peers)
        # The decider answers each SlotWanted, which was repeated meanwhile.
        grant(peers)
        assert len(dispatched) == 1
        assert not [m for m in peers.sent if isinstance(m, SlotEnded)]

    run_scenario(scenario)


def test_grant_in_flight_at_a_target_that_asked_for_a_backoff_is_given_back():
    availability = Availability()

    async def scenario(client, peers, runner):
        commands = []
        client.submit("s", request(), commands.append)
        wanted = peers.sent[-1]
        availability.backing_off.add(ENTRY.key)
        peers.deliver(SlotGranted(wanted.request, 1, 7, "t", 1, False, 0.1))
        ended = next(m for m in peers.sent if isinstance(m, SlotEnded))
        assert (ended.attempt, ended.outcome) == (7, Outcome.CANCELLED.value)
        assert commands == []
        again = peers.sent[-1]
        assert (again.round, again.tried, again.extra) == (2, ["t"], False)

    run_scenario(scenario, availability=availability)


def test_own_dispatch_to_a_target_that_asked_for_a_backoff_is_given_back():
    availability = Availability()
    availability.backing_off.add(ENTRY.key)

    async def scenario(client, peers, runner):
        commands = []
        client.submit("s", request(), commands.append)
        await asyncio.sleep(SILENCE_S + 0.05)
        assert runner.ended[:1] == [1]
        assert not [c for c in commands if isinstance(c, Dispatch)]

    run_scenario(scenario, availability=availability)


def test_refusal_as_all_targets_want_rest_says_when_the_first_has_had_it():
    async def scenario(client, peers, runner):
        commands = []
        client.submit("s", request(), commands.append)
        number = peers.sent[-1].request
        reason = RefusalReason.NO_UNTRIED_TARGET
        peers.deliver(SlotRefused(number, 1, reason.value, 0.05, 0, 0.0))
        assert commands[0].retry_after_s == 2.0

    run_scenario(scenario)


async def waiting_locally(client, peers, runner):
    """Return a SlotRequest that waits here for a slot, and the list of its commands."""
    runner.free = False
    commands = []
    slot_request = client.submit("s", request(), commands.append)
    await asyncio.sleep(SILENCE_S)
    assert len([m for m in peers.sent if isinstance(m, SlotWanted)]) == SENDS_MAX
    return slot_request, commands


def test_request_that_waits_here_goes_back_to_a_decider_that_answers_late():
    async def scenario(client, peers, runner):
        slot_request, commands = await waiting_locally(client, peers, runner)
        peers.deliver(SlotQueued(request=slot_request.number, round=1))
        assert runner.withdrawn == [slot_request.request]
        grant(peers)
        assert [command.entry for command in commands] == [ENTRY]
        # The decider is asked for the next slot at once, not after its backoff.
        client.resubmit(slot_request)
        wanted = [m for m in peers.sent if isinstance(m, SlotWanted)]
        assert wanted[-1].round == 2

    run_scenario(scenario)


def test_late_refusal_ends_a_request_that_waits_here():
    async def scenario(client, peers, runner):
        slot_request, commands = await waiting_locally(client, peers, runner)
        peers.deliver(
            SlotRefused(
                request=slot_request.number,
                round=1,
                reason=RefusalReason.TOO_LATE.value,
                retry_after_s=1.0,
                waiting=1,
                needed_s=2.0,
            )
        )
        assert [command.reason for command in commands] == [RefusalReason.TOO_LATE]
        assert runner.withdrawn == [slot_request.request]

    run_scenario(scenario)


def test_late_grant_is_given_back_if_the_request_was_sent_meanwhile():
    async def scenario(client, peers, runner):
        commands = []
        client.submit("s", request(), commands.append)
        await asyncio.sleep(SILENCE_S)
        grant(peers)
        assert len(commands) == 1
        (ended,) = [m for m in peers.sent if isinstance(m, SlotEnded)]
        assert ended.outcome == Outcome.CANCELLED.value

    run_scenario(scenario)


def test_pause_of_this_vm_does_not_count_as_silence_of_the_decider():
    async def scenario(client, peers, runner):
        commands = []
        slot_request = client.submit("s", request(), commands.append)
        for _ in range(SENDS_MAX):
            await asyncio.sleep(RESPONSE_TIMEOUT_S / 2)
            time.sleep(2 * RESPONSE_TIMEOUT_S)
            await asyncio.sleep(RESPONSE_TIMEOUT_S / 3)
        assert commands == []
        peers.deliver(SlotQueued(request=slot_request.number, round=1))
        grant(peers)
        assert [command.expected_s for command in commands] == [0.1]
        assert slot_request.granted

    run_scenario(scenario)
