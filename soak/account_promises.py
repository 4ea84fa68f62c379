"""Check that requests ran only with a key in force, and as its account."""

from soak.accounts import LASTING_KEYS, holder
from soak.breach import Breach, store_and_vm_undisturbed

__all__ = ["check_accounts"]

KEY_HEADER = "sesamespring-credential"
ACCOUNT_HEADER = "sesamespring-tenant"
UNAUTHORIZED = 401
# Time after the store's acknowledgement within which VMs refuse keys taken away.
KEY_GONE_BOUND_S = 2.0
# Each account is served at least this part as often as all, if it sent that many.
SERVED_RATIO = 1 / 4
SENT_MIN = 50


def check_accounts(cluster, calls):
    """Check all promises about keys; return a list of Breaches.

    Args:
        cluster: The Cluster.
        calls: The Calls of all callers; those without a key are left out.
    """
    if not cluster.has_accounts:
        return []
    received = {}
    for target in cluster.targets:
        for run in target.server.received:
            received.setdefault(run.request_id, []).append(run)
    breaches = []
    keyed = sorted((c for c in calls if c.key is not None), key=lambda c: c.sent_s)
    for call in keyed:
        for run in received.get(call.request_id, []):
            breaches += _check_run(cluster, call, run)
        if call.status == UNAUTHORIZED and call.key in LASTING_KEYS:
            breaches.append(Breach("key-refused", f"{call}"))
    return breaches + _check_never_back(keyed) + _check_starved(keyed)


def _check_run(cluster, call, run):
    """Return Breaches for one run of a call."""
    account, version = holder(call.key)
    if any(name == KEY_HEADER for name, _ in run.fields):
        return [Breach("key-passed-on", f"{call}")]
    if [value for name, value in run.fields if name == ACCOUNT_HEADER] != [account]:
        return [Breach("key-in-force", f"{call} ran as {run.fields}")]
    if version is None or call.ended_s is None:
        return []
    gone_s = min(
        (acked_s for number, acked_s in cluster.configurations if number > version),
        default=float("inf"),
    )
    late = call.sent_s > gone_s + KEY_GONE_BOUND_S
    if late and store_and_vm_undisturbed(cluster, call.vm, gone_s, call.ended_s):
        return [Breach("key-in-force", f"{call}, key taken away at {gone_s}")]
    return []


def _check_never_back(calls):
    """Return Breaches for keys that a process served, refused, and served again."""
    breaches = []
    served, refused = set(), {}
    for call in calls:
        process = (call.vm, call.lifetime, call.key)
        if call.status == 200:
            if process in refused and call.sent_s > refused[process]:
                breaches.append(Breach("key-never-back", f"{call}"))
            served.add(process)
        elif call.status == UNAUTHORIZED and process in served:
            refused.setdefault(process, call.ended_s)
    return breaches


def _check_starved(calls):
    """Return Breaches for accounts that are served far less often than all."""
    lasting = [call for call in calls if call.has_lasting_key and not call.fatal]
    breaches = []
    for key, account in LASTING_KEYS.items():
        own = [call for call in lasting if call.key == key]
        enough = SERVED_RATIO * _served_share(lasting)
        if len(own) >= SENT_MIN and _served_share(own) < enough:
            breaches.append(Breach("account-starved", account))
    return breaches


def _served_share(calls):
    return sum(call.status == 200 for call in calls) / max(1, len(calls))
