"""Replay a trace and print its outcomes."""

import sys

from sesamespring.cli.files import value_or_problems
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
    """Replay a trace, print its figures, and end with 1 if an outcome is broken.

    Args:
        path: Path of the trace; ``.gz`` is decompressed.
        policy: How requests are routed: sesamespring or one of the baselines.
        seed: Seed of the replay's choices; the trace's own unless given.
    """
    if policy not in POLICIES:
        expected = ", ".join(POLICIES)
        raise UserError(f"--policy: found {policy}; expected one of {expected}")
    trace = value_or_problems(read_trace(path))
    tally = replay_trace(trace, policy, seed)
    broken = [v for v in check_outcomes(trace, policy, seed, tally) if not v.kept]
    for verdict in broken:
        print(verdict, file=sys.stderr)
    figures = {**measure(tally), "broken": len(broken)}
    print(f"trace={trace.header.name} policy={policy} {format_figures(figures)}")
    if broken:
        sys.exit(EXIT_OUTCOME_BROKEN)
