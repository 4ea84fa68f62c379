"""Stand in for the platform's store: tables, feeds, objects and faults."""

import asyncio
import base64
import contextlib
import json
import time
from urllib.parse import parse_qs, unquote, urlsplit

import attrs

__all__ = ["StoreCall", "StoreFaults", "FakeStore"]

RESERVED_TABLES = ("op", "servers")
ENTRIES_MAX = 100
KEY_BYTES_MAX = 200
ROW_BYTES_MAX = 65_536
PAGE_ROWS_MAX = 500
OBJECT_PREFIXES = {"PUT": "/-/blob-put/", "GET": "/-/blob-get/"}


@attrs.define
class StoreFaults:
    """What goes wrong at the store now.

    Attributes:
        away: Whether every call gets 503.
        reset: Whether connections are reset at every call.
        silent: Whether calls get no answer.
        lost_answers: How many writes take effect without an answer.
        turned_away: IP addresses of this store at which callers get 503.
        delay_s: Time before each answer, in seconds.
    """

    away: bool = False
    reset: bool = False
    silent: bool = False
    lost_answers: int = 0
    turned_away: set = attrs.field(factory=set)
    delay_s: float = 0.0


@attrs.frozen
class StoreCall:
    """A call that reached the store.

    Attributes:
        at_s: When, on the monotonic clock.
        target: Its request target.
        is_write: Whether it is a writing call.
    """

    at_s: float
    target: str
    is_write: bool


