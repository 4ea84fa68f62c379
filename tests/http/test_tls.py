"""Test that only clients that use TLS and trust the server's CA are served."""

import asyncio
import ssl
from pathlib import Path

import pytest

from sesamespring.errors import ExternalError
from sesamespring.http import (
    ServerConnections,
    client_context,
    fetch,
    listen,
    server_context,
)

# Used in tests only: the private key protects nothing.
FOLDER = Path(__file__).parent / "tls"
CERTIFICATE = str(FOLDER / "certificate.pem")
PRIVATE_KEY = str(FOLDER / "private_key.pem")
# The name in the certificate; the port is a free one.
HOST = "127.0.0.1"
BODY = b"x" * 300_000


def call(tls):
    """Send a request to a TLS server that responds with the request body."""

    async def echo(exchange):
        await exchange.send_whole(200, await exchange.whole_body(1_000_000))

    async def scenario():
        connections = ServerConnections()

        async def connected(reader, writer):
            await connections.serve(reader, writer, echo)

        context = server_context(CERTIFICATE, PRIVATE_KEY)
        async with await listen(connected, (HOST, 0), tls=context) as server:
            address = server.sockets[0].getsockname()
            try:
                return await fetch(
                    address, "POST", "/", timeout_s=10.0, body=BODY, tls=tls
                )
            finally:
                connections.abort()

    return asyncio.run(scenario())


def test_bodies_are_transferred_in_both_directions():
    assert call(client_context(CERTIFICATE)).body == BODY


@pytest.mark.parametrize("tls", [None, ssl.create_default_context()])
def test_client_without_tls_or_with_another_ca_gets_no_response(tls):
    with pytest.raises(ExternalError):
        call(tls)
