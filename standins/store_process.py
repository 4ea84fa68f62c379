"""Run the fake store as a process, with an HTTP API for faults and statistics.

The API listens on the next port: ``POST /faults`` sets fields of StoreFaults from a
JSON object, ``GET /stats`` returns the counts of calls and the holders of targets.
"""

import argparse
import asyncio
import json

from sesamespring.http import ServerConnections
from standins.store import FakeStore

COMMAND_BYTES_MAX = 65_536


class CommandHandler:
    """Handles the commands of tests, demos and benches.

    Args:
        store: The FakeStore.
    """

    def __init__(self, store):
        self._store = store

    async def handle(self, exchange):
        """Execute one command and send the response."""
        if exchange.target == "/faults":
            faults = json.loads(await exchange.whole_body(COMMAND_BYTES_MAX))
            for name, value in faults.items():
                setattr(self._store.faults, name, value)
            await exchange.send_json({})
            return
        await exchange.send_json(self._stats())

    def _stats(self):
        writes = sum(call.is_write for call in self._store.calls)
        return {
            "reads": len(self._store.calls) - writes,
            "writes": writes,
            "holds": [
                row["session"]
                for key, row in self._store.rows("sesamespring").items()
                if key.startswith("hold/")
            ],
        }


async def run(host, port):
    """Serve the store at ``port`` and the API at the next one, until cancelled."""
    store = FakeStore()
    connections = ServerConnections()
    commands = CommandHandler(store)

    async def connected(reader, writer):
        await connections.serve(reader, writer, commands.handle)

    server = await asyncio.start_server(connected, host, port + 1)
    await store.start(host, port)
    async with server:
        await server.serve_forever()


def main():
    """Run the fake store."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    arguments = parser.parse_args()
    asyncio.run(run(arguments.host, arguments.port))


if __name__ == "__main__":
    main()
