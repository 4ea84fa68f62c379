"""Replay recorded traces in virtual time against the routing decisions."""

from sesamespring.replay.estate import replay
from sesamespring.replay.figures import format_figures, measure
from sesamespring.replay.files import (
    dump_trace,
    parse_trace,
    read_trace,
    write_trace,
)
from sesamespring.replay.outcomes import check_outcomes
from sesamespring.replay.policies import POLICIES, PRODUCT_POLICY

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
