"""Stand in for callers: ask which entry VMs to use, send, and keep count."""

import asyncio
import random
import time

import attrs
import h11

from sesamespring.errors import ExternalError
from sesamespring.http import ClientConnection, fetch, header, json_body

__all__ = ["Caller", "RequestKind", "Tally"]

OUTCOME_HEADER = b"sesamespring-outcome"
UPLOAD_PIECE = b"\0" * 65_536
RETRY_AFTER_CAP_S = 1.0
ENTRIES_TIMEOUT_S = 1.0
KEYED_TRY_TIMEOUT_S = 1.5
REPEAT_PAUSE_S = 0.05


@attrs.frozen
class RequestKind:
    """A kind of request.

    Attributes:
        service: Name of the service.
        method: HTTP method.
        timeout_ms: Deadline of the request.
        keyed: Whether it carries an idempotency key.
        body_bytes: Size of its body.
    """

    service: str
    method: str
    timeout_ms: int
    keyed: bool = False
    body_bytes: int = 0


@attrs.define
class Tally:
    """What became of requests.

    Attributes:
        sent: How many requests callers made.
        answered: How many got a whole answer in time.
        late: How many got it too late.
        not_run: How many ended with the promise that they were not run.
        unknown: How many ended without knowing whether they ran.
        crossed: How many got the answer to another request.
        repeats: How often a keyed request was repeated to learn its end.
        latencies_ms: Time of each answered request.
        keys_answered: Idempotency keys of confirmed requests.
        keys_not_run: Keys of requests promised not to have run.
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
class _Try:
    """How one try of a request ended.

    Attributes:
        outcome: ``answered``, ``crossed``, ``not-run``, ``unknown`` or ``broken``.
        wait_s: Seconds after which another try helps, or None where it does not.
    """

    outcome: str
    wait_s: float | None = None


@attrs.define
class _Request:
    """A request until its end.

    Attributes:
        kind: The RequestKind.
        tag: Identity that stays the same over all tries.
        deadline_s: Time at which the caller stops waiting.
        key: Idempotency key of a try whose end is not known, or None.
        entry: The entry VM of the last try, or None.
        tries: How many tries were made.
    """

    kind: RequestKind
    tag: str
    deadline_s: float
    key: str | None = None
    entry: dict | None = None
    tries: int = 0

    @property
    def left_s(self):
        """Seconds until the deadline."""
        return self.deadline_s - time.monotonic()


class Caller:
    """Callers in one data centre.

    Args:
        vms: The EntryVms that they know from their own settings.
        data_centre: Their data centre.
        seed: Seed of their choices.
        repeats: Whether they repeat keyed requests whose end they do not know.
    """

    def __init__(self, vms, data_centre, seed, repeats=True):
        self._known = [vm.callers_address for vm in vms]
        self._data_centre = data_centre
        self._random = random.Random(seed)
        self._entries = {}
        self._idle = {}
        self._numbers = 0
        self._seed = seed
        self._repeats = repeats

    async def request(self, kind, tally):
        """Make one request, coming back when told to, and tally its end."""
        self._numbers += 1
        tag = f"{self._data_centre}-{self._seed}-{self._numbers}"
        tally.sent += 1
        started_s = time.monotonic()
        request = _Request(kind, tag, started_s + kind.timeout_ms / 1000)
        outcome = await self._until_final(request, tally)
        now_s = time.monotonic()
        late = now_s > request.deadline_s
        _count(tally, kind, tag, outcome, now_s - started_s, late)

    async def _until_final(self, request, tally):
        while True:
            pending = request.key is not None
            tally.repeats += pending
            end = await self._try_once(request)
            if end.outcome == "not-run":
                request.key = None
            if end.outcome == "broken" and not (request.key and self._repeats):
                return "unknown"
            if end.outcome in ("answered", "crossed") or end.wait_s is None:
                return end.outcome
            wait_s = end.wait_s * self._random.uniform(0.5, 1.0)
            if wait_s >= request.left_s:
                return "not-run" if request.key is None else "unknown"
            await asyncio.sleep(wait_s)

    async def _try_once(self, request):
        entry = await self._choose_entry(request)
        if request.left_s <= 0 or entry is None:
            pending = request.key is not None
            return _Try("unknown" if pending else "not-run", 0.1)
        request.entry = entry
        request.tries += 1
        keyed = request.kind.keyed
        new_key = keyed and request.key is None
        if new_key:
            request.key = f"{entry['ticket']}.{request.tag}-{request.tries}"
        timeout_s = request.left_s + 0.25
        if keyed:
            timeout_s = min(timeout_s, KEYED_TRY_TIMEOUT_S)
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
                return _Try("broken", REPEAT_PAUSE_S)
            return _Try("unknown" if request.key else "not-run", REPEAT_PAUSE_S)

    async def _connect(self, entry):
        address = _address(entry)
        idle = self._idle.get(address, [])
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
            ("Request-Timeout-Ms", str(max(1, int(request.left_s * 1000)))),
            ("X-Demo-Request", tag),
            ("Content-Length", str(kind.body_bytes)),
        ]
        if request.key is not None:
            headers.append(("Idempotency-Key", request.key))
        whole = False
        try:
            await connection.send_head(kind.method, f"/{kind.service}/{tag}", headers)
            await _send_body(connection, kind.body_bytes)
            head = await connection.receive_head()
            pieces = [piece async for piece in connection.receive_body()]
            whole = True
        finally:
            if whole and connection.reusable:
                connection.next_cycle()
                self._idle.setdefault(_address(entry), []).append(connection)
            else:
                connection.close()
        return _read_answer(head, b"".join(pieces), tag)

    async def _choose_entry(self, request):
        """Choose an entry VM, another than last time where there is one."""
        service = request.kind.service
        entries, until_s = self._entries.get(service, ((), 0.0))
        if time.monotonic() >= until_s:
            entries = await self._ask_entries(service) or entries
        if request.entry is not None:
            others = [e for e in entries if e["address"] != request.entry["address"]]
            entries = others or entries
        if not entries:
            return None
        weights = [entry["weight"] for entry in entries]
        return self._random.choices(entries, weights)[0]

    async def _ask_entries(self, service):
        for address in self._random.sample(self._known, len(self._known)):
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
                answer = response.json()
                until_s = time.monotonic() + answer["ttl_ms"] / 1000
                self._entries[service] = (answer["entries"], until_s)
                return answer["entries"]
        return None


async def _send_body(connection, size):
    while size > 0:
        piece = UPLOAD_PIECE[:size]
        await connection.send_data(piece)
        size -= len(piece)
    await connection.send_end()


def _address(entry):
    host, _, port = entry["address"].rpartition(":")
    return host, int(port)


def _read_answer(head, body, tag):
    if head.status_code == 200:
        expected = json_body({"request": tag})[1:-1]
        return _Try("answered" if expected in body else "crossed")
    outcome = header(head.headers, OUTCOME_HEADER, "answered")
    if outcome == "ran":
        return _Try("answered")
    retry_after = header(head.headers, b"retry-after")
    if retry_after is None:
        return _Try(outcome)
    return _Try(outcome, min(RETRY_AFTER_CAP_S, float(retry_after)))


def _count(tally, kind, tag, outcome, taken_s, late):
    if outcome == "answered":
        if late:
            tally.late += 1
        else:
            tally.answered += 1
        tally.latencies_ms.append(taken_s * 1000)
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
