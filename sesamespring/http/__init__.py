"""Speak HTTP/1.1 by h11 on both sides.

What is named here is loaded when it is first used: the daemon on the platform needs a
few of these modules only, and pays in time and memory for each at every start.
"""

import importlib

_MODULES = {
    "ClientConnection": "client",
    "ClientResponse": "client",
    "HttpStream": "stream",
    "OUTCOME_HEADER": "exchange",
    "ServerConnections": "server",
    "ServerExchange": "exchange",
    "client_context": "tls",
    "fetch": "client",
    "header": "headers",
    "json_body": "headers",
    "listen": "stream",
    "server_context": "tls",
}

__all__ = list(_MODULES)


def __getattr__(name):
    module = _MODULES.get(name)
    if module is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(f"{__name__}.{module}"), name)
