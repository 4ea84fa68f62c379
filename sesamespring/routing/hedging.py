"""Decide when an overdue request is also sent to a second target.

Designed for targets that become slow during an attempt while slots are free: the second
attempt may end first. It is sent as late as the goal allows, as many overdue attempts
still end in time and each hedge takes a slot and a part of the retry budget.
"""

__all__ = ["hedge_slot", "is_hedge_due", "is_overdue"]

# An attempt that takes this many times its expected duration may stay slow.
OVERDUE_FACTOR = 1.5
# One that takes this many times its expected duration is taken for stuck.
STUCK_FACTOR = 4.0
STUCK_MIN_S = 0.05
# Spare time to keep waiting for the first attempt, as a fraction of the expected time
# of a second one.
GOAL_MARGIN = 0.5
# A second attempt may take this multiple of its expected duration.
LAST_HEDGE_FACTOR = 2.0


def is_overdue(elapsed_s, expected_s):
    """Return whether an attempt takes so long that a hedge may be of use.

    Args:
        elapsed_s: Seconds since it was sent.
        expected_s: Its expected duration in seconds.

    >>> is_overdue(0.12, 0.1), is_overdue(0.16, 0.1)
    (False, True)
    """
    return elapsed_s >= OVERDUE_FACTOR * expected_s


def is_hedge_due(elapsed_s, expected_s, needed_s, request, now_s):
    """Return whether an overdue request has to be hedged now rather than later.

    It has to if its attempt seems stuck, or if a later hedge would miss the goal, or,
    once the goal cannot be met, the deadline.

    Args:
        elapsed_s: Seconds since the attempt was sent.
        expected_s: Expected duration of the attempt in seconds.
        needed_s: Expected duration of a second attempt in seconds.
        request: The ScheduledRequest.
        now_s: Current time.
    """
    if elapsed_s > max(STUCK_MIN_S, STUCK_FACTOR * expected_s):
        return True
    if now_s + needed_s > request.due_s:
        return now_s + LAST_HEDGE_FACTOR * needed_s > request.deadline_s
    return now_s + (1 + GOAL_MARGIN) * needed_s > request.due_s


def hedge_slot(request, free, service_time_s, now_s):
    """Return the Slot for a second attempt, or None if it would end too late.

    One in the request's data centre goes first as long as it makes the goal.

    Args:
        request: The ScheduledRequest.
        free: List of the Slots that are free now.
        service_time_s: Service time of the request at an unloaded target.
        now_s: Current time.
    """

    def penalized_end_s(slot):
        return slot.penalized_end_s(service_time_s, now_s, request.data_centre)

    untried = [slot for slot in free if slot.key not in request.tried]
    near = [slot for slot in untried if slot.data_centre == request.data_centre]
    slot = min(near, key=penalized_end_s, default=None)
    if slot is None or slot.end_s(service_time_s, now_s) > request.due_s:
        slot = min(untried, key=penalized_end_s, default=None)
    if slot is None or slot.end_s(service_time_s, now_s) > request.deadline_s:
        return None
    return slot
