"""Test that TLS keeps those out who do not speak it or trust another authority."""

import asyncio
import os
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

# Files of the tests only; the private key protects nothing.
FOLDER = Path(__file__).parent / "tls"
CERTIFICATE = str(FOLDER / "certificate.pem")
PRIVATE_KEY = str(FOLDER / "private_key.pem")
HOST = os.environ.get("ESTATE_HOST", "127.0.0.1")
BODY = b"x" * 300_000


def call(tls):
    """Send a request to a TLS server that answers with what it got."""

    async def answer(exchange):
        await exchange.send_whole(200, await exchange.whole_body(1_000_000))

    async def whole():
        connections = ServerConnections()

        async def connected(reader, writer):
            await connections.serve(reader, writer, answer)

        context = server_context(CERTIFICATE, PRIVATE_KEY)
        async with await listen(connected, (HOST, 0), tls=context) as server:
            address = server.sockets[0].getsockname()
            try:
                return await fetch(
                    address, "POST", "/", timeout_s=10.0, body=BODY, tls=tls
                )
            finally:
                connections.abort()

    return asyncio.run(whole())


def test_whole_bodies_pass_both_ways():
    assert call(client_context(CERTIFICATE)).body == BODY


@pytest.mark.parametrize("tls", [None, ssl.create_default_context()])
def test_others_get_nothing(tls):
    with pytest.raises(ExternalError):
        call(tls)
