"""Decide whether a request leaves its data centre for a target in another one.

Load it answers: demand that differs between data centres and turns within a second,
targets that are slow, shedding or too few in one of them, while traffic between them is
slower and billed. A request leaves only where that changes what its caller gets: in its
data centre it would miss its goal or its deadline, or meet the goal only if nothing
takes longer than expected, and elsewhere it would not. So none leaves while there is
room, and few do where all data centres are full.
"""

import enum

__all__ = ["WAY_S", "Prospect", "may_leave", "prospect"]

# Time that the way to another data centre and back adds to a request.
WAY_S = 0.004
# A request that takes this multiple of its expected duration still meets its goal.
GOAL_MARGIN = 1.5
# Penalties for recent failures from which a target may fail the request as well; one
# that another target has failed already has fewer attempts left.
RISKY_PENALTY = 1.5
RISKY_PENALTY_AGAIN = 1.1
# Factor on the expected time of requests that miss their goal, as requests that arrive
# later may overtake them.
LATE_UNCERTAINTY = 2.0
# A response that misses its goal is worth the way if it comes this much sooner.
LATE_GAIN = 2.0


class Prospect(enum.IntEnum):
    """What the caller of a request may expect of a slot, the best first.

    ``SAFE``: a response within the goal, also if it takes longer than expected.
    ``IN_GOAL``: a response within the goal if it takes as long as expected, and if the
    target, which has failed others lately, does not fail it.
    ``LATE``: a response before the deadline. ``TOO_LATE``: none before the deadline.
    ``NO_SLOT``: there is no slot at all.
    """

    SAFE = 0
    IN_GOAL = 1
    LATE = 2
    TOO_LATE = 3
    NO_SLOT = 4


def prospect(request, start_s, taken_s, penalty, now_s):
    """Return the Prospect of a request in a slot.

    Args:
        request: The ScheduledRequest.
        start_s: Time at which the slot becomes free, and the way there is over.
        taken_s: Expected duration in it, in seconds.
        penalty: Factor for recent failures of the target.
        now_s: Current time.
    """
    is_safe = penalty < (RISKY_PENALTY_AGAIN if request.tried else RISKY_PENALTY)
    if is_safe and start_s + GOAL_MARGIN * taken_s <= request.due_s:
        return Prospect.SAFE
    end_s = start_s + taken_s
    if end_s <= request.due_s:
        return Prospect.IN_GOAL
    needed_s = (end_s - now_s) * (LATE_UNCERTAINTY if start_s > now_s else 1.0)
    if now_s + needed_s <= request.deadline_s:
        return Prospect.LATE
    return Prospect.TOO_LATE


def may_leave(near, near_end_s, far, far_end_s, now_s):
    """Return whether a request leaves its data centre.

    Args:
        near: Its Prospect in its own data centre.
        near_end_s: Its expected end there.
        far: Its Prospect in the best other one.
        far_end_s: Its expected end there.
        now_s: Current time.
    """
    if far < near:
        return True
    both_late = near is Prospect.LATE and far is Prospect.LATE
    return both_late and (far_end_s - now_s) * LATE_GAIN <= near_end_s - now_s
