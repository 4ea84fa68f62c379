"""Decide how long requests wait at a VM that has not read the store's tables yet.

Load it answers: all VMs start anew at once, and their callers come back before the
first reads are over. A refusal would use up a caller's retry, and no other VM is ready.
"""

__all__ = ["wait_for_tables_s"]

# The first reads are over by then unless the store is away, for which no request waits.
FIRST_READS_S = 1.0
# Fraction of a caller's time that may pass before the tables are there. The rest is for
# the request itself, or for another VM.
WAIT_FRACTION = 0.25


def wait_for_tables_s(uptime_s, left_s):
    """Return how long a request may wait for the tables, in seconds.

    Args:
        uptime_s: Seconds since this VM's process started.
        left_s: Seconds that are left until the caller's deadline.

    >>> wait_for_tables_s(0.1, 0.8), wait_for_tables_s(0.9, 2.0) < 0.11
    (0.2, True)
    >>> wait_for_tables_s(60.0, 0.8)
    0.0
    """
    return max(0.0, min(FIRST_READS_S - uptime_s, WAIT_FRACTION * left_s))
