"""Test the connections that a VM keeps to others which make its attempts."""

import asyncio
import types

import attrs

from sesamespring.gateway.targets.attempt_data import RelayEndpoint
from sesamespring.gateway.targets.connection_pool import TargetConnectionPool
from sesamespring.gateway.targets.target_paths import TargetPaths


@attrs.define
class IdleChannel:
    """A fake of an idle Channel that may be used again."""

    usable: bool = True
    reusable: bool = True
    idle_limit_s: float | None = None
    idle_since_s: float = 0.0
    aborted: bool = False

    def finish(self, now_s):
        self.idle_since_s = now_s

    def abort(self):
        self.aborted = True


def test_connections_to_vms_that_were_replaced_are_not_kept():
    async def main():
        members = {
            "vm-1": types.SimpleNamespace(name="vm-1", incarnation=1),
            "vm-2": types.SimpleNamespace(name="vm-2", incarnation=1),
            "vm-3": types.SimpleNamespace(name="vm-3", incarnation=1),
        }
        peers = types.SimpleNamespace(alive=dict(members))
        pool = TargetConnectionPool(lambda: None)
        paths = TargetPaths(peers, TargetConnectionPool(lambda: None), pool, None)
        channels = {}
        for name in members:
            channels[name] = IdleChannel()
            relay = RelayEndpoint((name, 1), ("127.0.0.1", 1))
            pool.put_back(relay, channels[name], None)
        peers.alive["vm-1"].incarnation = 2
        del peers.alive["vm-2"]
        paths.drop_departed_relays()
        assert channels["vm-1"].aborted
        assert channels["vm-2"].aborted
        assert not channels["vm-3"].aborted
        assert pool.take_idle(("vm-1", 1), True) is None
        assert pool.take_idle(("vm-3", 1), True) is channels["vm-3"]

    asyncio.run(main())
