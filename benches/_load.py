"""Send load over raw connections, with as little processor time as possible."""

import asyncio
import random
import time

import attrs

__all__ = ["LoadResult", "closed_loop", "open_loop"]

HEAD_END = b"\r\n\r\n"


@attrs.define
class LoadResult:
    """The responses to a load.

    Attributes:
        latencies_ms: Latency of each response with status 200.
        others: Number of responses with another status.
        seconds: Duration of the load.
    """

    latencies_ms: list = attrs.field(factory=list)
    others: int = 0
    seconds: float = 0.0

    @property
    def rate(self):
        """Responses with status 200 per second."""
        return len(self.latencies_ms) / self.seconds

    def percentile(self, share):
        """Return the percentile of latencies in ms at a share from 0 to 1."""
        ordered = sorted(self.latencies_ms)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def _request(path):
    return f"GET {path} HTTP/1.1\r\nHost: bench\r\n\r\n".encode()


async def _exchange(reader, writer, request, result, started_s):
    writer.write(request)
    head = await reader.readuntil(HEAD_END)
    lower = head.lower()
    start = lower.index(b"content-length:") + len(b"content-length:")
    length = int(lower[start : lower.index(b"\r\n", start)])
    await reader.readexactly(length)
    if b" 200 " in head[:16]:
        result.latencies_ms.append((time.perf_counter() - started_s) * 1000)
    else:
        result.others += 1


async def closed_loop(address, path, connections, seconds):
    """Send requests one after another on each of some connections.

    Args:
        address: Pair of IP and port.
        path: Path of the requests.
        connections: Number of connections.
        seconds: Duration of the load.

    Returns:
        The LoadResult.
    """
    result = LoadResult(seconds=seconds)
    request = _request(path)
    end_s = time.perf_counter() + seconds

    async def send_until_end():
        reader, writer = await asyncio.open_connection(*address)
        while (started_s := time.perf_counter()) < end_s:
            await _exchange(reader, writer, request, result, started_s)
        writer.close()

    await asyncio.gather(*(send_until_end() for _ in range(connections)))
    return result


async def open_loop(address, path, rate, seconds, seed, connections=64):
    """Send requests at random times, independent of the responses.

    Latencies count from the time at which a request was due, so they include the wait
    for a free connection.

    Args:
        address: Pair of IP and port.
        path: Path of the requests.
        rate: Mean number of requests per second.
        seconds: Duration of the load.
        seed: Seed of the times.
        connections: Number of connections.

    Returns:
        The LoadResult.
    """
    result = LoadResult(seconds=seconds)
    request = _request(path)
    rng = random.Random(seed)
    idle = asyncio.Queue()
    opened = [await asyncio.open_connection(*address) for _ in range(connections)]
    for pair in opened:
        idle.put_nowait(pair)

    async def send_one(due_s):
        reader, writer = await idle.get()
        await _exchange(reader, writer, request, result, due_s)
        idle.put_nowait((reader, writer))

    due_s = time.perf_counter()
    end_s = due_s + seconds
    async with asyncio.TaskGroup() as group:
        while due_s < end_s:
            wait_s = due_s - time.perf_counter()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            group.create_task(send_one(due_s))
            due_s += rng.expovariate(rate)
    for _, writer in opened:
        writer.close()
    return result
