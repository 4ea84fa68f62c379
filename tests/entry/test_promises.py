"""Test that not-run is promised only where it is known."""

import asyncio

import pytest

from sesamespring.decisions.messages import AttemptResult
from sesamespring.errors import ERROR_RESPONSES, ErrorKind
from tests.entry.support import WHOLE, answering, entry_with, request, run


def test_the_promise_not_run_is_withheld_after_an_attempt_that_may_have_run():
    async def cut(reader, writer):
        await reader.readuntil(b"\r\n\r\n")

    async def scenario():
        async with entry_with(cut) as entry:
            entry.runner.end_attempt = give_up_as_not_run(entry.runner)
            return await entry.send_raw(request())

    received = run(scenario())
    assert b"503" in received and b"Sesamespring-Outcome: unknown" in received


def test_no_promise_is_made_of_a_key_whose_row_was_not_read():
    class SilentTable:
        async def transact(self, conditions, writes):
            await asyncio.sleep(60)

    async def scenario():
        async with entry_with(
            answering(WHOLE), deadline_ms=100, table=SilentTable()
        ) as entry:
            keyed = request("POST", "Idempotency-Key: k\r\n", body=b"swap")
            return await entry.send_raw(keyed), entry.runner.arrived

    received, arrived = run(scenario())
    assert b"Sesamespring-Outcome: unknown" in received
    assert not arrived


@pytest.mark.parametrize(
    ("headers", "outcome"),
    [("Idempotency-Key: t0011.k\r\n", b"unknown"), ("", b"not-run")],
)
def test_a_vm_without_configuration_promises_nothing_of_a_key(headers, outcome):
    async def scenario():
        async with entry_with(answering(WHOLE)) as entry:
            entry.services.configured = False
            post = request("POST", headers, body=b"swap").replace(b"/s/", b"/new/")
            return await entry.send_raw(post)

    received = run(scenario())
    assert b"Sesamespring-Outcome: " + outcome in received
    assert b"Retry-After: " in received


def give_up_as_not_run(runner):
    """Return an end_attempt that gives up as a router might after a later refusal."""
    end_attempt = runner.end_attempt

    def end(attempt_id, result):
        assert result is AttemptResult.CUT_OFF
        end_attempt(attempt_id, AttemptResult.NOT_SENT)

    return end


def test_every_kind_of_promise_has_an_answer():
    assert set(ERROR_RESPONSES) == set(ErrorKind)
