"""Draw inputs for a search, and find the shortest one that breaks a promise."""

import time

import attrs
from hypothesis import HealthCheck, Phase, given, seed, settings

from search.callers import (
    callers,
    callers_that_offer_more,
    callers_that_read_late,
    callers_that_send_on,
    check_callers,
)
from search.crowds import check_crowds, crowds
from search.forwarding import (
    check_forwarding,
    forwarding,
    forwarding_of_long_failures,
)
from search.targets import (
    check_targets,
    targets,
    targets_that_answer_early,
    targets_that_go_on_sending,
)

__all__ = ["SEARCHES", "Finding", "Search", "SearchResult", "run_search"]


@attrs.frozen
class Search:
    """What is drawn, and the function that checks it.

    Attributes:
        inputs: A strategy of hypothesis.
        check: Function that raises an error if an input breaks a promise.
    """

    inputs: object
    check: object


SEARCHES = {
    "callers": Search(callers, check_callers),
    "callers-that-offer-more": Search(callers_that_offer_more, check_callers),
    "callers-that-read-late": Search(callers_that_read_late, check_callers),
    "callers-that-send-on": Search(callers_that_send_on, check_callers),
    "crowds": Search(crowds, check_crowds),
    "forwarding": Search(forwarding, check_forwarding),
    "forwarding-of-long-failures": Search(
        forwarding_of_long_failures, check_forwarding
    ),
    "targets": Search(targets, check_targets),
    "targets-that-answer-early": Search(targets_that_answer_early, check_targets),
    "targets-that-go-on-sending": Search(targets_that_go_on_sending, check_targets),
}


@attrs.frozen
class Finding:
    """An input that breaks a promise.

    Attributes:
        after: Number of inputs that were played until the first that broke one.
        input: The input, made as short as possible if that was wanted.
        error: The error that it raised.
    """

    after: int
    input: object
    error: Exception


@attrs.frozen
class SearchResult:
    """What a search has done.

    Attributes:
        played: Number of inputs that were played, without those of the shortening.
        seconds: Time that it took, in seconds.
        finding: The Finding, or None.
    """

    played: int
    seconds: float
    finding: Finding | None


def run_search(search, first_seed, count, shortens=True):
    """Play ``count`` inputs at most, until one breaks a promise.

    Args:
        search: The Search.
        first_seed: Seed of what is drawn.
        count: Number of inputs.
        shortens: Whether an input that breaks a promise is made as short as possible.

    Returns:
        A SearchResult.
    """
    played = 0
    after = broken = error = None

    def play(drawn):
        nonlocal played, after, broken, error
        played += after is None
        try:
            search.check(drawn)
        except Exception as raised:
            after = after or played
            broken, error = drawn, raised
            raise

    limits = settings(
        max_examples=count,
        database=None,
        deadline=None,
        phases=[Phase.generate, Phase.shrink] if shortens else [Phase.generate],
        report_multiple_bugs=False,
        suppress_health_check=list(HealthCheck),
    )
    started_s = time.monotonic()
    try:
        seed(first_seed)(limits(given(search.inputs)(play)))()
    except Exception:
        if broken is None:
            raise
    seconds = time.monotonic() - started_s
    finding = Finding(after, broken, error) if after else None
    return SearchResult(played, seconds, finding)
