"""Check the records of callers and targets against the guarantees of the product.

Each guarantee is a promise with a short name. Checks leave out requests that a fault
could have affected, for example those at a VM that was killed.
"""

import collections

import attrs

from soak.cluster import COLD_PER_S
from soak.disturbances import STORE
from soak.load import CONNECTION_CLOSED, TIMEOUT_S

__all__ = ["LINKS_LOST", "Breach", "check_promises", "check_recovery"]

# Response statuses that guarantee that a request has not run.
NOT_RUN = frozenset({408, 421, 429, 503})
# Time after the store's acknowledgement within which VMs have to send no more requests
# to a draining target or an evacuated data centre, and have to use a configuration.
DRAINING_BOUND_S = 2.0
EVACUATION_BOUND_S = 5.0
CONFIGURATION_BOUND_S = 2.0
# Requests sent this soon after the first with a new version may be handled by the old.
REVERT_SLACK_S = 0.25
# Time after the deadline within which a request has to end.
LATE_RESPONSE_S = 0.5
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
# VMs have this time to find another way to targets that they do not reach. From then
# on their callers have to be served this share as often as those of the others, apart
# from a few failures.
LINKS_SETTLE_S = 3.0
LINKS_SERVED_RATIO = 2 / 3
LINKS_FAILED_SLACK = 10
LINKS_FAILED_RATIO = 1 / 50
# What a target may get from a VM that it has asked to back off, after the start of it.
BACKOFF_START_S = 0.5
BACKOFF_REQUESTS_MAX = 2
# A target that states a limit may get LIMIT_RATIO times as much in a window, and
# LIMIT_SLACK requests more, in windows that end LIMIT_SETTLE_S after the statement.
LIMIT_WINDOW_S = 4.0
LIMIT_SETTLE_S = 5.0
LIMIT_RATIO = 1.5
LIMIT_SLACK = 5
# Minimum share of successful requests after all faults have ended.
RECOVERED_SHARE = 0.95
# The kind of disturbance that is a graceful stop by SIGTERM.
GRACEFUL_STOP = "terminated"
# The kind of disturbance that is a VM cut off from all targets.
LINKS_LOST = "links lost"


@attrs.frozen
class Breach:
    """A promise that was broken.

    Attributes:
        promise: Short name of the promise.
        detail: The records that show the breach.
    """

    promise: str
    detail: str


def check_promises(cluster, load):
    """Check all promises on the records so far; return a list of Breaches."""
    runs = _find_runs(cluster)
    breaches = []
    for check in (
        _check_at_most_once,
        _check_not_run,
        _check_whole_response,
        _check_graceful_stop,
        _check_final_response,
    ):
        breaches += check(cluster, load.calls, runs)
    vms = {call.request_id: call.vm for call in load.calls}
    breaches += _check_draining_targets(cluster, vms)
    breaches += _check_evacuations(cluster, vms)
    breaches += _check_cold_starts(cluster)
    breaches += _check_retry_budget(cluster, load.calls)
    breaches += _check_configuration(cluster, load.calls)
    breaches += _check_fatal_requests(cluster, load.calls)
    breaches += _check_lost_links(cluster, load.calls)
    breaches += _check_requested_backoffs(cluster)
    breaches += _check_stated_leaving(cluster)
    breaches += _check_limits(cluster)
    return breaches


def check_recovery(load, from_s, to_s):
    """Check that the VMs serve requests again after all faults have ended.

    Args:
        load: The LoadGenerator.
        from_s: Start of the period to check, on the monotonic clock.
        to_s: End of the period, on the monotonic clock.

    Returns:
        A list of one Breach if less than RECOVERED_SHARE of the requests succeeded or
        none was sent; otherwise an empty list.
    """
    sent = [c for c in load.calls if from_s <= c.sent_s < to_s and not c.fatal]
    served = sum(c.status == 200 for c in sent)
    if sent and served >= RECOVERED_SHARE * len(sent):
        return []
    counts = collections.Counter(c.status for c in sent)
    return [Breach("recovery", f"served {served} of {len(sent)}: {dict(counts)}")]


def _find_runs(cluster):
    """Return a dict by request id of a list of pairs of target and start time."""
    runs = collections.defaultdict(list)
    for target in cluster.targets:
        for arrival in target.server.arrivals:
            if arrival.accepted:
                runs[arrival.request_id].append((target, arrival.at_s))
    return runs


def _check_at_most_once(cluster, calls, runs):
    """Return Breaches for requests that are not idempotent and ran repeatedly."""
    return [
        Breach("at-most-once", f"{call} ran at {_target_names(runs[call.request_id])}")
        for call in calls
        if not call.idempotent and len(runs[call.request_id]) > 1
    ]


def _check_not_run(cluster, calls, runs):
    """Return Breaches for requests that ran although their status excludes it."""
    return [
        Breach("not-run", f"{call} ran at {_target_names(runs[call.request_id])}")
        for call in calls
        if not call.idempotent and call.status in NOT_RUN and runs[call.request_id]
    ]


def _check_whole_response(cluster, calls, runs):
    """Return Breaches for responses that are incomplete or of another request."""
    return [
        Breach("whole-answer", f"{call}")
        for call in calls
        if call.status == 200
        and (
            call.body != b"answer to " + call.request_id.encode()
            or not runs[call.request_id]
        )
    ]


