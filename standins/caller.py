"""Fake callers, which look up entry VMs, send requests and count the outcomes."""

import asyncio
import random
import time

import attrs
import h11

from sesamespring.errors import ExternalError
from sesamespring.http import ClientConnection, fetch, header, json_body

__all__ = ["Caller", "RequestKind", "Tally"]

OUTCOME_HEADER = b"sesamespring-outcome"
UPLOAD_CHUNK = b"\0" * 65_536
# Upper limit of the wait that a response's Retry-After can cause.
RETRY_AFTER_MAX_S = 1.0
ENTRIES_TIMEOUT_S = 1.0
# Attempts of a keyed request time out early, so that they can be retried in time.
KEYED_ATTEMPT_TIMEOUT_S = 1.5
RETRY_DELAY_S = 0.05


@attrs.frozen
class RequestKind:
    """The properties that requests of one kind share.

    Attributes:
        service: Name of the service.
        method: HTTP method.
        timeout_ms: Deadline of a request after its start, in ms.
        keyed: Whether a request carries an idempotency key.
        body_bytes: Size of the request body.
    """

    service: str
    method: str
    timeout_ms: int
    keyed: bool = False
    body_bytes: int = 0


@attrs.define
class Tally:
    """Counts of requests by outcome.

    Attributes:
        sent: Number of requests, each counted once however often it is retried.
        answered: Number with a complete response before the deadline.
        late: Number with a complete response after the deadline.
        not_run: Number of requests that callers were assured had not run.
        unknown: Number for which the caller cannot determine whether they ran.
        crossed: Number that received the response to another request.
        repeats: Number of retries of a keyed request whose outcome was unknown.
        latencies_ms: Time to the response of each request in ``answered`` and
            ``late``, in ms.
        keys_answered: Tags of the keyed requests with a complete response.
        keys_not_run: Tags of the keyed requests that callers were assured had not
            run.
    """

    sent: int = 0
    answered: int = 0
    late: int = 0
    not_run: int = 0
    unknown: int = 0
    crossed: int = 0
    repeats: int = 0
    latencies_ms: list = attrs.field(factory=list)
    keys_answered: list = attrs.field(factory=list)
    keys_not_run: list = attrs.field(factory=list)


@attrs.frozen
class _AttemptResult:
    """The result of one attempt of a request.

    Attributes:
        outcome: ``answered``, ``not-run``, ``unknown``, ``crossed`` (the response to
            another request) or ``broken`` (the connection failed after sending).
        retry_after_s: Delay before the next attempt, or None if the outcome is final.
    """

    outcome: str
    retry_after_s: float | None = None


@attrs.define
class _Request:
    """A request that has no final outcome yet.

    Attributes:
        kind: The RequestKind.
        tag: Identifier that all attempts share.
        deadline_s: Time at which the caller stops waiting, on the monotonic clock.
        key: Idempotency key of an attempt whose outcome is unknown, or None.
        entry: Dict of the last attempt's entry VM (address, weight, ticket) or None.
        attempts: Number of attempts so far.
    """

    kind: RequestKind
    tag: str
    deadline_s: float
    key: str | None = None
    entry: dict | None = None
    attempts: int = 0

    @property
    def remaining_s(self):
        """Time until the deadline, in seconds."""
        return self.deadline_s - time.monotonic()


