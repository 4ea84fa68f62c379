"""Check what callers and targets saw against what the product promises."""

import collections

import attrs

from soak.cluster import COLD_PER_S
from soak.disturbances import STORE
from soak.load import CLOSED, TIMEOUT_S

__all__ = ["Breach", "check_promises", "check_recovery"]

# Statuses that promise that a request has not run.
NOT_RUN = frozenset({408, 421, 429, 503})
LEAVING_BOUND_S = 2.0
CLOSED_BOUND_S = 5.0
CONFIGURATION_BOUND_S = 2.0
REVERT_SLACK_S = 0.25
LATE_ANSWER_S = 0.5
CALM_S = 3.0
COLD_BOUND = COLD_PER_S * 1.5 + 5
RETRY_RATIO = 0.2
RETRY_SLACK = 56
RETRY_WINDOW_S = 10.0
SERVED_AFTER_FAULTS = 0.95
GRACEFUL = "terminated"


@attrs.frozen
class Breach:
    """A promise that was broken.

    Attributes:
        promise: Its short name.
        detail: What was seen.
    """

    promise: str
    detail: str


def check_promises(cluster, load):
    """Return the Breaches of all promises so far, as a list."""
    runs = _runs(cluster)
    breaches = []
    for check in (
        _ran_twice,
        _refused_and_ran,
        _mixed,
        _cut_by_stop,
        _unanswered,
    ):
        breaches += check(cluster, load.calls, runs)
    vms = {call.request_id: call.vm for call in load.calls}
    breaches += _sent_to_leaving(cluster, vms)
    breaches += _sent_to_closed(cluster, vms)
    breaches += _overrun_cold(cluster)
    breaches += _extra_attempts(cluster, load.calls)
    breaches += _configuration(cluster, load.calls)
    return breaches


def check_recovery(load, from_s, to_s):
    """Return the Breaches where too little is served after all faults have ended."""
    asked = [c for c in load.calls if from_s <= c.sent_s < to_s]
    served = sum(c.status == 200 for c in asked)
    if asked and served >= SERVED_AFTER_FAULTS * len(asked):
        return []
    counts = collections.Counter(c.status for c in asked)
    return [Breach("recovery", f"served {served} of {len(asked)}: {dict(counts)}")]


def _runs(cluster):
    """Return a dict by request id of the pairs of target and time of its runs."""
    runs = collections.defaultdict(list)
    for target in cluster.targets:
        for arrival in target.server.arrivals:
            if arrival.accepted:
                runs[arrival.request_id].append((target, arrival.at_s))
    return runs


def _ran_twice(cluster, calls, runs):
    return [
        Breach("at-most-once", f"{call} ran at {_names(runs[call.request_id])}")
        for call in calls
        if not call.idempotent and len(runs[call.request_id]) > 1
    ]


def _refused_and_ran(cluster, calls, runs):
    return [
        Breach("not-run", f"{call} ran at {_names(runs[call.request_id])}")
        for call in calls
        if not call.idempotent and call.status in NOT_RUN and runs[call.request_id]
    ]


def _mixed(cluster, calls, runs):
    return [
        Breach("whole-answer", f"{call}")
        for call in calls
        if call.status == 200
        and (
            call.body != b"answer to " + call.request_id.encode()
            or not runs[call.request_id]
        )
    ]


def _cut_by_stop(cluster, calls, runs):
    """Requests that ran and were cut where only a planned stop was under way."""
    breaches = []
    for call in calls:
        ran = runs[call.request_id]
        if call.status != CLOSED or not ran:
            continue
        span = (call.sent_s, call.ended_s)
        calm = cluster.disturbances.is_calm(call.vm, *span, without=(GRACEFUL,))
        targets = {target.name for target, _ in ran}
        if calm and all(cluster.disturbances.is_calm(t, *span) for t in targets):
            breaches.append(Breach("nothing-cut", f"{call} ran at {_names(ran)}"))
    return breaches


def _unanswered(cluster, calls, runs):
    """Requests without a final answer some time after they had to have one."""
    breaches = []
    for call in calls:
        due_s = call.sent_s + TIMEOUT_S + LATE_ANSWER_S
        if call.ended_s is None or call.ended_s <= due_s or call.not_connected:
            continue
        if cluster.disturbances.is_calm(call.vm, call.sent_s, call.ended_s):
            breaches.append(Breach("final-answer", f"{call}"))
    return breaches


