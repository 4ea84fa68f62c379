"""HTTP/1.1 clients and servers built on h11 and asyncio.

The names below are imported from their modules on first access: the gateway daemon
needs only a few of these modules, and each import costs it start-up time and memory.
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
