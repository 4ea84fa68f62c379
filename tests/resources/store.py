"""Run the stand-in of the platform's store inside a test."""

import contextlib
import itertools

from sesamespring.platform.json_table import JsonTable
from sesamespring.platform.store import StoreClient
from standins.store import FakeStore
from tests.loopback import loopback_ip

HOST = loopback_ip(6, 1)
TIMEOUT_S = 5.0
_ports = itertools.count(28_000)


@contextlib.asynccontextmanager
async def running_store():
    """Yield a JsonTable of a running FakeStore, and the FakeStore."""
    store = FakeStore()
    address = (HOST, next(_ports))
    await store.start(*address)
    table = JsonTable(StoreClient(address, TIMEOUT_S))
    try:
        yield table, store
    finally:
        table.close()
        store.close()
