"""Test a process that serves the directory only."""

import asyncio
import json

import attrs

from sesamespring.gateway.daemon import GatewayDaemon
from tests.gateway.cluster import CALLERS_PORT, DIRECTORY_PORT, HOST, Cluster


def directory_settings(cluster, ip):
    """Return the settings of a second process on a VM, for the directory only."""
    return attrs.evolve(
        cluster.settings(ip),
        callers_address=None,
        ready_address=None,
        directory_address=(ip, DIRECTORY_PORT + 10),
    )


def test_directory_lists_serving_vms_but_neither_itself_nor_dead_ones():
    async def main():
        async with Cluster(vms=3) as cluster, asyncio.timeout(30):
            stop = asyncio.Event()
            settings = directory_settings(cluster, cluster.ips[0])
            task = asyncio.create_task(GatewayDaemon(settings).run(stop))
            port = DIRECTORY_PORT + 10
            target = f"/-/resolve?name={HOST}&region=r&zone=dc-b"
            await asyncio.sleep(1.0)
            response = await cluster.request((cluster.ips[0], port), target)
            named = json.loads(response.body)["addresses"]
            assert named[0] == f"{cluster.ips[1]}:{CALLERS_PORT}"
            await cluster.kill_vm(cluster.ips[1])
            await asyncio.sleep(1.5)
            response = await cluster.request((cluster.ips[0], port), target)
            named = json.loads(response.body)["addresses"]
            assert named
            assert not any(text.startswith(cluster.ips[1] + ":") for text in named)
            stop.set()
            await task

    asyncio.run(main())


def test_directory_responds_503_without_serving_vms():
    async def main():
        async with Cluster(vms=1) as cluster, asyncio.timeout(30):
            settings = directory_settings(cluster, cluster.ips[0])
            await cluster.kill_vm(cluster.ips[0])
            stop = asyncio.Event()
            task = asyncio.create_task(GatewayDaemon(settings).run(stop))
            await asyncio.sleep(0.8)
            target = f"/-/resolve?name={HOST}&region=r&zone=dc-b"
            response = await cluster.request(
                (cluster.ips[0], DIRECTORY_PORT + 10), target
            )
            assert response.status == 503
            stop.set()
            await task

    asyncio.run(main())
