"""Stop a process's connections to callers in the order in which the daemon does it."""

import asyncio

__all__ = ["stop"]

GRACE_S = 8.0
POLL_S = 0.02


async def stop(connections, forwarders=()):
    """Stop, as ``_stop_gracefully`` of the daemon and the end of its process do.

    Args:
        connections: The CallerConnections.
        forwarders: Set of the RequestForwarders that wait for a target or a response.
    """
    loop = asyncio.get_running_loop()
    last_s = loop.time() + GRACE_S
    connections.stop()
    await asyncio.sleep(GRACE_S / 4)
    connections.stop_accepting()
    connections.close_idle()
    while connections.active and loop.time() < last_s:
        await asyncio.sleep(POLL_S)
        connections.close_idle()
    for forwarder in tuple(forwarders):
        forwarder.process_ends()
    await asyncio.sleep(POLL_S)
    connections.close()
