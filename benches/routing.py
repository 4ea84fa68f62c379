"""Replay all traces with all policies, and hold the product to stated outcomes.

Arguments, if any, are parts of trace names; only traces with one of them run.
"""

import concurrent.futures
import pathlib
import sys

import attrs

from sesamespring.replay import (
    POLICIES,
    PRODUCT_POLICY,
    check_outcomes,
    format_figures,
    measure,
    read_trace,
    replay,
)

__all__ = ["main"]

TRACES = pathlib.Path(__file__).parent.parent / "traces"
PROCESSES = 4
COLUMNS = (
    "answered_share",
    "read_p50_ms",
    "read_p99_ms",
    "read_p999_ms",
    "overruns",
    "cold_overruns",
    "run_twice",
    "extra_share",
    "goodput_per_s",
)
_COLUMN_FORMAT = "{:<40} {:<17}" + " {:>14}" * len(COLUMNS)


@attrs.frozen
class _Finished:
    """What all policies made of one trace.

    Attributes:
        name: Name of the trace.
        figures: Figures by policy name.
        broken: Lines on the outcomes that the product broke.
        stated: How many outcomes the trace states.
    """

    name: str
    figures: dict
    broken: tuple
    stated: int


def _replay_all(path):
    trace = read_trace(str(path)).unwrap()
    tallies = {name: replay(trace, name) for name in POLICIES}
    verdicts = check_outcomes(
        trace, PRODUCT_POLICY, None, tallies[PRODUCT_POLICY], tallies
    )
    figures = {name: measure(tally, COLUMNS) for name, tally in tallies.items()}
    broken = tuple(str(verdict) for verdict in verdicts if not verdict.kept)
    return _Finished(trace.header.name, figures, broken, len(verdicts))


def main(arguments):
    """Run the bench; return 1 if the product broke an outcome.

    Args:
        arguments: List of words of the command line.
    """
    paths = [
        path
        for path in sorted(TRACES.glob("*.jsonl.gz"))
        if not arguments or any(word in path.name for word in arguments)
    ]
    if not paths:
        print("no trace has such a name:", *arguments, file=sys.stderr)
        return 2
    finished = []
    with concurrent.futures.ProcessPoolExecutor(PROCESSES) as pool:
        for result in pool.map(_replay_all, paths):
            finished.append(result)
            print(f"{len(finished)}/{len(paths)} {result.name}", file=sys.stderr)
    _print_table(finished)
    return _print_verdict(finished)


def _print_table(finished):
    print(_COLUMN_FORMAT.format("trace", "policy", *COLUMNS))
    for result in finished:
        for policy, figures in result.figures.items():
            cells = [f"{figures[column]:.4g}" for column in COLUMNS]
            print(_COLUMN_FORMAT.format(result.name, policy, *cells))


def _print_verdict(finished):
    for result in finished:
        for line in result.broken:
            print(f"{result.name} {line}")
    broken = sum(len(result.broken) for result in finished)
    totals = {
        "traces": len(finished),
        "outcomes": sum(result.stated for result in finished),
        "broken": broken,
        "traces_broken": sum(1 for result in finished if result.broken),
    }
    for name in ("overruns", "cold_overruns", "run_twice"):
        totals[name] = sum(r.figures[PRODUCT_POLICY][name] for r in finished)
    totals["worst_noisy_p99_ratio"] = _worst_noisy_ratio(finished)
    print(format_figures(totals))
    return 1 if broken else 0


def _worst_noisy_ratio(finished):
    """Return the largest p99 of reads over that of the one queue, under noise."""
    ratios = [
        r.figures[PRODUCT_POLICY]["read_p99_ms"] / r.figures["one-queue"]["read_p99_ms"]
        for r in finished
        if "-noisy-" in r.name
    ]
    return max(ratios, default=0.0)
