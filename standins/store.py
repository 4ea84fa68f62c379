"""Fake of the platform's store: tables, change feeds and objects, with faults.

Rows and objects are kept in memory. A transaction increments the version of the whole
store, and each row has the version of its last write. A store that is restored from a
copy loses what was written since and issues the same versions again, in the next era.
"""

import asyncio
import base64
import contextlib
import json
import time
from urllib.parse import parse_qs, unquote, urlsplit

import attrs

from standins.connections import AcceptedConnections

__all__ = ["FakeStore", "StoreCall", "StoreCopy", "StoreFaults"]

RESERVED_TABLES = ("op", "servers")
ENTRIES_MAX = 100
KEY_BYTES_MAX = 200
ROW_BYTES_MAX = 65_536
PAGE_ROWS_MAX = 500
OBJECT_PREFIXES = {"PUT": "/-/blob-put/", "GET": "/-/blob-get/"}


@attrs.define
class StoreFaults:
    """The faults that the store injects into calls.

    Attributes:
        away: Whether every call gets status 503.
        reset: Whether every call resets its connection.
        silent: Whether calls get no response.
        lost_answers: Number of next writes that take effect without a response.
        turned_away: IP addresses of this store at which every call gets status 503.
        delay_s: Delay before each response, in seconds.
    """

    away: bool = False
    reset: bool = False
    silent: bool = False
    lost_answers: int = 0
    turned_away: set = attrs.field(factory=set)
    delay_s: float = 0.0


@attrs.frozen
class StoreCopy:
    """A copy of the store's rows, from which it can be restored.

    Attributes:
        rows: Dict of the pair of encoded value and version by pair of table and key.
        change_log: List of the changes up to then.
        version: Version of the store.
    """

    rows: dict
    change_log: list
    version: int


@attrs.frozen
class StoreCall:
    """A call that reached the store.

    Attributes:
        at_s: Time of its arrival, on the monotonic clock.
        target: Its request target.
        is_write: Whether it writes, which is any method but GET.
    """

    at_s: float
    target: str
    is_write: bool


class FakeStore:
    """A store that listens on one or more loopback addresses.

    Attributes:
        faults: The StoreFaults.
        calls: List of StoreCall, in order of arrival.
        era: Number that each response states; it grows when the store is restored.
    """

    def __init__(self):
        self.faults = StoreFaults()
        self.calls = []
        self.era = 0
        self._rows = {}
        self._change_log = []
        self._version = 0
        self._oldest_version = 0
        self._change_condition = asyncio.Condition()
        self._objects = {}
        self._servers = []
        self._accepted = []
        self._writers = set()

    async def start(self, host, port):
        """Listen on an address, in addition to those of earlier calls."""
        accepted = AcceptedConnections(self._serve_connection)
        self._accepted.append(accepted)
        self._servers.append(await asyncio.start_server(accepted, host, port))

    def close(self):
        """Stop listening and abort all connections."""
        for server in self._servers:
            server.close()
        for accepted in self._accepted:
            accepted.close()
        self.disconnect()

    async def put(self, table, key, value):
        """Write a row with ``value`` as JSON, bypassing faults and reserved tables."""
        await self.put_bytes(table, key, json.dumps(value).encode())

    async def put_bytes(self, table, key, content):
        """Write a row with any bytes, bypassing faults and reserved tables."""
        encoded = base64.b64encode(content).decode()
        await self._commit([(table, key, encoded)])

    async def delete(self, table, key):
        """Delete a row, bypassing faults and reserved tables."""
        await self._commit([(table, key, None)])

    def forget_history(self):
        """Discard the change log; feeds from an earlier version get status 410."""
        self._oldest_version = self._version
        self._change_log.clear()

    def copy(self):
        """Return a StoreCopy of the present rows."""
        return StoreCopy(dict(self._rows), list(self._change_log), self._version)

    async def restore(self, copy):
        """Go back to a StoreCopy: later writes are lost and their versions reused."""
        async with self._change_condition:
            self._rows = dict(copy.rows)
            self._change_log = list(copy.change_log)
            self._version = copy.version
            self.era += 1
            self._change_condition.notify_all()
        self.disconnect()

    def disconnect(self):
        """Abort all connections."""
        for writer in tuple(self._writers):
            writer.transport.abort()

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
        async with self._change_condition:
            self._version += 1
            for table, key, value in writes:
                if value is None:
                    self._rows.pop((table, key), None)
                else:
                    self._rows[table, key] = (value, self._version)
                self._change_log.append((self._version, table, key, value))
            self._change_condition.notify_all()

    async def _serve_connection(self, reader, writer):
        self._writers.add(writer)
        try:
            while await self._serve_request(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(ConnectionError):
                writer.close()

    async def _serve_request(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode().split("\r\n")
        method, target, _ = lines[0].split(" ")
        headers = dict(line.lower().split(": ", 1) for line in lines[1:] if line)
        body = await reader.readexactly(int(headers.get("content-length", 0)))
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
            return await self._send_response(writer, 503, {})
        status, response = await self._handle(method, target, body)
        if is_write and faults.lost_answers:
            faults.lost_answers -= 1
            return False
        return await self._send_response(writer, status, response)

    async def _send_response(self, writer, status, response):
        body = (
            response if isinstance(response, bytes) else json.dumps(response).encode()
        )
        lines = [
            f"HTTP/1.1 {status} X",
            f"Content-Length: {len(body)}",
            f"Store-Era: {self.era}",
        ]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
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
        if not self._knows(after):
            return 410, {}
        with contextlib.suppress(TimeoutError):
            async with (
                asyncio.timeout(int(query["waitMs"]) / 1000),
                self._change_condition,
            ):
                await self._change_condition.wait_for(
                    lambda: self._changes(table, after)
                )
        if not self._knows(after):
            return 410, {}
        return 200, {"rows": self._changes(table, after), "ver": self._version}

    def _knows(self, version):
        """Whether the changes after a version can be listed."""
        return self._oldest_version <= version <= self._version

    def _changes(self, table, after):
        newest = {}
        for version, name, key, value in self._change_log:
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
