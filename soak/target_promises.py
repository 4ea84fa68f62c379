"""Check what reached the targets against what VMs promise to them.

Checks leave out requests that a fault could have affected.
"""

import collections

from soak.breach import Breach, store_and_vm_undisturbed
from soak.cluster import COLD_PER_S

__all__ = ["check_targets"]

# Time after the store's acknowledgement within which VMs have to send no more requests
# to a draining target or an evacuated data centre.
DRAINING_BOUND_S = 2.0
EVACUATION_BOUND_S = 5.0
CALM_S = 3.0
# The factor, the slack and the retry budget are those of the VMs' settings in soak.vm.
COLD_REQUESTS_PER_S_MAX = COLD_PER_S * 1.5 + 5
RETRY_RATIO = 0.2
RETRY_SLACK = 56
RETRY_WINDOW_S = 10.0
# A request that has ended FATAL_TARGETS targets may reach FATAL_ARRIVALS_MAX more when
# VMs have had FATAL_SPREAD_S to know of it.
FATAL_TARGETS = 3
FATAL_SPREAD_S = 3.0
FATAL_ARRIVALS_MAX = 3
# What a target may get from a VM that it has asked to back off, after the start of it.
BACKOFF_START_S = 0.5
BACKOFF_REQUESTS_MAX = 2
# A target that states a limit may get LIMIT_RATIO times as much in a window, and
# LIMIT_SLACK requests more, in windows that end LIMIT_SETTLE_S after the statement.
LIMIT_WINDOW_S = 4.0
LIMIT_SETTLE_S = 5.0
LIMIT_RATIO = 1.5
LIMIT_SLACK = 5


def check_targets(cluster, calls):
    """Check all promises to targets; return a list of Breaches.

    Args:
        cluster: The Cluster.
        calls: The Calls of all callers.
    """
    vms = {call.request_id: call.vm for call in calls}
    return [
        *_check_draining_targets(cluster, vms),
        *_check_evacuations(cluster, vms),
        *_check_cold_starts(cluster),
        *_check_retry_budget(cluster, calls),
        *_check_fatal_requests(cluster, calls),
        *_check_requested_backoffs(cluster),
        *_check_stated_leaving(cluster),
        *_check_limits(cluster),
    ]


def _check_draining_targets(cluster, vms):
    """Return Breaches for requests at targets that had been draining for too long.

    Args:
        cluster: The Cluster.
        vms: Dict by request id of the name of the VM that it was sent to.
    """
    breaches = []
    for target in cluster.targets:
        since_s = target.draining_since_s
        if since_s is None:
            continue
        for arrival in target.server.arrivals:
            late = arrival.at_s > since_s + DRAINING_BOUND_S
            vm = vms[arrival.request_id]
            if late and store_and_vm_undisturbed(cluster, vm, since_s, arrival.at_s):
                breaches.append(Breach("leaving", f"{arrival} at {target.name}"))
    return breaches


def _check_evacuations(cluster, vms):
    """Return Breaches for requests at targets in evacuated data centres.

    The arguments are those of ``_check_draining_targets``.
    """
    breaches = []
    for evacuation in cluster.evacuations:
        first_s = evacuation.since_s + EVACUATION_BOUND_S
        for target in cluster.targets:
            if target.data_centre != evacuation.data_centre:
                continue
            for arrival in target.server.arrivals:
                late = first_s < arrival.at_s < evacuation.until_s
                vm = vms[arrival.request_id]
                if late and store_and_vm_undisturbed(
                    cluster, vm, evacuation.since_s, arrival.at_s
                ):
                    detail = f"{arrival} at {target.name} of {target.data_centre}"
                    breaches.append(Breach("closed-data-centre", detail))
    return breaches


def _check_cold_starts(cluster):
    """Return Breaches for targets that got too many requests while cold."""
    breaches = []
    for target in cluster.targets:
        until_s = target.cold_until_s
        times = [a.at_s for a in target.server.arrivals if a.at_s < until_s]
        maximum = _max_in_window(times, 1.0)
        if maximum > COLD_REQUESTS_PER_S_MAX:
            breaches.append(Breach("cold", f"{maximum} in a second at {target.name}"))
    return breaches


