"""Plain proxy to one target, the baseline that benches compare the product with.

It uses the product's HTTP library and makes no routing decisions.
"""

import argparse
import asyncio

import h11

from sesamespring.http import ClientConnection, ServerConnections


class PassThrough:
    """A proxy with one connection pool and without limits and deadlines.

    Args:
        target: Pair of IP and port of the target.
    """

    def __init__(self, target):
        self._target = target
        self._idle_connections = []

    async def handle(self, exchange):
        """Forward one request to the target and its response to the client."""
        body = await exchange.whole_body(1 << 20)
        if self._idle_connections:
            connection = self._idle_connections.pop()
        else:
            connection = await ClientConnection.open(self._target)
        await connection.send_whole(
            exchange.method, exchange.target, exchange.headers, body
        )
        head = await connection.receive_head()
        await exchange.send_head(head.status_code, head.headers)
        async for chunk in connection.receive_body():
            await exchange.send_data(chunk)
        await exchange.send_end()
        if connection.reusable:
            connection.next_cycle()
            self._idle_connections.append(connection)


async def run(host, port, target):
    """Serve until cancelled."""
    proxy = PassThrough(target)
    connections = ServerConnections()

    async def connected(reader, writer):
        try:
            await connections.serve(reader, writer, proxy.handle)
        except h11.ProtocolError:
            writer.transport.abort()

    server = await asyncio.start_server(connected, host, port, backlog=2048)
    async with server:
        await server.serve_forever()


def main():
    """Run the proxy."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--target-port", type=int, required=True)
    arguments = parser.parse_args()
    target = (arguments.host, arguments.target_port)
    asyncio.run(run(arguments.host, arguments.port, target))


if __name__ == "__main__":
    main()