def _check_graceful_stop(cluster, calls, runs):
    """Return Breaches for requests that ran but got no response.

    A graceful stop of the VM must not cause that. Other disturbances of the VM or of
    the target may.
    """
    breaches = []
    for call in calls:
        ran = runs[call.request_id]
        if call.status != CONNECTION_CLOSED or not ran:
            continue
        span = (call.sent_s, call.ended_s)
        undisturbed = cluster.disturbances.is_undisturbed(
            call.vm, *span, without=(GRACEFUL_STOP,)
        )
        targets = {target.name for target, _ in ran}
        if undisturbed and all(
            cluster.disturbances.is_undisturbed(t, *span) for t in targets
        ):
            breaches.append(
                Breach("nothing-cut", f"{call} ran at {_target_names(ran)}")
            )
    return breaches


def _check_final_response(cluster, calls, runs):
    """Return Breaches for requests that ended too long after their deadline."""
    breaches = []
    for call in calls:
        due_s = call.sent_s + TIMEOUT_S + LATE_RESPONSE_S
        if call.ended_s is None or call.ended_s <= due_s:
            continue
        if call.not_connected or call.silenced:
            continue
        if cluster.disturbances.is_undisturbed(call.vm, call.sent_s, call.ended_s):
            breaches.append(Breach("final-answer", f"{call}"))
    return breaches


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
            if late and _store_and_vm_undisturbed(cluster, vm, since_s, arrival.at_s):
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
                if late and _store_and_vm_undisturbed(
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


def _check_configuration(cluster, calls):
    """Check that versions come into force in time and stay in force.

    The route of a version exists only while that version is in force: status 200 shows
    that it is, 404 that it is not.
    """
    acknowledged = dict(cluster.configurations)
    seen = {}
    breaches = []
    for call in sorted(calls, key=lambda c: c.sent_s):
        if not call.path.startswith("/tag-"):
            continue
        version = int(call.path.split("/")[1].removeprefix("tag-"))
        vm_process = (call.vm, call.lifetime)
        if call.status == 200:
            seen.setdefault(vm_process, {}).setdefault(version, call.ended_s)
        if call.status != 404:
            continue
        seen_s = seen.get(vm_process, {}).get(version, float("inf"))
        newest_s = min(
            (s for v, s in acknowledged.items() if v > version), default=float("inf")
        )
        if newest_s < call.ended_s:
            # The next version, which lacks the route, may already be in force.
            continue
        if call.sent_s > seen_s + REVERT_SLACK_S:
            breaches.append(Breach("never-reverts", f"{call}"))
        late = call.sent_s > acknowledged[version] + CONFIGURATION_BOUND_S
        span = (acknowledged[version], call.ended_s)
        if late and _store_and_vm_undisturbed(cluster, call.vm, *span):
            breaches.append(Breach("in-force", f"{call}"))
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
            and _store_and_vm_undisturbed(
                cluster,
                sent_by[arrival.request_id].vm,
                arrival.at_s - CALM_S,
                arrival.at_s,
            )
        ]
        if len(late) > FATAL_ARRIVALS_MAX:
            breaches.append(Breach("fatal-request", f"{path}: {late}"))
    return breaches


def _check_lost_links(cluster, calls):
    """Return Breaches for VMs without links whose callers are served worse.

    The VMs that they are compared to must have had their links all the while, and the
    requests are those sent while there was such a VM.
    """
    breaches = []
    for lost in cluster.lost_links:
        first_s = lost.since_s + LINKS_SETTLE_S
        kept = [vm.name for vm in cluster.vms if vm.name not in lost.vms]
        during = [
            call
            for call in calls
            if first_s <= call.sent_s
            and call.ended_s is not None
            and call.ended_s <= lost.until_s
            and not call.fatal
            and cluster.disturbances.is_undisturbed(
                call.vm,
                lost.since_s,
                call.ended_s,
                without=(LINKS_LOST,) if call.vm in lost.vms else (),
            )
            and any(
                cluster.disturbances.is_undisturbed(vm, lost.since_s, call.ended_s)
                for vm in kept
            )
        ]
        cut = [call.status == 200 for call in during if call.vm in lost.vms]
        others = [call.status == 200 for call in during if call.vm not in lost.vms]
        if not cut or not others:
            continue
        allowed = LINKS_FAILED_SLACK + LINKS_FAILED_RATIO * len(during)
        share, others_share = sum(cut) / len(cut), sum(others) / len(others)
        if share < LINKS_SERVED_RATIO * others_share and len(cut) - sum(cut) > allowed:
            detail = f"{sum(cut)} of {len(cut)}, others {sum(others)} of {len(others)}"
            breaches.append(Breach("lost-links", f"{sorted(lost.vms)}: {detail}"))
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


def _store_and_vm_undisturbed(cluster, vm, from_s, to_s):
    """Return whether neither the store nor a VM was disturbed in a span of time."""
    disturbances = cluster.disturbances
    return all(
        disturbances.is_undisturbed(component, from_s, to_s)
        for component in (STORE, vm)
    )


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


def _target_names(ran):
    return [target.name for target, _ in ran]