def _check_retry_budget(cluster, calls):
    """Return Breaches for services whose retries exceed the retry budget."""
    arrivals = collections.defaultdict(list)
    for target in cluster.targets:
        for arrival in target.server.arrivals:
            key = (target.service, arrival.request_id)
            arrivals[key].append(arrival.at_s)
    retries = collections.defaultdict(list)
    request_counts = collections.Counter()
    for (service, _), times in arrivals.items():
        retries[service] += sorted(times)[1:]
        request_counts[service] += 1
    breaches = []
    for service, times in retries.items():
        maximum = _max_in_window(sorted(times), RETRY_WINDOW_S)
        if maximum > RETRY_RATIO * request_counts[service] + RETRY_SLACK:
            breaches.append(Breach("retry-budget", f"{maximum} for {service}"))
    return breaches


def _check_fatal_requests(cluster, calls):
    """Return Breaches for requests that go on ending targets."""
    breaches = []
    sent_by = {call.request_id: call for call in calls if call.fatal}
    for path in cluster.fatal_paths:
        ends = [run.at_s for run in cluster.fatal_runs if run.path == path]
        if len(ends) < FATAL_TARGETS:
            continue
        known_s = ends[FATAL_TARGETS - 1] + FATAL_SPREAD_S
        late = [
            arrival
            for target in cluster.targets
            for arrival in target.server.arrivals
            if arrival.at_s > known_s
            and arrival.request_id in sent_by
            and sent_by[arrival.request_id].path == path
            and store_and_vm_undisturbed(
                cluster,
                sent_by[arrival.request_id].vm,
                arrival.at_s - CALM_S,
                arrival.at_s,
            )
        ]
        if len(late) > FATAL_ARRIVALS_MAX:
            breaches.append(Breach("fatal-request", f"{path}: {late}"))
    return breaches


def _check_requested_backoffs(cluster):
    """Return Breaches for VMs that send to a target that asked them to back off."""
    names = {vm.ip: vm.name for vm in cluster.vms}
    breaches = []
    for target in cluster.targets:
        arrivals = target.server.arrivals
        for asked in (arrival for arrival in arrivals if arrival.backoff_s is not None):
            first_s = asked.at_s + BACKOFF_START_S
            during = [
                arrival
                for arrival in arrivals
                if arrival.client_ip == asked.client_ip
                and first_s < arrival.at_s < asked.at_s + asked.backoff_s
            ]
            if len(
                during
            ) > BACKOFF_REQUESTS_MAX and cluster.disturbances.is_undisturbed(
                names[asked.client_ip], asked.at_s, during[-1].at_s
            ):
                breaches.append(
                    Breach("requested-backoff", f"{target.name}: {asked}, {during}")
                )
    return breaches


def _check_stated_leaving(cluster):
    """Return Breaches for VMs that send to a target that told them it was leaving."""
    names = {vm.ip: vm.name for vm in cluster.vms}
    breaches = []
    for target in cluster.targets:
        since_s = target.states_leaving_since_s
        if since_s is None:
            continue
        told_s = {}
        for arrival in target.server.arrivals:
            if arrival.at_s < since_s:
                continue
            first_s = told_s.setdefault(arrival.client_ip, arrival.at_s)
            if arrival.at_s > first_s + DRAINING_BOUND_S and all(
                cluster.disturbances.is_undisturbed(
                    component, first_s, arrival.at_s, without=("leaving",)
                )
                for component in (target.name, names[arrival.client_ip])
            ):
                breaches.append(Breach("stated-leaving", f"{arrival} at {target.name}"))
    return breaches


def _check_limits(cluster):
    """Return Breaches for targets that got more than the limit that they stated.

    A target whose responses are disturbed may not have told of it.
    """
    breaches = []
    for target in cluster.targets:
        server = target.server
        times = sorted([a.at_s for a in server.arrivals] + server.health_checks)
        for limited in target.limits:
            first_s = limited.since_s + LIMIT_SETTLE_S - LIMIT_WINDOW_S
            during = [at_s for at_s in times if first_s <= at_s < limited.until_s]
            most = _max_in_window(during, LIMIT_WINDOW_S)
            allowed = LIMIT_RATIO * limited.per_s * LIMIT_WINDOW_S + LIMIT_SLACK
            if most > allowed and cluster.disturbances.is_undisturbed(
                target.name, limited.since_s, limited.until_s
            ):
                detail = f"{target.name}: {most} in a window, limit {limited}"
                breaches.append(Breach("limit", detail))
    return breaches


def _max_in_window(times, window_s):
    """Return the maximum number of the sorted times that lie in one window.

    >>> _max_in_window([0.0, 0.5, 0.9, 1.2], 1.0)
    3
    """
    maximum, first = 0, 0
    for last, at_s in enumerate(times):
        while at_s - times[first] >= window_s:
            first += 1
        maximum = max(maximum, last - first + 1)
    return maximum
