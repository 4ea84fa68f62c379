"""What surrounds a request in the daemon, as far as its forwarding needs it.

Connections, attempts and the forwarding itself are the product's; slots are granted at
once.
"""

import asyncio
import types

import attrs

from sesamespring.gateway.callers.request_quarantine import RequestQuarantine
from sesamespring.gateway.context import GatewayContext
from sesamespring.gateway.counters import Counters
from sesamespring.gateway.targets.connection_pool import TargetConnectionPool
from sesamespring.gateway.targets.target_availability import TargetAvailability
from sesamespring.gateway.targets.target_limits import TargetLimits
from sesamespring.gateway.targets.target_paths import TargetPaths
from sesamespring.routing.messages import Dispatch
from sesamespring.routing.records import Route, TargetEntry

__all__ = [
    "ATTEMPTS_MAX",
    "BODY_BYTES_MAX",
    "SAFE",
    "UNSAFE",
    "make_context",
    "make_member",
]

ATTEMPTS_MAX = 3
BODY_BYTES_MAX = 4 * 1024 * 1024
EXPECTED_S = 0.05
HEDGE_AFTER_S = 0.1
SERVICE = "s"


def _route(name, idempotent):
    return Route(
        name=name,
        host="h",
        prefix=f"/{name}/",
        idempotent=idempotent,
        timeout_s=4.0,
        goal_s=1.0,
        priority=0,
        attempts_max=ATTEMPTS_MAX,
        shares=(),
    )


SAFE = _route("safe", True)
UNSAFE = _route("unsafe", False)


class _Log:
    """A log that nobody reads."""

    def event(self, event, **fields):
        """Write nothing."""

    routine = event


class _Routes:
    """The two routes, which share a service."""

    def select(self, host, target):
        """Return the Route of a request target."""
        routes = (route for route in (SAFE, UNSAFE) if target.startswith(route.prefix))
        return next(routes, None)

    def choose_service(self, route):
        """Return the service of a route."""
        return SERVICE


class _ClusterState:
    """Targets and a configuration that do not change."""

    ready = True
    account_keys = None
    closed_data_centres = frozenset()

    def __init__(self, entries):
        limits = types.SimpleNamespace(body_bytes_max=BODY_BYTES_MAX)
        self.configuration = types.SimpleNamespace(
            limits=limits, accounts=None, version=1
        )
        self.registrations = types.SimpleNamespace(age_s=0.0)
        self._entries = {entry.key: entry for entry in entries}

    def target(self, key):
        """Return the TargetEntry with a key."""
        return self._entries.get(key)

    def mark_leaving(self, key, source):
        """Return that it is no news that a target is leaving."""
        return False


@attrs.define(eq=False)
class _Slot:
    """A request that waits for slots.

    Attributes:
        request: The ScheduledRequest.
        post: Function that takes the Dispatch.
        started: Number of attempts that were started.
        timer: Timer of a second attempt beside the first, or None.
        decider: None, as this VM decides.
    """

    request: object
    post: object
    started: int = 0
    timer: object = None
    decider: object = None


class _Slots:
    """Grants each request a slot at the next target, at once.

    Args:
        entries: List of the TargetEntries.
        hedges: Whether a slow attempt at a safe request gets another one beside it.
    """

    def __init__(self, entries, hedges):
        self._entries = entries
        self._hedges = hedges
        self._loop = asyncio.get_running_loop()

    def submit(self, service, request, post):
        """Grant the first slot, and return the object that stands for the request."""
        slot = _Slot(request, post)
        self._grant(slot, hedge=False)
        if self._hedges and request.idempotent:
            slot.timer = self._loop.call_later(HEDGE_AFTER_S, self._grant, slot, True)
        return slot

    def resubmit(self, slot):
        """Grant another slot after an attempt that has failed."""
        self._end_hedging(slot)
        self._grant(slot, hedge=False)

    def may_retry(self, slot):
        """Return whether an attempt is left."""
        return slot.request.attempts_left > 0

    def withdraw(self, slot):
        """End the wait for slots."""
        self._end_hedging(slot)

    def response_started(self, slot, end):
        """Note nothing: a response is being passed on."""

    def finish_attempt(self, slot, end):
        """End the hedging, as an attempt has ended."""
        self._end_hedging(slot)

    def _grant(self, slot, hedge):
        entry = self._entries[slot.started % len(self._entries)]
        slot.started += 1
        slot.request.attempts_left -= 1
        dispatch = Dispatch(
            slot.request, slot.started, entry, hedge, 0.0, EXPECTED_S, 0.0
        )
        self._loop.call_soon(slot.post, dispatch)

    def _end_hedging(self, slot):
        if slot.timer is not None:
            slot.timer.cancel()
            slot.timer = None


def make_member(address):
    """Return what a VM knows of another one that reaches all targets."""
    return types.SimpleNamespace(
        name="other",
        incarnation=1,
        address=address,
        callers_port=address[1],
        cores=1,
        leaving=False,
        reaches=lambda service: True,
        reaches_no_target=False,
        unreachable_services=(),
    )


def make_context(addresses, hedges=False, members=()):
    """Return the GatewayContext of a VM whose targets have these addresses.

    Args:
        addresses: List of pairs of IP and port.
        hedges: Whether a slow attempt at a safe request gets another one beside it.
        members: The other VMs that it knows, see ``make_member``.
    """
    entries = [
        TargetEntry(f"t{number}", 1, SERVICE, address, "dc", 8, False, 0.0)
        for number, address in enumerate(addresses)
    ]
    log, counters = _Log(), Counters()
    cluster_state = _ClusterState(entries)
    pools = [TargetConnectionPool(lambda: None) for _ in range(2)]
    peers = types.SimpleNamespace(alive={member.name: member for member in members})
    paths = TargetPaths(peers, *pools, log)
    paths.set_targets(entries)
    return GatewayContext(
        cluster_state=cluster_state,
        routes=_Routes(),
        slot_client=_Slots(entries, hedges),
        target_connections=pools[0],
        paths=paths,
        limits=TargetLimits(counters, log),
        availability=TargetAvailability(cluster_state, counters, log),
        quarantine=RequestQuarantine(counters, log),
        counters=counters,
        log=log,
        data_centre="dc",
    )
