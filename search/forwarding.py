"""What callers are promised of requests that are forwarded to targets."""

import asyncio
import collections

import attrs
from hypothesis import strategies as st

from search import clock
from search.link import Link, LinkShape
from search.messages import delays_s, links
from search.relay import RelayVm
from search.responses import read_responses
from search.simulated_target import (
    Answer,
    SimulatedTarget,
    answers,
    answers_with_long_failures,
)
from search.stopping import stop
from search.surroundings import (
    ATTEMPTS_MAX,
    SAFE,
    UNSAFE,
    make_context,
    make_member,
)
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

TIMEOUT_S = 4.0
# By this time after its timeout, each request has its answer or a closed connection.
LATE_S = 0.5
POLL_S = 0.02
# More than the time between the pieces of what a caller sends.
PIECES_S_MAX = 1.0
# After this a connection that its caller has left holds nothing.
GONE_S = 30.0
RELAY_ADDRESS = ("192.0.2.100", 80)
# Statuses that promise that the request has not run, and never will.
NOT_RUN_STATUSES = (408, 421, 429, 503)
GOOD = Answer(200, False, 20, "length", 0, False, 0.0)


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
    """Requests of one caller.

    Attributes:
        requests: List of Request.
        manner: "apart", each on a connection of its own; "kept", each behind the answer
            to the last one; or "ahead", all sent at once on one connection.
        pieces: Pairs of the size of a piece that is sent and the time after it, for the
            first bytes on a connection.
        leaves_s: Time after which the caller leaves each connection, or None.
        stop_s: Time after which the process begins to stop, or None.
        hedges: Whether a slow attempt at a safe request gets another one beside it.
        is_relayed: Whether the VM reaches no target, and another VM reaches all.
        reads_after_s: Time before the caller reads what comes on a connection.
        link: The LinkShape of all connections.
    """

    requests: list
    manner: str
    pieces: list
    leaves_s: float | None
    stop_s: float | None
    hedges: bool
    is_relayed: bool
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
        manner=st.sampled_from(["apart", "kept", "ahead"]),
        pieces=st.lists(st.tuples(st.integers(1, 600_000), delays_s), max_size=3),
        leaves_s=st.sampled_from([None, None, None, 0.0, 0.0025, 0.15]),
        stop_s=st.sampled_from([None, None, None, 0.0, 0.0025, 0.15, 1.9]),
        hedges=st.booleans(),
        is_relayed=st.booleans(),
        reads_after_s=delays_s,
        link=links,
    )


forwarding = _inputs(answers)
forwarding_of_long_failures = _inputs(answers_with_long_failures)


def check_forwarding(drawn):
    """Play a ForwardingInput; raise AssertionError for each promise that is broken."""

    async def play():
        await _Play(drawn).run()

    clock.run(play())


