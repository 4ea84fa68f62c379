"""Replay all traces with all policies, and check the product's outcomes.

Arguments, if any, are parts of trace names; only traces whose name contains one of
them are replayed.
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
class _TraceResult:
    """The results of one trace.

    Attributes:
        name: Name of the trace.
        figures: Figures by policy name.
        broken: Lines on the expected outcomes that the product did not meet.
        expected_count: Number of outcomes that the trace expects.
    """

    name: str
    figures: dict
    broken: tuple
    expected_count: int


def _replay_all(path):
    trace = read_trace(str(path)).unwrap()
    tallies = {name: replay(trace, name) for name in POLICIES}
    verdicts = check_outcomes(
        trace, PRODUCT_POLICY, None, tallies[PRODUCT_POLICY], tallies
    )
    figures = {name: measure(tally, COLUMNS) for name, tally in tallies.items()}
    broken = tuple(str(verdict) for verdict in verdicts if not verdict.kept)
    return _TraceResult(trace.header.name, figures, broken, len(verdicts))


def main(arguments):
    """Run the bench; return 1 if the product did not meet an expected outcome.

    Args:
        arguments: Command line arguments of the bench.
    """
    paths = [
        path
        for path in sorted(TRACES.glob("*.jsonl.gz"))
        if not arguments or any(word in path.name for word in arguments)
    ]
    if not paths:
        print("no trace has such a name:", *arguments, file=sys.stderr)
        return 2
    results = []
    with concurrent.futures.ProcessPoolExecutor(PROCESSES) as pool:
        for result in pool.map(_replay_all, paths):
            results.append(result)
            print(f"{len(results)}/{len(paths)} {result.name}", file=sys.stderr)
    _print_table(results)
    return _print_totals(results)


def _print_table(results):
    print(_COLUMN_FORMAT.format("trace", "policy", *COLUMNS))
    for result in results:
        for policy, figures in result.figures.items():
            cells = [f"{figures[column]:.4g}" for column in COLUMNS]
            print(_COLUMN_FORMAT.format(result.name, policy, *cells))


def _print_totals(results):
    for result in results:
        for line in result.broken:
            print(f"{result.name} {line}")
    broken = sum(len(result.broken) for result in results)
    totals = {
        "traces": len(results),
        "outcomes": sum(result.expected_count for result in results),
        "broken": broken,
        "traces_broken": sum(1 for result in results if result.broken),
    }
    for name in ("overruns", "cold_overruns", "run_twice"):
        totals[name] = sum(r.figures[PRODUCT_POLICY][name] for r in results)
    totals["worst_noisy_p99_ratio"] = _worst_noisy_ratio(results)
    print(format_figures(totals))
    return 1 if broken else 0


def _worst_noisy_ratio(results):
    """Return the highest ratio of the product's p99 of reads to that of one queue.

    Only the traces with noisy service times count.
    """
    ratios = [
        r.figures[PRODUCT_POLICY]["read_p99_ms"] / r.figures["one-queue"]["read_p99_ms"]
        for r in results
        if "-noisy-" in r.name
    ]
    return max(ratios, default=0.0)