class Caller:
    """A client that sends any number of requests at once from one data centre.

    It fetches the list of entry VMs for a service, keeps it for its time to live, and
    chooses one by weight for each attempt.

    Args:
        vms: The configured EntryVms, from which it fetches the lists.
        data_centre: Its data centre, a part of the tags of requests.
        seed: Seed of its random choices.
        repeats: Whether it retries keyed requests whose outcome is unknown.
    """

    def __init__(self, vms, data_centre, seed, repeats=True):
        self._vm_addresses = [vm.callers_address for vm in vms]
        self._data_centre = data_centre
        self._random = random.Random(seed)
        self._entries = {}
        self._idle_connections = {}
        self._request_count = 0
        self._seed = seed
        self._retry_unknown = repeats

    async def request(self, kind, tally):
        """Send one request, retry as responses direct, and count its outcome."""
        self._request_count += 1
        tag = f"{self._data_centre}-{self._seed}-{self._request_count}"
        tally.sent += 1
        started_s = time.monotonic()
        request = _Request(kind, tag, started_s + kind.timeout_ms / 1000)
        outcome = await self._send_until_final(request, tally)
        now_s = time.monotonic()
        late = now_s > request.deadline_s
        _record(tally, kind, tag, outcome, now_s - started_s, late)

    async def _send_until_final(self, request, tally):
        while True:
            has_pending_key = request.key is not None
            tally.repeats += has_pending_key
            result = await self._send_attempt(request)
            if result.outcome == "not-run":
                request.key = None
            if result.outcome == "broken" and not (request.key and self._retry_unknown):
                return "unknown"
            if (
                result.outcome in ("answered", "crossed")
                or result.retry_after_s is None
            ):
                return result.outcome
            retry_after_s = result.retry_after_s * self._random.uniform(0.5, 1.0)
            if retry_after_s >= request.remaining_s:
                return "not-run" if request.key is None else "unknown"
            await asyncio.sleep(retry_after_s)

    async def _send_attempt(self, request):
        entry = await self._choose_entry(request)
        if request.remaining_s <= 0 or entry is None:
            has_pending_key = request.key is not None
            return _AttemptResult("unknown" if has_pending_key else "not-run", 0.1)
        request.entry = entry
        request.attempts += 1
        keyed = request.kind.keyed
        new_key = keyed and request.key is None
        if new_key:
            request.key = f"{entry['ticket']}.{request.tag}-{request.attempts}"
        timeout_s = request.remaining_s + 0.25
        if keyed:
            timeout_s = min(timeout_s, KEYED_ATTEMPT_TIMEOUT_S)
        sent = False
        try:
            async with asyncio.timeout(timeout_s):
                connection = await self._connect(entry)
                sent = True
                return await self._exchange(connection, entry, request)
        except (OSError, h11.ProtocolError, TimeoutError):
            self._entries.pop(request.kind.service, None)
            if not sent and new_key:
                request.key = None
            if sent and request.kind.method != "GET":
                return _AttemptResult("broken", RETRY_DELAY_S)
            return _AttemptResult(
                "unknown" if request.key else "not-run", RETRY_DELAY_S
            )

    async def _connect(self, entry):
        address = _parse_address(entry)
        idle = self._idle_connections.get(address, [])
        while idle:
            connection = idle.pop()
            if connection.stream.open_and_idle:
                return connection
            connection.close()
        return await ClientConnection.open(address)

    async def _exchange(self, connection, entry, request):
        kind, tag = request.kind, request.tag
        headers = [
            ("Host", "sesamespring"),
            ("Request-Timeout-Ms", str(max(1, int(request.remaining_s * 1000)))),
            ("X-Demo-Request", tag),
            ("Content-Length", str(kind.body_bytes)),
        ]
        if request.key is not None:
            headers.append(("Idempotency-Key", request.key))
        complete = False
        try:
            await connection.send_head(kind.method, f"/{kind.service}/{tag}", headers)
            await _send_body(connection, kind.body_bytes)
            head = await connection.receive_head()
            chunks = [chunk async for chunk in connection.receive_body()]
            complete = True
        finally:
            if complete and connection.reusable:
                connection.next_cycle()
                self._idle_connections.setdefault(_parse_address(entry), []).append(
                    connection
                )
            else:
                connection.close()
        return _read_response(head, b"".join(chunks), tag)

    async def _choose_entry(self, request):
        """Choose an entry VM by weight, avoiding that of the last attempt."""
        service = request.kind.service
        entries, until_s = self._entries.get(service, ((), 0.0))
        if time.monotonic() >= until_s:
            entries = await self._fetch_entries(service) or entries
        if request.entry is not None:
            others = [e for e in entries if e["address"] != request.entry["address"]]
            entries = others or entries
        if not entries:
            return None
        weights = [entry["weight"] for entry in entries]
        return self._random.choices(entries, weights)[0]

    async def _fetch_entries(self, service):
        for address in self._random.sample(self._vm_addresses, len(self._vm_addresses)):
            try:
                response = await fetch(
                    address,
                    "GET",
                    f"/.sesamespring/entries/{service}",
                    timeout_s=ENTRIES_TIMEOUT_S,
                )
            except ExternalError:
                continue
            if response.status == 200:
                body = response.json()
                until_s = time.monotonic() + body["ttl_ms"] / 1000
                self._entries[service] = (body["entries"], until_s)
                return body["entries"]
        return None


async def _send_body(connection, size):
    while size > 0:
        chunk = UPLOAD_CHUNK[:size]
        await connection.send_data(chunk)
        size -= len(chunk)
    await connection.send_end()


def _parse_address(entry):
    host, _, port = entry["address"].rpartition(":")
    return host, int(port)


def _read_response(head, body, tag):
    if head.status_code == 200:
        expected = json_body({"request": tag})[1:-1]
        return _AttemptResult("answered" if expected in body else "crossed")
    outcome = header(head.headers, OUTCOME_HEADER, "answered")
    if outcome == "ran":
        return _AttemptResult("answered")
    retry_after = header(head.headers, b"retry-after")
    if retry_after is None:
        return _AttemptResult(outcome)
    return _AttemptResult(outcome, min(RETRY_AFTER_MAX_S, float(retry_after)))


def _record(tally, kind, tag, outcome, duration_s, late):
    if outcome == "answered":
        if late:
            tally.late += 1
        else:
            tally.answered += 1
        tally.latencies_ms.append(duration_s * 1000)
        if kind.keyed:
            tally.keys_answered.append(tag)
    elif outcome == "not-run":
        tally.not_run += 1
        if kind.keyed:
            tally.keys_not_run.append(tag)
    elif outcome == "crossed":
        tally.crossed += 1
    else:
        tally.unknown += 1
