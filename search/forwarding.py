"""What callers are promised of requests that are forwarded to targets."""

import asyncio
import collections

import attrs
from hypothesis import strategies as st

from search import clock
from search.link import Link, LinkShape
from search.messages import delays_s, links
from search.responses import read_responses
from search.simulated_target import (
    Answer,
    SimulatedTarget,
    answers,
    answers_with_long_failures,
)
from search.surroundings import ATTEMPTS_MAX, SAFE, UNSAFE, make_context
from sesamespring.gateway.callers.caller_connections import CallerConnections
from sesamespring.gateway.callers.forwarding import RequestForwarder
from sesamespring.http.pipeline import CallerConnection
from sesamespring.routing.caller_memory import KEPT_BODY_BYTES_MAX

__all__ = [
    "ForwardingInput",
    "check_forwarding",
    "forwarding",
    "forwarding_of_long_failures",
]

TIMEOUT_S = 2.0
# By this time after its timeout, each request has its answer or a closed connection.
LATE_S = 0.5
POLL_S = 0.02
# After this a connection that its caller has left holds nothing.
GONE_S = 30.0
TARGETS = 2
# Statuses that promise that the request has not run, and never will.
NOT_RUN_STATUSES = (408, 421, 429, 503)
GOOD = Answer(200, False, 20, "length", False, False, 0.0)


@attrs.frozen
class Request:
    """A request of a caller, and what targets do with it.

    Attributes:
        is_safe: Whether it may run more than once.
        size: Bytes of its body.
        answers: List of Answer, one for each attempt; further ones are good.
    """

    is_safe: bool
    size: int
    answers: list

    def message(self, request_id):
        """Return the request as it is sent."""
        prefix = (SAFE if self.is_safe else UNSAFE).prefix.encode()
        head = (
            b"POST %b1 HTTP/1.1\r\nHost: h\r\nSesamespring-Request-Id: %b\r\n"
            b"Sesamespring-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n"
        )
        body = b"b" * self.size
        return head % (prefix, request_id, TIMEOUT_S * 1000, self.size) + body


@attrs.frozen
class ForwardingInput:
    """Requests of one caller on one connection, each sent behind the last answer.

    Attributes:
        requests: List of Request.
        hedges: Whether a slow attempt at a safe request gets another one beside it.
        reads_after_s: Time before the caller reads each answer.
        link: The LinkShape of all connections.
    """

    requests: list
    hedges: bool
    reads_after_s: float
    link: LinkShape


_sizes = st.sampled_from([0, 0, 10, KEPT_BODY_BYTES_MAX, KEPT_BODY_BYTES_MAX + 100_000])


def _inputs(answers):
    request = st.builds(
        Request, st.booleans(), _sizes, st.lists(answers, max_size=ATTEMPTS_MAX)
    )
    return st.builds(
        ForwardingInput,
        requests=st.lists(request, min_size=1, max_size=3),
        hedges=st.booleans(),
        reads_after_s=delays_s,
        link=links,
    )


forwarding = _inputs(answers)
forwarding_of_long_failures = _inputs(answers_with_long_failures)


def check_forwarding(drawn):
    """Play a ForwardingInput; raise AssertionError for each promise that is broken."""
    clock.run(_play(drawn))


async def _play(drawn):
    loop = asyncio.get_running_loop()
    attempts = collections.Counter()

    def choose(request_id):
        planned = drawn.requests[int(request_id)].answers
        number = attempts[request_id]
        attempts[request_id] += 1
        return planned[number] if number < len(planned) else GOOD

    targets = [SimulatedTarget(drawn.link, choose) for _ in range(TARGETS)]
    addresses = [(f"192.0.2.{number}", 80) for number in range(1, TARGETS + 1)]
    for address, target in zip(addresses, targets, strict=True):
        loop.accepts[address] = target.accept
    context = make_context(addresses, drawn.hedges)
    errors = []

    async def handle(incoming):
        await RequestForwarder(incoming, context).run()

    connections = CallerConnections(
        handle, 8, on_error=lambda _, error: errors.append(error)
    )
    statuses = []
    for number, request in enumerate(drawn.requests):
        peer = Link(CallerConnection(connections), drawn.link).peer
        statuses.append(await _call(peer, number, request, drawn.reads_after_s))
        peer.close()
        for error in errors:
            raise error
    await asyncio.sleep(GONE_S)
    for number, request in enumerate(drawn.requests):
        runs = sum(target.runs.count(b"%d" % number) for target in targets)
        _check_runs(request, statuses[number], runs)
    assert connections.in_progress == 0, "a request is still handled"
    assert connections.memory.used_bytes == 0, "memory is still counted"


async def _call(peer, number, request, reads_after_s):
    """Make a request, check its response, and return the status or None."""
    loop = asyncio.get_running_loop()
    request_id = b"%d" % number
    last_s = loop.time() + TIMEOUT_S + LATE_S
    peer.pause(True)
    peer.send(request.message(request_id))
    await asyncio.sleep(reads_after_s)
    peer.pause(False)
    while loop.time() < last_s:
        complete = read_responses(bytes(peer.received), [b"POST"], peer.at_end)
        if complete or peer.at_end:
            break
        await asyncio.sleep(POLL_S)
    assert complete or peer.at_end, f"request {number} has no final answer"
    status, content = complete[0] if complete else (None, b"")
    if status == 200:
        whole = [a.content(request_id) for a in (*request.answers, GOOD) if a.is_whole]
        assert content in whole, f"request {number} got another response, or a part"
    elif (request.answers or [GOOD])[0].is_good:
        raise AssertionError(f"request {number}, run well at once, got {status}")
    return status


def _check_runs(request, status, runs):
    """Check how often a request has run against what its caller was told."""
    if status == 200:
        assert runs, "answered and not run"
    if not request.is_safe:
        assert runs <= 1, f"ran {runs} times"
        refused = status in NOT_RUN_STATUSES
        assert not (refused and runs), f"answered {status}, which denies that it ran"
