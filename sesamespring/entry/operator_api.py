"""HTTP API for operators, authenticated by bearer keys."""

import asyncio
import hashlib
import hmac
import math
import time
from urllib.parse import parse_qs, urlsplit

import attrs

from sesamespring.errors import ErrorKind, ExternalError
from sesamespring.http import header, json_body
from sesamespring.resources.audit import read_audit
from sesamespring.resources.kinds import resource_to_json
from sesamespring.resources.store import read_head, read_resources

__all__ = ["OperatorApi"]

AUDIT_SPAN_S_MAX = 24 * 3600.0
WATCH_S_MAX = 10.0
WATCH_INTERVAL_S = 0.2


class OperatorApi:
    """The operators' API of one entry VM.

    Args:
        keys: Tuple of the OperatorKeys that are accepted.
        table: The JsonTable.
        vm_rows: The VmRows.
        in_force: The InForceTask.
        changes: The ChangeHandler.
        recorder: The CallRecorder.
    """

    def __init__(self, keys, table, vm_rows, in_force, changes, recorder):
        self._keys = keys
        self._table = table
        self._vm_rows = vm_rows
        self._in_force = in_force
        self._recorder = recorder
        self._commands = {("POST", "changes"): changes.apply}
        self._queries = {
            ("GET", "changes"): self._get_changes,
            ("GET", "resources"): self._get_resources,
            ("GET", "in-force"): self._get_in_force,
            ("GET", "watch"): self._watch,
            ("GET", "recording"): self._get_recording,
        }

    async def handle(self, exchange, parts):
        """Handle one request of an operator and send the response.

        Args:
            exchange: The ServerExchange.
            parts: Segments of the path below the control prefix.
        """
        operator = self._authenticate(exchange)
        if operator is None:
            await exchange.refuse(ErrorKind.UNAUTHENTICATED)
            return
        endpoint = (exchange.method, parts[0])
        try:
            if endpoint in self._commands:
                await self._commands[endpoint](exchange, operator)
            elif endpoint in self._queries:
                await self._queries[endpoint](exchange)
            else:
                await exchange.refuse(ErrorKind.NO_SUCH_RESOURCE)
        except ExternalError as error:
            await exchange.refuse(ErrorKind.PLATFORM_AWAY, str(error))

    def _authenticate(self, exchange):
        """Return the OperatorKey of a request, or None if it has no valid key.

        The duration does not depend on which key matches.
        """
        given = header(exchange.headers, b"authorization", "").encode("latin-1")
        matching = None
        for key in self._keys:
            expected = f"Bearer {key.secret}".encode()
            if hmac.compare_digest(given, expected):
                matching = key
        return matching

    async def _get_changes(self, exchange):
        try:
            until_s = _number(exchange, "until", time.time() + 1.0)
            since_s = _number(exchange, "since", until_s - AUDIT_SPAN_S_MAX)
        except ValueError:
            await exchange.refuse(ErrorKind.MALFORMED, "since and until: seconds")
            return
        if until_s - since_s > AUDIT_SPAN_S_MAX:
            detail = f"at most {AUDIT_SPAN_S_MAX:.0f} seconds a call"
            await exchange.refuse(ErrorKind.MALFORMED, detail)
            return
        records = await read_audit(self._table, since_s, until_s)
        changes = [attrs.asdict(record) for record in records]
        await exchange.send_json({"changes": changes})

    async def _get_resources(self, exchange):
        resources, digest = await read_resources(self._table)
        by_key = {key: resource_to_json(r) for key, r in resources.by_key.items()}
        await exchange.send_json(
            {"version": resources.version, "digest": digest, "resources": by_key}
        )

    async def _get_recording(self, exchange):
        await exchange.send_json(self._recorder.as_json())

    async def _get_in_force(self, exchange):
        await self._in_force.query_peers()
        try:
            listed = await self._vm_rows.read()
            head = await read_head(self._table)
            declared = {"version": head.version, "digest": head.digest}
        except ExternalError:
            listed, declared = (), None
        entries = self._in_force.entries(listed)
        names = [vm.name for vm in listed]
        response = {
            "declared": declared,
            "listed": names,
            "in_force": [attrs.asdict(entry) for entry in entries],
        }
        await exchange.send_json(response)

    async def _watch(self, exchange):
        """Long poll: respond once the list differs from the one the client has.

        The client sends the digest from its last response in ``state``. Without a
        change, the response is sent after WATCH_S_MAX.
        """
        client_state = _parameter(exchange, "state", "")
        end_s = time.monotonic() + WATCH_S_MAX
        while True:
            entries = self._in_force.entries()
            state = _state_digest(entries)
            if state != client_state or time.monotonic() >= end_s:
                break
            await asyncio.sleep(WATCH_INTERVAL_S)
        listed = [attrs.asdict(entry) for entry in entries]
        await exchange.send_json({"state": state, "in_force": listed})


def _parameter(exchange, name, default):
    query = parse_qs(urlsplit(exchange.target).query)
    return query.get(name, [default])[0]


def _number(exchange, name, default):
    number = float(_parameter(exchange, name, default))
    if not math.isfinite(number):
        raise ValueError(name)
    return number


def _state_digest(entries):
    rows = [[e.vm, e.version, e.digest, e.platform_reachable, e.live] for e in entries]
    return hashlib.sha256(json_body(rows)).hexdigest()[:16]
