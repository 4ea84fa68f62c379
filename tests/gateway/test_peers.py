"""Test what VMs of a large fleet tell each other of third ones."""

import asyncio
import copy
import types

import attrs

from sesamespring.gateway.callers.request_quarantine import RequestQuarantine
from sesamespring.gateway.counters import Counters
from sesamespring.gateway.generated.ttypes import (
    Heartbeat,
    KnownVms,
    MemberState,
    MemberStates,
    StatesWanted,
)
from sesamespring.gateway.members.peers import Peers
from sesamespring.gateway.targets.target_limits import TargetLimits

VMS = 60
FAR_VMS = 30
OWN_STATE = {
    "ready": True,
    "leaving": False,
    "store_reached": True,
    "operator_version": 1,
    "targets_version": 1,
    "operator_era": 1,
    "targets_era": 1,
    "unreachable_services": (),
    "reaches_no_target": False,
}


@attrs.define
class Socket:
    """A fake of the DatagramSocket that keeps what is sent."""

    sent: list = attrs.field(factory=list)

    def send(self, message, *addresses):
        self.sent += [(copy.copy(message), address) for address in addresses]

    def sent_of(self, message_type):
        return [m for m, _ in self.sent if isinstance(m, message_type)]


def make_peers(name):
    """Return the Peers of one VM, and its Socket."""
    counters = Counters()
    log = types.SimpleNamespace(
        event=lambda *args, **fields: None, routine=lambda *args, **fields: None
    )
    settings = types.SimpleNamespace(
        process_name=name,
        seed_addresses=set(),
        internal_address=address_of(name),
        callers_port=80,
        data_centre="dc",
        cores=1.0,
        link_mbps=100.0,
    )
    availability = types.SimpleNamespace(
        for_heartbeat=list, record_heartbeat=lambda lifetimes, peer: None
    )
    peers = Peers(
        settings,
        lambda: OWN_STATE,
        TargetLimits(counters, log),
        availability,
        RequestQuarantine(counters, log),
        log,
        lambda: None,
    )
    socket = Socket()
    peers.set_socket(socket)
    return peers, socket


def address_of(name):
    return ("10.0.0." + name.removeprefix("vm-"), 7000)


def heartbeat_of(name, sequence=1, **changes):
    fields = {
        "vm": name,
        "data_centre": "dc",
        "incarnation": 1,
        "sequence": sequence,
        "cores": 1.0,
        "callers_port": 80,
        "vms_known": VMS,
        **OWN_STATE,
        **changes,
    }
    return Heartbeat(**fields)


def fill(peers, numbers):
    for number in numbers:
        name = f"vm-{number}"
        peers.handle_message(heartbeat_of(name), address_of(name))


def exchange(peers, sockets, sender):
    """Deliver what a VM's socket holds to the VMs that are simulated."""
    while sockets[sender].sent:
        message, address = sockets[sender].sent.pop(0)
        name = "vm-" + address[0].rpartition(".")[2]
        if name in peers:
            peers[name].handle_message(message, address_of(sender))


def run(scenario):
    async def main():
        made = {name: make_peers(name) for name in ("vm-0", "vm-1")}
        peers = {name: pair[0] for name, pair in made.items()}
        sockets = {name: pair[1] for name, pair in made.items()}
        scenario(peers, sockets)

    asyncio.run(main())


def gossip(peers, sockets):
    """Let vm-0 send heartbeats until one has reached vm-1."""
    for _ in range(200):
        peers["vm-0"].send_heartbeats()
        sent = sockets["vm-0"].sent
        if any(address == address_of("vm-1") for _, address in sent):
            return
        sent.clear()
    raise AssertionError("no heartbeat to vm-1")


def test_vm_asks_for_the_states_of_vms_that_it_has_not_heard_of():
    def scenario(peers, sockets):
        fill(peers["vm-0"], range(2, VMS))
        fill(peers["vm-1"], [0, *range(2, VMS - 3)])
        peers["vm-1"].broadcast_heartbeat()
        exchange(peers, sockets, "vm-1")
        sockets["vm-0"].sent.clear()
        gossip(peers, sockets)
        exchange(peers, sockets, "vm-0")
        (wanted,) = sockets["vm-1"].sent_of(StatesWanted)
        assert len(wanted.keys) == 3
        exchange(peers, sockets, "vm-1")
        exchange(peers, sockets, "vm-0")
        assert peers["vm-1"].is_alive(f"vm-{VMS - 1}")
        known = peers["vm-1"].alive[f"vm-{VMS - 1}"]
        assert known.address == address_of(f"vm-{VMS - 1}")

    run(scenario)


