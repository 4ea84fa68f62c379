"""Replay a trace and check its expected outcomes."""

import sys

from sesamespring.cli.files import unwrap_or_raise
from sesamespring.errors import UserError
from sesamespring.replay import (
    POLICIES,
    PRODUCT_POLICY,
    check_outcomes,
    format_figures,
    measure,
    read_trace,
)
from sesamespring.replay import replay as replay_trace

__all__ = ["replay"]

EXIT_OUTCOME_BROKEN = 1


def replay(path: str, *, policy: str = PRODUCT_POLICY, seed: int | None = None):
    """Replay a trace and print its figures.

    Exits with 1 if an outcome that the trace expects is not met.

    Args:
        path: Path of the trace; a ``.gz`` file is decompressed.
        policy: Routing policy: sesamespring or one of the baselines.
        seed: Seed of the replay's random choices; that of the trace by default.
    """
    if policy not in POLICIES:
        expected = ", ".join(POLICIES)
        raise UserError(f"--policy: found {policy}; expected one of {expected}")
    trace = unwrap_or_raise(read_trace(path))
    tally = replay_trace(trace, policy, seed)
    broken = [v for v in check_outcomes(trace, policy, seed, tally) if not v.kept]
    for verdict in broken:
        print(verdict, file=sys.stderr)
    figures = {**measure(tally), "broken": len(broken)}
    print(f"trace={trace.header.name} policy={policy} {format_figures(figures)}")
    if broken:
        sys.exit(EXIT_OUTCOME_BROKEN)
