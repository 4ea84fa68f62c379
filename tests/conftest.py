"""Register the hypothesis profiles and choose the loopback network of processes.

The hypothesis profile is the one of HYPOTHESIS_PROFILE.
"""

import os

from hypothesis import HealthCheck, settings

from tests.loopback import loopback_ip

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    print_blob=True,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.register_profile("search", deadline=None, max_examples=2000)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))
# For the processes that ``standins.cluster`` starts.
os.environ.setdefault("ESTATE_HOST", loopback_ip(0, 1))