class FakeStore:
    """A store on one or more loopback addresses.

    Attributes:
        faults: The StoreFaults.
        calls: List of StoreCall.
    """

    def __init__(self):
        self.faults = StoreFaults()
        self.calls = []
        self._rows = {}
        self._log = []
        self._version = 0
        self._history_from = 0
        self._changed = asyncio.Condition()
        self._objects = {}
        self._servers = []
        self._writers = set()

    async def start(self, host, port):
        """Listen on an address; each call adds one."""
        server = await asyncio.start_server(self._connected, host, port)
        self._servers.append(server)

    def close(self):
        """Stop listening and drop all connections."""
        for server in self._servers:
            server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def put(self, table, key, value):
        """Write a row as the operator or a target does; ``value`` becomes JSON."""
        await self.put_bytes(table, key, json.dumps(value).encode())

    async def put_bytes(self, table, key, content):
        """Write a row's bytes as the operator, a target or anyone else does."""
        encoded = base64.b64encode(content).decode()
        await self._commit([(table, key, encoded)])

    async def delete(self, table, key):
        """Remove a row as the operator or a target does."""
        await self._commit([(table, key, None)])

    def forget_history(self):
        """Forget all changes up to now."""
        self._history_from = self._version
        self._log.clear()

    @property
    def objects(self):
        """Dict of the objects' bytes by key."""
        return self._objects

    def rows(self, table):
        """Return a dict of the decoded rows of a table."""
        return {
            key: json.loads(base64.b64decode(value))
            for (name, key), (value, _) in self._rows.items()
            if name == table
        }

    async def _commit(self, writes):
        async with self._changed:
            self._version += 1
            for table, key, value in writes:
                if value is None:
                    self._rows.pop((table, key), None)
                else:
                    self._rows[table, key] = (value, self._version)
                self._log.append((self._version, table, key, value))
            self._changed.notify_all()

    async def _connected(self, reader, writer):
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(ConnectionError):
                writer.close()

    async def _serve_one(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode().split("\r\n")
        method, target, _ = lines[0].split(" ")
        fields = dict(line.lower().split(": ", 1) for line in lines[1:] if line)
        body = await reader.readexactly(int(fields.get("content-length", 0)))
        is_write = method != "GET"
        self.calls.append(StoreCall(time.monotonic(), target, is_write))
        faults = self.faults
        if faults.reset:
            writer.transport.abort()
            return False
        if faults.silent:
            await asyncio.sleep(3600)
        if faults.delay_s:
            await asyncio.sleep(faults.delay_s)
        if faults.away or writer.get_extra_info("sockname")[0] in faults.turned_away:
            return await self._answer(writer, 503, {})
        status, answer = await self._handle(method, target, body)
        if is_write and faults.lost_answers:
            faults.lost_answers -= 1
            return False
        return await self._answer(writer, status, answer)

    async def _answer(self, writer, status, answer):
        body = answer if isinstance(answer, bytes) else json.dumps(answer).encode()
        head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)
        await writer.drain()
        return True

    async def _handle(self, method, target, body):
        parts = urlsplit(target)
        query = {
            key: values[0]
            for key, values in parse_qs(parts.query, keep_blank_values=True).items()
        }
        if parts.path == "/-/rows-get":
            return 200, self._read(query)
        if parts.path == "/-/rows-feed":
            return await self._feed(query)
        if parts.path == "/-/rows-tx" and method == "POST":
            return await self._transact(json.loads(body))
        return self._handle_object(method, parts.path, body)

    def _handle_object(self, method, path, body):
        prefix = OBJECT_PREFIXES.get(method)
        if prefix is None or not path.startswith(prefix):
            return 404, {}
        key = unquote(path.removeprefix(prefix))
        if method == "PUT":
            self._objects[key] = body
            return 200, {}
        return (200, self._objects[key]) if key in self._objects else (404, {})

    def _read(self, query):
        limit = min(PAGE_ROWS_MAX, int(query.get("limit", PAGE_ROWS_MAX)))
        end = query.get("to")
        keys = sorted(
            key
            for name, key in self._rows
            if name == query["table"]
            and key >= query.get("from", "")
            and (end is None or key < end)
        )
        rows = [self._row(query["table"], key) for key in keys[:limit]]
        return {
            "rows": rows,
            "hasMore": len(keys) > limit,
            "ver": self._version,
            "nowMs": int(time.monotonic() * 1000),
        }

    def _row(self, table, key):
        value, version = self._rows[table, key]
        return {"table": table, "part": "", "key": key, "value": value, "ver": version}

    def _row_version(self, item):
        row = self._rows.get((item["table"], item["key"]))
        return row[1] if row else 0

    async def _feed(self, query):
        table, after = query["table"], int(query["after"])
        if after < self._history_from:
            return 410, {}
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(query["waitMs"]) / 1000), self._changed:
                await self._changed.wait_for(lambda: self._changes(table, after))
        if after < self._history_from:
            return 410, {}
        return 200, {"rows": self._changes(table, after), "ver": self._version}

    def _changes(self, table, after):
        newest = {}
        for version, name, key, value in self._log:
            if name == table and version > after:
                newest[key] = {"table": table, "part": "", "key": key, "ver": version}
                if value is None:
                    newest[key]["deleted"] = True
                else:
                    newest[key]["value"] = value
        return list(newest.values())

    async def _transact(self, call):
        expected = call["expectedRevision"]
        entries = [*expected, *call["upserts"], *call["remove"]]
        if any(item["table"] in RESERVED_TABLES for item in call["upserts"]):
            return 403, {}
        if len(entries) > ENTRIES_MAX or any(map(_is_too_large, entries)):
            return 400, {}
        if any(item["ver"] != self._row_version(item) for item in expected):
            present = [i for i in expected if self._row_version(i)]
            return 412, {"rows": [self._row(i["table"], i["key"]) for i in present]}
        writes = [(i["table"], i["key"], i["value"]) for i in call["upserts"]]
        writes += [(i["table"], i["key"], None) for i in call["remove"]]
        await self._commit(writes)
        return 200, {"ver": self._version, "nowMs": int(time.monotonic() * 1000)}


def _is_too_large(entry):
    value = base64.b64decode(entry.get("value", ""))
    return len(entry["key"].encode()) > KEY_BYTES_MAX or len(value) > ROW_BYTES_MAX