class _Play:
    """The play of one ForwardingInput."""

    def __init__(self, drawn):
        self._drawn = drawn
        self._loop = asyncio.get_running_loop()
        self._attempts = collections.Counter()
        # Status of the response to each request that had one, by its number.
        self._statuses = {}
        self._last_s = self._loop.time() + TIMEOUT_S
        self._errors = []
        self._context = None
        self._connections = CallerConnections(
            self._handle, 8, on_error=self._record_error
        )

    async def run(self):
        """Play, and check the promises."""
        targets = [SimulatedTarget(self._drawn.link, self._choose) for _ in range(2)]
        for number, target in enumerate(targets):
            self._loop.accepts[(f"192.0.2.{number}", 80)] = target.accept
        self._context = self._make_context(list(self._loop.accepts))
        numbers = range(len(self._drawn.requests))
        groups = [numbers] if self._drawn.manner != "apart" else [[n] for n in numbers]
        stopping = self._loop.create_task(self._stop())
        for group in groups:
            if not self._connections.stopping:
                await self._call(list(group))
        await stopping
        for error in self._errors:
            raise error
        await asyncio.sleep(GONE_S)
        for number in numbers:
            runs = sum(target.runs.count(b"%d" % number) for target in targets)
            self._check_runs(number, runs)
        assert self._connections.in_progress == 0, "a request is still handled"
        assert self._connections.memory.used_bytes == 0, "memory is still counted"

    def _make_context(self, addresses):
        """Return the GatewayContext of the VM, and start another one if it needs it."""
        hedges = self._drawn.hedges
        if not self._drawn.is_relayed:
            return make_context(addresses, hedges)
        relay = RelayVm(addresses, self._drawn.link, self._record_error)
        self._loop.accepts[RELAY_ADDRESS] = relay.accept
        unreachable = [(f"198.51.100.{number}", 80) for number in range(len(addresses))]
        return make_context(unreachable, hedges, [make_member(RELAY_ADDRESS)])

    async def _stop(self):
        if self._drawn.stop_s is not None:
            await asyncio.sleep(self._drawn.stop_s)
            await stop(self._connections, self._context.forwarders)

    def _record_error(self, request, error):
        self._errors.append(error)

    async def _handle(self, incoming):
        await RequestForwarder(incoming, self._context).run()

    def _choose(self, request_id):
        """Return the Answer to the next attempt at a request."""
        planned = self._drawn.requests[int(request_id)].answers
        number = self._attempts[request_id]
        self._attempts[request_id] += 1
        return planned[number] if number < len(planned) else GOOD

    async def _call(self, numbers):
        """Make requests on one connection, and check their responses."""
        peer = Link(CallerConnection(self._connections), self._drawn.link).peer
        tasks = [
            self._loop.create_task(self._send(peer, numbers)),
            self._loop.create_task(self._read_and_leave(peer)),
        ]
        complete = []
        while len(complete) < len(numbers) and not peer.at_end:
            await asyncio.sleep(POLL_S)
            complete = self._complete(peer, numbers)
            is_late = self._loop.time() > self._last_s + LATE_S
            assert not is_late, f"request {numbers[len(complete)]} has no final answer"
            if tasks[1].done() and self._drawn.leaves_s is not None:
                break
        complete = self._complete(peer, numbers)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        clock.raise_errors(tasks)
        peer.close()
        for number, (status, content) in zip(numbers, complete, strict=False):
            self._statuses[number] = status
            self._check_response(number, status, content)

    def _complete(self, peer, numbers):
        """Return the complete responses that have come."""
        return read_responses(
            bytes(peer.received), [b"POST"] * len(numbers), peer.at_end
        )

    async def _send(self, peer, numbers):
        """Send requests ahead, or each when the last one is answered."""
        is_ahead = self._drawn.manner == "ahead"
        messages = [self._drawn.requests[n].message(b"%d" % n) for n in numbers]
        pieces = iter(self._drawn.pieces)
        for number, message in enumerate(
            [b"".join(messages)] if is_ahead else messages
        ):
            while len(self._complete(peer, numbers[:number])) < number:
                await asyncio.sleep(POLL_S)
            # Later than the time limit of any of these: it counts from their heads.
            self._last_s = self._loop.time() + TIMEOUT_S + PIECES_S_MAX
            for size, wait_s in pieces:
                peer.send(message[:size])
                message = message[size:]
                await asyncio.sleep(wait_s)
            peer.send(message)

    async def _read_and_leave(self, peer):
        peer.pause(True)
        await asyncio.sleep(self._drawn.reads_after_s)
        peer.pause(False)
        if self._drawn.leaves_s is not None:
            await asyncio.sleep(self._drawn.leaves_s)
            peer.close()

    def _check_response(self, number, status, content):
        request = self._drawn.requests[number]
        planned = (*request.answers, GOOD)
        if status == 200:
            whole = [a.content(b"%d" % number) for a in planned if a.is_whole]
            assert content in whole, f"request {number} got another response, or a part"
        else:
            is_good = planned[0].is_good
            assert not is_good, f"request {number}, run well at once, got {status}"

    def _check_runs(self, number, runs):
        """Check how often a request has run against what its caller was told."""
        status = self._statuses.get(number)
        if status == 200:
            assert runs, f"request {number} was answered and not run"
        elif status is None and self._drawn.leaves_s is None:
            assert not self._must_be_answered(number, runs), f"{number} was cut off"
        if not self._drawn.requests[number].is_safe:
            assert runs <= 1, f"request {number} ran {runs} times"
            is_denied = status in NOT_RUN_STATUSES and runs
            assert not is_denied, f"{status} denies that request {number} has run"

    def _must_be_answered(self, number, runs):
        """Return whether a request that has run must have a complete response.

        It must unless targets may not have answered it whole, or one before it on its
        connection, as a broken response ends the connection.
        """
        first = number if self._drawn.manner == "apart" else 0
        requests = self._drawn.requests[first : number + 1]
        answers = [answer for request in requests for answer in request.answers]
        return runs > 0 and all(answer.is_good for answer in answers)
