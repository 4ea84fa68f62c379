"""Search for broken promises of connections: ``python -m search --seed N``."""

import sys
import time

import defopt

from search.runner import SEARCHES, run_search

__all__ = ["search"]


def search(
    *names: str, seed: int | None = None, count: int = 1000, shrink: bool = True
):
    """Play drawn inputs on connections; exit with 1 if one breaks a promise.

    Args:
        names: What to search, of callers, callers-that-offer-more,
            callers-that-read-late, callers-that-send-on, crowds, forwarding,
            forwarding-of-long-failures, targets, targets-that-answer-early and
            targets-that-go-on-sending; all of them unless given.
        seed: Seed of what is drawn; the current Unix time unless given.
        count: Number of inputs for each.
        shrink: Whether to make an input that breaks a promise as short as possible.
    """
    first_seed = int(time.time()) if seed is None else seed
    unknown = set(names) - set(SEARCHES)
    if unknown:
        sys.exit(f"unknown: {', '.join(sorted(unknown))}")
    found = 0
    for name in names or SEARCHES:
        result = run_search(SEARCHES[name], first_seed, count, shrink)
        print(
            f"search={name} seed={first_seed} played={result.played} "
            f"seconds={result.seconds:.1f}",
            flush=True,
        )
        if result.finding is not None:
            found += 1
            finding = result.finding
            error = finding.error
            print(f"  broken after={finding.after}: {type(error).__name__}: {error}")
            print(f"  {finding.input}", flush=True)
    sys.exit(1 if found else 0)


if __name__ == "__main__":
    defopt.run(search)
