"""Measure what the check of a key adds to a request, by the number of accounts.

The check is timed alone, as a request through sockets varies by more than it takes. It
is compared with the processor time of a whole request through the daemon, of which the
stand-ins of caller and target take a part, so a third of that time counts.
"""

import argparse
import asyncio
import json
import secrets
import time
import types

from sesamespring.gateway.callers.request_accounts import check_account
from sesamespring.platform.headers import target_request_headers
from sesamespring.platform.operator_table import decode_configuration
from sesamespring.routing.account_keys import AccountKeysBuilder
from tests.gateway.cluster import Cluster, configuration

__all__ = ["main"]

ACCOUNT_COUNTS = (0, 1, 72, 5000)
PART_MAX = 0.05
REQUESTS = 400
ROUNDS = 5
CHECKS = 20_000
DAEMON_PART = 1 / 3
CALLER_HEADERS = [
    (b"host", b"a.example"),
    (b"sesamespring-request-id", b"4c4acfdc6d9280bc"),
    (b"sesamespring-deadline-ms", b"800"),
    (b"accept", b"*/*"),
    (b"user-agent", b"bench"),
]


def account_keys(count):
    """Return an AccountKeys for a number of accounts, and one of the keys."""
    if not count:
        return None, b"none"
    tenants = {f"a{n}": {"apiKeys": [secrets.token_hex(16)]} for n in range(count)}
    content = json.dumps(configuration(1, tenants=tenants)).encode()
    builder = AccountKeysBuilder(decode_configuration(content).unwrap(), b"secret")
    builder.add(count)
    return builder.keys, tenants["a0"]["apiKeys"][0].encode()


def check_us(count):
    """Return the time that key and account of one request take, in microseconds."""
    keys, key = account_keys(count)
    headers = list(CALLER_HEADERS)
    if keys is not None:
        headers.append((b"sesamespring-credential", key))
    route = types.SimpleNamespace(public=False, priority=1)
    best_s = float("inf")
    for _ in range(ROUNDS):
        started_s = time.perf_counter()
        for _ in range(CHECKS):
            account = check_account(headers, route, keys).unwrap()
            account.update(keys)
            account.priority(route)
            target_request_headers(headers, "t1", 0.5, account.name)
        best_s = min(best_s, time.perf_counter() - started_s)
    return best_s / CHECKS * 1e6


async def request_us():
    """Return the least processor time of one request, in microseconds."""
    best_s = float("inf")
    async with Cluster(work_s=0.0) as cluster:
        for round_number in range(ROUNDS):
            started_s = time.process_time()
            for number in range(REQUESTS):
                await cluster.call(cluster.ips[0], f"r{round_number}-{number}")
            best_s = min(best_s, time.process_time() - started_s)
    return best_s / REQUESTS * 1e6


def main(arguments):
    """Print the figures; return 1 if a check takes more than ``PART_MAX``."""
    parser = argparse.ArgumentParser(prog="bench accounts", description=__doc__)
    parser.parse_args(arguments)
    whole_us = asyncio.run(request_us())
    print(f"whole request with stand-ins: {whole_us:.0f} us")
    costs = {count: check_us(count) for count in ACCOUNT_COUNTS}
    worst = 0.0
    for count, cost_us in costs.items():
        part = (cost_us - costs[0]) / (whole_us * DAEMON_PART)
        worst = max(worst, part)
        print(f"{count:5} accounts: {cost_us:5.2f} us, {part:6.2%} more of a request")
    return int(worst > PART_MAX)
