"""Check the records of callers and targets against the guarantees of the product.

Each guarantee is a promise with a short name.
"""

import collections

from soak.account_promises import check_accounts
from soak.breach import Breach
from soak.caller_promises import LINKS_LOST, check_callers
from soak.target_promises import check_targets

__all__ = ["LINKS_LOST", "Breach", "check_promises", "check_recovery"]

# Minimum share of successful requests after all faults have ended.
RECOVERED_SHARE = 0.95


def check_promises(cluster, load):
    """Check all promises on the records so far; return a list of Breaches."""
    breaches = check_callers(cluster, load.calls)
    breaches += check_accounts(cluster, load.calls)
    return breaches + check_targets(cluster, load.calls)


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
    sent = [c for c in sent if c.has_lasting_key]
    served = sum(c.status == 200 for c in sent)
    if sent and served >= RECOVERED_SHARE * len(sent):
        return []
    counts = collections.Counter(c.status for c in sent)
    return [Breach("recovery", f"served {served} of {len(sent)}: {dict(counts)}")]