def _sent_to_leaving(cluster, vms):
    """Requests at targets that had said that they leave.

    Args:
        cluster: The Cluster.
        vms: Dict by request id of the name of the VM that took it.
    """
    breaches = []
    for target in cluster.targets:
        since_s = target.leaving_since_s
        if since_s is None:
            continue
        for arrival in target.server.arrivals:
            late = arrival.at_s > since_s + LEAVING_BOUND_S
            vm = vms[arrival.request_id]
            if late and _in_touch(cluster, vm, since_s, arrival.at_s):
                breaches.append(Breach("leaving", f"{arrival} at {target.name}"))
    return breaches


def _sent_to_closed(cluster, vms):
    """Requests in closed data centres; see ``_sent_to_leaving``."""
    breaches = []
    for closure in cluster.closures:
        first_s = closure.since_s + CLOSED_BOUND_S
        for target in cluster.targets:
            if target.data_centre != closure.data_centre:
                continue
            for arrival in target.server.arrivals:
                late = first_s < arrival.at_s < closure.until_s
                vm = vms[arrival.request_id]
                if late and _in_touch(cluster, vm, closure.since_s, arrival.at_s):
                    detail = f"{arrival} at {target.name} of {target.data_centre}"
                    breaches.append(Breach("closed-data-centre", detail))
    return breaches


def _overrun_cold(cluster):
    breaches = []
    for target in cluster.targets:
        until_s = target.cold_until_s
        times = [a.at_s for a in target.server.arrivals if a.at_s < until_s]
        most = _most_within(times, 1.0)
        if most > COLD_BOUND:
            breaches.append(Breach("cold", f"{most} in a second at {target.name}"))
    return breaches


def _extra_attempts(cluster, calls):
    arrivals = collections.defaultdict(list)
    for target in cluster.targets:
        for arrival in target.server.arrivals:
            key = (target.service, arrival.request_id)
            arrivals[key].append(arrival.at_s)
    extras = collections.defaultdict(list)
    asked = collections.Counter()
    for (service, _), times in arrivals.items():
        extras[service] += sorted(times)[1:]
        asked[service] += 1
    breaches = []
    for service, times in extras.items():
        most = _most_within(sorted(times), RETRY_WINDOW_S)
        if most > RETRY_RATIO * asked[service] + RETRY_SLACK:
            breaches.append(Breach("retry-budget", f"{most} for {service}"))
    return breaches


def _configuration(cluster, calls):
    """Versions must come into force in time, and never go out of it again."""
    acknowledged = dict(cluster.configurations)
    seen = {}
    breaches = []
    for call in sorted(calls, key=lambda c: c.sent_s):
        if not call.path.startswith("/tag-"):
            continue
        version = int(call.path.split("/")[1].removeprefix("tag-"))
        place = (call.vm, call.lifetime)
        if call.status == 200:
            seen.setdefault(place, {}).setdefault(version, call.ended_s)
        if call.status != 404:
            continue
        seen_s = seen.get(place, {}).get(version, float("inf"))
        newest_s = min(
            (s for v, s in acknowledged.items() if v > version), default=float("inf")
        )
        if newest_s < call.ended_s:
            # The route may have gone with the next version.
            continue
        if call.sent_s > seen_s + REVERT_SLACK_S:
            breaches.append(Breach("never-reverts", f"{call}"))
        late = call.sent_s > acknowledged[version] + CONFIGURATION_BOUND_S
        span = (acknowledged[version], call.ended_s)
        if late and _in_touch(cluster, call.vm, *span):
            breaches.append(Breach("in-force", f"{call}"))
    return breaches


def _in_touch(cluster, vm, from_s, to_s):
    """Whether the store and a VM were calm for a while before and in a span."""
    disturbances = cluster.disturbances
    return all(disturbances.is_calm(part, from_s, to_s) for part in (STORE, vm))


def _most_within(times, window_s):
    """Return how many of the sorted times fall into one window at the most.

    >>> _most_within([0.0, 0.5, 0.9, 1.2], 1.0)
    3
    """
    most, first = 0, 0
    for last, at_s in enumerate(times):
        while at_s - times[first] >= window_s:
            first += 1
        most = max(most, last - first + 1)
    return most


def _names(ran):
    return [target.name for target, _ in ran]
