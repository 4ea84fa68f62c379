"""Run the request path of an entry VM in this process, with scripted targets."""

import asyncio
import contextlib
import time

import attrs

from sesamespring.decisions.messages import AttemptResult, FailRequest, SendAttempt
from sesamespring.entry.connection_pool import TargetConnectionPool
from sesamespring.entry.dispatcher import RequestDispatcher
from sesamespring.entry.idempotency import KeyAdmission
from sesamespring.entry.metrics import Metrics
from sesamespring.entry.recording import CallRecorder
from sesamespring.errors import ErrorKind
from sesamespring.http import ServerConnections, listen
from sesamespring.resources import Service, Target
from tests.loopback import loopback_ip

HOST = loopback_ip(0, 1)
INCARNATION = "00112233aabbccdd"
WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"


class ScriptedRunner:
    """Fake ServiceRunner that starts one attempt at each target and does not retry."""

    def __init__(self, targets, deadline_ms):
        self.service = Service("s", 1, deadline_ms, 10, "interactive")
        self.ends = []
        self.withdrawn = asyncio.Event()
        self.arrived = 0
        self._targets = targets
        self._inbox = None

    def target(self, name):
        return self._targets[name]

    def submit(self, deadline_s, idempotent, repeatable):
        self.arrived += 1
        self._inbox = asyncio.Queue()
        for number, name in enumerate(self._targets):
            self._inbox.put_nowait(SendAttempt(number, 1, name, deadline_s))
        return 1, self._inbox

    def withdraw(self, request_id):
        self.withdrawn.set()

    def finish_attempt(self, attempt_id, result):
        self.ends.append((attempt_id, result))
        if result in (AttemptResult.CUT_OFF, AttemptResult.NOT_SENT):
            kind = ErrorKind.NO_CAPACITY
            if result is AttemptResult.CUT_OFF:
                kind = ErrorKind.CUT_OFF
            self._inbox.put_nowait(FailRequest(1, kind))

    def results(self):
        return [result for _, result in self.ends]


class NoPeers:
    """Fake PeersTask without peers."""

    incarnation = INCARNATION
    views = {}

    def on_message(self, message_type, handler):
        pass


class OneService:
    """Fake Services with a single service named ``s``."""

    configured = True

    def __init__(self, runner):
        self._runner = runner

    def runner(self, name):
        return self._runner if name == "s" else None


@attrs.define
class Entry:
    """The request path of an entry VM and the address on which it listens."""

    runner: ScriptedRunner
    services: OneService
    connections: ServerConnections
    address: tuple

    async def connect(self):
        return await asyncio.open_connection(*self.address)

    async def send_raw(self, request):
        """Send bytes and return all bytes received until the connection is closed.

        A connection reset yields empty bytes.
        """
        reader, writer = await self.connect()
        writer.write(request)
        try:
            return await reader.read(-1)
        except ConnectionResetError:
            return b""
        finally:
            writer.transport.abort()


@contextlib.asynccontextmanager
async def entry_with(*scripts, deadline_ms=5000, connections_max=100, table=None):
    """Yield an Entry in front of scripted targets.

    Args:
        *scripts: For each target, the coroutine function that serves a connection.
        deadline_ms: Deadline of the service.
        connections_max: Limit of the callers' connections.
        table: The JsonTable for plain keys.
    """
    async with contextlib.AsyncExitStack() as stack:
        targets = {}
        for number, script in enumerate(scripts):
            address = await _listen(stack, script)
            name = f"t-{number}"
            targets[name] = Target(name, "s", "dc", address, 1, 1, 10, "joining")
        runner = ScriptedRunner(targets, deadline_ms)
        idle = TargetConnectionPool()
        stack.callback(idle.close)
        keys = KeyAdmission(NoPeers(), table, lambda: False)
        recorder = CallRecorder("dc", time.monotonic)
        services = OneService(runner)
        dispatcher = RequestDispatcher(
            services, None, idle, Metrics(), keys, recorder, 2000
        )
        connections = ServerConnections(connections_max)
        stack.callback(connections.abort)

        async def serve(reader, writer):
            await connections.serve(reader, writer, dispatcher.handle)

        yield Entry(runner, services, connections, await _listen(stack, serve))


async def _listen(stack, on_connection):
    async def guarded(reader, writer):
        try:
            await on_connection(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()

    server = await listen(guarded, (HOST, 0))
    stack.callback(server.close)
    return server.sockets[0].getsockname()[:2]


def answering(answer, ends=True):
    """Return a target script that reads request heads and writes fixed bytes.

    Args:
        answer: The bytes of the response.
        ends: Whether it shuts down its side after the first response; otherwise it
            keeps serving requests.
    """

    async def script(reader, writer):
        while True:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer)
            await writer.drain()
            if ends:
                writer.write_eof()
                await reader.read(-1)
                return

    return script


def request(method="GET", headers="", body=b"", close=True):
    """Return the bytes of an HTTP request to the service ``s``."""
    head = f"{method} /s/x HTTP/1.1\r\nHost: h\r\n{headers}"
    if close:
        head += "Connection: close\r\n"
    if body:
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


def run(coroutine):
    """Run a coroutine with a timeout of 20 s and return its result."""

    async def bounded():
        async with asyncio.timeout(20):
            return await coroutine

    return asyncio.run(bounded())
