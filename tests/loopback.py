"""Addresses for tests that listen, so that test runs beside each other do not meet.

Each process of a run has a network of its own below 127.0.0.0/8.
"""

import os

__all__ = ["NETWORK", "loopback_ip"]

# Networks from 64 on belong to the soak.
_SECOND_BYTE = int(os.environ.get("LOOPBACK_NETWORK", "0")) + int(
    os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw")
)
NETWORK = f"127.{_SECOND_BYTE}"


def loopback_ip(third_byte, last_byte):
    """Return an IP address of this process's network.

    >>> loopback_ip(6, 1).startswith("127.") and loopback_ip(6, 1).endswith(".6.1")
    True
    """
    return f"{NETWORK}.{third_byte}.{last_byte}"
