"""Test that the outcome not-run is reported only if it is certain."""

import asyncio

import pytest

from sesamespring.decisions.messages import AttemptResult
from sesamespring.errors import ERROR_RESPONSES, ErrorKind
from tests.entry.support import WHOLE, answering, entry_with, request, run


def test_outcome_is_unknown_after_an_attempt_that_may_have_run():
    async def cut(reader, writer):
        await reader.readuntil(b"\r\n\r\n")

    async def scenario():
        async with entry_with(cut) as entry:
            entry.runner.finish_attempt = finish_as_not_sent(entry.runner)
            return await entry.send_raw(request())

    received = run(scenario())
    assert b"503" in received and b"Sesamespring-Outcome: unknown" in received


def test_outcome_is_unknown_for_a_key_whose_row_was_not_read():
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
def test_outcome_for_a_key_is_unknown_at_a_vm_without_configuration(headers, outcome):
    async def scenario():
        async with entry_with(answering(WHOLE)) as entry:
            entry.services.configured = False
            post = request("POST", headers, body=b"swap").replace(b"/s/", b"/new/")
            return await entry.send_raw(post)

    received = run(scenario())
    assert b"Sesamespring-Outcome: " + outcome in received
    assert b"Retry-After: " in received


def finish_as_not_sent(runner):
    """Return a finish_attempt that reports a cut-off attempt as not sent.

    The runner then fails the request as not run, as a router may after a later refusal.
    """
    finish_attempt = runner.finish_attempt

    def end(attempt_id, result):
        assert result is AttemptResult.CUT_OFF
        finish_attempt(attempt_id, AttemptResult.NOT_SENT)

    return end


def test_every_error_kind_has_a_response():
    assert set(ERROR_RESPONSES) == set(ErrorKind)
