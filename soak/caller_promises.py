"""Check what callers got against what VMs promise to them.

Checks leave out requests that a fault could have affected, for example those at a VM
that was killed.
"""

import collections

from soak.breach import Breach, store_and_vm_undisturbed
from soak.cluster import RESPONSE_PADDING
from soak.load import CONNECTION_CLOSED, TIMEOUT_S

__all__ = ["LINKS_LOST", "check_callers"]

# Response statuses that guarantee that a request has not run.
NOT_RUN = frozenset({401, 408, 421, 429, 503})
# Time after the store's acknowledgement within which VMs have to use a configuration.
CONFIGURATION_BOUND_S = 2.0
# Requests sent this soon after the first with a new version may be handled by the old.
REVERT_SLACK_S = 0.25
# Time after the deadline within which a request has to end.
LATE_RESPONSE_S = 0.5
# VMs have this time to find another way to targets that they do not reach. From then
# on their callers have to be served this share as often as those of the others, apart
# from a few failures.
LINKS_SETTLE_S = 3.0
LINKS_SERVED_RATIO = 2 / 3
LINKS_FAILED_SLACK = 10
LINKS_FAILED_RATIO = 1 / 50
# The kind of disturbance that is a graceful stop by SIGTERM.
GRACEFUL_STOP = "terminated"
# The kind of disturbance that is a VM cut off from all targets.
LINKS_LOST = "links lost"


def check_callers(cluster, calls):
    """Check all promises to callers; return a list of Breaches.

    Args:
        cluster: The Cluster.
        calls: The Calls of all callers.
    """
    runs = _find_runs(cluster)
    breaches = []
    for check in (
        _check_at_most_once,
        _check_not_run,
        _check_whole_response,
        _check_graceful_stop,
        _check_final_response,
    ):
        breaches += check(cluster, calls, runs)
    breaches += _check_configuration(cluster, calls)
    return breaches + _check_lost_links(cluster, calls)


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
        and (call.body != _whole_body(call) or not runs[call.request_id])
    ]


def _whole_body(call):
    return b"answer to " + call.request_id.encode() + RESPONSE_PADDING


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
        if late and store_and_vm_undisturbed(cluster, call.vm, *span):
            breaches.append(Breach("in-force", f"{call}"))
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
            and call.has_lasting_key
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


def _target_names(ran):
    return [target.name for target, _ in ran]
