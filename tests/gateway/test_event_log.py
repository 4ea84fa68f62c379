"""Test that the log is rate-limited, counts dropped lines and never blocks."""

import os

from sesamespring.gateway.event_log import LINES_BURST, EventLog
from tests.gateway.test_forwarding import run_scenario


class Clock:
    """A clock whose time is set by the test."""

    def __init__(self):
        self.now_s = 0.0

    def __call__(self):
        return self.now_s


def make_log():
    reading, writing = os.pipe()
    clock = Clock()
    return EventLog("vm-1", writing, clock), clock, reading, writing


def test_line_has_its_fields():
    log, _, reading, writing = make_log()
    log.event("store-lost", table="op", age_s=0.12345)
    line = os.read(reading, 1000).decode()
    assert "event=store-lost" in line
    assert "vm=vm-1" in line
    assert "age_s=0.1235" in line or "age_s=0.1234" in line
    os.close(reading)
    os.close(writing)


def test_burst_is_bounded_and_the_rest_is_counted():
    log, clock, reading, writing = make_log()
    for number in range(int(LINES_BURST) + 50):
        log.event("request", number=number)
        os.read(reading, 65536) if number < LINES_BURST else None
    assert log.dropped == 50
    clock.now_s = 2.0
    log.event("request", number=-1)
    assert "log-lines-dropped" in os.read(reading, 65536).decode()
    assert log.dropped == 0
    os.close(reading)
    os.close(writing)


def test_routine_lines_are_dropped_first():
    log, _, reading, writing = make_log()
    for _ in range(int(LINES_BURST)):
        log.routine("request")
    assert log.dropped > 0
    before = log.dropped
    log.event("request", status=503)
    assert log.dropped == before
    os.close(reading)
    os.close(writing)


def test_log_does_not_block_on_a_reader_that_does_not_read():
    log, clock, reading, writing = make_log()
    for number in range(4000):
        clock.now_s = number * 0.1
        log.event("request", padding="x" * 300)
    assert log.dropped > 0
    os.close(reading)
    os.close(writing)


def test_failed_attempts_at_the_same_content_have_the_same_id_in_the_log(capfd):
    async def scenario(cluster):
        for target in cluster.targets:
            target.choose_fault = lambda received: "reset"
        for request_id in ("r1", "r2"):
            await cluster.call(cluster.ips[0], request_id, path="/read/same")
        await cluster.call(cluster.ips[0], "r3", path="/read/other")

    run_scenario(scenario)
    lines = [
        line for line in capfd.readouterr().out.splitlines() if "attempt-failed" in line
    ]
    contents = {
        request_id: {
            word
            for line in lines
            if f"request={request_id} " in line
            for word in line.split()
            if word.startswith("content=")
        }
        for request_id in ("r1", "r2", "r3")
    }
    assert contents["r1"] == contents["r2"] != contents["r3"]
    assert len(contents["r1"]) == len(contents["r3"]) == 1
    assert all("caller=127." in line for line in lines)
