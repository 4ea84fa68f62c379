"""Test that odd datagrams and internal requests are refused where they enter."""

import asyncio
import math
import socket

import pytest

from sesamespring.fields import MalformedField
from sesamespring.gateway.generated.ttypes import (
    CrashRecords,
    Heartbeat,
    KnownVms,
    RequestCrashes,
    SlotRefused,
    SlotWanted,
    StatesWanted,
)
from sesamespring.gateway.members.datagram_checks import check_message
from sesamespring.gateway.members.datagrams import _codec
from sesamespring.gateway.supervision import run_supervised
from tests.gateway.cluster import DIRECTORY_PORT, INTERNAL_PORT, READY_PORT
from tests.gateway.message_examples import example
from tests.gateway.test_forwarding import run_scenario

ODD_NUMBERS = (math.nan, math.inf, -math.inf, 1e300)


def send(cluster, message):
    """Send a datagram from the address of a VM to the first one."""
    data = _codec.encode(message)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.sendto(data, (cluster.ips[0], INTERNAL_PORT))


@pytest.mark.parametrize("value", ODD_NUMBERS)
@pytest.mark.parametrize("field", ["goal_s", "due_in_s", "deadline_in_s"])
def test_times_that_are_no_time_are_refused(field, value):
    message = example(SlotWanted)
    check_message(message)
    setattr(message, field, value)
    with pytest.raises(MalformedField, match=field):
        check_message(message)


def test_nested_values_are_checked():
    record = example(RequestCrashes)
    record.crashed[0].target = "line\nline"
    with pytest.raises(MalformedField, match="target"):
        check_message(CrashRecords(records=[example(RequestCrashes), record]))


def test_request_that_cannot_be_placed_may_be_refused_with_infinite_time():
    message = example(SlotRefused)
    message.needed_s = math.inf
    check_message(message)


def test_odd_datagrams_do_not_stall_timers_or_close_the_socket():
    async def scenario(cluster):
        for value in ODD_NUMBERS:
            wanted = example(SlotWanted)
            wanted.service_name, wanted.deadline_in_s = "reader", value
            send(cluster, wanted)
            heartbeat = example(Heartbeat)
            heartbeat.cores = value
            send(cluster, heartbeat)
        negative = example(Heartbeat)
        negative.sequence = negative.incarnation = -1
        send(cluster, negative)
        hosts = ["a\0b:1", "127.0.0.1:70000", "127.0.0.1:²", "name.example:1"]
        send(cluster, KnownVms(addresses=hosts))
        send(cluster, StatesWanted(keys=[-(2**63), 2**63 - 1]))
        await asyncio.sleep(1.0)
        (task,) = [cluster._tasks[ip] for ip in cluster.ips[:1]]
        assert not task.done()
        # It still hears the other VM and is heard by it: both serve.
        await cluster.kill_vm(cluster.ips[1])
        cluster.start_vm(cluster.ips[1])
        await cluster.until_ready(cluster.ips[1])
        for number, ip in enumerate(cluster.ips * 3):
            assert (await cluster.call(ip, f"r{number}")).status == 200

    run_scenario(scenario, vms=2)


@pytest.mark.parametrize("port", [DIRECTORY_PORT, READY_PORT, INTERNAL_PORT])
@pytest.mark.parametrize(
    "target",
    [
        "//[",
        "http://[x/-/ready",
        "/-/rows-feed?table=servers&after=1&waitMs=" + "9" * 400,
        "/-/rows-feed?table=servers&after=" + "9" * 5000,
        "/reachability/t0/%C2%B2",
        "/-/resolve?name=%ff%ed%a0%bd&zone=" + "%5b" * 9,
    ],
)
def test_odd_targets_of_internal_requests_are_answered(port, target):
    async def scenario(cluster):
        response = await cluster.request((cluster.ips[0], port), target)
        assert response.status in (200, 400, 404, 503)

    run_scenario(scenario)


def test_odd_relay_headers_are_answered():
    async def scenario(cluster):
        headers = {"relay-target": "t0 \u00b2", "relay-idempotent": "\u00b2"}
        address = (cluster.ips[0], INTERNAL_PORT)
        response = await cluster.request(address, "/read/1", headers=headers)
        assert response.status in (400, 404)

    run_scenario(scenario)


def test_failed_task_is_logged_and_runs_again():
    class Log:
        def __init__(self):
            self.events = []

        def event(self, event, **fields):
            self.events.append((event, fields["task"], fields["error"]))

    async def run():
        calls.append(1)
        if len(calls) == 1:
            raise OverflowError("odd")

    calls, log = [], Log()
    asyncio.run(run_supervised("task", run, log))
    assert len(calls) == 2
    assert log.events == [("task-failed", "task", "OverflowError('odd')")]
