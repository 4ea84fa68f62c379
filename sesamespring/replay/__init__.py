"""Replay traces in virtual time: the daemon's routing decisions and baselines."""

from sesamespring.replay.figures import format_figures, measure
from sesamespring.replay.files import (
    dump_trace,
    parse_trace,
    read_trace,
    write_trace,
)
from sesamespring.replay.outcomes import check_outcomes
from sesamespring.replay.policies import POLICIES, PRODUCT_POLICY
from sesamespring.replay.simulation import replay

__all__ = [
    "POLICIES",
    "PRODUCT_POLICY",
    "dump_trace",
    "format_figures",
    "check_outcomes",
    "measure",
    "parse_trace",
    "read_trace",
    "replay",
    "write_trace",
]
