"""Test which VM's copy is followed, without sockets."""

import asyncio
import types

import attrs

from sesamespring.errors import ErrorKind, ExternalError
from sesamespring.gateway.store import table_sync
from sesamespring.gateway.store.replica import TableReplica
from sesamespring.gateway.store.table_sync import STARTUP_DELAY_S, PollTiming, TableSync
from sesamespring.platform.rows import TableChanges
from sesamespring.routing.membership import Member

OWN = Member("own", ("own", 1), 80, "dc-c", 1, 1, 0.1, True, False, True, 0, 0)


def test_vm_leaves_one_that_has_lost_the_store_before_its_poll_ends(monkeypatch):
    polled = []

    class SlowClient:
        def __init__(self, address, timeout_s, on_call=None):
            self._address = address

        async def poll_changes(self, table, after, wait_s):
            polled.append(self._address)
            await asyncio.sleep(60.0)

    async def main():
        others = {
            name: attrs.evolve(OWN, name=name, address=(name, 1), cores=1.0)
            for name in ("a", "b", "c")
        }
        peers = types.SimpleNamespace(alive=others, own=OWN, is_alive=lambda name: True)
        settings = types.SimpleNamespace(process_name="own", store_address=("s", 1))
        log = types.SimpleNamespace(event=lambda event, **fields: None)
        sync = TableSync(settings, None, peers, None, None, log, {})
        replica = TableReplica("op")
        replica.replace(TableChanges((), 1))
        task = asyncio.create_task(sync.run(replica))
        await asyncio.sleep(STARTUP_DELAY_S + 0.1)
        (first,) = polled
        lost = others[first[0]]
        others[lost.name] = attrs.evolve(lost, store_reached=False)
        await asyncio.sleep(0.6)
        task.cancel()
        assert len(polled) > 1
        assert first not in polled[1:]

    monkeypatch.setattr(table_sync, "StoreClient", SlowClient)
    asyncio.run(main())


def test_vm_whose_followed_vm_is_silent_asks_the_store_next(monkeypatch):
    polled = []

    class Client:
        def __init__(self, address, timeout_s, on_call=None):
            self._address = address

        async def poll_changes(self, table, after, wait_s):
            polled.append(self._address)
            if self._address == ("s", 1):
                await asyncio.sleep(60.0)
            await asyncio.sleep(0.6)
            raise ExternalError(ErrorKind.PLATFORM_AWAY, "no response")

    async def main():
        others = {
            name: attrs.evolve(OWN, name=name, address=(name, 1), cores=1.0)
            for name in ("a", "b", "c")
        }
        peers = types.SimpleNamespace(alive=others, own=OWN, is_alive=lambda name: True)
        settings = types.SimpleNamespace(process_name="own", store_address=("s", 1))
        log = types.SimpleNamespace(event=lambda event, **fields: None)
        timing = PollTiming(0.5, 0.7)
        sync = TableSync(settings, None, peers, None, None, log, {"op": timing})
        replica = TableReplica("op")
        replica.replace(TableChanges((), 1))
        task = asyncio.create_task(sync.run(replica))
        await asyncio.sleep(STARTUP_DELAY_S + 1.2)
        task.cancel()
        assert len(polled) == 2
        assert polled[0] != ("s", 1)
        assert polled[1] == ("s", 1)

    monkeypatch.setattr(table_sync, "StoreClient", Client)
    asyncio.run(main())


def test_vm_that_starts_with_its_distributor_asks_it_once_more(monkeypatch):
    polled = []

    class Client:
        def __init__(self, address, timeout_s, on_call=None):
            self._address = address

        async def read_table(self, table):
            polled.append(self._address[0])
            raise ExternalError(ErrorKind.PLATFORM_AWAY, "unexpected status 503")

    async def main():
        others = {
            f"{place}-{number}": attrs.evolve(
                OWN,
                name=f"{place}-{number}",
                address=(f"{place}-{number}", 1),
                data_centre=place,
                # The readers are the large VMs of dc-a and dc-b.
                cores={"dc-a": 2.0, "dc-b": 2.0, "dc-c": 0.8}[place] / (1 + 9 * number),
            )
            for place in ("dc-a", "dc-b", "dc-c")
            for number in range(8)
        }
        peers = types.SimpleNamespace(alive=others, own=OWN, is_alive=lambda name: True)
        settings = types.SimpleNamespace(process_name="own", store_address=("s", 1))
        log = types.SimpleNamespace(event=lambda event, **fields: None)
        counters = types.SimpleNamespace(add=lambda name: None)
        timings = {"op": PollTiming(0.5, 0.7)}
        sync = TableSync(settings, None, peers, None, counters, log, timings)
        peers.broadcast_heartbeat = lambda: None
        task = asyncio.create_task(sync.run(TableReplica("op")))
        while len(polled) < 4:
            await asyncio.sleep(0.01)
        task.cancel()
        distributor, again, reader, store = polled[:4]
        assert distributor == again
        assert distributor.startswith("dc-c")
        assert not reader.startswith("dc-c")
        assert store == "s"

    monkeypatch.setattr(table_sync, "StoreClient", Client)
    asyncio.run(main())
