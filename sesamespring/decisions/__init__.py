"""Make routing and hold decisions without I/O.

The code in this package opens no sockets, reads no clock and uses no global random
source. Callers pass in typed messages and the time in seconds of a monotonic clock,
and get typed commands back, so that the daemon, the replay and other programs run
the same code.
"""

from sesamespring.decisions.groups import choose_group, choose_holder
from sesamespring.decisions.router import ServiceRouter

__all__ = ["ServiceRouter", "choose_group", "choose_holder"]
