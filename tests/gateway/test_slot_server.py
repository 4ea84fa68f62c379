"""Test how slots granted to other VMs are freed, without sockets."""

import asyncio
import types

import pytest

from sesamespring.gateway.generated.ttypes import SlotEnded, SlotGranted, SlotWanted
from sesamespring.gateway.slots.runner import ServiceRunner
from sesamespring.gateway.slots.slot_messages import decode_ended, encode_ended
from sesamespring.gateway.slots.slot_server import SlotServer
from sesamespring.routing.messages import AttemptEnded, Outcome
from tests.routing.support import make_scheduler, make_target

CLIENT = ("ip-b", 1)
OTHER = ("ip-c", 1)


class Peers:
    """A fake of Peers that records the messages sent."""

    def __init__(self):
        self.sent = []
        self.handlers = {}

    def set_handler(self, message_type, handler):
        self.handlers[message_type] = handler

    def send(self, message, address):
        self.sent.append((message, address))

    def granted(self, address):
        return [m for m, a in self.sent if isinstance(m, SlotGranted) and a == address]


def run_scenario(scenario):
    """Run ``scenario(server, peers, runner)``; the service has one slot."""

    async def main():
        peers = Peers()
        now_s = asyncio.get_running_loop().time()
        runner = ServiceRunner(make_scheduler(make_target("t", slots=1), now_s=now_s))
        services = types.SimpleNamespace(runner=lambda service: runner)
        server = SlotServer(services, peers)
        server.register_handlers()
        await scenario(server, peers, runner)
        runner.close()

    asyncio.run(main())


def send_slot_wanted(peers, address, number=1):
    message = SlotWanted(
        request=number,
        service_name="s",
        route="r",
        goal_s=0.2,
        priority=1,
        due_in_s=0.2,
        deadline_in_s=9.0,
        idempotent=True,
        attempts_left=2,
        round=1,
        tried=[],
        data_centre="dc-a",
    )
    peers.handlers[SlotWanted](message, address)


def test_slots_of_a_silent_vm_are_freed():
    async def scenario(server, peers, runner):
        send_slot_wanted(peers, CLIENT)
        send_slot_wanted(peers, OTHER)
        assert len(peers.granted(CLIENT)) == 1
        assert peers.granted(OTHER) == []
        server.keep_only({OTHER})
        assert len(peers.granted(OTHER)) == 1

    run_scenario(scenario)


def test_repeated_end_of_an_attempt_frees_one_slot():
    async def scenario(server, peers, runner):
        send_slot_wanted(peers, CLIENT)
        send_slot_wanted(peers, OTHER, 1)
        send_slot_wanted(peers, OTHER, 2)
        (granted,) = peers.granted(CLIENT)
        ended = SlotEnded(
            request=1,
            attempt=granted.attempt,
            outcome=Outcome.ANSWERED.value,
            taken_s=0.1,
        )
        for _ in range(3):
            peers.handlers[SlotEnded](ended, CLIENT)
        assert len(peers.granted(OTHER)) == 1

    run_scenario(scenario)


def test_response_that_has_begun_keeps_its_slot_until_it_ends():
    async def scenario(server, peers, runner):
        send_slot_wanted(peers, CLIENT)
        send_slot_wanted(peers, OTHER)
        (granted,) = peers.granted(CLIENT)
        end = AttemptEnded(granted.attempt, Outcome.ANSWERED, 0.1, responding=True)
        for _ in range(2):
            peers.handlers[SlotEnded](encode_ended(1, granted.attempt, end), CLIENT)
        assert peers.granted(OTHER) == []
        end = AttemptEnded(granted.attempt, Outcome.CANCELLED, 0.1)
        peers.handlers[SlotEnded](encode_ended(1, granted.attempt, end), CLIENT)
        assert len(peers.granted(OTHER)) == 1

    run_scenario(scenario)


@pytest.mark.parametrize("blameless", [True, False])
def test_end_by_a_fault_of_the_vm_is_known_as_such(blameless):
    end = AttemptEnded(1, Outcome.CANCELLED, 0.5, blameless=blameless)
    assert decode_ended(encode_ended(7, 1, end)) == end