def test_introduction_does_not_name_vms_to_one_that_knows_most_of_them():
    def scenario(peers, sockets):
        fill(peers["vm-0"], range(1, VMS))
        assert len(sockets["vm-0"].sent_of(KnownVms)) < VMS
        sockets["vm-0"].sent.clear()
        newcomers = ((90, VMS), (91, 3))
        for number, known in newcomers:
            name = f"vm-{number}"
            heartbeat = heartbeat_of(name, vms_known=known)
            peers["vm-0"].handle_message(heartbeat, address_of(name))
        introduced = {address for _, address in sockets["vm-0"].sent}
        assert introduced == {address_of("vm-90"), address_of("vm-91")}
        assert len(sockets["vm-0"].sent_of(KnownVms)) == 1

    run(scenario)


def test_states_of_this_vm_and_of_malformed_addresses_bind_nothing():
    def scenario(peers, sockets):
        own = heartbeat_of("vm-0", sequence=99, leaving=True)
        other = heartbeat_of("vm-5")
        states = [
            MemberState(heartbeat=own, address="10.0.0.0:7000"),
            MemberState(heartbeat=other, address="nowhere"),
            MemberState(
                heartbeat=heartbeat_of("vm-6", cores=-1.0), address="10.0.0.6:7"
            ),
        ]
        peers["vm-0"].handle_message(MemberStates(states=states), address_of("vm-1"))
        assert peers["vm-0"].alive == {}
        assert not peers["vm-0"].own.leaving

    run(scenario)


def test_keys_that_nobody_knows_are_not_answered():
    def scenario(peers, sockets):
        wanted = StatesWanted(keys=list(range(1000)))
        peers["vm-0"].handle_message(wanted, address_of("vm-1"))
        assert sockets["vm-0"].sent == []

    run(scenario)


def test_build_without_gossip_gets_the_heartbeats_that_it_expects():
    def scenario(peers, sockets):
        fill(peers["vm-0"], range(1, VMS - 1))
        earlier = heartbeat_of("vm-99", vms_known=None)
        peers["vm-0"].handle_message(earlier, address_of("vm-99"))
        sockets["vm-0"].sent.clear()
        for _ in range(4):
            peers["vm-0"].send_heartbeats()
        sent = [a for _, a in sockets["vm-0"].sent if a == address_of("vm-99")]
        assert len(sent) >= 4

    run(scenario)


def test_news_cross_to_another_data_centre_a_few_times():
    def scenario(peers, sockets):
        for number in range(1, VMS):
            place = "far" if number <= FAR_VMS else "dc"
            name = f"vm-{number}"
            heartbeat = heartbeat_of(name, data_centre=place, passes_on=True)
            peers["vm-0"].handle_message(heartbeat, address_of(name))
        sockets["vm-0"].sent.clear()
        peers["vm-0"].broadcast_heartbeat()
        sent = sockets["vm-0"].sent
        passing = [address for message, address in sent if message.pass_on]
        assert len(passing) == 2
        assert set(passing) <= {address_of(f"vm-{n}") for n in range(1, FAR_VMS + 1)}
        assert len(sent) == len(passing) + VMS - 1 - FAR_VMS

    run(scenario)


def test_news_are_passed_on_to_all_builds_of_the_data_centre_that_know_them_for_such():
    def scenario(peers, sockets):
        for number in range(2, VMS):
            name = f"vm-{number}"
            heartbeat = heartbeat_of(name, passes_on=number % 2 == 0)
            peers["vm-1"].handle_message(heartbeat, address_of(name))
        sockets["vm-1"].sent.clear()
        news = heartbeat_of("vm-0", 5, leaving=True, data_centre="far", pass_on=True)
        peers["vm-1"].handle_message(news, address_of("vm-0"))
        passed = [pair for pair in sockets["vm-1"].sent if pair[0].origin is not None]
        assert {address for _, address in passed} == {
            address_of(f"vm-{number}") for number in range(2, VMS, 2)
        }
        receiver, socket = make_peers("vm-2")
        message = passed[0][0]
        receiver.handle_message(message, address_of("vm-1"))
        assert receiver.alive["vm-0"].leaving
        assert receiver.alive["vm-0"].address == address_of("vm-0")
        assert not [m for m, _ in socket.sent if getattr(m, "origin", None)]

    run(scenario)
