"""Fake target for benches, which sends a fixed response at minimal CPU cost."""

import argparse
import asyncio

RESPONSE_BODY = b'{"request":"fast"}'
RESPONSE = (
    b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nContent-Type: application/json\r\n\r\n%s"
    % (len(RESPONSE_BODY), RESPONSE_BODY)
)
HEAD_END = b"\r\n\r\n"


class FastTarget(asyncio.Protocol):
    """Sends a fixed response to each request; requests must have no body."""

    def __init__(self):
        self._transport = None
        self._buffer = b""

    def connection_made(self, transport):
        """Store the transport to write responses to."""
        self._transport = transport

    def data_received(self, data):
        """Send a response for each request head that is complete."""
        self._buffer += data
        heads, separator, self._buffer = self._buffer.rpartition(HEAD_END)
        if heads or separator:
            self._transport.write(RESPONSE * (heads.count(HEAD_END) + 1))


async def run(host, port):
    """Serve until cancelled."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(FastTarget, host, port)
    async with server:
        await server.serve_forever()


def main():
    """Run the fake target; arguments that only ``standins.target`` has are ignored."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    arguments, _ = parser.parse_known_args()
    asyncio.run(run(arguments.host, arguments.port))


if __name__ == "__main__":
    main()
