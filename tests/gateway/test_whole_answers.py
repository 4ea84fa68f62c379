"""Test answers of targets that only look whole, on each way that a request takes."""

import asyncio

import pytest

from tests.gateway.cluster import CALLERS_PORT, HOST, read_response, request_bytes
from tests.gateway.test_forwarding import is_complete_success, run_scenario
from tests.gateway.test_relay import OPTIONS, cut_and_settle

# Bodies that are kept for a second attempt, and that are streamed.
BODY_SIZES = (300_000, 3_000_000)
# Parts of a response that are buffered, and that are streamed.
PART_SIZES = (10, 40_000, 600_000)
RESET_DELAYS_S = (0.0, 0.05)
# A body of this size is streamed; its caller pauses in the middle of a larger one.
STREAMED_BYTES = 600_000
SLOW_CALLER_S = 0.3
# None of these is a status of HTTP, which are three digits from 100 to 599.
ODD_STATUSES = ("000", "099", "0", "1000", "-01", "+200", "600", "999", "2OO")


async def use_all_connections(cluster, ip):
    """Leave a kept connection to each target."""
    for number in range(12):
        assert (await cluster.call(ip, f"kept{number}")).status == 200


async def new_connections(cluster):
    return cluster.ips[0]


async def kept_connections(cluster):
    await use_all_connections(cluster, cluster.ips[0])
    return cluster.ips[0]


async def another_vm(cluster):
    return await cut_and_settle(cluster)


WAYS = (new_connections, kept_connections, another_vm)


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("body_size", BODY_SIZES)
def test_part_of_an_early_response_that_is_reset_is_no_response(way, body_size):
    async def scenario(cluster):
        ip = await way(cluster)
        number = 0
        for part_size in PART_SIZES:
            for delay_s in RESET_DELAYS_S:
                for target in cluster.targets:
                    target.choose_fault = lambda received: (
                        "early-reset" if received.method == "POST" else None
                    )
                    target.padding = b"x" * part_size
                    target.reset_delay_s = delay_s
                number += 1
                response = await cluster.call(
                    ip,
                    f"upload{number}",
                    path="/write/1",
                    method="POST",
                    body=b"b" * body_size,
                )
                assert not is_complete_success(response)
                assert cluster.runs.count(f"upload{number}") == 1

    run_scenario(scenario, **OPTIONS)


@pytest.mark.parametrize("way", WAYS)
def test_part_of_an_early_response_before_the_end_of_the_upload_is_no_response(way):
    async def scenario(cluster):
        ip = await way(cluster)
        for target in cluster.targets:
            target.choose_fault = lambda received: "early-close"
        reader, writer = await asyncio.open_connection(ip, CALLERS_PORT)
        headers = {
            "Host": HOST,
            "Sesamespring-Request-Id": "upload",
            "Sesamespring-Deadline-Ms": "1500",
            "Content-Length": str(2 * STREAMED_BYTES),
        }
        writer.write(request_bytes("/write/1", "POST", headers))
        writer.write(b"b" * STREAMED_BYTES)
        await asyncio.sleep(SLOW_CALLER_S)
        writer.write(b"b" * STREAMED_BYTES)
        response = await read_response(reader)
        writer.transport.abort()
        assert not is_complete_success(response)
        assert cluster.runs.count("upload") == 1

    run_scenario(scenario, **OPTIONS)


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("path", ["/read/1", "/write/1"])
def test_response_without_a_status_of_http_is_no_response(way, path):
    async def scenario(cluster):
        ip = await way(cluster)
        for status in ODD_STATUSES:
            for target in cluster.targets:
                target.choose_fault = lambda received, status=status: f"status-{status}"
            response = await cluster.call(ip, f"r{status}", path=path)
            assert response.status in (502, 504)
            assert "sesamespring-server-stamp" not in response.headers

    run_scenario(scenario, **OPTIONS)


@pytest.mark.parametrize("status", ODD_STATUSES)
def test_read_whose_hedge_gets_no_status_of_http_gets_the_other_response(status):
    async def scenario(cluster):
        await use_all_connections(cluster, cluster.ips[0])
        slow, fast = cluster.targets
        slow.service_time_s = 0.4
        fast.choose_fault = lambda received: f"status-{status}"
        response = await cluster.call(cluster.ips[0], "r1", timeout_ms=2000)
        assert (response.status, response.body) == (200, b"answer to r1")

    run_scenario(scenario, targets=2)
