"""Test what becomes of slots that are lent to other VMs, without sockets."""

import asyncio
import types

from sesamespring.gateway.generated.ttypes import SlotEnded, SlotGranted, SlotWanted
from sesamespring.gateway.runner import ServiceRunner
from sesamespring.gateway.slot_server import SlotServer
from sesamespring.routing.messages import Outcome
from tests.routing.support import make_scheduler, make_target

CLIENT = ("ip-b", 1)
OTHER = ("ip-c", 1)


class Peers:
    """Stand in for Peers."""

    def __init__(self):
        self.sent = []
        self.handlers = {}

    def set_handler(self, message_type, handler):
        self.handlers[message_type] = handler

    def send(self, message, address):
        self.sent.append((message, address))

    def granted(self, address):
        return [m for m, a in self.sent if isinstance(m, SlotGranted) and a == address]


def play(scenario):
    """Run ``scenario(server, peers, runner)``; the service has one slot."""

    async def whole():
        peers = Peers()
        now_s = asyncio.get_running_loop().time()
        runner = ServiceRunner(make_scheduler(make_target("t", slots=1), now_s=now_s))
        services = types.SimpleNamespace(runner=lambda service: runner)
        server = SlotServer(services, peers)
        server.register_handlers()
        await scenario(server, peers, runner)
        runner.close()

    asyncio.run(whole())


def want(peers, address, number=1):
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


def test_slot_of_a_vm_that_fell_silent_is_free_again():
    async def scenario(server, peers, runner):
        want(peers, CLIENT)
        want(peers, OTHER)
        assert len(peers.granted(CLIENT)) == 1
        assert peers.granted(OTHER) == []
        server.keep_only({OTHER})
        assert len(peers.granted(OTHER)) == 1

    play(scenario)


def test_end_that_is_said_twice_frees_one_slot():
    async def scenario(server, peers, runner):
        want(peers, CLIENT)
        want(peers, OTHER, 1)
        want(peers, OTHER, 2)
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

    play(scenario)
